#include "LeaderRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <optional>

namespace persimmondoor::workflow {

void countCrash(const DecisionContext& context, const WorkerIncarnation& incarnation, const std::vector<RunKey>& crashedRuns)
{
    const Tuning& tuning = context.state_.tuning_;
    std::vector<TaskKey> suspects;
    for (const RunKey& run : crashedRuns) {
        const Task* task = findTask(context.state_, run.task_);
        bool isCurrent = task && task->progress_.phase_ == TaskPhase::Assigned && task->progress_.run_ == run.run_ && task->progress_.worker_ == incarnation;
        if (isCurrent)
            suspects.push_back(run.task_);
    }
    uint32_t limit = suspects.size() == 1 ? tuning.soleCrashesBeforeFailure_ : tuning.crashesBeforeFailure_;
    for (const TaskKey& key : suspects) {
        Job& job = context.state_.jobs_.at(key.job_);
        Task& task = job.tasks_[taskNumber(job, key)];
        task.avoidedWorker_ = incarnation.name_;
        // The run was there, though the worker may not have listed it.
        task.withoutRunSince_ = context.now_;
        ++task.progress_.crashes_;
        context.logEvent("run.crashed_worker", describe(RunKey { key, task.progress_.run_ }), concat("worker ", incarnation.name_, " crashed just after its start, crash ", task.progress_.crashes_, " in series; ", suspects.size() - 1, " other runs had just started there"));
        bool isGivenUp = task.progress_.crashes_ >= limit && !job.isCancelled_ && !job.hasFailed_;
        if (isGivenUp)
            failJob(context, job, concat("workers crashed just after ", task.progress_.crashes_, " starts in series of task ", describe(key)));
    }
}

void noteReading(const DecisionContext& context, const TaskKey& key, Task& task)
{
    const Tuning& tuning = context.state_.tuning_;
    ++task.readings_;
    Worker& worker = context.state_.workers_.at(task.progress_.worker_);
    // A reading may be as old as the wait of the report that carries it.
    bool isShown = task.times_.listedAt_ && context.now_ - *task.times_.listedAt_ > tuning.observationTime_;
    if (!isShown)
        return;
    if (worker.observedTask_ == key)
        worker.observedTask_.reset();
    if (task.readings_ >= tuning.readingsToOutliveStart_)
        task.progress_.crashes_ = 0;
}

bool mustAwaitObservation(const LeaderState& state, const Job& job, const TaskKey& key, Instant now)
{
    if (job.tasks_[taskNumber(job, key)].progress_.crashes_ == 0)
        return false;
    std::optional<Instant> since = waitingSince(job, key);
    if (since && now - *since > state.tuning_.maximumSuspectWait_)
        return false;
    size_t usable = 0;
    size_t observed = 0;
    for (const auto& [incarnation, worker] : state.workers_) {
        usable += acceptsRuns(state, worker, now) ? 1 : 0;
        observed += worker.observedTask_ ? 1 : 0;
    }
    return observed >= std::max<size_t>(1, usable * state.tuning_.maximumObservedPercent_ / 100);
}

} // namespace persimmondoor::workflow
