/// The actor that claims idempotency keys in the table service for an entry, many in one transaction.
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

/// Minimum time between the starts of two batches of claims. An entry starts at most 50 batches a second, which bounds
/// its load on the table service.
inline constexpr Duration claimBatchInterval = std::chrono::milliseconds(20);
/// Maximum number of claims in one transaction.
inline constexpr size_t claimsPerBatch = 128;
/// Time-out of a claim whose request sets no deadline, and of the release of a key.
inline constexpr Duration claimTimeout = std::chrono::seconds(2);

class ClaimsActor {
public:
    /// Starts the actor on `executor`.
    ClaimsActor(const boost::asio::any_io_executor& executor, Clock clock, store::TableClient table);

    /// Claims a key within `limit`.
    /// \return ClaimMade; or ClaimRefused with the outcome for the caller, such as the answer of the earlier request, or
    /// "not run" if the store could not be reached in time.
    boost::asio::awaitable<ClaimVerdict> claim(ClaimRequest, Duration limit) const;
    /// Keeps the answer for repeats. Returns without waiting for the write: if the write fails, a repeat is answered
    /// "unknown".
    boost::asio::awaitable<void> keepAnswer(ClaimRequest, store::RowVersion, Done answer) const;
    /// Releases the key of a request that was not run, and waits until the release is written or has failed.
    boost::asio::awaitable<void> release(ClaimRequest, store::RowVersion) const;
    /// Ends the actor.
    void stop() const { mailbox_.close(); }

    enum class Kind { Claim,
        KeepAnswer,
        Release };
    /// A change of one row.
    struct Change {
        Kind kind_ { Kind::Claim };
        ClaimRequest claim_;
        store::RowVersion expected_;
        std::string value_;
        Instant deadline_;
        Reply<ClaimVerdict> reply_;
    };
    struct BatchEnded {
    };
    /// The next rows, in key order after `after_`, are due for a check for expired claims.
    struct SweepDue {
        std::string after_;
    };
    using Message = std::variant<Change, BatchEnded, SweepDue>;

private:
    boost::asio::awaitable<ClaimVerdict> submit(Change) const;

    Clock clock_;
    Mailbox<Message> mailbox_;
};

/// Routes `request` once under `key`: claims the key, sends the request, then keeps the answer or releases the key.
/// Continues when the caller disconnects, so that a repeat finds the answer.
boost::asio::awaitable<RequestOutcome> routeClaimed(ClaimsActor, RouterActor, admission::ServiceRequest request, std::string key);

} // namespace persimmondoor::routing
