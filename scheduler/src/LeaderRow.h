// The row that names the owner of the queues, and the row that chains the owner's writes.
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/workflow/Exchange.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>

namespace persimmondoor::scheduler {

inline constexpr std::string_view leaderRow = "leader/leader";
// Rewritten by each of the owner's transactions and a condition of the next: a transaction without a reply that the
// store carries out later finds the chain gone on.
inline constexpr std::string_view chainRow = "chain/chain";
// What the owner has learnt of its tasks.
inline constexpr std::string_view estimatesRow = "learnt/interference";
inline constexpr std::string_view recordTable = "jobs";
inline constexpr std::string_view progressTable = "progress";

struct LeaderClaim {
    workflow::LeaderEpoch epoch_;
    // Nothing once the leader has resigned.
    std::optional<Address> address_;
    // Tells the claims of two lives of a process apart.
    uint64_t nonce_ { 0 };
    auto operator<=>(const LeaderClaim&) const = default;
};

std::string encodeClaim(const LeaderClaim&);
// The claim, or InvalidArgument.
absl::StatusOr<LeaderClaim> decodeClaim(std::string_view);

// Value of the chain's row for one transaction.
std::string chainValue(workflow::LeaderEpoch, uint64_t transaction);

std::string recordRow(const JobId&);
std::string progressRow(const JobId&);

} // namespace persimmondoor::scheduler
