/// Decisions of the leader, the process that leads the queues: which task runs on which worker, which changes must be
/// durable before they take effect, and how a new leader restores its state from the rows of its predecessor. The
/// functions are pure: they receive messages and the time, and return actions and rows to write.
///
/// Each change of a job is staged and written to the store in batches. Its external effects (the answer to a client, the
/// order to start a run, the acknowledgement of an end) are released once the batch is durable.
///
/// \code
/// LeaderState state = restoreState(epoch, tuning, rows, bounds, now);
/// Decision decision = decide(std::move(state), ReportArrived { report }, now);
/// Batch batch = extractBatch(decision.state_);
/// ... // write it
/// decision = decide(std::move(decision.state_), BatchDurable { batch, sentAt }, now);
/// \endcode
#pragma once

#include "persimmondoor/workflow/Catalog.h"
#include "persimmondoor/workflow/Client.h"
#include "persimmondoor/workflow/DecisionTrace.h"
#include "persimmondoor/workflow/Delays.h"
#include "persimmondoor/workflow/Exchange.h"
#include "persimmondoor/workflow/Interference.h"
#include "persimmondoor/workflow/LeaseBounds.h"
#include "persimmondoor/workflow/Record.h"
#include "persimmondoor/workflow/ReservedRoom.h"
#include "persimmondoor/workflow/SilentWorker.h"
#include "persimmondoor/workflow/Tuning.h"
#include "persimmondoor/workflow/WorkerLoss.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace persimmondoor::workflow {

/// Where a checkpoint came from. A greater one is at least as advanced, as far as the leader can tell.
struct CheckpointOrigin {
    /// The run that first listed the checkpoint; 0 if an earlier leader saw it.
    uint32_t run_ { 0 };
    /// Share of the work that was done, as listed with the checkpoint or, if an end named it, just before; 0 to 100.
    uint32_t percent_ { 0 };
    auto operator<=>(const CheckpointOrigin&) const = default;
};

/// A task in the leader's memory: its durable progress, and state that is not stored.
struct Task {
    TaskProgress progress_;
    /// The order to start the newest run is released and may have been sent.
    bool isStartReleased_ { false };
    /// The last order for the newest run within the agent's session; 0 if an earlier session or leader gave it.
    OrderNumber lastOrder_;
    /// The worker's list of active runs contains the newest run.
    bool isOnWorker_ { false };
    bool isStopping_ { false };
    Instant stopOrderedAt_;
    uint32_t progressPercent_ { 0 };
    CheckpointOrigin checkpointOrigin_;
    /// Number of load readings that contained the newest run.
    uint32_t readings_ { 0 };
    /// Times of the newest run.
    RunTimes times_;
    /// When the last run ended; empty before the first has ended under this leader.
    std::optional<Instant> waitingSince_;
    /// Since when the task has had no run that a worker listed; empty before the first run has ended under this leader.
    std::optional<Instant> withoutRunSince_;
    /// Delays due to all runs that have ended under this leader.
    Delays delays_;
    /// When the run's progress last changed.
    Instant lastProgressAt_;
    /// Cores in thousandths that a filling task leaves unused, as its pace is reduced.
    int64_t throttledMilliCores_ { 0 };
    /// Since when the agent has run a filling task at less than half of its full speed.
    std::optional<Instant> slowedSince_;
    /// A worker holds room for the waiting task.
    bool isRoomHeld_ { false };
    /// The silent worker on which the last run was taken to be lost when its lease had expired; empty if there is none. The run
    /// may have ended before. Not set for long-running tasks, whose runs never end as done.
    std::optional<WorkerIncarnation> silentWorker_;
    /// Worker on which the task last failed, hung, was slowed down or did not appear after its start.
    std::string avoidedWorker_;
    bool operator==(const Task&) const = default;
};

