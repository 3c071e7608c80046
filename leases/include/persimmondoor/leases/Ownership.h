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
    /// Life of this process; rises with each restart.
    Incarnation incarnation_;
    Address address_;
    uint32_t partitionCount_ { defaultPartitionCount };
    /// Time without a heartbeat after which an owner is deposed.
    Duration lease_ { std::chrono::seconds(10) };
    /// Time between two heartbeats, and between two reads of the rows.
    Duration interval_ { std::chrono::seconds(3) };
    /// Time for which an owner may renew task leases without a heartbeat.
    Duration horizon_ { std::chrono::minutes(15) };
    /// Processes that may want partitions. Those that own none read the rows the less often the more there are.
    uint32_t candidates_ { 1 };
    bool operator==(const OwnershipSettings&) const = default;

    /// Settings for a cell of so many processes: the fewer, the shorter the lease, as heartbeats are store writes.
    static OwnershipSettings forCell(ProcessName process, Incarnation incarnation, Address address, uint32_t processes);
};

/// Reads a second that all processes without a partition cause together, at most, while nothing happens.
inline constexpr int64_t idleReadsPerSecond = 100;
/// Part of the lease and of the horizon that an owner leaves unused, as clocks of hosts differ in rate.
inline constexpr int64_t clockAllowanceDivisor = 10;
/// Partitions claimed in one step, at most.
inline constexpr size_t claimsPerStep = 32;

/// This process owns the partition now. A journal transaction carries a condition that the row `partitionKey()` has
/// `version_`.
struct Gained {
    PartitionNumber partition_;
    Epoch epoch_;
    store::RowVersion version_;
    /// For how long, from now on, an earlier owner may still renew leases of tasks on a worker that this owner can't
    /// reach. Zero if there was none, or if it gave the partition back.
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
    /// How long after its last heartbeat the owner may renew task leases.
    Duration horizon_ { 0 };
    /// How long after the epoch began an owner before may have renewed task leases.
    Duration inheritedHorizon_ { 0 };
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
    std::vector<store::Row> partitions_;
    std::vector<store::Row> owners_;
    auto operator<=>(const RowsRead&) const = default;
};

/// The rows could not be read.
struct ReadFailed {
    auto operator<=>(const ReadFailed&) const = default;
};

/// A heartbeat's transaction has ended.
struct HeartbeatEnded {
    store::CommitOutcome outcome_;
    auto operator<=>(const HeartbeatEnded&) const = default;
};

/// A claim's transaction has ended.
struct ClaimEnded {
    PartitionNumber partition_;
    store::CommitOutcome outcome_;
    auto operator<=>(const ClaimEnded&) const = default;
};

/// A transaction that gives partitions back has ended.
struct GiveBackEnded {
    store::CommitOutcome outcome_;
    auto operator<=>(const GiveBackEnded&) const = default;
};

/// Give every partition back, for good.
struct GiveBackAsked {
    auto operator<=>(const GiveBackAsked&) const = default;
};

using OwnershipMessage = std::variant<StepDue, RowsRead, ReadFailed, HeartbeatEnded, ClaimEnded, GiveBackEnded, GiveBackAsked>;

/// Write the heartbeat; answer with HeartbeatEnded.
struct WriteHeartbeat {
    store::Transaction transaction_;
    auto operator<=>(const WriteHeartbeat&) const = default;
};

/// Read the rows of all partitions and owners; answer with RowsRead or ReadFailed.
struct ReadRows {
    auto operator<=>(const ReadRows&) const = default;
};

/// Claim a partition; answer with ClaimEnded.
struct Claim {
    PartitionNumber partition_;
    store::Transaction transaction_;
    auto operator<=>(const Claim&) const = default;
};

/// Write the rows of partitions that are given back; answer with GiveBackEnded.
struct GiveBack {
    store::Transaction transaction_;
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
    store::RowVersion version_;
    /// When the partition was gained, and how long from then an earlier owner may have renewed task leases.
    Instant since_;
    Duration inheritedHorizon_ { 0 };
    auto operator<=>(const Holding&) const = default;
};

/// A claim whose outcome is not known.
struct PendingClaim {
    Epoch epoch_;
    Duration horizon_ { 0 };
    auto operator<=>(const PendingClaim&) const = default;
};

/// What was last seen of a heartbeat of another life.
struct Watched {
    store::RowVersion version_;
    Incarnation incarnation_;
    /// Since when this version has been seen without a break, by this process's clock.
    Instant since_;
    /// The same version was seen before the latest break.
    bool stale_ { false };
    auto operator<=>(const Watched&) const = default;
};

class Ownership {
public:
    /// \return the state of a process that owns nothing, or InvalidArgument for settings that can't work: no name or
    /// partition, an interval of over a third of the lease, a horizon shorter than the lease.
    static absl::StatusOr<Ownership> create(const OwnershipSettings&);

    const std::map<PartitionNumber, Holding>& holdings() const { return holdings_; }
    const OwnershipSettings& settings() const { return settings_; }
    /// True while no other process can have become owner of what this one holds.
    bool isLeaseValid(Instant now) const { return leaseUntil_ && now < *leaseUntil_; }
    /// Time from one step to the next.
    Duration pace() const;
    /// True once everything was given back for good.
    bool hasLeft() const { return leaving_ && !registered_; }
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
    std::map<ProcessName, Watched> owners_;
    std::optional<Instant> lastRead_;
    /// Number of the latest heartbeat and when it was sent.
    uint64_t heartbeat_ { 0 };
    Instant heartbeatSent_;
    /// Version of the own heartbeat's row, as far as known.
    store::RowVersion heartbeatVersion_;
    std::optional<Instant> leaseUntil_;
    std::optional<Instant> horizonUntil_;
    bool registered_ { false };
    bool leaving_ { false };
    /// Another owner's end is suspected, or partitions are free.
    bool alert_ { false };
    uint64_t reads_ { 0 };
    /// Reads since this registered process last held a partition.
    uint64_t readsIdle_ { 0 };
};

struct OwnershipDecision {
    Ownership state_;
    std::vector<OwnershipAction> actions_;
    bool operator==(const OwnershipDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
OwnershipDecision decide(Ownership state, const OwnershipMessage& message, Instant now);

} // namespace persimmondoor::leases
