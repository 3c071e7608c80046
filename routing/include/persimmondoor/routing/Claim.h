/// Claims on idempotency keys. A row `claim/<service>/<key>` in the table service names the request that runs under the
/// key, so that a caller's repeat, through any entry, does not run the request again. This file holds the decisions;
/// `ClaimsActor` reads and writes the rows.
///
/// \code
/// ClaimVerdict verdict = evaluateClaim(claim, row, version, wallMilliseconds());
/// \endcode
#pragma once

#include "persimmondoor/admission/Request.h"
#include "persimmondoor/store/Table.h"

#include <absl/status/statusor.h>

namespace persimmondoor::routing {

/// Time for which a claim is kept after its last write; afterwards the key may be used for another request.
inline constexpr Duration claimRetention = std::chrono::hours(24);
/// Largest answer that is kept for a repeat, in bytes of body and header fields.
inline constexpr size_t maximumKeptAnswerBytes = 4096;

/// A request that claims a key.
struct ClaimRequest {
    /// Key of the claim's row in the table service.
    std::string key_;
    RequestId claimant_;
    /// Digest of method, target and body. Detects a key that is used again for a different request.
    uint64_t digest_ { 0 };
    auto operator<=>(const ClaimRequest&) const = default;
};

enum class ClaimState {
    /// Claimed: the request is about to be sent, in flight, or its outcome is unknown.
    Open,
    /// Done; the row holds the answer.
    AnswerKept,
    /// Done; the answer was too large to keep.
    AnswerNotKept,
};

/// The value of a claim's row.
struct ClaimRow {
    RequestId claimant_;
    uint64_t digest_ { 0 };
    /// Wall-clock time of the last write, in milliseconds since 1970.
    int64_t writtenAt_ { 0 };
    ClaimState state_ { ClaimState::Open };
    Done answer_;
    bool operator==(const ClaimRow&) const = default;
};

/// The claimant holds the key; its request may be sent.
struct ClaimMade {
    store::RowVersion version_;
    bool operator==(const ClaimMade&) const = default;
};

/// The key is free because its row is older than the retention; it can be claimed on condition of this version.
struct ClaimExpired {
    store::RowVersion version_;
    bool operator==(const ClaimExpired&) const = default;
};

/// The request must not be sent; this is its outcome.
struct ClaimRefused {
    RequestOutcome outcome_;
    bool operator==(const ClaimRefused&) const = default;
};

using ClaimVerdict = std::variant<ClaimMade, ClaimExpired, ClaimRefused>;

/// Builds the claim of a request that carries `key`.
/// \return the claim, or InvalidArgument if the key is not a valid name.
absl::StatusOr<ClaimRequest> makeClaimRequest(const admission::ServiceRequest&, const std::string& key);

/// Decides what an existing row means for `claim` at wall-clock time `wall`, in milliseconds since 1970.
ClaimVerdict evaluateClaim(const ClaimRequest& claim, const ClaimRow& row, store::RowVersion version, int64_t wall);

/// \return the row after the claimant's request was done with `answer`.
ClaimRow withAnswer(const ClaimRequest& claim, const Done& answer, int64_t wall);

/// True if the row is older than the retention.
bool isExpired(const ClaimRow&, int64_t wall);

} // namespace persimmondoor::routing
