/// Decisions of the process that owns the queues: what runs where, what is durable before it takes effect, and what a
/// new owner makes of its predecessor's rows. Pure: time and messages come in, actions and rows to write go out.
///
/// Every change of a job is staged and reaches the store in batches; what it causes outside (an answer, an order to
/// start a run, the acknowledgement of an end) is released when its batch is durable.
///
/// \code
/// LeaderState state = restoreState(epoch, tuning, rows, now);
/// Decision decision = decide(std::move(state), ReportArrived { report }, now);
/// Batch batch = extractBatch(decision.state_);
/// ... // write it
/// decision = decide(std::move(decision.state_), BatchDurable { batch, sentAt }, now);
/// \endcode
#pragma once

#include "persimmondoor/workflow/Catalog.h"
#include "persimmondoor/workflow/Client.h"
#include "persimmondoor/workflow/Exchange.h"
#include "persimmondoor/workflow/Interference.h"
#include "persimmondoor/workflow/Record.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace persimmondoor::workflow {

/// Times and bounds of the owner. Those that the deployment states are read from its settings.
struct Tuning {
    /// Lease of the tasks on a worker, granted with each answer to its agent. Below the 10 s that workers allow at
    /// most, and above the cuts of 5 to 6 s that tasks shall survive.
    Duration taskLease_ { std::chrono::milliseconds(7500) };
    /// How long after its last durable write an owner grants leases. A successor waits this long and a task lease
    /// longer for workers that it cannot reach.
    Duration leadershipLease_ { std::chrono::milliseconds(4000) };
    /// Without a durable write for so long, an owner takes no new job; it writes at least twice a second.
    Duration maximumWriteAge_ { std::chrono::milliseconds(1500) };
    /// Once the store has failed for so long, jobs that have never been sent to it are refused, and new ones at once; below
    /// half of the shortest time that clients wait.
    Duration refuseAfterStoreFailure_ { std::chrono::milliseconds(700) };
    /// A worker's clock may run this share slow, in percent (stated by the platform).
    int64_t clockDriftPercent_ { 2 };
    /// Allowance for the delivery of a lease, on top of the drift.
    Duration leaseSlack_ { std::chrono::milliseconds(300) };
    /// No new run goes to a worker whose agent has been silent for longer; agents report at least every 500 ms.
    Duration maximumReportAge_ { std::chrono::milliseconds(1500) };
    /// An order without outcome is sent again after this time.
    Duration resendAfter_ { std::chrono::milliseconds(400) };
    /// A run that is still there so long after its stop was settled is ordered to stop again; a stop takes at most 0.9 s.
    Duration stopRetryInterval_ { std::chrono::milliseconds(1200) };
    /// A run whose progress stands still this long is stopped and started elsewhere; four periods of the agents'
    /// readings.
    Duration hungAfter_ { std::chrono::milliseconds(2000) };
    /// A filling task that has been slowed down for so long is moved if another worker can give it nearly its full speed;
    /// two readings and the time that a stop takes.
    Duration moveSlowedTaskAfter_ { std::chrono::milliseconds(1000) };
    /// A job of which nothing runs, and whose filling tasks have waited for so long for room where they do no harm, gets
    /// any room: after 3 s it counts as lost (stated by the platform).
    Duration ignoreInterferenceAfter_ { std::chrono::milliseconds(1500) };
    /// Filling tasks moved at once at most: each move changes what the others will find.
    uint32_t maximumMovesPerCheck_ { 4 };
    /// A worker that refused a run for want of room gets no other for this time.
    Duration noRoomBackoff_ { std::chrono::milliseconds(200) };
    /// First failures of different tasks in a row after which a worker is quarantined.
    uint32_t failuresBeforeQuarantine_ { 3 };
    /// First quarantine; doubled with each further one up to the maximum.
    Duration initialQuarantine_ { std::chrono::milliseconds(2000) };
    Duration maximumQuarantine_ { std::chrono::milliseconds(8000) };
    /// With more jobs than this waiting for room, they are looked through at most once in `startInterval_`: a look costs a
    /// pass over all of them and all workers, and under a backlog the order matters more than milliseconds.
    size_t backlogThreshold_ { 20 };
    Duration startInterval_ { std::chrono::milliseconds(20) };
    /// Lapsed leases, hung runs and old jobs are looked for this often; a tenth of the shortest time they concern.
    Duration checkInterval_ { std::chrono::milliseconds(200) };
    /// Finished jobs are kept at least this long; settings state the time for which clients may ask.
    Duration finishedJobRetention_ { std::chrono::seconds(120) };
    /// Unfinished jobs beyond which new ones are refused; keeps an entry of 160 MB within its memory.
    size_t maximumOpenJobs_ { 8000 };
    /// Time after which a refused client should come back.
    Duration retryAfter_ { std::chrono::milliseconds(1000) };
    bool operator==(const Tuning&) const = default;
};

