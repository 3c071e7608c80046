/// The actor that owns an entry's view of the workers and tells a listener what changes.
///
/// \code
/// ViewActor view(executor, clock, [router](ViewAction action) { return tell(router, action); });
/// view.announce(announcement);
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/membership/View.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/settings/Distribution.h"

#include <functional>

namespace persimmondoor::membership {

/// Takes a change in; the view goes on when the returned coroutine ends, so that no change is lost.
using ViewListener = std::function<boost::asio::awaitable<void>(ViewAction)>;

/// What an agent is told after an announcement or a keepalive.
struct ViewAnswer {
    /// False if the entry needs the whole announcement.
    bool isKnown_ { false };
    /// Time until the next keepalive.
    Duration interval_ { 0 };
    /// Where the agent listens, as it announced; empty if it is not known.
    Address agent_;
    /// Where newer settings can be had.
    settings::Hint settings_;
    auto operator<=>(const ViewAnswer&) const = default;
};

/// The changes of an entry's view after a version.
struct ViewChanges {
    /// Tells the versions of two lives of an entry apart.
    uint64_t life_ { 0 };
    uint64_t version_ { 0 };
    std::vector<Learned> members_;
    auto operator<=>(const ViewChanges&) const = default;
};

class ViewActor {
public:
    /// Starts the actor on `executor`.
    ViewActor(const boost::asio::any_io_executor& executor, Clock clock, ViewListener listener);

    /// Takes a message in and waits until it has been.
    /// \return what the agent is told; if the mailbox is full the message is dropped and the agent tries again.
    boost::asio::awaitable<ViewAnswer> tell(ViewMessage, WorkerName, Incarnation) const;
    /// Gives what changed after `version` of the actor's life `life`, or all.
    boost::asio::awaitable<ViewChanges> changes(uint64_t life, uint64_t version) const;
    /// Takes a message in, waiting for room.
    boost::asio::awaitable<void> learn(ViewMessage) const;
    const boost::asio::any_io_executor& executor() const { return executor_; }
    /// Ends the actor.
    void stop() const { mailbox_.close(); }

    /// A message of an agent with the way back.
    struct Tell {
        ViewMessage message_;
        WorkerName worker_;
        Incarnation incarnation_;
        Reply<ViewAnswer> reply_;
    };
    struct AskChanges {
        uint64_t life_ { 0 };
        uint64_t version_ { 0 };
        Reply<ViewChanges> reply_;
    };
    using Message = std::variant<ViewMessage, Tell, AskChanges>;

private:
    boost::asio::any_io_executor executor_;
    Mailbox<Message> mailbox_;
};

/// Says where the sender of a message gets newer settings from.
using HintSource = std::function<boost::asio::awaitable<settings::Hint>(settings::Heard)>;

/// Offers the view to agents and other entries under the name "membership".
/// \param hints answers for the settings; without it every agent is told that its settings are up to date.
void offerMembership(rpc::Interfaces&, ViewActor, HintSource hints = {});

/// Has a cold entry learn the members, with their tombstones, from its peers: each is asked until it has answered once.
void learnFromPeers(ViewActor, const std::vector<Address>& peers);

} // namespace persimmondoor::membership
