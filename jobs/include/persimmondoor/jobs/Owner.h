/// The owner of one partition of jobs: decides every transition of its tasks. A transition goes into the journal first
/// and takes effect when the journal's batch is durable; orders to agents follow from the records that were applied,
/// never from ones that are under way.
///
/// A new attempt of a task is written only after the earlier one ended for certain: an agent reported its end, refused
/// its start for good, or said that it is not there and will not be; or the lease that any order could have given it
/// has lapsed. Source of the last rule: Gray, Cheriton, "Leases", 1989.
///
/// \code
/// Owner owner = Owner::create({ .partition_ = PartitionNumber(7), .epoch_ = Epoch(3), .next_ = Sequence(1) }, Ledger(), now);
/// OwnerDecision decision = decide(std::move(owner), SubmitRequested { Ticket(1), spec }, { now, wall });
/// \endcode
#pragma once

#include "persimmondoor/jobs/Ledger.h"
#include "persimmondoor/jobs/OwnerMessages.h"
#include "persimmondoor/jobs/Quarantine.h"
#include "persimmondoor/placement/Feasibility.h"
#include "persimmondoor/placement/Sampling.h"

namespace persimmondoor::jobs {

/// Lease that an order or a renewal gives a task, from the agent's stamp.
inline constexpr Duration taskLease = std::chrono::seconds(20);
/// Added to a lease before the owner counts on its end: clocks that run at different speeds, and the stop itself.
inline constexpr Duration leaseMargin = std::chrono::seconds(2);
/// Time between renewals to one agent.
inline constexpr Duration renewalInterval = std::chrono::seconds(5);
/// Time without an answer after which an agent's leases are left to lapse.
inline constexpr Duration silenceLimit = std::chrono::seconds(10);
/// Time between repeats of a stop order.
inline constexpr Duration stopInterval = std::chrono::seconds(5);
/// Wait before a task is tried again after its first failure, and the most that doubling gives.
inline constexpr Duration firstTaskDelay = std::chrono::seconds(1);
inline constexpr Duration maximumTaskDelay = std::chrono::minutes(5);
/// Wait after an attempt that was refused or never started.
inline constexpr Duration refusalDelay = std::chrono::milliseconds(200);
/// Most tasks placed in one round of probes.
inline constexpr size_t roundTasks = 256;
/// Longest wait for a round of probes, and time between rounds that placed nothing.
inline constexpr Duration probeTimeout = std::chrono::seconds(2);
inline constexpr Duration idleRoundInterval = std::chrono::milliseconds(500);
/// Tasks that are told to leave a failure domain in one step of `drainStep`.
inline constexpr size_t drainTasks = 64;
inline constexpr Duration drainStep = std::chrono::milliseconds(100);
/// Time after a failure domain's return in which at most every second start goes there.
inline constexpr Duration returnRamp = std::chrono::seconds(60);
/// How long ended jobs are kept, and how many at most.
inline constexpr int64_t retentionMilliseconds = 24 * 3600 * 1000;
inline constexpr size_t maximumEndedJobs = 20'000;
/// Journal batches after which a snapshot is taken.
inline constexpr uint64_t snapshotBatches = 512;
/// Records that may wait for the store before submissions are refused.
inline constexpr size_t maximumPendingRecords = 50'000;

struct OwnerIdentity {
    PartitionNumber partition_;
    Epoch epoch_;
    /// Sequence of the next journal batch.
    Sequence next_;
    /// Batches in the journal that no snapshot holds.
    uint64_t batchesSinceSnapshot_ { 0 };
    /// For how long tasks on a worker that can't be reached may still run under an earlier owner.
    Duration horizon_ { 0 };
    auto operator<=>(const OwnerIdentity&) const = default;
};

class Owner {
public:
    /// An owner that has just recovered `ledger`.
    static Owner create(const OwnerIdentity&, Ledger ledger, Instant now);

