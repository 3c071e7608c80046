// The row that names the leader of the queues, and the row that chains the leader's writes.
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/workflow/Exchange.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>

namespace persimmondoor::scheduler {

inline constexpr std::string_view leaderRow = "leader/leader";
// Rewritten by each transaction of the leader, and its version is a condition of the next: a transaction without a reply
// that reaches the store after a later one has been carried out is refused.
inline constexpr std::string_view chainRow = "chain/chain";
// The leader's interference estimates.
inline constexpr std::string_view estimatesRow = "learnt/interference";
inline constexpr std::string_view recordTable = "jobs";
inline constexpr std::string_view progressTable = "progress";
// The cancellations that have arrived before the submission of their job; rows without a value.
inline constexpr std::string_view cancellationTable = "cancelled";

struct LeaderClaim {
    workflow::LeaderEpoch epoch_;
    // Absent once the leader has resigned.
    std::optional<Address> address_;
    // Distinguishes claims of the same epoch and address that two incarnations of a process make.
    uint64_t nonce_ { 0 };
    auto operator<=>(const LeaderClaim&) const = default;
};

std::string encodeClaim(const LeaderClaim&);
// Returns the claim, or InvalidArgument.
absl::StatusOr<LeaderClaim> decodeClaim(std::string_view);

std::string recordRow(const JobId&);
std::string progressRow(const JobId&);
std::string cancellationRow(const JobId&);

} // namespace persimmondoor::scheduler
