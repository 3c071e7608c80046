// What a read of the rows means: who lives, which partitions are free, and which to claim or give back.
#pragma once

#include "../Rows.h"

namespace persimmondoor::leases {

// A partition as it was read; the row has version 0 if it was never owned.
struct SeenPartition {
    PartitionRow row_;
    store::RowVersion version_;
    bool free_ { false };
};

// The rows of one read, from the point of view of one process.
struct Sight {
    std::map<PartitionNumber, SeenPartition> partitions_;
    // Heartbeats of all processes, this one among them.
    std::map<ProcessName, OwnerRow> heartbeats_;
    std::map<ProcessName, store::RowVersion> heartbeatVersions_;
    // Number of partitions of each live owner, this one among them if it is registered.
    std::map<ProcessName, size_t> counts_;
    size_t freeCount_ { 0 };
};

struct BalanceRules {
    static Sight look(const Ownership&, const RowsRead&, Instant now);
    // True if this process should begin to write heartbeats.
    static bool wantsToRegister(const Ownership&, const Sight&);
    // True if more processes are registered than there are partitions, and this one has been idle for long.
    static bool isSuperfluous(const Ownership&, const Sight&);
    // The partitions to claim now, in the order of preference.
    static std::vector<PartitionNumber> toClaim(const Ownership&, const Sight&);
    // The partitions to give back now, so that others get their share.
    static std::vector<PartitionNumber> toGiveBack(const Ownership&, const Sight&);

private:
    static bool isLive(const Ownership&, const Sight&, const PartitionRow&);
    static size_t fairShare(const Ownership&, const Sight&);
};

} // namespace persimmondoor::leases