    const OwnerIdentity& identity() const { return identity_; }
    const Ledger& ledger() const { return ledger_; }
    const Journal& journal() const { return journal_; }
    const Quarantine& quarantine() const { return quarantine_; }
    bool isResigned() const { return journal_.isLost(); }
    bool operator==(const Owner&) const = default;

    /// Why a task waits, as far as is known.
    struct Wait {
        std::string reason_;
        Instant notBefore_;
        uint32_t refusals_ { 0 };
        auto operator<=>(const Wait&) const = default;
    };

    /// What is known of an attempt at its worker, beside the ledger.
    struct Run {
        std::optional<Instant> stopSentAt_;
        /// The agent said at this time that the attempt is not there and will not be.
        std::optional<Instant> confirmedAbsentAt_;
        /// To be stopped by checkpoint: its domain leaves, or a paying task needs the room.
        bool evicting_ { false };
        /// The start order has been answered, or was sent by an earlier owner.
        bool isStartAnswered_ { false };
        auto operator<=>(const Run&) const = default;
    };

private:
    friend struct OwnerRules;
    friend std::string explainTask(const Owner&, const TaskKey&, Instant);

    struct Host {
        std::optional<hosting::Stamp> stamp_;
        /// No order given so far lets a task run beyond this time.
        Instant leaseEnd_;
        std::optional<Instant> renewalSentAt_;
        Instant lastAnswer_;
        /// Events that are not durable yet, by their sequence.
        std::map<Sequence, hosting::HostEvent> unsettled_;
        Sequence acknowledged_;
        Sequence acknowledgementSent_;
        /// Events up to this one are in the journal or in its hands.
        Sequence proposed_;
        auto operator<=>(const Host&) const = default;
    };

    struct Domain {
        DomainState row_;
        /// Version at which the domain was last seen in service: the condition of starts there.
        store::RowVersion openVersion_;
        std::optional<Instant> returnedAt_;
        auto operator<=>(const Domain&) const = default;
    };

    /// A start that is in the journal's hands.
    struct ProposedStart {
        placement::Site site_;
        /// The agent's stamp that the order shall carry.
        hosting::Stamp stamp_;
        auto operator<=>(const ProposedStart&) const = default;
    };

    struct PendingSubmission {
        JobSpec spec_;
        std::vector<Ticket> tickets_;
        bool operator==(const PendingSubmission&) const = default;
    };

    OwnerIdentity identity_;
    Ledger ledger_;
    Journal journal_;
    Quarantine quarantine_;
    std::map<TeamName, Resources> quotas_;
    std::map<WorkerName, KnownWorker> workers_;
    std::vector<placement::DomainWorkers> directory_;
    placement::WorkerShapes shapes_;
    std::map<FailureDomainName, Domain> domains_;
    std::map<WorkerName, Host> hosts_;
    std::map<TaskKey, Run> runs_;
    std::map<TaskKey, Wait> waits_;
    std::map<TaskKey, ProposedStart> proposedStarts_;
    /// Ends and verdicts that are in the journal's hands.
    std::set<std::pair<TaskKey, Attempt>> proposedEnds_;
    std::set<JobId> proposedVerdicts_;
    std::map<JobId, PendingSubmission> submissions_;
    std::map<Ticket, std::set<JobId>> cancellations_;
    std::optional<Instant> probingSince_;
    Instant nextRound_;
    Instant nextDrainStep_;
    Instant nextUpkeep_;
    Instant horizonUntil_;
    uint64_t rounds_ { 0 };
    Sequence snapshotUnderWay_;
};

struct OwnerDecision {
    Owner state_;
    std::vector<OwnerAction> actions_;
    bool operator==(const OwnerDecision&) const = default;
};

/// Applies `message` to `state` at `moment`. Messages that come late, twice or for a past attempt change nothing.
OwnerDecision decide(Owner state, const OwnerMessage& message, const Moment& moment);

/// Says in one sentence what the task does or waits for.
std::string explainTask(const Owner&, const TaskKey&, Instant now);

} // namespace persimmondoor::jobs
