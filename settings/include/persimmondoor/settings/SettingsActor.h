/// The actor of each process that owns its settings tree.
///
/// \code
/// SettingsActor settings(executor, clock, [](const InForce& change, Digest digest) { ... });
/// offerSettings(interfaces, executor, settings);
/// Tree tree = co_await settings.tree();
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/settings/Distribution.h"

#include <functional>

namespace persimmondoor::settings {

/// Told of each subtree that came into force and of the tree's digest then, in order.
using InForceListener = std::function<void(const InForce&, Digest)>;

/// What a process knows.
struct Snapshot {
    Tree tree_;
    /// False until the store or a peer told what is in force.
    bool isKnown_ { false };
    /// The processes that announced themselves here.
    std::map<ProcessName, ProcessState> processes_;
    bool operator==(const Snapshot&) const = default;
};

class SettingsActor {
public:
    SettingsActor(const boost::asio::any_io_executor&, Clock, InForceListener);

    /// Takes subtrees in; older revisions than known change nothing. An empty list says that the store or a peer was
    /// asked and has none.
    /// \return false if the mailbox is full and nothing was taken in; the next poll or announcement repeats it.
    bool learn(std::vector<Subtree>) const;
    boost::asio::awaitable<Snapshot> snapshot() const;
    /// Answers a process's announcement.
    boost::asio::awaitable<Hint> heard(Heard) const;
    /// Ends the actor.
    void stop() const { mailbox_.close(); }

    struct AskSnapshot {
        Reply<Snapshot> reply_;
    };
    struct AskHint {
        Heard heard_;
        Reply<Hint> reply_;
    };
    using Message = std::variant<Learned, AskSnapshot, AskHint>;

private:
    Mailbox<Message> mailbox_;
};

/// Offers the tree to other processes under the name "settings".
void offerSettings(rpc::Interfaces&, const boost::asio::any_io_executor&, SettingsActor);

} // namespace persimmondoor::settings
