/// The actor of an entry that owns the links to the agents and sends requests as the router decides.
///
/// \code
/// RouterActor router(executor, clock, seed);
/// router.learn(WorkerUp { announcement });
/// RequestOutcome outcome = co_await router.route(request);
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/routing/Router.h"

namespace persimmondoor::routing {

class RouterActor {
public:
    /// Starts the actor on `executor`. `seed` starts the random choices.
    RouterActor(const boost::asio::any_io_executor& executor, Clock clock, uint32_t seed);

    /// Takes in what changed of workers or services.
    /// \return false if the mailbox is full and nothing was taken in.
    bool learn(RouterMessage) const;
    /// Sends `request` to an endpoint. A `timeLeft_` of zero stands for the service's own deadline.
    boost::asio::awaitable<RequestOutcome> route(admission::ServiceRequest) const;
    /// Ends the actor.
    void stop() const { mailbox_.close(); }

    /// A request with the way back to its sender.
    struct Submit {
        admission::ServiceRequest request_;
        Reply<RequestOutcome> reply_;
    };
    /// The agent answered.
    struct AgentAnswered {
        RequestId id_;
        EndpointName endpoint_;
        admission::ServiceAnswer answer_;
    };
    using Message = std::variant<RouterMessage, Submit, AgentAnswered>;

private:
    Mailbox<Message> mailbox_;
};

} // namespace persimmondoor::routing