/// A task in the owner's memory: what is durable, and what is only known.
struct Task {
    TaskProgress progress_;
    /// The order may have left this process.
    bool isStartReleased_ { false };
    /// The order of the newest run within the agent's session; 0 if an earlier session or owner gave it.
    OrderNumber lastOrder_;
    /// The worker lists the run.
    bool isOnWorker_ { false };
    bool isStopping_ { false };
    Instant stopOrderedAt_;
    uint32_t progressPercent_ { 0 };
    /// When the newest run was assigned.
    Instant assignedAt_;
    /// When its progress was last seen to change.
    Instant lastProgressAt_;
    /// Since when a filling task has been given less than half of its speed.
    std::optional<Instant> slowedSince_;
    /// Worker on which it failed, hung or was slowed down last.
    std::string avoidedWorker_;
    bool operator==(const Task&) const = default;
};

struct Job {
    JobRecord record_;
    /// The queue as configured now; as it was at the acceptance if it has been removed.
    Queue queue_;
    std::vector<Task> tasks_;
    /// Tasks not yet done, for each step of each occurrence.
    std::vector<uint32_t> unfinishedTasks_;
    bool cancelled_ { false };
    bool failed_ { false };
    bool started_ { false };
    /// Phase as of the last durable batch; nothing before the first.
    std::optional<JobPhase> durablePhase_;
    /// Since when tasks of it wait for room while none is assigned.
    std::optional<Instant> idleSince_;
    /// When the job ended, for its retention.
    std::optional<Instant> endedAt_;
    bool operator==(const Job&) const = default;
};

/// Worker as the owner knows it.
struct Worker {
    std::string agent_;
    WorkerTraits traits_;
    bool draining_ { false };
    Instant leavesAt_;
    /// Its lists are complete under the session's fence.
    bool isListed_ { false };
    /// When its agent last reported it.
    Instant lastReportAt_;
    /// By then the leases of its tasks have surely expired, unless they are renewed.
    Instant leaseEnd_;
    std::set<TaskKey> assignedTasks_;
    /// Demand of the assigned tasks; cores of filling tasks apart.
    Resources reserved_;
    int64_t fillingMilliCores_ { 0 };
    /// Long-running tasks among them, and their cores.
    uint32_t longRunningCount_ { 0 };
    int64_t longRunningMilliCores_ { 0 };
    std::map<std::string, uint32_t> longRunningByImage_;
    /// Ends taken in, and those of them that are not durable yet.
    uint64_t lastHandledEnd_ { 0 };
    std::set<uint64_t> pendingEnds_;
    /// Ends up to this one were reported as durable.
    uint64_t acknowledgedEnd_ { 0 };
    Instant backoffUntil_;
    /// Processors of the assigned filling tasks, in thousandths, by image.
    std::map<std::string, int64_t> fillingByImage_;
    /// Number and contents of the newest reading of its load, and what its long-running tasks bear according to it.
    uint64_t readingNumber_ { 0 };
    LoadReading lastReading_;
    std::vector<Tolerance> tolerances_;
    uint32_t consecutiveFailures_ { 0 };
    uint32_t quarantineCount_ { 0 };
    Instant quarantinedUntil_;
    /// Runs ordered to stop that belong to no assigned task, with the time of the order.
    std::map<RunKey, Instant> unassignedRuns_;
    bool operator==(const Worker&) const = default;
};

struct Agent {
    std::string domain_;
    uint64_t session_ { 0 };
    Fence fence_;
    Sequence newestReport_;
    Instant lastReportAt_;
    /// It has reported its workers under this fence; before, it is granted no leases, as they could be for workers that
    /// this owner does not know of.
    bool hasReported_ { false };
    OrderNumber lastOrder_;
    OrderNumber lastCompletedOrder_;
    /// Orders without outcome.
    std::vector<Order> pendingOrders_;
    OrderNumber lastSentOrder_;
    Instant ordersSentAt_;
    /// There is something to tell before the next report.
    bool isReplyDue_ { false };
    /// The workers that it has reported in this session.
    std::set<WorkerIncarnation> workers_;
    bool operator==(const Agent&) const = default;
};

/// Identifies a waiting client.
using CallToken = Counter<struct CallTokenTag>;

