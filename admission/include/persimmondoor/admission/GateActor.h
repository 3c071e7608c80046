/// The actor of an agent that owns the connections to the endpoints and executes the decisions of `Gate`: it queues,
/// sends, refuses and answers requests.
///
/// \code
/// absl::StatusOr<GateActor> gate = GateActor::create(executor, clock, { { capacity, address } });
/// ServiceAnswer answer = co_await gate->serve(request);
/// \endcode
#pragma once

#include "persimmondoor/admission/Gate.h"
#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/rpc/Server.h"

namespace persimmondoor::admission {

/// An endpoint on this host and the address at which it listens.
struct LocalEndpoint {
    EndpointCapacity capacity_;
    Address address_;
    auto operator<=>(const LocalEndpoint&) const = default;
};

class GateActor {
public:
    /// Starts the actor on `executor`.
    /// \return a handle to the actor, or InvalidArgument under the conditions of `Gate::create`.
    static absl::StatusOr<GateActor> create(const boost::asio::any_io_executor& executor, Clock clock, const std::vector<LocalEndpoint>& endpoints);

    /// Queues `request` and waits for its outcome; a full or closed mailbox gives `NotRun`. Cancelling the coroutine removes the
    /// request from the queue; a request that was handed over keeps its slot until its exchange has ended.
    boost::asio::awaitable<ServiceAnswer> serve(ServiceRequest) const;
    /// Refuses new requests and returns when all requests in flight have finished, or after `limit`.
    /// \return the number of requests that are still queued or running; 0 if the actor was stopped.
    boost::asio::awaitable<size_t> drain(Duration limit) const;
    /// \return the load of the endpoint; all zero if the endpoint does not exist or the actor was stopped.
    boost::asio::awaitable<EndpointLoad> load(EndpointName) const;
    /// Stops the actor.
    void stop() const { mailbox_.close(); }

    /// A request and the reply to its sender.
    struct Serve {
        ServiceRequest request_;
        Reply<ServiceAnswer> reply_;
    };
    /// The sender of a request cancelled it. Dropped if the mailbox is full; the request then ends at its deadline.
    struct Cancel {
        RequestId id_;
    };
    /// The exchange with the service instance has ended. Never dropped: the sender waits for room in the mailbox, and
    /// there are at most as many senders as slots.
    struct ExchangeEnded {
        RequestId id_;
        RequestOutcome outcome_;
    };
    /// Periodic check of deadlines.
    struct Tick {
    };
    /// Starts a drain; the reply is the number of requests left unfinished at its end.
    struct Drain {
        Duration limit_;
        Reply<size_t> unfinished_;
    };
    /// The time limit of a drain has passed.
    struct DrainTimedOut {
    };
    struct AskLoad {
        EndpointName endpoint_;
        Reply<EndpointLoad> reply_;
    };
    using Message = std::variant<Serve, Cancel, ExchangeEnded, Tick, Drain, DrainTimedOut, AskLoad>;

private:
    explicit GateActor(Mailbox<Message> mailbox)
        : mailbox_(std::move(mailbox))
    {
    }

    Mailbox<Message> mailbox_;
};

/// Registers the gate as the RPC interface "admission", which entries call.
void offerAdmission(rpc::Interfaces&, const boost::asio::any_io_executor& executor, GateActor);

} // namespace persimmondoor::admission
