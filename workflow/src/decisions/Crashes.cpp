#include "LeaderRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <optional>

namespace persimmondoor::workflow {

void clearCrashes(TaskProgress& progress)
{
    progress.crashes_ = 0;
    progress.unconfirmedCrashes_ = 0;
}

// \param limit number of crashes with a confirmed start that show the task's fault.
static bool isGivenUp(const Tuning& tuning, const TaskProgress& progress, uint32_t limit)
{
    return 2 * progress.crashes_ - progress.unconfirmedCrashes_ >= 2 * limit || progress.crashes_ >= tuning.anyCrashesBeforeFailure_;
}

void countCrash(const DecisionContext& context, const WorkerIncarnation& incarnation, const std::vector<RunKey>& crashedRuns, const std::set<RunKey>& unconfirmedStarts)
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
        bool isConfirmed = unconfirmedStarts.count({ key, task.progress_.run_ }) == 0;
        // The run was there, though the worker may not have listed it.
        if (isConfirmed)
            task.withoutRunSince_ = context.now_;
        ++task.progress_.crashes_;
        task.progress_.unconfirmedCrashes_ += isConfirmed ? 0 : 1;
        context.logEvent("run.crashed_worker", describe(RunKey { key, task.progress_.run_ }), concat("worker ", incarnation.name_, " crashed just after its start, crash ", task.progress_.crashes_, " in series; ", suspects.size() - 1, " other runs had just started there; the start was ", isConfirmed ? "confirmed" : "not confirmed"));
        if (isGivenUp(tuning, task.progress_, limit) && !job.isCancelled_ && !job.hasFailed_)
            failJob(context, job, concat("workers crashed just after ", task.progress_.crashes_, " starts in series of task ", describe(key)));
    }
}

void noteReachability(const DecisionContext& context, const WorkerIncarnation& incarnation, Worker& worker)
{
    if (worker.isReachable_)
        return worker.lostAt_.reset();
    if (worker.lostAt_)
        return;
    worker.lostAt_ = context.now_;
    std::vector<WorkerLoss>& losses = context.state_.losses_;
    std::erase_if(losses, [&](const WorkerLoss& loss) { return context.now_ - loss.at_ > context.state_.tuning_.lossRetention_; });
    losses.push_back({ context.now_, incarnation, !worker.suspects_.empty() });
}

bool isLateSuspect(const Tuning& tuning, const TaskProgress& progress)
{
    return progress.crashSeries_.count_ >= tuning.crashesBeforeSuspicion_;
}

// A run that is no suspect itself leaves the crash of a late suspect evidence against that one alone. An early crash is held
// against all runs that had just started.
bool mayStartBesideObserved(const Job& job, const TaskKey& key, const Worker& worker, Disturbance disturbance)
{
    bool isLate = worker.observedTask_ && worker.suspects_.count(*worker.observedTask_) > 0;
    return isLate && disturbance != Disturbance::Avoided && !stepOf(job, key).gang_ && job.tasks_[taskNumber(job, key)].progress_.crashes_ == 0;
}

// The task's wait for a run does not tell this, as it begins when the crash of its last one is known.
static bool hasStoodStillTooLong(const LeaderState& state, const Job& job, Instant now)
{
    return job.standstill_ && now - job.standstill_->since_ > state.tuning_.longestSuspectStandstill_ && !hasRunAtWork(state, job, now);
}

bool mustBeIsolated(const LeaderState& state, const Job& job, const TaskKey& key, const Worker& worker, Instant now)
{
    const Tuning& tuning = state.tuning_;
    if (worker.suspects_.empty() || !isLateSuspect(tuning, job.tasks_[taskNumber(job, key)].progress_))
        return false;
    std::optional<Instant> since = waitingSince(job, key);
    if (worker.observedTask_ || !since)
        return true;
    return now - *since <= tuning.longestIsolationWait_ && !hasStoodStillTooLong(state, job, now);
}

static Duration crashAgeTolerance(const Tuning& tuning, const CrashSeries& series)
{
    return std::max(tuning.crashAgeTolerance_, Duration(std::chrono::milliseconds(series.ageMs_)) * tuning.crashAgeTolerancePercent_ / 100);
}

static CrashSeries addCrash(const Tuning& tuning, const CrashSeries& series, Duration age, bool isEvidence)
{
    if (age > tuning.longestCrashAge_)
        return {};
    Duration difference = age - std::chrono::milliseconds(series.ageMs_);
    int64_t ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    bool isInSeries = series.count_ > 0 && std::chrono::abs(difference) <= crashAgeTolerance(tuning, series);
    return isInSeries ? CrashSeries { series.count_ + 1, series.evidence_ + (isEvidence ? 1 : 0), ageMs } : CrashSeries { 1, 0, ageMs };
}

namespace {

    // The workers that were lost at about the same time.
    struct CommonLoss {
        size_t workers_ { 0 };
        size_t withoutSuspect_ { 0 };
    };

} // namespace

static CommonLoss commonLoss(const LeaderState& state, const WorkerIncarnation& incarnation, Instant lostAt)
{
    CommonLoss common;
    for (const WorkerLoss& loss : state.losses_) {
        bool isCommon = loss.worker_ == incarnation || std::chrono::abs(loss.at_ - lostAt) <= state.tuning_.lossWindow_;
        common.workers_ += isCommon ? 1 : 0;
        common.withoutSuspect_ += isCommon && loss.worker_ != incarnation && !loss.hostedSuspect_ ? 1 : 0;
    }
    return common;
}

