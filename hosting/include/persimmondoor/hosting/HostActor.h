/// The actor in an agent that owns the ledger of its worker's tasks and calls the platform's worker interface.
///
/// \code
/// HostActor host = HostActor::create(executor, clock, settings, platform.workers_);
/// offerHosting(interfaces, executor, host);
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/hosting/Host.h"
#include "persimmondoor/rpc/Server.h"
#include "persimmondoor/store/WorkerClient.h"

#include <absl/status/statusor.h>

namespace persimmondoor::hosting {

class HostActor {
public:
    /// Starts the actor on `executor`. It accepts no orders until the worker has reported its tasks.
    static HostActor create(const boost::asio::any_io_executor& executor, Clock clock, HostSettings settings, store::WorkerClient workers);

    // Each returns ResourceExhausted if the mailbox is full or closed; the request then has no effect.
    boost::asio::awaitable<absl::StatusOr<HostOffer>> probe(ProbeOrder) const;
    boost::asio::awaitable<absl::StatusOr<StartOutcome>> start(StartOrder) const;
    boost::asio::awaitable<absl::StatusOr<StopOutcome>> stop(StopOrder) const;
    boost::asio::awaitable<absl::StatusOr<RenewalOutcome>> renew(Renewal) const;

    /// Updates the pressure that offers report. Dropped if the mailbox is full, as the next update replaces it.
    void setPressure(PressureChanged pressure) const { mailbox_.tryPost(Notification { pressure }); }
    /// Refuses new starts and returns once no launch is in flight. Tasks continue under their leases. Returns at once,
    /// without effect, if the mailbox is full or closed.
    boost::asio::awaitable<void> drain() const;
    /// Closes the mailbox, which ends the actor.
    void end() const { mailbox_.close(); }

    /// A request and the reply that carries its answer.
    template <typename Request, typename Answer>
    struct Call {
        Request request_;
        Reply<Answer> reply_;
    };
    /// A message without an answer.
    struct Notification {
        HostMessage message_;
    };
    struct Drain {
        Reply<bool> drained_;
    };
    using Message = std::variant<Call<ProbeOrder, HostOffer>, Call<StartOrder, StartOutcome>, Call<StopOrder, StopOutcome>, Call<Renewal, RenewalOutcome>, Notification, Drain>;

private:
    explicit HostActor(Mailbox<Message> mailbox)
        : mailbox_(std::move(mailbox))
    {
    }

    Mailbox<Message> mailbox_;
};

/// Serves the actor to owners of partitions as the interface "hosting".
void offerHosting(rpc::Interfaces&, const boost::asio::any_io_executor& executor, HostActor);

} // namespace persimmondoor::hosting
