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

#include "persimmondoor/workflow/DecisionTrace.h"
#include "persimmondoor/workflow/JobAdmission.h"
#include "persimmondoor/workflow/JobState.h"
#include "persimmondoor/workflow/LeaderMessages.h"
#include "persimmondoor/workflow/NearPlace.h"
#include "persimmondoor/workflow/SilentWorker.h"
#include "persimmondoor/workflow/Staging.h"
#include "persimmondoor/workflow/Tuning.h"
#include "persimmondoor/workflow/UrgentRoom.h"
#include "persimmondoor/workflow/WorkerLoss.h"
#include "persimmondoor/workflow/WorkerState.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace persimmondoor::workflow {

/// The complete state of the leader.
struct LeaderState {
    LeaderEpoch epoch_;
    Tuning tuning_;
    Catalog catalog_;
    std::set<std::string> evacuatedDomains_;
    std::map<JobId, Job> jobs_;
    /// Number of the tasks of all these jobs.
    size_t taskCount_ { 0 };
    std::map<JobId, UnreadableJob> unreadableJobs_;
    std::map<JobId, EarlyCancellation> earlyCancellations_;
    /// The early cancellations in the order in which they expire.
    std::deque<JobId> earlyCancellationOrder_;
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
    /// The waits for places near data or gang, and what near and far runs took.
    NearPlaces nearPlaces_;
    /// Which services are short of room for urgent work.
    UrgentRoom urgentRoom_;
    JobAdmission admission_;
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
    /// How often the last round of placement has looked at a worker.
    uint64_t lastPlacementVisits_ { 0 };
    /// The job with which the next round of placement begins, as the last one has reached its bound; empty otherwise.
    std::optional<JobId> placementResumesFrom_;
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

/// Adds the early cancellations that the predecessor has stored, each for its whole time.
void restoreEarlyCancellations(LeaderState&, const std::vector<JobId>&, Instant now);

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