struct AnswerClient {
    CallToken token_;
    ClientAnswer answer_;
    bool operator==(const AnswerClient&) const = default;
};
struct ReleaseStart {
    RunKey run_;
    auto operator<=>(const ReleaseStart&) const = default;
};
struct ReleaseEnd {
    WorkerIncarnation worker_;
    uint64_t number_ { 0 };
    auto operator<=>(const ReleaseEnd&) const = default;
};
/// What waits for a job's batch.
using Effect = std::variant<AnswerClient, ReleaseStart, ReleaseEnd>;

struct StagedJob {
    bool writesRecord_ { false };
    /// A transaction with these rows was sent and its outcome is open.
    bool mayBeStored_ { false };
    bool isRemoved_ { false };
    std::vector<Effect> effects_;
    bool operator==(const StagedJob&) const = default;
};

/// Rows to be written in one transaction and what it releases.
struct Batch {
    struct Item {
        JobId job_;
        JobPhase phase_ { JobPhase::Pending };
        StagedJob staged_;
        bool operator==(const Item&) const = default;
    };
    std::vector<Item> items_;
    bool operator==(const Batch&) const = default;
};

struct LeaderState {
    LeaderEpoch epoch_;
    Tuning tuning_;
    Catalog catalog_;
    std::set<std::string> evacuatedDomains_;
    std::map<JobId, Job> jobs_;
    /// Unfinished jobs.
    std::set<JobId> openJobs_;
    /// Jobs that may have a task to start.
    std::set<JobId> readyJobs_;
    std::map<WorkerIncarnation, Worker> workers_;
    std::map<std::string, Agent> agents_;
    Interference interference_;
    /// When a write first failed after the last one that became durable.
    std::optional<Instant> storeFailedAt_;
    /// Leases may be granted until then.
    Instant leaseGrantsUntil_;
    uint64_t sessionCount_ { 0 };
    /// When waiting jobs were last looked through.
    Instant lastPlacementAt_;
    /// When lapsed leases, hung runs and old jobs are looked for again.
    Instant nextCheckAt_;
    /// Newest time of day, for jobs with stated times.
    int64_t wallMs_ { 0 };
    std::vector<JobId> stagedOrder_;
    std::map<JobId, StagedJob> staged_;
    bool operator==(const LeaderState&) const = default;
};

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
    /// When the write was sent; the leadership held at that time.
    Instant writeSentAt_;
    bool operator==(const BatchDurable&) const = default;
};
/// The store has refused a write or did not answer it.
struct StoreFailed {
    auto operator<=>(const StoreFailed&) const = default;
};
struct Tick {
    int64_t wallMs_ { 0 };
    auto operator<=>(const Tick&) const = default;
};

using LeaderMessage = std::variant<CallArrived, ReportArrived, CatalogChanged, EvacuationsChanged, BatchDurable, StoreFailed, Tick>;

/// The agent's waiting report should be answered now.
struct AnswerAgent {
    std::string agent_;
    auto operator<=>(const AnswerAgent&) const = default;
};
/// A decision for the log: what, on which job, run or worker, and why.
struct LogEvent {
    std::string event_;
    std::string subject_;
    std::string detail_;
    auto operator<=>(const LogEvent&) const = default;
};

using LeaderAction = std::variant<AnswerClient, AnswerAgent, LogEvent>;

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

/// The state of a new owner. Every worker named in the rows may still run what was assigned to it until its agent
/// reports or its lease has surely expired.
LeaderState restoreState(LeaderEpoch, Tuning, std::vector<StoredJob>, Instant now);

/// Takes in one message.
Decision decide(LeaderState, const LeaderMessage&, Instant now);

/// Largest number of jobs in one batch: a transaction holds at most 100 entries, of which a new job takes two.
inline constexpr size_t maximumBatchJobs = 40;

/// Takes the oldest staged jobs out of `state`. Only one batch is under way at a time.
/// \return the batch; empty if nothing is staged.
Batch extractBatch(LeaderState&);

/// Puts back a batch that did not become durable.
/// \param mayBeStored its outcome is open.
void restage(LeaderState&, Batch, bool mayBeStored);

/// The progress of a job, to be written with its batch.
/// \return the progress; nothing if the job is gone.
std::optional<Progress> progressOf(const LeaderState&, const JobId&);

/// The answer to the agent's newest report, with all that is new since the last one; records what was told and until
/// when the leases then granted hold.
ReportReply makeReportReply(LeaderState&, const std::string& agent, Instant now);

/// True if `makeReportReply` has something to tell before the agent reports again.
bool isReplyDue(const LeaderState&, const std::string& agent, Instant now);

/// True if the call is about a job that the owner knows; it can be answered whatever else has changed.
bool concernsKnownJob(const LeaderState&, const ClientCall&);

/// Phase of a job from its present state.
JobPhase phaseOf(const Job&);

} // namespace persimmondoor::workflow
