/// The actor that owns an entry's view of the workers, passes its changes to a listener and answers agents and other
/// entries.
///
/// \code
/// ViewActor view(executor, clock, [router](ViewAction action) { return updateRouter(router, std::move(action)); });
/// offerMembership(interfaces, view);
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/membership/View.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/settings/Distribution.h"

#include <functional>

namespace persimmondoor::membership {

/// Handles a change of the view. The actor waits for the returned coroutine before it handles its next message, so that
/// no change is lost.
using ViewListener = std::function<boost::asio::awaitable<void>(ViewAction)>;

/// The answer to an announcement or a keepalive.
struct ViewAnswer {
    /// False if the entry needs the full announcement.
    bool isKnown_ { false };
    /// Time until the next keepalive.
    Duration keepAliveInterval_ { 0 };
    /// RPC address that the agent announced; empty for an unknown worker. Not sent to the agent.
    Address agentAddress_;
    /// Where the agent can fetch newer settings.
    settings::Hint settingsHint_;
    auto operator<=>(const ViewAnswer&) const = default;
};

/// The changes of an entry's view after a version.
struct ViewChanges {
    /// Incarnation of the entry that `version_` belongs to: in each incarnation the versions start from 0.
    uint64_t entryIncarnation_ { 0 };
    uint64_t version_ { 0 };
    std::vector<PeerMember> members_;
    auto operator<=>(const ViewChanges&) const = default;
};

class ViewActor {
public:
    /// Starts the actor on `executor`.
    ViewActor(const boost::asio::any_io_executor& executor, Clock clock, ViewListener listener);

    /// Handles a message of the agent of `worker`.
    /// \return the answer for the agent. If the mailbox is full, the message is dropped and the answer makes the agent
    /// send its full announcement again.
    boost::asio::awaitable<ViewAnswer> handle(ViewMessage, WorkerName, Incarnation) const;
    /// \return the members that changed after `version`, or all members if `entryIncarnation` is not the entry's own; empty
    /// if the actor was stopped.
    boost::asio::awaitable<ViewChanges> changes(uint64_t entryIncarnation, uint64_t version) const;
    /// Posts a message without an answer; waits for room in the mailbox, so that the message is not dropped.
    boost::asio::awaitable<void> post(ViewMessage) const;
    const boost::asio::any_io_executor& executor() const { return executor_; }
    /// Stops the actor.
    void stop() const { mailbox_.close(); }

    /// A message of an agent, and the reply to it.
    struct AgentMessage {
        ViewMessage message_;
        WorkerName worker_;
        Incarnation incarnation_;
        Reply<ViewAnswer> reply_;
    };
    struct AskChanges {
        uint64_t entryIncarnation_ { 0 };
        uint64_t version_ { 0 };
        Reply<ViewChanges> reply_;
    };
    using Message = std::variant<ViewMessage, AgentMessage, AskChanges>;

private:
    boost::asio::any_io_executor executor_;
    Mailbox<Message> mailbox_;
};

/// Decides where the agent that sent a digest of its settings can fetch newer ones.
using HintSource = std::function<boost::asio::awaitable<settings::Hint>(settings::DigestAnnouncement)>;

/// Registers the view as the RPC interface "membership", which agents and other entries call.
/// \param hints decides on newer settings; without it every agent is answered that its settings are up to date.
void offerMembership(rpc::Interfaces&, ViewActor, HintSource hints = {});

/// Fetches the members and tombstones that the peers know, for an entry that has just started. Each peer is asked until
/// it has answered once.
void fetchMembersFromPeers(ViewActor, const std::vector<Address>& peers);

} // namespace persimmondoor::membership
