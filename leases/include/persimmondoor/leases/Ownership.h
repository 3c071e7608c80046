/// Decides which job partitions this process claims, owns and releases.
///
/// Two kinds of rows in the store hold the state of ownership:
/// - `partition/<number>` names the owner (process, incarnation, address), the epoch and the renewal horizon. The row
///   is written only when the owner changes, so that its version serves as the fencing token of the owner's journal.
/// - `owner/<process>` is the heartbeat of one owner, for all its partitions.
///
/// A partition may be taken over when its owner's heartbeat has not changed for the time of a lease, measured by the clock of
/// the observing process, while the store was readable throughout. The transaction of the takeover has conditions on
/// both rows and erases the heartbeat.
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
#include "persimmondoor/store/Table.h"

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
    /// Increases with each restart of this process.
    Incarnation incarnation_;
    Address address_;
    uint32_t partitionCount_ { defaultPartitionCount };
    /// Time without a heartbeat after which other processes may take over an owner's partitions.
    Duration lease_ { std::chrono::seconds(10) };
    /// Time between two heartbeats, and between two reads of the rows.
    Duration interval_ { std::chrono::seconds(3) };
    /// Time after its last heartbeat for which an owner may renew task leases.
    Duration horizon_ { std::chrono::minutes(15) };
    /// Number of processes that may claim partitions. The larger it is, the less often a process without a partition
    /// reads the rows.
    uint32_t candidates_ { 1 };
    bool operator==(const OwnershipSettings&) const = default;

    /// Returns the settings for a cell of `processes` processes. Small cells get a shorter lease and interval:
    /// each heartbeat is a store write, so the write rate grows with the number of processes.
    static OwnershipSettings forCell(ProcessName process, Incarnation incarnation, Address address, uint32_t processes);
};

/// Upper bound of the reads per second by all processes without a partition together, while no partition is free or
/// about to become free.
inline constexpr int64_t idleReadsPerSecond = 100;
/// An owner does not use the last 1/`clockAllowanceDivisor` of its lease and horizon, because the clocks of hosts run
/// at different rates.
inline constexpr int64_t clockAllowanceDivisor = 10;
/// Upper bound of the partitions claimed in one step.
inline constexpr size_t claimsPerStep = 32;

/// This process became the owner of the partition. Every journal transaction must carry the condition that the row
/// `partitionKey()` has `version_`.
struct Gained {
    PartitionNumber partition_;
    Epoch epoch_;
    store::RowVersion version_;
    /// For how long, from now on, an earlier owner may still renew leases of tasks on a worker that this owner cannot
    /// reach. Zero if there was no earlier owner. An owner that releases the partition passes on only what is left of
    /// the horizon that it inherited itself.
    Duration horizon_ { 0 };
    auto operator<=>(const Gained&) const = default;
};

/// This process no longer owns the partition and must not act for it.
struct Lost {
    PartitionNumber partition_;
    auto operator<=>(const Lost&) const = default;
};

/// A heartbeat was written, which extends the lease of all owned partitions. Until `leaseUntil_` no other process can
/// own them. Until `horizonUntil_` this process may renew task leases, but agents refuse the renewals once they know
/// the epoch of a later owner.
struct Extended {
    Instant leaseUntil_;
    Instant horizonUntil_;
    auto operator<=>(const Extended&) const = default;
};

using OwnershipChange = std::variant<Gained, Lost, Extended>;

/// Key of the row that changes only with the owner of the partition.
std::string partitionKey(PartitionNumber);

/// Content of the row of a partition.
struct PartitionRow {
    /// Empty if the partition was released.
    ProcessName owner_;
    Incarnation incarnation_;
    Address address_;
    Epoch epoch_;
    /// How long after its last heartbeat the owner may renew task leases.
    Duration horizon_ { 0 };
    /// How long after the start of the epoch an earlier owner may still renew task leases.
    Duration inheritedHorizon_ { 0 };
    auto operator<=>(const PartitionRow&) const = default;
};

std::string encode(const PartitionRow&);
/// \return the row, or InvalidArgument.
absl::StatusOr<PartitionRow> decodePartitionRow(std::string_view);

/// The step interval has passed.
struct StepDue {
    auto operator<=>(const StepDue&) const = default;
};

/// The rows were read.
struct RowsRead {
    std::vector<store::Row> partitions_;
    std::vector<store::Row> owners_;
    auto operator<=>(const RowsRead&) const = default;
};

/// The rows could not be read.
struct ReadFailed {
    auto operator<=>(const ReadFailed&) const = default;
};

/// The transaction of a heartbeat has ended.
struct HeartbeatEnded {
    store::CommitOutcome outcome_;
    auto operator<=>(const HeartbeatEnded&) const = default;
};

/// The transaction of a claim has ended.
struct ClaimEnded {
    PartitionNumber partition_;
    store::CommitOutcome outcome_;
    auto operator<=>(const ClaimEnded&) const = default;
};

/// The transaction of a `ReleasePartitions` has ended.
struct ReleaseEnded {
    store::CommitOutcome outcome_;
    auto operator<=>(const ReleaseEnded&) const = default;
};

