// JSON encoding of the rows of claims.
#pragma once

#include "persimmondoor/routing/Claim.h"

namespace persimmondoor::routing {

std::string encodeClaim(const ClaimRow&);
// Returns DataLoss for a text that is not the row of a claim.
absl::StatusOr<ClaimRow> decodeClaim(const std::string& text);

} // namespace persimmondoor::routing
