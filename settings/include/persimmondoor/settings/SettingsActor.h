/// The actor that owns a process's settings tree. Each process runs one.
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

/// Called for each subtree revision that comes into force, in order, with the tree's digest after it.
using InForceListener = std::function<void(const InForce&, Digest)>;

/// The state of the actor at one moment.
struct Snapshot {
    Tree tree_;
    /// False until the store, or a peer whose own settings are known, has answered.
    bool isKnown_ { false };
    /// The processes that announced themselves to this one.
    std::map<ProcessName, ProcessState> processes_;
    bool operator==(const Snapshot&) const = default;
};

class SettingsActor {
public:
    SettingsActor(const boost::asio::any_io_executor&, Clock, InForceListener);

    /// Applies each subtree that is newer than the actor's own revision of it. An empty list means that the store or a
    /// peer answered and has none newer.
    /// \return false if the mailbox is full and the subtrees were dropped; the next poll or announcement repeats them.
    bool apply(std::vector<Subtree>) const;
    /// \return the current state; an empty one, with `isKnown_` false, if the mailbox is full.
    boost::asio::awaitable<Snapshot> snapshot() const;
    /// Handles a process's announcement.
    /// \return where to fetch the current settings from; AskAgain if the mailbox is full.
    boost::asio::awaitable<Hint> handle(DigestAnnouncement) const;
    /// Stops the actor.
    void stop() const { mailbox_.close(); }

    struct SnapshotRequest {
        Reply<Snapshot> reply_;
    };
    struct HintRequest {
        DigestAnnouncement announcement_;
        Reply<Hint> reply_;
    };
    using Message = std::variant<SubtreesReceived, SnapshotRequest, HintRequest>;

private:
    Mailbox<Message> mailbox_;
};

/// Serves the tree to other processes as the RPC interface "settings".
void offerSettings(rpc::Interfaces&, const boost::asio::any_io_executor&, SettingsActor);

} // namespace persimmondoor::settings
