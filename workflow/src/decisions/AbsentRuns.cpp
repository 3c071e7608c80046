#include "AbsentRuns.h"

#include <algorithm>
#include <vector>

namespace persimmondoor::workflow {

// True if the worker would refuse other runs too, and the same run again.
static bool concernsWorker(StartRefusal reason)
{
    switch (reason) {
    case StartRefusal::Fenced:
    case StartRefusal::OrderExpired:
    case StartRefusal::NoRoom:
    case StartRefusal::Unavailable:
        return true;
    case StartRefusal::StaleRun:
    case StartRefusal::NoTicket:
    case StartRefusal::Malformed:
        return false;
    }
    return true;
}

// Holds starts on the worker back. Failed starts until the first report that an unreachable worker is reached again say
// nothing about the worker from then on.
static void backOff(const DecisionContext& context, const WorkerReport& report, bool wasReachable, Worker& worker)
{
    if (!wasReachable || !report.isReachable_)
        return;
    worker.backoffUntil_ = context.now_ + context.state_.tuning_.refusalBackoff_;
    worker.lastChoiceUntil_ = context.now_ + context.state_.tuning_.lastChoiceAfterRefusal_;
}

void backOffAfterRefusals(const DecisionContext& context, const WorkerReport& report, bool wasReachable, Worker& worker)
{
    if (std::any_of(report.refused_.begin(), report.refused_.end(), [](const RefusedStart& refused) { return concernsWorker(refused.reason_); }))
        backOff(context, report, wasReachable, worker);
}

// True if the report says that the start of the run was refused. A stale run may be one that has ended there, which only all ends
// tell.
static bool isRefused(const WorkerReport& report, const RunKey& run)
{
    return std::any_of(report.refused_.begin(), report.refused_.end(), [&](const RefusedStart& refused) { return refused.run_ == run && (report.hasAllEnds_ || refused.reason_ != StartRefusal::StaleRun); });
}

// True if the worker left the start of the absent run unanswered, so that its agent stopped the run. No order of this
// session means that the start was void, and after a stop by the leader the start had no effect.
static bool isUnanswered(const Task& task)
{
    return task.lastOrder_ != OrderNumber() && !task.isStopping_;
}

void markAbsentRunsLost(const DecisionContext& context, const WorkerReport& report, bool wasReachable, Worker& worker, const std::set<TaskKey>& seen, const Agent& agent)
{
    std::vector<TaskKey> absent;
    for (const TaskKey& key : worker.assignedTasks_) {
        const Task* task = findTask(context.state_, key);
        const RunKey run { key, task->progress_.run_ };
        bool isFinal = (report.hasAllEnds_ && areOrdersCompleted(agent, run, task->lastOrder_)) || isRefused(report, run);
        if (task->isStartReleased_ && isFinal && seen.count(key) == 0)
            absent.push_back(key);
    }
    for (const TaskKey& key : absent) {
        Job& job = context.state_.jobs_.at(key.job_);
        Task& task = job.tasks_[taskNumber(job, key)];
        // Stopping the gang of an earlier task in the list may have unassigned this one.
        if (task.progress_.phase_ != TaskPhase::Assigned)
            continue;
        bool isRefusedRun = isRefused(report, { key, task.progress_.run_ });
        if (!isRefusedRun && isUnanswered(task)) {
            task.avoidedWorker_ = report.incarnation_.name_;
            backOff(context, report, wasReachable, worker);
        }
        markRunLost(context, job, key, task, isRefusedRun ? "refused by the worker" : "not on the worker");
    }
}

void noteUnlistedRuns(const DecisionContext& context, const Worker& worker, const std::set<TaskKey>& seen)
{
    for (const TaskKey& key : worker.assignedTasks_) {
        if (seen.count(key) == 0)
            findTask(context.state_, key)->isUnlisted_ = true;
    }
}

void noteUnlistedEnds(const DecisionContext& context, const Worker& worker, const std::set<TaskKey>& seen)
{
    for (const TaskKey& key : worker.assignedTasks_) {
        if (seen.count(key) == 0)
            findTask(context.state_, key)->lastProgressAt_ = context.now_;
    }
}

} // namespace persimmondoor::workflow
