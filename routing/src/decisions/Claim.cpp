#include "persimmondoor/routing/Claim.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::routing {

// FNV-1a, 64 bits: G. Fowler, L. C. Noll, K.-P. Vo, "The FNV Non-Cryptographic Hash Algorithm".
static uint64_t addToDigest(uint64_t digest, std::string_view bytes)
{
    constexpr uint64_t prime = 1099511628211ULL;
    for (char byte : bytes)
        digest = (digest ^ static_cast<uint8_t>(byte)) * prime;
    // Separates the parts.
    return (digest ^ 0xFFU) * prime;
}

absl::StatusOr<ClaimOrder> orderClaim(const admission::ServiceRequest& request, const std::string& key)
{
    constexpr uint64_t offset = 14695981039346656037ULL;
    if (absl::Status status = checkName(key); !status.ok())
        return absl::InvalidArgumentError(concat("Idempotency-Key: ", std::string(status.message())));
    uint64_t digest = addToDigest(addToDigest(addToDigest(offset, request.method_), request.target_), request.body_);
    return ClaimOrder { concat("claim/", request.service_.value(), "/", key), request.id_, digest };
}

bool isExpired(const ClaimRow& row, int64_t wall)
{
    return wall - row.claimedAt_ > std::chrono::duration_cast<std::chrono::milliseconds>(claimRetention).count();
}

ClaimVerdict judgeClaim(const ClaimOrder& order, const ClaimRow& row, store::RowVersion version, int64_t wall)
{
    if (row.claimant_ == order.claimant_)
        return ClaimMade { version };
    if (isExpired(row, wall))
        return ClaimExpired { version };
    if (row.digest_ != order.digest_)
        return ClaimRefused { NotRun { NotRunReason::BadRequest, "the Idempotency-Key was used for another request" } };
    switch (row.state_) {
    case ClaimState::Kept:
        return ClaimRefused { row.answer_ };
    case ClaimState::NotKept:
        return ClaimRefused { Unknown { "a request with this Idempotency-Key was done; its answer was too large to keep" } };
    case ClaimState::Open:
        break;
    }
    return ClaimRefused { Unknown { "a request with this Idempotency-Key was taken in; its result is not known" } };
}

static size_t sizeOf(const Done& answer)
{
    size_t size = answer.body_.size();
    for (const HeaderField& field : answer.headers_)
        size += field.name_.size() + field.value_.size();
    return size;
}

ClaimRow withAnswer(const ClaimOrder& order, const Done& answer, int64_t wall)
{
    if (sizeOf(answer) > keptAnswerBytes)
        return { order.claimant_, order.digest_, wall, ClaimState::NotKept, {} };
    return { order.claimant_, order.digest_, wall, ClaimState::Kept, answer };
}

} // namespace persimmondoor::routing