/// A job in the leader's memory.
struct Job {
    JobRecord record_;
    /// The queue as currently configured, or as it was at acceptance if it has been removed.
    Queue queue_;
    std::vector<Task> tasks_;
    /// Number of tasks not yet done, for each step of each occurrence.
    std::vector<uint32_t> unfinishedTasks_;
    /// Times of each step of each occurrence, as far as this leader has seen them.
    std::vector<StepTimes> stepTimes_;
    bool isCancelled_ { false };
    bool hasFailed_ { false };
    bool hasStarted_ { false };
    /// Phase as of the last durable batch; empty before the first.
    std::optional<JobPhase> durablePhase_;
    /// Since when the job has had tasks to start, or occurrences that are not due yet, while none of its runs was listed by a
    /// worker that is up.
    std::optional<Instant> idleSince_;
    /// The last placed task was placed regardless of interference, as nothing of the job had run for long.
    bool hasExceptionalPlace_ { false };
    /// Empty while a run of the job is listed or none of its steps may start.
    std::optional<Standstill> standstill_;
    /// The job has missed its objective, and a log line says so.
    bool isReportedLate_ { false };
    /// When the job ended; starts its retention time.
    std::optional<Instant> endedAt_;
    bool operator==(const Job&) const = default;
};

/// The filling tasks of one image that are assigned to a worker.
struct FillingShare {
    uint32_t tasks_ { 0 };
    /// Cores that they ask for together, in thousandths; tasks may ask for none.
    int64_t milliCores_ { 0 };
    auto operator<=>(const FillingShare&) const = default;
};

/// A worker as the leader knows it.
struct Worker {
    std::string agent_;
    WorkerTraits traits_;
    bool draining_ { false };
    /// Earliest time at which a draining worker leaves.
    Instant leavesAt_;
    /// The agent has read the worker's lists under the fence of the current session, so that they are complete.
    bool isListed_ { false };
    /// The agent reaches the worker, according to its last report; otherwise it would refuse any start.
    bool isReachable_ { true };
    /// When an agent last reported the worker.
    Instant lastReportAt_;
    /// When its agent first began a session after that, in which the worker is missing so far; empty if it has not.
    std::optional<Instant> missingSince_;
    /// Upper bound on the expiry of the task leases granted so far.
    Instant leaseEnd_;
    LeaseGrants leaseGrants_ { LeaseGrants::Allowed };
    std::set<TaskKey> assignedTasks_;
    /// Runs that are being stopped for tasks that are done or belong to another run.
    std::map<RunKey, StoppingRun> stoppingRuns_;
    /// Demand of all assigned tasks and of the runs that are being stopped.
    Resources reserved_;
    /// Cores of the assigned filling tasks, in thousandths.
    int64_t fillingMilliCores_ { 0 };
    /// Part of them that the tasks leave unused, as their pace is reduced.
    int64_t throttledMilliCores_ { 0 };
    /// Number of the assigned long-running tasks, their demand, and their number by image.
    uint32_t longRunningCount_ { 0 };
    Resources longRunningReserved_;
    std::map<std::string, uint32_t> longRunningByImage_;
    /// Number by image of those with a target for their tail; readings are known of these alone.
    std::map<std::string, uint32_t> targetedByImage_;
    /// A task under which another worker has crashed and that was started here: no other run is started until a reading
    /// shows it.
    std::optional<TaskKey> observedTask_;
    /// Late suspects that were started here and have not outlived the age at which their workers were lost.
    std::set<TaskKey> suspects_;
    /// Since when its agent has not reached the worker; empty while it does.
    std::optional<Instant> lostAt_;
    /// Room held for long-running tasks that wait for this worker.
    std::map<TaskKey, RoomHold> holds_;
    /// Number of the newest end that was handled, and the handled ends that are not durable yet.
    uint64_t lastHandledEnd_ { 0 };
    std::set<uint64_t> nonDurableEnds_;
    /// Ends of runs whose job cannot be read. They stay on the worker's list for a leader that can read the job.
    std::set<uint64_t> heldEnds_;
    /// The agent was notified that ends up to this one are durable.
    uint64_t acknowledgedEnd_ { 0 };
    /// No runs are placed on the worker until this time, as it refused one or left its start unanswered.
    Instant backoffUntil_;
    /// Until then the worker gets a run only if no other worker has room for it, for the same reason.
    Instant lastChoiceUntil_;
    /// The assigned filling tasks, by image.
    std::map<std::string, FillingShare> fillingByImage_;
    /// Number and contents of the newest reading of the worker's load, and the headroom of its long-running tasks
    /// according to that reading.
    uint64_t readingNumber_ { 0 };
    LoadReading lastReading_;
    std::vector<Headroom> headrooms_;
    /// Number of tasks whose first failure was on this worker since a run on the worker was last done. After a quarantine
    /// one less than `Tuning::failuresBeforeQuarantine_`, so that one more failure starts the next quarantine.
    uint32_t consecutiveFailures_ { 0 };
    /// Number of quarantines since a run that was assigned after the begin of the last has proven the worker. Until one
    /// has, the worker gets one task at a time.
    uint32_t quarantineCount_ { 0 };
    Instant quarantinedAt_;
    Instant quarantinedUntil_;
    /// The task that was assigned to the worker while it was unproven, and the earliest time for the next one within a
    /// quarantine; empty if there is none.
    std::optional<TaskKey> probe_;
    std::optional<Instant> nextProbeAt_;
    /// The probe is no long-running task, which may be paused without end, and its start has been released.
    bool isProbeReplaceable_ { false };
    /// The earliest time for the next probe by a long-running task that has failed, whatever else probes the worker meanwhile;
    /// empty if there is none.
    std::optional<Instant> nextProbeOfFailedAt_;
    /// Runs that belong to no assigned task and were ordered to stop, with the time of the order.
    std::map<RunKey, Instant> unassignedRuns_;
    bool operator==(const Worker&) const = default;
};