// The age of the task's run when its worker was lost; empty if it is unknown, or if it is not sure that the run was started.
static std::optional<Duration> ageAtLoss(const TaskKey& key, const Task& task, Instant lostAt, const std::vector<RunKey>& crashedRuns, const std::set<RunKey>& unconfirmedStarts)
{
    const RunKey run { key, task.progress_.run_ };
    bool isConfirmed = std::find(crashedRuns.begin(), crashedRuns.end(), run) != crashedRuns.end() && unconfirmedStarts.count(run) == 0;
    bool wasStarted = task.times_.listedAt_ || isConfirmed;
    if (task.progress_.phase_ != TaskPhase::Assigned || !wasStarted || !task.times_.releasedAt_ || lostAt < *task.times_.releasedAt_)
        return std::nullopt;
    return lostAt - *task.times_.releasedAt_;
}

void countLoss(const DecisionContext& context, const WorkerIncarnation& incarnation, const std::vector<RunKey>& crashedRuns, const std::set<RunKey>& unconfirmedStarts)
{
    const Tuning& tuning = context.state_.tuning_;
    auto found = context.state_.workers_.find(incarnation);
    if (found == context.state_.workers_.end() || found->second.draining_)
        return;
    Worker& worker = found->second;
    worker.isReachable_ = false;
    noteReachability(context, incarnation, worker);
    Instant lostAt = *worker.lostAt_;
    CommonLoss common = commonLoss(context.state_, incarnation, lostAt);
    bool isMassLoss = common.workers_ >= tuning.fewestInMassLoss_ && common.workers_ * 100 >= tuning.massLossPercent_ * context.state_.workers_.size();
    if (isMassLoss && common.withoutSuspect_ > 0)
        return;
    const std::set<TaskKey> suspects = worker.suspects_;
    const std::set<TaskKey> assigned = worker.assignedTasks_;
    for (const TaskKey& key : assigned) {
        Job& job = context.state_.jobs_.at(key.job_);
        Task& task = job.tasks_[taskNumber(job, key)];
        std::optional<Duration> age = ageAtLoss(key, task, lostAt, crashedRuns, unconfirmedStarts);
        if (!age)
            continue;
        bool isEvidence = common.withoutSuspect_ == 0 && suspects.size() == 1 && suspects.count(key) > 0;
        CrashSeries& series = task.progress_.crashSeries_;
        series = addCrash(tuning, series, *age, isEvidence);
        if (series.count_ < tuning.crashesBeforeSuspicion_)
            continue;
        task.avoidedWorker_ = incarnation.name_;
        context.logEvent("run.lost_in_series", describe(RunKey { key, task.progress_.run_ }), concat("worker ", incarnation.name_, " was lost ", series.ageMs_, " ms after the start, loss ", series.count_, " in series, ", series.evidence_, " of them evidence against the task; ", common.workers_ - 1, " other workers were lost with it, ", common.withoutSuspect_, " of them without a suspect"));
        bool isAtFault = series.evidence_ >= tuning.evidenceBeforeFailure_ || (series.count_ >= tuning.crashesInSeriesBeforeFailure_ && series.evidence_ > 0);
        if (isAtFault && !job.isCancelled_ && !job.hasFailed_)
            failJob(context, job, concat("workers crashed at a similar age of ", series.count_, " runs in series of task ", describe(key)));
    }
}

// Clears the task of its series of crashes once its run has outlived it.
static void noteSurvival(const DecisionContext& context, const TaskKey& key, Task& task, Worker& worker)
{
    CrashSeries& series = task.progress_.crashSeries_;
    Duration age = context.now_ - task.times_.releasedAt_.value_or(*task.times_.listedAt_);
    // A reading may be as old as the wait of the report that carries it.
    if (series.count_ == 0 || !worker.isReachable_ || age <= std::chrono::milliseconds(series.ageMs_) + crashAgeTolerance(context.state_.tuning_, series) + context.state_.tuning_.observationTime_)
        return;
    series = {};
    worker.suspects_.erase(key);
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
    noteSurvival(context, key, task, worker);
    bool isObservationOver = worker.suspects_.count(key) == 0 || context.now_ - *task.times_.listedAt_ > tuning.longestLateObservation_;
    if (worker.observedTask_ == key && isObservationOver)
        worker.observedTask_.reset();
    if (task.readings_ >= tuning.readingsToOutliveStart_)
        clearCrashes(task.progress_);
}

// Every other start of a late suspect is delayed by more than the tolerance, so that crashes at regular times, which the task has
// not caused, come at another age of its run.
static Duration startDelay(const Tuning& tuning, const TaskProgress& progress)
{
    bool isDelayed = isLateSuspect(tuning, progress) && progress.crashSeries_.count_ % 2 == 0;
    return isDelayed ? crashAgeTolerance(tuning, progress.crashSeries_) + tuning.observationTime_ : Duration(0);
}

bool mustAwaitObservation(const LeaderState& state, const Job& job, const TaskKey& key, Instant now)
{
    const TaskProgress& progress = job.tasks_[taskNumber(job, key)].progress_;
    if (progress.crashes_ == 0 && !isLateSuspect(state.tuning_, progress))
        return false;
    std::optional<Instant> since = waitingSince(job, key);
    if (since && now - *since < startDelay(state.tuning_, progress))
        return true;
    if ((since && now - *since > state.tuning_.maximumSuspectWait_) || hasStoodStillTooLong(state, job, now))
        return false;
    size_t usable = 0;
    size_t observed = 0;
    for (const auto& [incarnation, worker] : state.workers_) {
        usable += acceptsRuns(state, worker, now) ? 1 : 0;
        observed += worker.observedTask_ || !worker.suspects_.empty() ? 1 : 0;
    }
    return observed >= std::max<size_t>(1, usable * state.tuning_.maximumObservedPercent_ / 100);
}

} // namespace persimmondoor::workflow
