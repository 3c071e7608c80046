// Derives from one read of the rows which owners are live, which partitions are free, and which to claim or release.
#pragma once

#include "../Rows.h"

namespace persimmondoor::leases {

// A partition as of the latest read. The row has version 0 if the partition was never owned.
struct PartitionView {
    PartitionRow row_;
    store::RowVersion version_;
    bool isFree_ { false };
};

// All partitions and owners as of the latest read, as one process sees them.
struct OwnershipView {
    std::map<PartitionNumber, PartitionView> partitions_;
    // Heartbeats of all processes, including this one.
    std::map<ProcessName, OwnerRow> heartbeats_;
    std::map<ProcessName, store::RowVersion> heartbeatVersions_;
    // Number of partitions of each live owner, including this process if it is registered.
    std::map<ProcessName, size_t> heldCounts_;
    size_t freeCount_ { 0 };
};

struct BalanceRules {
    static OwnershipView makeView(const Ownership&, const RowsRead&, Instant now);
    // True if this process should start to write heartbeats.
    static bool wantsToRegister(const Ownership&, const OwnershipView&);
    // True if more processes are registered than there are partitions, and this one has held none for several reads.
    static bool isSuperfluous(const Ownership&, const OwnershipView&);
    // Returns the partitions to claim now, in order of preference.
    static std::vector<PartitionNumber> selectForClaim(const Ownership&, const OwnershipView&);
    // Returns the partitions to release now, so that other processes get their share.
    static std::vector<PartitionNumber> selectForRelease(const Ownership&, const OwnershipView&);

private:
    static bool isLive(const Ownership&, const OwnershipView&, const PartitionRow&);
    static size_t fairShare(const Ownership&, const OwnershipView&);
};

} // namespace persimmondoor::leases