/// An agent as the leader knows it, with the state of its current session.
struct Agent {
    std::string domain_;
    uint64_t session_ { 0 };
    Fence fence_;
    Sequence newestReport_;
    Instant lastReportAt_;
    /// When the newest report under this fence was handled.
    Instant newestReportAt_;
    /// The agent has reported its workers under this fence. Before that, no leases are granted, as they could extend to
    /// workers that this leader does not know.
    bool hasReported_ { false };
    OrderNumber lastOrder_;
    OrderNumber lastCompletedOrder_;
    /// Orders whose outcome has not been reported.
    std::vector<Order> pendingOrders_;
    OrderNumber lastSentOrder_;
    Instant ordersSentAt_;
    /// A reply is due before the agent's next report.
    bool isReplyDue_ { false };
    /// The workers that the agent has reported in this session.
    std::set<WorkerIncarnation> workers_;
    bool operator==(const Agent&) const = default;
};

/// Identifies a client's call that waits for its answer.
using CallToken = Counter<struct CallTokenTag>;

/// Answers a waiting client.
struct AnswerClient {
    CallToken token_;
    ClientAnswer answer_;
    bool operator==(const AnswerClient&) const = default;
};
/// Gives the order to start a run, whose assignment is durable.
struct ReleaseStart {
    RunKey run_;
    auto operator<=>(const ReleaseStart&) const = default;
};
/// Lets the worker remove an ended run from its list, as the end is durable.
struct ReleaseEnd {
    WorkerIncarnation worker_;
    uint64_t number_ { 0 };
    auto operator<=>(const ReleaseEnd&) const = default;
};
/// An external effect that is released once the job's batch is durable.
using Effect = std::variant<AnswerClient, ReleaseStart, ReleaseEnd>;

/// Changes of one job that are to be written, and their external effects.
struct StagedJob {
    /// The job is new: its record is written with its progress.
    bool writesRecord_ { false };
    /// A transaction with these rows was sent and its outcome is unknown.
    bool mayBeStored_ { false };
    /// The job's rows are to be deleted.
    bool isRemoved_ { false };
    std::vector<Effect> effects_;
    bool operator==(const StagedJob&) const = default;
};

