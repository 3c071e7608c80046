/// The actor of an entry that claims idempotency keys in the table service, many in one transaction.
///
/// \code
/// ClaimsActor claims(executor, clock, table);
/// RequestOutcome outcome = co_await routeClaimed(claims, router, request, "draw-4711");
/// \endcode
#pragma once

#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/routing/Claim.h"
#include "persimmondoor/routing/RouterActor.h"
#include "persimmondoor/store/TableClient.h"

namespace persimmondoor::routing {

/// Least time between the starts of two transactions of claims, so that an entry asks at most 50 a second of the store.
inline constexpr Duration claimBatchInterval = std::chrono::milliseconds(20);
/// Most claims in one transaction.
inline constexpr size_t claimsPerBatch = 128;
/// Longest wait for a claim of a request that sets no deadline.
inline constexpr Duration claimTimeout = std::chrono::seconds(2);

class ClaimsActor {
public:
    /// Starts the actor on `executor`.
    ClaimsActor(const boost::asio::any_io_executor& executor, Clock clock, store::TableClient table);

    /// Claims a key within `limit`.
    /// \return ClaimMade, or ClaimRefused: with the earlier request's answer, or "not run" if the store cannot be reached.
    boost::asio::awaitable<ClaimVerdict> make(ClaimOrder, Duration limit) const;
    /// Keeps the answer for repeats. Not waited for: without it a repeat is answered "unknown".
    boost::asio::awaitable<void> keep(ClaimOrder, store::RowVersion, Done answer) const;
    /// Gives the key back, as the request was not run, and waits until that is written or has failed.
    boost::asio::awaitable<void> release(ClaimOrder, store::RowVersion) const;
    /// Ends the actor.
    void stop() const { mailbox_.close(); }

    enum class Kind { Make,
        Keep,
        Release };
    /// A change of one row.
    struct Change {
        Kind kind_ { Kind::Make };
        ClaimOrder order_;
        store::RowVersion expected_;
        std::string value_;
        Instant deadline_;
        Reply<ClaimVerdict> reply_;
    };
    struct BatchEnded {
    };
    /// Time to erase expired rows, from those after `after_` on.
    struct SweepDue {
        std::string after_;
    };
    using Message = std::variant<Change, BatchEnded, SweepDue>;

private:
    boost::asio::awaitable<ClaimVerdict> change(Change) const;

    Clock clock_;
    Mailbox<Message> mailbox_;
};

/// Routes `request` once under `key`: claims the key, sends the request, keeps the answer or gives the key back. Goes on
/// when its caller leaves, so that a repeat finds the answer.
boost::asio::awaitable<RequestOutcome> routeClaimed(ClaimsActor, RouterActor, admission::ServiceRequest request, std::string key);

} // namespace persimmondoor::routing
