/// The owner of one partition of jobs, which decides every transition of its tasks. A transition is first appended to the
/// journal and takes effect when its batch is durable; orders to agents follow from applied records only, never from
/// records in flight.
///
/// A new attempt of a task is journaled only once the earlier attempt has certainly ended. That is the case if its agent
/// reported the end, refused the start permanently or confirmed that the attempt is absent and will not start, or if every
/// lease that an order could have granted has expired. Source of the last rule: Gray, Cheriton, "Leases", 1989.
///
/// \code
/// Owner owner = Owner::create({ .partition_ = PartitionNumber(7), .epoch_ = Epoch(3), .nextBatch_ = Sequence(1) }, Ledger(), now);
/// OwnerDecision decision = decide(std::move(owner), SubmitRequested { Ticket(1), spec }, { now, wall });
/// \endcode
#pragma once

#include "persimmondoor/jobs/Ledger.h"
#include "persimmondoor/jobs/OwnerMessages.h"
#include "persimmondoor/jobs/Quarantine.h"
#include "persimmondoor/placement/Feasibility.h"
#include "persimmondoor/placement/Sampling.h"

namespace persimmondoor::jobs {

/// Lease that a start order or a renewal grants a task, counted from the agent's stamp.
inline constexpr Duration taskLease = std::chrono::seconds(20);
/// Added to a lease before the owner treats it as expired. Covers clock drift between hosts and the time that stopping
/// the task takes.
inline constexpr Duration leaseMargin = std::chrono::seconds(2);
/// Time between renewals to one agent.
inline constexpr Duration renewalInterval = std::chrono::seconds(5);
/// Time without an answer after which the owner no longer extends an agent's leases, so that they expire.
inline constexpr Duration contactTimeout = std::chrono::seconds(10);
/// Time between repeats of a stop order.
inline constexpr Duration stopInterval = std::chrono::seconds(5);
/// Backoff before a failed task is retried: the first delay, and the maximum that doubling reaches.
inline constexpr Duration firstTaskDelay = std::chrono::seconds(1);
inline constexpr Duration maximumTaskDelay = std::chrono::minutes(5);
/// First backoff after a start that was refused or not sent; doubles up to `maximumTaskDelay`.
inline constexpr Duration refusalDelay = std::chrono::milliseconds(200);
/// Maximum number of tasks placed in one round of probes.
inline constexpr size_t maximumTasksPerRound = 256;
/// Time after which an unanswered round of probes is abandoned, and the interval between rounds that placed nothing.
inline constexpr Duration probeTimeout = std::chrono::seconds(2);
inline constexpr Duration idleRoundInterval = std::chrono::milliseconds(500);
/// Maximum number of tasks that are evicted from failure domains out of service in each `drainInterval`.
inline constexpr size_t maximumTasksPerDrain = 64;
inline constexpr Duration drainInterval = std::chrono::milliseconds(100);
/// Time after a failure domain is restored in which at most half of the starts of a round, but always one, may be placed in
/// such domains.
inline constexpr Duration domainRampUpTime = std::chrono::seconds(60);
/// Retention period and maximum number of ended jobs.
inline constexpr int64_t retentionMilliseconds = 24 * 3600 * 1000;
inline constexpr size_t maximumEndedJobs = 20'000;
/// Number of journal batches after which a snapshot is taken.
inline constexpr uint64_t snapshotBatches = 512;
/// Number of records that are not durable yet above which submissions are refused.
inline constexpr size_t maximumPendingRecords = 50'000;

/// One ownership of a partition, and where its journal begins.
struct OwnerIdentity {
    PartitionNumber partition_;
    Epoch epoch_;
    /// Sequence of the next journal batch.
    Sequence nextBatch_;
    /// Number of journal batches that no snapshot contains.
    uint64_t batchesSinceSnapshot_ { 0 };
    /// For how long an earlier owner may still renew leases of tasks on workers that this owner cannot reach.
    Duration horizon_ { 0 };
    auto operator<=>(const OwnerIdentity&) const = default;
};

class Owner {
public:
    /// Creates an owner whose recovered state is `ledger`.
    static Owner create(const OwnerIdentity&, Ledger ledger, Instant now);