/// Jobs whose rows are written in one transaction, and the effects that the transaction releases.
struct Batch {
    struct Item {
        JobId job_;
        /// Phase of the job once the batch is durable.
        JobPhase phase_ { JobPhase::Pending };
        StagedJob staged_;
        bool operator==(const Item&) const = default;
    };
    std::vector<Item> items_;
    /// Bounds on the leases of silent workers, to be stored with the jobs.
    std::map<WorkerIncarnation, Instant> silentWorkers_;
    bool operator==(const Batch&) const = default;
};

/// A job with a row that cannot be read. The leader neither starts nor stops its runs and does not write its rows.
struct UnreadableJob {
    /// The specification; empty if the record cannot be read.
    std::optional<JobSpec> spec_;
    bool operator==(const UnreadableJob&) const = default;
};

/// The complete state of the leader.
struct LeaderState {
    LeaderEpoch epoch_;
    Tuning tuning_;
    Catalog catalog_;
    std::set<std::string> evacuatedDomains_;
    std::map<JobId, Job> jobs_;
    std::map<JobId, UnreadableJob> unreadableJobs_;
    /// Unfinished jobs.
    std::set<JobId> openJobs_;
    /// Jobs that may have a task to start.
    std::set<JobId> readyJobs_;
    std::map<WorkerIncarnation, Worker> workers_;
    std::map<std::string, Agent> agents_;
    /// Workers that were removed as their leases had expired, and whose lists may still show what ended there.
    std::map<WorkerIncarnation, SilentWorker> silentWorkers_;
    /// The workers lost within `Tuning::lossRetention_`, oldest first.
    std::vector<WorkerLoss> losses_;
    Interference interference_;
    /// Time of the first failed write since the last durable one; empty if none has failed.
    std::optional<Instant> storeFailedAt_;
    /// When the newest durable write was sent.
    Instant lastDurableWriteAt_;
    /// Leases granted now end at this time at the latest, as the store's bound on them says. None are granted before the first
    /// durable batch.
    Instant leasesEndBy_;
    /// Leases were suspended or requested since the last batch.
    bool hasLeaseChanges_ { false };
    uint64_t sessionCount_ { 0 };
    /// Until when tasks that interfere with each other wait for workers that no agent has reported yet.
    Instant awaitsWorkersUntil_;
    /// A job has become ready since the last round of placement.
    bool hasNewlyReadyJobs_ { false };
    /// When ready jobs were last placed.
    Instant lastPlacementAt_;
    /// When the periodic checks (`Tuning::checkInterval_`) are due next.
    Instant nextCheckAt_;
    /// When the backlog is logged next, if there is one.
    Instant nextBacklogReportAt_;
    /// The waiting task with which the searches for room to hold go on; empty to begin with the most urgent.
    std::optional<TaskKey> holdSearchesFrom_;
    /// When the waiting long-running tasks are logged next.
    Instant nextWaitReportAt_;
    /// When the jobs with nothing running are logged next.
    Instant nextJobWaitReportAt_;
    /// Newest time of day, in milliseconds since 1970 UTC; for schedules and deadlines.
    int64_t wallMs_ { 0 };
    /// Jobs to be written, in the order in which they were staged.
    std::vector<JobId> stagedOrder_;
    std::map<JobId, StagedJob> staged_;
    bool operator==(const LeaderState&) const = default;
};

/// A client's call.
struct CallArrived {
    CallToken token_;
    ClientCall call_;
    /// Time of day, in milliseconds since 1970 UTC.
    int64_t wallMs_ { 0 };
    bool operator==(const CallArrived&) const = default;
};
struct ReportArrived {
    AgentReport report_;
    bool operator==(const ReportArrived&) const = default;
};
struct CatalogChanged {
    Catalog catalog_;
    bool operator==(const CatalogChanged&) const = default;
};
struct EvacuationsChanged {
    std::set<std::string> domains_;
    bool operator==(const EvacuationsChanged&) const = default;
};
struct BatchDurable {
    Batch batch_;
    /// When the write was sent; this process was the leader at that time.
    Instant writeSentAt_;
    bool operator==(const BatchDurable&) const = default;
};
/// The store rejected a write or did not answer it.
struct StoreFailed {
    auto operator<=>(const StoreFailed&) const = default;
};
/// The store rejects the rows of the job, which were sent alone, and would reject them again. Nothing was written.
struct RowsRejected {
    JobId job_;
    auto operator<=>(const RowsRejected&) const = default;
};
/// Time has passed; sent periodically.
struct Tick {
    /// Time of day, in milliseconds since 1970 UTC.
    int64_t wallMs_ { 0 };
    auto operator<=>(const Tick&) const = default;
};

