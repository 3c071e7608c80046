// Encodes the rows of claims as JSON.
#pragma once

#include "persimmondoor/routing/Claim.h"

namespace persimmondoor::routing {

std::string encodeClaim(const ClaimRow&);
// Returns DataLoss for a text that is not a claim's row.
absl::StatusOr<ClaimRow> decodeClaim(const std::string& text);

} // namespace persimmondoor::routing
