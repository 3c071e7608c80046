/// The actor of an entry that owns the links to the agents and sends requests as the router decides.
///
/// \code
/// RouterActor router(executor, clock, RouterOptions { seed });
/// router.learn(WorkerUp { announcement });
/// RequestOutcome outcome = co_await router.route(request);
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/routing/Router.h"

namespace persimmondoor::routing {

/// Requests that an entry has under way at most; beyond, they are refused as not run.
inline constexpr size_t maximumPending = 16'384;

class RouterActor {
public:
    /// Starts the actor on `executor`.
    RouterActor(const boost::asio::any_io_executor& executor, Clock clock, RouterOptions options);

    /// Takes in what changed of workers or services.
    /// \return false if the mailbox is full and nothing was taken in.
    bool learn(RouterMessage) const;
    /// As `learn`, but waits for room: for changes that are told once.
    /// \return false if the actor has ended.
    boost::asio::awaitable<bool> learnSurely(RouterMessage) const;
    /// Sends `request` to an endpoint. A `timeLeft_` of zero stands for the service's own deadline; a `tier_` of Trial
    /// lowers the request below its service's tier. Cancelling the coroutine frees what the request holds.
    boost::asio::awaitable<RequestOutcome> route(admission::ServiceRequest) const;
    /// All endpoints by name, as the router sees them.
    boost::asio::awaitable<std::map<EndpointName, Candidate>> endpoints() const;
    /// Ends the actor.
    void stop() const { mailbox_.close(); }

    /// A request with the way back to its sender.
    struct Submit {
        admission::ServiceRequest request_;
        Reply<RequestOutcome> reply_;
    };
    /// The caller of a request no longer waits. Lost if the mailbox is full; the deadline then frees the request.
    struct Cancel {
        RequestId id_;
    };
    /// The agent answered. Never lost: the sender waits for room in the mailbox, and there are at most
    /// `maximumPending` senders.
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
