#include "persimmondoor/routing/Claim.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::routing {

// FNV-1a, 64 bits: G. Fowler, L. C. Noll, K.-P. Vo, "The FNV Non-Cryptographic Hash Algorithm".
static uint64_t addToDigest(uint64_t digest, std::string_view bytes)
{
    constexpr uint64_t prime = 1099511628211ULL;
    for (char byte : bytes)
        digest = (digest ^ static_cast<uint8_t>(byte)) * prime;
    // Separates this part from the next one.
    return (digest ^ 0xFFU) * prime;
}

absl::StatusOr<ClaimRequest> makeClaimRequest(const admission::ServiceRequest& request, const std::string& key)
{
    constexpr uint64_t offset = 14695981039346656037ULL;
    if (absl::Status status = checkName(key); !status.ok())
        return absl::InvalidArgumentError(concat("Idempotency-Key: ", std::string(status.message())));
    uint64_t digest = addToDigest(addToDigest(addToDigest(offset, request.method_), request.target_), request.body_);
    return ClaimRequest { concat("claim/", request.service_.value(), "/", key), request.id_, digest };
}

bool isExpired(const ClaimRow& row, int64_t wall)
{
    return wall - row.writtenAt_ > std::chrono::duration_cast<std::chrono::milliseconds>(claimRetention).count();
}

ClaimVerdict evaluateClaim(const ClaimRequest& claim, const ClaimRow& row, store::RowVersion version, int64_t wall)
{
    if (row.claimant_ == claim.claimant_)
        return ClaimMade { version };
    if (isExpired(row, wall))
        return ClaimExpired { version };
    if (row.digest_ != claim.digest_)
        return ClaimRefused { NotRun { NotRunReason::BadRequest, "the Idempotency-Key was already used for a different request" } };
    switch (row.state_) {
    case ClaimState::AnswerKept:
        return ClaimRefused { row.answer_ };
    case ClaimState::AnswerNotKept:
        return ClaimRefused { Unknown { "a request with this Idempotency-Key has run; its answer was too large to keep" } };
    case ClaimState::Open:
        break;
    }
    return ClaimRefused { Unknown { "a request with this Idempotency-Key was accepted; its outcome is unknown" } };
}

static size_t sizeOf(const Done& answer)
{
    size_t size = answer.body_.size();
    for (const HeaderField& field : answer.headers_)
        size += field.name_.size() + field.value_.size();
    return size;
}

ClaimRow withAnswer(const ClaimRequest& claim, const Done& answer, int64_t wall)
{
    if (sizeOf(answer) > maximumKeptAnswerBytes)
        return { claim.claimant_, claim.digest_, wall, ClaimState::AnswerNotKept, {} };
    return { claim.claimant_, claim.digest_, wall, ClaimState::AnswerKept, answer };
}

} // namespace persimmondoor::routing
