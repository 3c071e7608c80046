// Functions that several files of the leader's decisions share.
#pragma once

#include "persimmondoor/workflow/Leader.h"

namespace persimmondoor::workflow {

class DemandSurveys;

// Context of one decision: the state, the actions so far and the time.
struct DecisionContext {
    LeaderState& state_;
    std::vector<LeaderAction>& actions_;
    Instant now_;
    DecisionTrace* trace_ { nullptr };

    // Notes the job that the decision is concerned with from here on.
    void noteJob(const JobId& job) const
    {
        if (trace_)
            trace_->note(job);
    }
    void addAction(LeaderAction action) const { actions_.push_back(std::move(action)); }
    void logEvent(std::string event, std::string subject, std::string detail) const
    {
        actions_.push_back(LogEvent { std::move(event), std::move(subject), std::move(detail) });
    }
};

inline int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Index of the task in `Job::tasks_`, and its inverse.
uint32_t taskNumber(const Job&, const TaskKey&);
TaskKey keyOf(const Job&, uint32_t taskNumber);
const Step& stepOf(const Job&, const TaskKey&);
// The counter of unfinished tasks of the key's step and occurrence.
uint32_t& unfinishedTasksOf(Job&, const TaskKey&);
// The task, or null if there is no such job or task.
Task* findTask(LeaderState&, const TaskKey&);
// Assigns the task to the worker and reserves its resources there.
void reserveResources(Worker&, const TaskKey&, const Step&);
// Sets the job's queue to its current configuration.
void applyCatalog(const Catalog&, Job&);
// True if the job has unfinished tasks; for a cancelled or failed job, if it still has assigned tasks.
bool isOpen(const Job&);
bool hasAssignedTasks(const Job&);
// True if a run of the job is about to start or may go on. Runs on workers that are not reached, or not reported any more, do not
// count although their leases last: the other tasks of the job need not wait for these to end.
bool hasRunAtWork(const LeaderState&, const Job&, Instant now);
// True if such a run is listed by its worker.
bool hasListedRunAtWork(const LeaderState&, const Job&, Instant now);

// Stages the job's rows for the next batch. The second form adds an effect that is released once the batch is durable.
StagedJob& stage(LeaderState&, const JobId&);
void stage(LeaderState&, const JobId&, Effect);

// Adds the job to the jobs that may have a task to start, unless it is cancelled or failed.
void makeReady(LeaderState&, const Job&);
// Removes the job from the open jobs if it has ended.
void closeIfEnded(const DecisionContext&, Job&);

// Orders the worker to stop the task's run, unless the stop was ordered before or the worker's agent is unknown.
void orderStop(const DecisionContext&, const TaskKey&, Task&, std::string_view why);
// Keeps the room of a run that is ordered to stop until its worker no longer lists it, as it is released only then.
void reserveStoppingRun(Worker&, const RunKey&, const Step&, OrderNumber stopOrder);
// Notes that the worker has listed the end of a run, whose room then no longer waits for the order to stop it: that order counts
// as open as long as an earlier one of the agent is, such as one to another worker.
void noteStoppedRun(Worker&, const RunKey&);
// True if the outcome of all orders for the run is final and contained in the lists of the agent's newest report, whether or not
// earlier orders for other runs are open.
// \param lastOrder the last order for the run.
bool areOrdersCompleted(const Agent&, const RunKey&, OrderNumber lastOrder);
// Releases the room of the stopped runs that are neither active on the worker nor still to be stopped by an order.
void releaseStoppedRuns(Worker&, const std::vector<ActiveRun>& active, const Agent&);
// Stops all assigned tasks of the job; starts that have not been released are withdrawn.
void stopTasks(const DecisionContext&, Job&, std::string_view why);
// Releases the task's resources on its worker, where its run has ended or never started, and makes the task wait again
// unless it is done. The other members of a gang stay assigned.
void releaseTask(const DecisionContext&, Job&, const TaskKey&, Task&);
// Releases the task as above, and stops the other members of its gang.
void unassign(const DecisionContext&, Job&, const TaskKey&, Task&);
// Unassigns a task whose run is neither active on its worker nor reported as ended, so that the task is started again.
void markRunLost(const DecisionContext&, Job&, const TaskKey&, Task&, std::string_view why);
// Adds an order for the agent, if the leader knows the agent.
void addOrder(const DecisionContext&, const std::string& agent, Order);

// Adds the task's newest run, which has ended, to the task's delays.
void recordRunEnd(Job&, const TaskKey&, Task&, bool isDone, Instant now);
// Adds the task's run, which has ended as done, to what near and far runs take.
void recordDistance(const DecisionContext&, const Job&, const TaskKey&, const Task&);
// The wait for a near place of the task, or of its gang, until now or later; null if there is none.
const NearWait* nearWaitOf(const LeaderState&, const Step&, TaskKey, Instant now);
// Records that the task was the last of its step to be done.
void recordStepDone(const DecisionContext&, Job&, const TaskKey&, const Task& lastTask);
// Since when the waiting task has had no run that a worker listed, as far as this leader has seen; empty if it is not waiting.
std::optional<Instant> waitingSince(const Job&, const TaskKey&);
// Delays along the chain of steps that determined the end of the job, as far as this leader has seen them.
Delays delaysOf(const Job&);
// Text for log lines: the job's queue, its number of tasks, and the failure domain of the task that was done last.
std::string describeExtent(const Job&);
// Logs jobs that have missed their objective, once each.
void reportLateJobs(const DecisionContext&);
// Logs, once per `Tuning::waitReportInterval_` for each step, what long-running tasks without a run wait for.
void reportWaitingLongRunningTasks(const DecisionContext&);
// Logs once per `Tuning::backlogReportInterval_` what the waiting tasks wait for.
void reportBacklog(const DecisionContext&, DemandSurveys&);
// Notes since when the open jobs have had nothing running although a step of theirs may start.
void updateStandstills(const DecisionContext&);
// Logs once per `Tuning::waitReportInterval_` why jobs have nothing running, those that have waited longest first.
void reportWaitingJobs(const DecisionContext&, DemandSurveys&);

// Notes a checkpoint that the task's newest run has listed or ended with; an empty one is none.
void noteCheckpoint(Task&, const std::string& checkpoint);
// Gives all members of the gang the same checkpoint and the same number of failed runs, which hold for the gang as a whole. To
// be called when the gang is assigned, so that both become durable with the assignment.
void levelGang(Job&, const TaskKey& member);

void completeTask(const DecisionContext&, Job&, const TaskKey&, Task&);
void handleEnd(const DecisionContext&, const WorkerIncarnation&, const EndedRun&);
// Removes a worker on which no run is left, and marks its assigned runs as lost.
void dropWorker(const DecisionContext&, const WorkerIncarnation&, std::string_view why);
// Notes a worker that is to be dropped as its leases have expired, and the tasks whose runs may have ended there before.
void noteSilentWorker(const DecisionContext&, const WorkerIncarnation&, const Worker&);
// Begins the wait for the lists of the agent's silent workers. Later sessions do not begin it again, so that an agent that
// attaches in series cannot prolong it.
void beginListWaits(const DecisionContext&, const std::string& agent);
// Ends the wait for the worker's lists, as they have arrived or never will.
void endListWait(const DecisionContext&, const WorkerIncarnation&);
// Begins the wait again, as the worker has listed a part of its ends.
void prolongListWait(const DecisionContext&, const WorkerIncarnation&);
void endListWaitsOfEarlierIncarnations(const DecisionContext&, const WorkerIncarnation&);
// Ends the waits for lists that have lasted for `Tuning::maximumListWait_` or concern no task any more.
void endOverdueListWaits(const DecisionContext&);
// True if the agent of the silent worker that had the task's last run is back and has not listed that worker yet: the run may
// have ended as done before the worker's leases expired.
bool mayHaveEnded(const LeaderState&, const Task&, Instant now);
// Stores the cancellation of a job that is not known and acknowledges it then: the submission of the job may be on its way.
void cancelUnknownJob(const DecisionContext&, CallToken, const JobId&);
// Returns the answer to a submission whose cancellation has arrived before it; nothing if there is none.
std::optional<NotAccepted> refuseCancelledJob(const DecisionContext&, const JobId&);
// Notes that the early cancellation of the job, if there is one, is stored.
void noteDurableCancellation(LeaderState&, const JobId&);
void removeExpiredCancellations(const DecisionContext&);
// Fails the job and stops its tasks.
void failJob(const DecisionContext&, Job&, std::string why);

// Forgets the crashes of workers just after the task's starts, as a run has outlived its start.
void clearCrashes(TaskProgress&);
// Counts the crash of a worker against the tasks whose runs it had just started, and fails the jobs of those that have
// crashed workers again and again. To be called before the worker is dropped.
// \param unconfirmedStarts those of the runs whose start the worker had not confirmed.
void countCrash(const DecisionContext&, const WorkerIncarnation&, const std::vector<RunKey>& crashedRuns, const std::set<RunKey>& unconfirmedStarts);
// Notes whether the worker's agent reaches it, according to its last report.
void noteReachability(const DecisionContext&, const WorkerIncarnation&, Worker&);
// Counts the loss of a worker in the series of crashes of its tasks, and fails the jobs of those with enough evidence against
// them. To be called before the worker is dropped.
// \param crashedRuns runs that the agent had just started when the worker crashed.
// \param unconfirmedStarts those of them whose start the worker had not confirmed.
void countLoss(const DecisionContext&, const WorkerIncarnation&, const std::vector<RunKey>& crashedRuns, const std::set<RunKey>& unconfirmedStarts);
// True if workers were lost under the task's runs in series, at a similar age, so that it is started apart from other suspects.
bool isLateSuspect(const Tuning&, const TaskProgress&);
// True if the task is a late suspect, another one is on the worker, and neither has the task waited long for a better worker nor its
// job stood still for long.
bool mustBeIsolated(const LeaderState&, const Job&, const TaskKey&, const Worker&, Instant now);
// Notes that a load reading contained the task's run. Once the reading shows that the run has outlived its first moments, the
// worker is no longer kept free of other starts; two readings clear its task of earlier crashes.
void noteReading(const DecisionContext&, const TaskKey&, Task&);
// True if a task under which a worker has crashed should wait, as other suspects are being observed on enough workers.
bool mustAwaitObservation(const LeaderState&, const Job&, const TaskKey&, Instant now);

// Leaves the run on its worker if its job cannot be read, and keeps its room; a worker with a run of unknown demand gets no
// other runs.
// \return false if the job is not an unreadable one.
bool keepUnreadableRun(const DecisionContext&, Worker&, const RunKey&);
// Holds the end of a run whose job cannot be read, so that it is not acknowledged.
// \return false if the job is not an unreadable one.
bool holdUnreadableEnd(const DecisionContext&, const WorkerIncarnation&, Worker&, const EndedRun&);

// Upper bound on the duration of a lease granted now, by this process's clock; the worker's clock may run slower.
Duration longestLease(const Tuning&, Duration lease);
// True if the newest report that was handled contained the worker, so that its agent passes the lease of a reply on to it.
bool isInNewestReport(const Agent&, const Worker&);
// The lease that a reply to the agent may grant; 0 for none.
Duration grantableLease(const LeaderState&, const Agent&, Instant now);
// Suspends the leases of workers that are not reported, so that the present bounds on them can be stored.
void suspendLeasesOfSilentWorkers(const DecisionContext&);
// Notes that a worker is reported. If its leases are suspended, they are granted again once the store no longer names it.
void requestLeaseGrants(const DecisionContext&, Worker&);
// Allows leases of reported workers that the durable batch does not name as silent.
void allowLeaseGrants(const DecisionContext&, const Batch& durable);
// The workers with assigned tasks whose leases are suspended, and the bounds on their leases.
std::map<WorkerIncarnation, Instant> silentWorkersOf(const LeaderState&);

void handleCall(const DecisionContext&, const CallArrived&);
void handleReport(const DecisionContext&, const AgentReport&);
void handleBatchDurable(const DecisionContext&, const BatchDurable&);
void handleTick(const DecisionContext&, const Tick&);
// Refuses jobs for which no transaction has been sent, if the store is unavailable.
void refuseUnsentJobs(const DecisionContext&);
// Removes a job that was never stored and whose rows the store rejects, and answers its clients that it is invalid. Does nothing to
// other jobs.
void rejectSubmission(const DecisionContext&, const JobId&);

// Assigns tasks of ready jobs to workers, in the order of urgency. Under a backlog, only once per
// `Tuning::placementInterval_`.
void startReadyTasks(const DecisionContext&);
// Withdraws starts that have not been released and are no longer allowed, such as those in an evacuated domain.
void withdrawForbiddenStarts(const DecisionContext&);

// Whether a filling task may be placed on a worker whose long-running tasks it would disturb.
enum class Disturbance : uint8_t {
    // Only if it disturbs some on every worker, and only where it can run at nearly its full speed.
    Avoided,
    // On all workers. Tasks of any kind may also be placed beside late suspects.
    Allowed,
    // Also where other filling tasks have all the cores that long-running tasks leave unused, which they then share, and in room
    // that is held in vain and as a trial on quarantined workers. The latter two hold for all tasks.
    AllowedOnSharedCores,
};
// True if the task may be started on a worker that is otherwise kept free while a late suspect is observed there, as nothing of
// its job runs or, for a long-running task, as it has waited for long.
bool mayStartBesideObserved(const Job&, const TaskKey&, const Worker&, Disturbance);
// For how long nothing of the job has run; 0 while a run of it may be at work.
Duration idleTimeOf(const LeaderState&, const Job&, Instant now);
// Why a worker cannot take a task now. In the order in which the reasons are checked.
enum class WorkerObstacle : uint8_t {
    None,
    OtherService,
    // The worker is quarantined, or has to prove itself and another task is about to.
    Quarantined,
    Draining,
    Evacuated,
    // No agent has reported the worker lately, or its lists are not complete.
    NotReported,
    // Its agent does not reach the worker.
    Unreachable,
    // The worker has refused a start or left it unanswered a moment ago.
    BackingOff,
    // The worker has just started a task under which another worker has crashed.
    Observed,
    MissingLabel,
    // The worker runs as many tasks of the step as the step allows.
    StepBound,
    Cores,
    Memory,
    Accelerators,
};
inline constexpr size_t workerObstacleCount = 14;
std::string_view describe(WorkerObstacle);
WorkerObstacle obstacleAt(const LeaderState&, const Job&, const TaskKey&, const Worker&, Instant now);

// Number of tasks of the same step and occurrence on the worker.
int64_t countSiblings(const Worker&, const TaskKey&);
// Unreserved cores in thousandths; the cores of filling tasks are not counted against the capacity.
int64_t freeMilliCores(const Worker&);
// Cores in thousandths that further filling tasks can use, including the part that long-running tasks leave unused.
int64_t spareMilliCores(const Worker&);
// Notes which services are in a rush, and stops long-running tasks where urgent work needs their room.
void updateUrgentRoom(const DecisionContext&);
// Stops as many long-running tasks of the service as the demand needs and the steps allow.
void makeUrgentRoom(const DecisionContext&, const std::string& service, const Rush&, const UrgentDemand&, const TaskKey& waiting);
// Holds room for long-running tasks that have waited for `Tuning::holdRoomAfter_`, and releases the holds that are no longer
// needed.
void updateRoomHolds(const DecisionContext&);
// Demand of the holds on the worker that the task must leave free: those of other steps, unless it has a higher priority, it has
// an earlier hold there itself, or they are futile and the task may use such room.
Resources heldForOthers(const Worker&, const Job&, const TaskKey&, Disturbance);
// Removes the hold that a task of the step no longer needs, as the task was placed on the worker.
void releaseHold(Worker&, const TaskKey&);
// True if the steps on which the step depends are done in that occurrence, and the occurrence is due.
bool isStartable(const LeaderState&, const Job&, uint32_t occurrence, const Step&);
// True if the steps on which the step depends are done in that occurrence.
bool areDependenciesDone(const Job&, uint32_t occurrence, const Step&);
// True if the occurrence is due by the leader's clock.
bool isDue(const LeaderState&, const Job&, uint32_t occurrence);
// True if workers that are known from the predecessor's rows may still be reported soon.
bool isAwaitingWorkers(const LeaderState&, Instant now);
// True if the tasks assigned to the worker demand more than its capacity, as it has shrunk.
bool isOvercommitted(const Worker&);
// True if an agent has reported the worker lately and reaches it.
bool isUp(const LeaderState&, const Worker&, Instant now);
// True if the worker may be given new runs.
bool acceptsRuns(const LeaderState&, const Worker&, Instant now);
// True if the task is the probe of the worker, which may be quarantined, and may be started there.
bool acceptsProbe(const LeaderState&, const Worker&, const TaskKey&, Instant now);

// True if the worker gets no tasks but probes, as tasks have failed there.
bool isQuarantined(const Worker&, Instant now);
// True if the worker has been quarantined and no run has proven it since; it then gets one task at a time.
bool isUnproven(const Worker&);
// True if the task has to wait for the end of the worker's quarantine or for the outcome of its probe.
bool isHeldBack(const Worker&, const Job&, const TaskKey&, Disturbance, Instant now);
// True if workers that have to prove themselves may be closed to the task, but not to others of its step.
bool isBarredFromProbes(const Job&, const TaskKey&, Disturbance);
// Records that the task is assigned to the unproven worker.
void beginProbe(const DecisionContext&, const TaskKey&, Worker&);
// Counts the failure of the task's run against its worker, and quarantines the worker after several.
void recordWorkerFailure(const DecisionContext&, const TaskKey&, const Task&, Worker&);
// Ends the worker's quarantine, and the lengthening of further ones, as the task's run shows that the worker runs tasks.
void recordWorkerProof(const DecisionContext&, const Task&, Worker&);

} // namespace persimmondoor::workflow
