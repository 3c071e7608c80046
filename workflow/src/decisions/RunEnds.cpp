#include "AdmissionSurvey.h"
#include "LeaderRules.h"
#include "SlowWorkers.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

static void countFailure(const DecisionContext& context, Job& job, const TaskKey& key, Task& task, Worker& worker)
{
    task.avoidedWorker_ = task.progress_.worker_.name_;
    ++task.progress_.failures_;
    // The next task would likely fail on another quarantined worker.
    job.hasExceptionalPlace_ = false;
    recordWorkerFailure(context, key, task, worker);
    uint32_t maximum = job.queue_.maxAttempts_;
    if (!stepOf(job, key).longRunning_ && maximum > 0 && task.progress_.failures_ >= maximum)
        failJob(context, job, concat("task ", describe(key), " failed ", maximum, " times"));
}

void completeTask(const DecisionContext& context, Job& job, const TaskKey& key, Task& task)
{
    if (task.progress_.phase_ == TaskPhase::Done)
        return;
    if (task.progress_.phase_ == TaskPhase::Assigned)
        recordRunEnd(job, key, task, true, context.now_);
    task.progress_.phase_ = TaskPhase::Done;
    task.progress_.checkpoint_.clear();
    if (--unfinishedTasksOf(job, key) > 0)
        return;
    recordStepDone(context, job, key, task);
    makeReady(context.state_, job);
}

// Completes a task whose newest run is still assigned, and stops that run.
static void completeAssignedTask(const DecisionContext& context, Job& job, const TaskKey& key, Task& task)
{
    if (task.progress_.phase_ != TaskPhase::Assigned)
        return;
    const RunKey run { key, task.progress_.run_ };
    const WorkerIncarnation incarnation = task.progress_.worker_;
    bool mayRun = task.isStartReleased_;
    if (mayRun)
        orderStop(context, key, task, "the task is done");
    OrderNumber stopOrder = task.lastOrder_;
    completeTask(context, job, key, task);
    unassign(context, job, key, task);
    if (auto worker = context.state_.workers_.find(incarnation); mayRun && worker != context.state_.workers_.end())
        reserveStoppingRun(worker->second, run, stepOf(job, key), stopOrder);
}

static void handleCompletion(const DecisionContext& context, Job& job, const EndedRun& end, Task& task, bool isCurrent)
{
    const TaskKey& key = end.run_.task_;
    if (isCurrent) {
        recordDistance(context, job, key, task);
        completeTask(context, job, key, task);
        unassign(context, job, key, task);
    } else if (task.progress_.phase_ == TaskPhase::Assigned) {
        completeAssignedTask(context, job, key, task);
    } else {
        completeTask(context, job, key, task);
    }
    if (!stepOf(job, key).gang_)
        return;
    // A gang is done once one of its members is done.
    for (uint32_t index = 0; index < stepOf(job, key).count_; ++index) {
        TaskKey memberKey { key.job_, key.occurrence_, key.step_, index };
        Task& member = job.tasks_[taskNumber(job, memberKey)];
        if (member.progress_.phase_ == TaskPhase::Assigned)
            completeAssignedTask(context, job, memberKey, member);
        else
            completeTask(context, job, memberKey, member);
    }
}

static void handleIncompleteEnd(const DecisionContext& context, Job& job, const EndedRun& end, Task& task, Worker& worker)
{
    const TaskKey& key = end.run_.task_;
    noteCheckpoint(task, end.checkpoint_);
    // The worker is alive to list the end.
    clearCrashes(task.progress_);
    task.progress_.crashSeries_ = {};
    if (end.end_ == RunEnd::Failed)
        countFailure(context, job, key, task, worker);
    task.withoutRunSince_ = context.now_;
    unassign(context, job, key, task);
}

void handleEnd(const DecisionContext& context, const WorkerIncarnation& incarnation, const EndedRun& end)
{
    context.noteJob(end.run_.task_.job_);
    Worker& worker = context.state_.workers_.at(incarnation);
    worker.lastHandledEnd_ = end.number_;
    noteStoppedRun(worker, end.run_);
    if (holdUnreadableEnd(context, incarnation, worker, end))
        return;
    Task* task = findTask(context.state_, end.run_.task_);
    if (!task)
        return;
    Job& job = context.state_.jobs_.at(end.run_.task_.job_);
    // An end that changes nothing here may stand for a change that is not durable yet: another member has ended the gang, or
    // the worker was dropped meanwhile and lists the end again.
    worker.nonDurableEnds_.insert(end.number_);
    stage(context.state_, job.record_.id_, ReleaseEnd { incarnation, end.number_ });
    bool isCurrent = task->progress_.phase_ == TaskPhase::Assigned && task->progress_.run_ == end.run_.run_ && task->progress_.worker_ == incarnation;
    bool changesTask = end.end_ == RunEnd::Done ? task->progress_.phase_ != TaskPhase::Done : isCurrent;
    if (!changesTask)
        return;
    job.idleSince_.reset();
    context.logEvent("run.ended", describe(end.run_), concat(describe(end.end_), "; worker ", incarnation.name_));
    if (end.end_ == RunEnd::Done && isCurrent)
        observeCompletedRun(context, job, end.run_.task_, *task, worker);
    if (end.end_ == RunEnd::Done && isCurrent)
        observeEndedPace(context, job, end.run_.task_, *task, worker);
    if (end.end_ == RunEnd::Done)
        worker.consecutiveFailures_ = 0;
    if (end.end_ == RunEnd::Done && isCurrent)
        recordWorkerProof(context, *task, worker);
    job.hasStarted_ = true;
    if (end.end_ == RunEnd::Done)
        handleCompletion(context, job, end, *task, isCurrent);
    else
        handleIncompleteEnd(context, job, end, *task, worker);
    closeIfEnded(context, job);
}

} // namespace persimmondoor::workflow
