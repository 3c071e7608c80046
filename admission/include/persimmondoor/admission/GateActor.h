/// The actor of an agent that owns the connections to its endpoints and serves requests as the gate decides.
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

/// An endpoint and where it listens.
struct LocalEndpoint {
    EndpointCapacity capacity_;
    Address address_;
    auto operator<=>(const LocalEndpoint&) const = default;
};

class GateActor {
public:
    /// Starts the actor on `executor`.
    /// \return its handle, or InvalidArgument as `Gate::create`.
    static absl::StatusOr<GateActor> create(const boost::asio::any_io_executor& executor, Clock clock, const std::vector<LocalEndpoint>& endpoints);

    /// Serves `request`; a full mailbox gives "not run". Cancelling the coroutine takes the request out of the queue; one
    /// that was handed over keeps its slot until the service instance is done with it.
    boost::asio::awaitable<ServiceAnswer> serve(ServiceRequest) const;
    /// Refuses everything new and returns when what was taken in has finished, or after `limit`.
    /// \return the number of requests that wait or run still.
    boost::asio::awaitable<size_t> drain(Duration limit) const;
    /// Load of one endpoint.
    boost::asio::awaitable<EndpointLoad> load(EndpointName) const;
    /// Ends the actor.
    void stop() const { mailbox_.close(); }

    /// A request with the way back to its sender.
    struct Serve {
        ServiceRequest request_;
        Reply<ServiceAnswer> reply_;
    };
    /// The sender of a request no longer waits. Lost if the mailbox is full; the deadline then frees the request.
    struct Cancel {
        RequestId id_;
    };
    /// The exchange with the service instance has ended. Never lost: the exchange waits for room in the mailbox, and
    /// there are at most as many exchanges as slots.
    struct ExchangeEnded {
        RequestId id_;
        RequestOutcome outcome_;
    };
    /// Time to check deadlines.
    struct Tick {
    };
    struct Drain {
        Duration limit_;
        Reply<size_t> left_;
    };
    /// The time that a drain may take is over.
    struct DrainEnded {
    };
    struct AskLoad {
        EndpointName endpoint_;
        Reply<EndpointLoad> reply_;
    };
    using Message = std::variant<Serve, Cancel, ExchangeEnded, Tick, Drain, DrainEnded, AskLoad>;

private:
    explicit GateActor(Mailbox<Message> mailbox)
        : mailbox_(std::move(mailbox))
    {
    }

    Mailbox<Message> mailbox_;
};

/// Offers the gate to entries under the name "admission".
void offerAdmission(rpc::Interfaces&, const boost::asio::any_io_executor& executor, GateActor);

} // namespace persimmondoor::admission
