/// The actor of an agent that owns the ledger of its worker's tasks and calls the platform's worker interface.
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
    /// Starts the actor on `executor`. Until the worker has reported what it runs, nothing is accepted.
    static HostActor create(const boost::asio::any_io_executor& executor, Clock clock, HostSettings settings, store::WorkerClient workers);

    // Each returns ResourceExhausted if the mailbox is full; nothing was done then.
    boost::asio::awaitable<absl::StatusOr<HostOffer>> probe(ProbeOrder) const;
    boost::asio::awaitable<absl::StatusOr<StartOutcome>> start(StartOrder) const;
    boost::asio::awaitable<absl::StatusOr<StopOutcome>> stop(StopOrder) const;
    boost::asio::awaitable<absl::StatusOr<RenewalOutcome>> renew(Renewal) const;

    /// Tells the actor how disturbed the host is; dropped if the mailbox is full, as the next one replaces it.
    void setPressure(PressureChanged pressure) const { mailbox_.tryPost(Notification { pressure }); }
    /// Refuses new starts and returns when no launch is under way. Tasks run on under their leases.
    boost::asio::awaitable<void> drain() const;
    /// Ends the actor.
    void end() const { mailbox_.close(); }

    template <typename Request, typename Answer>
    struct Asked {
        Request request_;
        Reply<Answer> reply_;
    };
    /// A message that nobody waits for an answer to.
    struct Notification {
        HostMessage message_;
    };
    struct Drain {
        Reply<bool> drained_;
    };
    using Message = std::variant<Asked<ProbeOrder, HostOffer>, Asked<StartOrder, StartOutcome>, Asked<StopOrder, StopOutcome>, Asked<Renewal, RenewalOutcome>, Notification, Drain>;

private:
    explicit HostActor(Mailbox<Message> mailbox)
        : mailbox_(std::move(mailbox))
    {
    }

    Mailbox<Message> mailbox_;
};

/// Offers the actor to owners of partitions under the name "hosting".
void offerHosting(rpc::Interfaces&, const boost::asio::any_io_executor& executor, HostActor);

} // namespace persimmondoor::hosting