using LeaderMessage = std::variant<CallArrived, ReportArrived, CatalogChanged, EvacuationsChanged, BatchDurable, StoreFailed, RowsRejected, Tick>;

/// The agent's waiting report is to be answered now.
struct AnswerAgent {
    std::string agent_;
    auto operator<=>(const AnswerAgent&) const = default;
};
/// A decision for the log: the event, the job, run or worker that it concerns, and the reason.
struct LogEvent {
    std::string event_;
    std::string subject_;
    std::string detail_;
    auto operator<=>(const LogEvent&) const = default;
};

/// An observation for the latency histogram of that name.
struct RecordLatency {
    std::string name_;
    Duration latency_ { 0 };
    auto operator<=>(const RecordLatency&) const = default;
};

using LeaderAction = std::variant<AnswerClient, AnswerAgent, LogEvent, RecordLatency>;

/// The new state and the actions to carry out.
struct Decision {
    LeaderState state_;
    std::vector<LeaderAction> actions_;
    bool operator==(const Decision&) const = default;
};

/// Rows of one job, as read from the store.
struct StoredJob {
    JobRecord record_;
    Progress progress_;
    bool operator==(const StoredJob&) const = default;
};

/// Restores the state of a new leader from the rows of its predecessor. Each worker named in the rows may still run its
/// assigned tasks until an agent reports the worker or its leases have expired.
/// \param trace is told of the jobs in turn; null for none.
LeaderState restoreState(LeaderEpoch, Tuning, std::vector<StoredJob>, const LeaseBounds&, Instant now, DecisionTrace* trace = nullptr);

/// Handles one message.
/// \return the new state and the actions to carry out.
/// \param trace is told of the jobs that the decision is concerned with; null for none.
Decision decide(LeaderState, const LeaderMessage&, Instant now, DecisionTrace* trace = nullptr);

/// Largest number of jobs in one batch: a transaction holds at most 100 entries, of which a new job takes two.
inline constexpr size_t maximumBatchJobs = 40;

/// Removes up to `maximumJobs` of the oldest staged jobs from the state, and adds the present bounds of silent workers.
/// Only one batch may be in flight at a time.
/// \return the batch; without jobs if nothing is staged.
Batch extractBatch(LeaderState&, size_t maximumJobs = maximumBatchJobs);

/// Stages a batch again that did not become durable.
/// \param mayBeStored true if the outcome of its transaction is unknown.
void restage(LeaderState&, Batch, bool mayBeStored);

/// The progress of a job, to be written with its batch.
/// \return the progress, or nothing if the job has been removed.
std::optional<Progress> progressOf(const LeaderState&, const JobId&);

/// Makes the reply to the newest report of an agent that the state contains. The reply contains the orders that have not
/// been sent, and all pending orders if they are due to be sent again. Records which orders and durable ends were sent, and
/// the upper bound on the expiry of the leases that the reply grants.
ReportReply makeReportReply(LeaderState&, const std::string& agent, Instant now);

/// True if a reply is due before the agent reports again.
bool isReplyDue(const LeaderState&, const std::string& agent, Instant now);

/// True if the call concerns a job that the leader knows, also one that it cannot read; such a call can be answered even if
/// the configuration may be out of date.
bool concernsKnownJob(const LeaderState&, const ClientCall&);

/// True if the store has failed for so long that new jobs are refused.
bool isStoreUnavailable(const LeaderState&, Instant now);

/// The answer to a job that cannot be stored as the store fails, with the time to come back.
NotAccepted refuseUnstorable(const LeaderState&, Instant now);

/// Phase of a job according to its current state, which may not be durable yet.
JobPhase phaseOf(const Job&);

} // namespace persimmondoor::workflow