/// All partitions are to be released, and no more claimed.
struct ReleaseRequested {
    auto operator<=>(const ReleaseRequested&) const = default;
};

using OwnershipMessage = std::variant<StepDue, RowsRead, ReadFailed, HeartbeatEnded, ClaimEnded, ReleaseEnded, ReleaseRequested>;

/// Writes the heartbeat; HeartbeatEnded carries the outcome.
struct WriteHeartbeat {
    store::Transaction transaction_;
    auto operator<=>(const WriteHeartbeat&) const = default;
};

/// Reads the rows of all partitions and owners; the answer is RowsRead or ReadFailed.
struct ReadRows {
    auto operator<=>(const ReadRows&) const = default;
};

/// Claims a partition; ClaimEnded carries the outcome.
struct Claim {
    PartitionNumber partition_;
    store::Transaction transaction_;
    auto operator<=>(const Claim&) const = default;
};

/// Writes the rows of released partitions, erases the heartbeat, or both; ReleaseEnded carries the outcome.
struct ReleasePartitions {
    store::Transaction transaction_;
    auto operator<=>(const ReleasePartitions&) const = default;
};

/// Passes the change to the listener.
struct NotifyListener {
    OwnershipChange change_;
    auto operator<=>(const NotifyListener&) const = default;
};

using OwnershipAction = std::variant<WriteHeartbeat, ReadRows, Claim, ReleasePartitions, NotifyListener>;

/// A partition that this process owns.
struct Holding {
    Epoch epoch_;
    store::RowVersion version_;
    Instant gainedAt_;
    /// How long after `gainedAt_` an earlier owner may still renew task leases.
    Duration inheritedHorizon_ { 0 };
    auto operator<=>(const Holding&) const = default;
};

/// A claim that is in flight or whose outcome is unknown.
struct PendingClaim {
    Epoch epoch_;
    Duration horizon_ { 0 };
    auto operator<=>(const PendingClaim&) const = default;
};

/// Heartbeat row of another process, or of an earlier incarnation of this one, as of the latest read.
struct ObservedHeartbeat {
    store::RowVersion version_;
    Incarnation incarnation_;
    /// When this version was first read, by this process's clock. Set again at the first read after a failed read
    /// or after a gap of more than a lease between two reads.
    Instant unchangedSince_;
    /// True if the previous read found the same version, even if there was a gap between the two reads.
    bool isUnchanged_ { false };
    auto operator<=>(const ObservedHeartbeat&) const = default;
};

class Ownership {
public:
    /// \return the state of a process that owns nothing, or InvalidArgument if the settings have no process name or no
    /// partition, an interval that is not positive or longer than a third of the lease, or a horizon shorter than the
    /// lease.
    static absl::StatusOr<Ownership> create(const OwnershipSettings&);

    const std::map<PartitionNumber, Holding>& holdings() const { return holdings_; }
    const OwnershipSettings& settings() const { return settings_; }
    /// True while no other process can own a partition that this one holds.
    bool isLeaseValid(Instant now) const { return leaseUntil_ && now < *leaseUntil_; }
    /// Time from one step to the next. For an unregistered process that expects no free partition, this time grows with
    /// the number of processes.
    Duration stepInterval() const;
    /// True once this process was asked to release all partitions and no longer has a heartbeat row.
    bool hasLeft() const { return isLeaving_ && !isRegistered_; }
    bool operator==(const Ownership&) const = default;

private:
    friend struct OwnershipRules;
    friend struct BalanceRules;
    explicit Ownership(OwnershipSettings settings)
        : settings_(std::move(settings))
    {
    }

    OwnershipSettings settings_;
    std::map<PartitionNumber, Holding> holdings_;
    std::map<PartitionNumber, PendingClaim> claims_;
    std::map<ProcessName, ObservedHeartbeat> owners_;
    std::optional<Instant> lastReadAt_;
    /// Number of the latest heartbeat sent.
    uint64_t heartbeatNumber_ { 0 };
    Instant heartbeatSentAt_;
    /// Last known version of this process's heartbeat row.
    store::RowVersion heartbeatVersion_;
    std::optional<Instant> leaseUntil_;
    std::optional<Instant> horizonUntil_;
    /// This process has a heartbeat row.
    bool isRegistered_ { false };
    /// This process was asked to release all partitions.
    bool isLeaving_ { false };
    /// A partition is free, or some owner's heartbeat did not change between the latest two reads. The process then
    /// reads the rows in every interval, even if it owns none.
    bool expectsFreePartitions_ { false };
    uint64_t reads_ { 0 };
    /// Reads since this process last held a partition, or since it registered; 0 while it is not registered.
    uint64_t idleReads_ { 0 };
};

struct OwnershipDecision {
    Ownership state_;
    std::vector<OwnershipAction> actions_;
    bool operator==(const OwnershipDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
OwnershipDecision decide(Ownership state, const OwnershipMessage& message, Instant now);

} // namespace persimmondoor::leases
