/// Decides which job partitions this process owns.
///
/// Rows: `partition/<number>` names the owner (process, incarnation, address), the epoch and the renewal horizon, and
/// is written only when the owner changes, so that its version fences the owner's journal. `owner/<process>` is the
/// heartbeat of one owner, for all its partitions. A partition whose owner's heartbeat stayed unchanged for a whole
/// lease, by the watcher's own clock and with the store up all the while, may be taken over; the transaction of the
/// takeover has conditions on both rows and erases the heartbeat.
///
/// Source: Gray, Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency", 1989.
///
/// \code
/// Ownership state = *Ownership::create(settings);
/// OwnershipDecision decision = decide(state, StepDue {}, now);
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/platform/Table.h"

#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace persimmondoor::leases {

inline constexpr uint32_t defaultPartitionCount = 64;

struct OwnershipSettings {
    ProcessName process_;
    /// Life of this process; rises with each restart.
    Incarnation incarnation_;
    Address address_;
    uint32_t partitionCount_ { defaultPartitionCount };
    /// Time without a heartbeat after which an owner is deposed.
    Duration lease_ { std::chrono::seconds(10) };
    /// Time between two heartbeats, and between two looks at the rows.
    Duration interval_ { std::chrono::seconds(3) };
    /// Time for which an owner may renew task leases without a heartbeat.
    Duration horizon_ { std::chrono::minutes(15) };
    /// Processes that may want partitions; spreads the first heartbeats of a large cell over time.
    uint32_t candidates_ { 1 };
    bool operator==(const OwnershipSettings&) const = default;
};

/// This process owns the partition now. A journal transaction carries a condition that the row `partitionKey()` has
/// `version_`.
struct Gained {
    PartitionNumber partition_;
    Epoch epoch_;
    platform::RowVersion version_;
    /// For how long, from now on, tasks on a worker that can't be reached may still run under an earlier owner's
    /// renewals. Zero if there was no earlier owner.
    Duration horizon_ { 0 };
    auto operator<=>(const Gained&) const = default;
};

/// This process must not act for the partition any longer.
struct Lost {
    PartitionNumber partition_;
    auto operator<=>(const Lost&) const = default;
};

/// A heartbeat was written, for all partitions owned. Until `leaseUntil_` nobody else can own them; until
/// `horizonUntil_` task leases may be renewed, though a later owner's epoch may be refused by agents.
struct Extended {
    Instant leaseUntil_;
    Instant horizonUntil_;
    auto operator<=>(const Extended&) const = default;
};

using OwnershipChange = std::variant<Gained, Lost, Extended>;

/// Key of the row that changes only with the owner of the partition.
std::string partitionKey(PartitionNumber);

/// What a partition's row says.
struct PartitionRow {
    /// Empty if the partition was given back.
    ProcessName owner_;
    Incarnation incarnation_;
    Address address_;
    Epoch epoch_;
    Duration horizon_ { 0 };
    auto operator<=>(const PartitionRow&) const = default;
};

std::string encode(const PartitionRow&);
/// \return the row, or InvalidArgument.
absl::StatusOr<PartitionRow> decodePartitionRow(std::string_view);

/// Time for the next step.
struct StepDue {
    auto operator<=>(const StepDue&) const = default;
};

/// The rows were read.
struct RowsRead {
    std::vector<platform::Row> partitions_;
    std::vector<platform::Row> owners_;
    auto operator<=>(const RowsRead&) const = default;
};

/// The rows could not be read.
struct ReadFailed {
    auto operator<=>(const ReadFailed&) const = default;
};

/// A heartbeat's transaction has ended.
struct HeartbeatEnded {
    platform::CommitOutcome outcome_;
    auto operator<=>(const HeartbeatEnded&) const = default;
};

/// A claim's transaction has ended.
struct ClaimEnded {
    PartitionNumber partition_;
    platform::CommitOutcome outcome_;
    auto operator<=>(const ClaimEnded&) const = default;
};

/// Give every partition back.
struct GiveBackAsked {
    auto operator<=>(const GiveBackAsked&) const = default;
};

using OwnershipMessage = std::variant<StepDue, RowsRead, ReadFailed, HeartbeatEnded, ClaimEnded, GiveBackAsked>;

/// Write the heartbeat; answer with HeartbeatEnded.
struct WriteHeartbeat {
    platform::Transaction transaction_;
    auto operator<=>(const WriteHeartbeat&) const = default;
};

/// Read the rows of all partitions and owners; answer with RowsRead or ReadFailed.
struct ReadRows {
    auto operator<=>(const ReadRows&) const = default;
};

/// Claim a partition; answer with ClaimEnded.
struct Claim {
    PartitionNumber partition_;
    platform::Transaction transaction_;
    auto operator<=>(const Claim&) const = default;
};

/// Write rows of partitions that are given back. Its outcome is seen at the next read.
struct GiveBack {
    platform::Transaction transaction_;
    auto operator<=>(const GiveBack&) const = default;
};

/// Tell the listener.
struct Tell {
    OwnershipChange change_;
    auto operator<=>(const Tell&) const = default;
};

using OwnershipAction = std::variant<WriteHeartbeat, ReadRows, Claim, GiveBack, Tell>;

/// A partition that this process owns.
struct Holding {
    Epoch epoch_;
    platform::RowVersion version_;
    auto operator<=>(const Holding&) const = default;
};

/// What was last seen of another owner's heartbeat.
struct Watched {
    platform::RowVersion version_;
    Incarnation incarnation_;
    /// When this version was first seen, by this process's clock.
    Instant since_;
    auto operator<=>(const Watched&) const = default;
};

class Ownership {
public:
    /// \return the state of a process that owns nothing, or InvalidArgument for settings that can't work: no
    /// partition, an interval of over a third of the lease, a horizon shorter than the lease.
    static absl::StatusOr<Ownership> create(const OwnershipSettings&);

    const std::map<PartitionNumber, Holding>& holdings() const { return holdings_; }
    const OwnershipSettings& settings() const { return settings_; }
    /// True while no other process can have become owner of what this one holds.
    bool isLeaseValid(Instant now) const { return leaseUntil_ && now < *leaseUntil_; }
    bool operator==(const Ownership&) const = default;

private:
    friend struct OwnershipRules;
    explicit Ownership(OwnershipSettings settings)
        : settings_(std::move(settings))
    {
    }

    OwnershipSettings settings_;
    std::map<PartitionNumber, Holding> holdings_;
    std::map<ProcessName, Watched> owners_;
    /// Number of the latest heartbeat sent and when; its version if its reply came.
    uint64_t heartbeat_ { 0 };
    std::optional<Instant> heartbeatSent_;
    platform::RowVersion heartbeatVersion_;
    std::optional<Instant> leaseUntil_;
    std::optional<Instant> horizonUntil_;
    bool registered_ { false };
    bool leaving_ { false };
    uint64_t steps_ { 0 };
    uint64_t idleSteps_ { 0 };
};

struct OwnershipDecision {
    Ownership state_;
    std::vector<OwnershipAction> actions_;
    bool operator==(const OwnershipDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
OwnershipDecision decide(Ownership state, const OwnershipMessage& message, Instant now);

} // namespace persimmondoor::leases
