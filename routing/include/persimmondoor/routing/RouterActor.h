/// The actor that owns an entry's links to the agents and sends requests as `Router` decides.
///
/// \code
/// RouterActor router(executor, clock, RouterOptions { seed });
/// router.tryUpdate(WorkerUp { announcement });
/// RequestOutcome outcome = co_await router.route(request);
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/routing/Router.h"

namespace persimmondoor::routing {

/// Maximum number of requests that an entry has in flight; further ones are refused as "not run".
inline constexpr size_t maximumPending = 16'384;

class RouterActor {
public:
    /// Starts the actor on `executor`.
    RouterActor(const boost::asio::any_io_executor& executor, Clock clock, RouterOptions options);

    /// Passes a change of workers or services to the router.
    /// \return false if the mailbox is full; the change is then dropped.
    bool tryUpdate(RouterMessage) const;
    /// As `tryUpdate`, but waits for room in the mailbox: for changes that are sent only once.
    /// \return false if the actor has ended.
    boost::asio::awaitable<bool> update(RouterMessage) const;
    /// Sends the request to an endpoint and waits for its outcome. A `timeLeft_` of zero stands for the service's own
    /// deadline; a `tier_` of Trial lowers the request to the trial tier. Cancelling the coroutine cancels the attempt in
    /// flight and releases what the request holds.
    boost::asio::awaitable<RequestOutcome> route(admission::ServiceRequest) const;
    /// All endpoints that the router knows, by name; empty if the actor was stopped.
    boost::asio::awaitable<std::map<EndpointName, Candidate>> endpoints() const;
    /// Ends the actor.
    void stop() const { mailbox_.close(); }

    /// A request with the reply to its caller.
    struct Submit {
        admission::ServiceRequest request_;
        Reply<RequestOutcome> reply_;
    };
    /// The caller of a request no longer waits. Dropped if the mailbox is full; the request is then released at its
    /// deadline.
    struct Cancel {
        RequestId id_;
    };
    /// An attempt has ended, with the agent's answer or without one. Never dropped: the sender waits for room in the
    /// mailbox, and there are at most `maximumPending` senders.
    struct AgentAnswered {
        RequestId id_;
        EndpointName endpoint_;
        admission::ServiceAnswer answer_;
    };
    struct AskEndpoints {
        Reply<std::map<EndpointName, Candidate>> reply_;
    };
    using Message = std::variant<RouterMessage, Submit, Cancel, AgentAnswered, AskEndpoints>;

private:
    Mailbox<Message> mailbox_;
};

} // namespace persimmondoor::routing
