// The bounds on task leases in the store: the chain row states the bound on all leases, and a row of its own those of silent
// workers. Times are readings of the store's clock, in milliseconds.
#pragma once

#include "StoreClock.h"
#include "persimmondoor/workflow/Leader.h"

#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmondoor::scheduler {

inline constexpr std::string_view silentWorkersRow = "leases/silent";

// Bound on the entries of the row, which holds at most 64 KiB. Workers beyond it have the bound on all leases.
inline constexpr size_t maximumSilentWorkers = 300;

struct SilentWorkers {
    std::map<workflow::WorkerIncarnation, int64_t> leaseEndsMs_;
    bool operator==(const SilentWorkers&) const = default;
};

// Value that a transaction writes to the chain row.
struct ChainEntry {
    workflow::LeaderEpoch epoch_;
    uint64_t transaction_ { 0 };
    // Bound on all leases; 0 if the store's clock was not known; empty if an earlier version of the program wrote the row.
    std::optional<int64_t> leaseEndMs_;
    auto operator<=>(const ChainEntry&) const = default;
};

std::string encodeChain(const ChainEntry&);
// Returns the entry, or InvalidArgument.
absl::StatusOr<ChainEntry> decodeChain(std::string_view);

std::string encodeSilentWorkers(const SilentWorkers&);
// Returns the workers, or InvalidArgument.
absl::StatusOr<SilentWorkers> decodeSilentWorkers(std::string_view);

// The bounds that the rows of the predecessor state, by the clock of this process. A bound that is absent or unreadable is
// replaced by the longest one that the predecessor may have granted.
// \param chain, silentWorkers the values of the rows; empty if they are absent.
// \param clock a reading of the store's clock after the claim.
// \param claimWonAt when the predecessor could write no more.
workflow::LeaseBounds restoreLeaseBounds(const workflow::Tuning&, std::string_view chain, std::string_view silentWorkers, const StoreClock& clock, Instant claimWonAt);

} // namespace persimmondoor::scheduler