    const OwnerIdentity& identity() const { return identity_; }
    const Ledger& ledger() const { return ledger_; }
    const Journal& journal() const { return journal_; }
    const Quarantine& quarantine() const { return quarantine_; }
    /// True once another process owns the partition; the owner then ignores all messages.
    bool isResigned() const { return journal_.isOwnershipLost(); }
    bool operator==(const Owner&) const = default;

    /// Why a task waits, and for how long at least.
    struct Wait {
        std::string reason_;
        Instant notBefore_;
        uint32_t refusals_ { 0 };
        auto operator<=>(const Wait&) const = default;
    };

    /// State of an attempt in addition to the ledger. Not durable; a successor rebuilds it from the agents' answers.
    struct AttemptState {
        std::optional<Instant> stopSentAt_;
        /// Time at which the agent confirmed that the attempt is absent and will not start.
        std::optional<Instant> confirmedAbsentAt_;
        /// To be stopped with a checkpoint, as its failure domain is out of service or a paying task needs its resources.
        bool isEvicting_ { false };
        /// The start order was answered, or an earlier owner sent it.
        bool isStartAnswered_ { false };
        auto operator<=>(const AttemptState&) const = default;
    };

private:
    friend struct OwnerRules;
    friend std::string explainTask(const Owner&, const TaskKey&, Instant);

    /// Leases and events of the tasks at one worker.
    struct Host {
        std::optional<hosting::Stamp> stamp_;
        /// No order sent so far allows a task to run beyond this time.
        Instant leaseEnd_;
        std::optional<Instant> renewalSentAt_;
        Instant lastAnswerAt_;
        /// Events that are not acknowledged yet, by their sequence.
        std::map<Sequence, hosting::HostEvent> pendingEvents_;
        /// Events up to this one are durable.
        Sequence acknowledgedThrough_;
        Sequence acknowledgementSentThrough_;
        /// The records of events up to this one have been appended to the journal.
        Sequence appendedThrough_;
        auto operator<=>(const Host&) const = default;
    };

    /// The last row that was read of a failure domain.
    struct Domain {
        DomainState row_;
        /// Version of the row when the domain was last in service; the condition of starts in the domain.
        store::RowVersion inServiceVersion_;
        std::optional<Instant> restoredAt_;
        auto operator<=>(const Domain&) const = default;
    };

    /// A start whose record is not durable yet.
    struct PendingStart {
        placement::Site site_;
        /// The agent's stamp for the start order.
        hosting::Stamp stamp_;
        auto operator<=>(const PendingStart&) const = default;
    };

    /// A submission that is not durable yet, with the requests that wait for it.
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
    std::map<TaskKey, AttemptState> attempts_;
    std::map<TaskKey, Wait> waits_;
    std::map<TaskKey, PendingStart> pendingStarts_;
    /// Attempts with an end that is not durable yet.
    std::set<std::pair<TaskKey, Attempt>> pendingEnds_;
    /// Jobs with a `JobUnplaceable` or `JobExpired` record that is not durable yet.
    std::set<JobId> pendingJobRecords_;
    std::map<JobId, PendingSubmission> pendingSubmissions_;
    /// Jobs whose cancellation is not durable yet, by request.
    std::map<Ticket, std::set<JobId>> pendingCancellations_;
    std::optional<Instant> probeStartedAt_;
    Instant nextRoundAt_;
    Instant nextDrainAt_;
    Instant nextMaintenanceAt_;
    Instant horizonUntil_;
    uint64_t rounds_ { 0 };
    /// Last batch of the snapshot that is being stored; 0 if there is none.
    Sequence snapshotInFlight_;
};

struct OwnerDecision {
    Owner state_;
    std::vector<OwnerAction> actions_;
    bool operator==(const OwnerDecision&) const = default;
};

/// Applies `message` to `state` at `moment`. Late and repeated messages and messages about past attempts have no effect.
OwnerDecision decide(Owner state, const OwnerMessage& message, const Moment& moment);

/// \return one sentence that says what the task does or waits for.
std::string explainTask(const Owner&, const TaskKey&, Instant now);

} // namespace persimmondoor::jobs
