/// Claims on idempotency keys: a row `claim/<service>/<key>` in the table service says which request runs under the
/// key, so that a caller's second try, through any entry, does not run it again. Decisions only.
///
/// \code
/// ClaimVerdict verdict = judgeClaim(order, rowFound, version, wallMilliseconds());
/// \endcode
#pragma once

#include "persimmondoor/admission/Request.h"
#include "persimmondoor/store/Table.h"

#include <absl/status/statusor.h>

namespace persimmondoor::routing {

/// Time for which a key is remembered; afterwards it may be used for another request.
inline constexpr Duration claimRetention = std::chrono::hours(24);
/// Largest answer that is kept for a repeat, counting body and header fields.
inline constexpr size_t keptAnswerBytes = 4096;

/// A request that wants to run under a key.
struct ClaimOrder {
    /// Of the row.
    std::string key_;
    RequestId claimant_;
    /// Of method, target and body, to notice a key that is used for another request.
    uint64_t digest_ { 0 };
    auto operator<=>(const ClaimOrder&) const = default;
};

enum class ClaimState {
    /// Claimed; handed over or about to be.
    Open,
    /// Done, and the answer is kept.
    Kept,
    /// Done, and the answer was too large to keep.
    NotKept,
};

/// What a claim's row says.
struct ClaimRow {
    RequestId claimant_;
    uint64_t digest_ { 0 };
    /// Wall-clock time in milliseconds since 1970.
    int64_t claimedAt_ { 0 };
    ClaimState state_ { ClaimState::Open };
    Done answer_;
    bool operator==(const ClaimRow&) const = default;
};

/// The key is the claimant's; the request may be handed over.
struct ClaimMade {
    store::RowVersion version_;
    bool operator==(const ClaimMade&) const = default;
};

/// The key is free since its row is older than the retention: claim it on this version.
struct ClaimExpired {
    store::RowVersion version_;
    bool operator==(const ClaimExpired&) const = default;
};

/// The request must not be handed over; this is its outcome.
struct ClaimRefused {
    RequestOutcome outcome_;
    bool operator==(const ClaimRefused&) const = default;
};

using ClaimVerdict = std::variant<ClaimMade, ClaimExpired, ClaimRefused>;

/// Builds the order of a request that carries `key`.
/// \return the order, or InvalidArgument if the key is not a valid name.
absl::StatusOr<ClaimOrder> orderClaim(const admission::ServiceRequest&, const std::string& key);

/// Decides what an existing row means for `order` at wall-clock time `wall`, in milliseconds since 1970.
ClaimVerdict judgeClaim(const ClaimOrder& order, const ClaimRow& row, store::RowVersion version, int64_t wall);

/// The row after the claimant's request was done with `answer`.
ClaimRow withAnswer(const ClaimOrder& order, const Done& answer, int64_t wall);

/// True if the row is older than the retention.
bool isExpired(const ClaimRow&, int64_t wall);

} // namespace persimmondoor::routing
