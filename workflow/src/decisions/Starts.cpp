#include "Starts.h"

#include "SlowWorkers.h"
#include "UnplaceableDemands.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Urgency.h"

#include <algorithm>

namespace persimmondoor::workflow {

bool areDependenciesDone(const Job& job, uint32_t occurrence, const Step& step)
{
    size_t first = occurrence * job.record_.spec_.steps().size();
    return std::all_of(step.dependencies_.begin(), step.dependencies_.end(), [&](uint32_t earlier) { return job.unfinishedTasks_[first + earlier] == 0; });
}

bool isDue(const LeaderState& state, const Job& job, uint32_t occurrence)
{
    const Schedule& schedule = job.record_.spec_.schedule();
    return schedule.occurrences_ == 0 || state.wallMs_ >= schedule.firstDueMs_ + int64_t(occurrence) * schedule.periodMs_;
}

bool isStartable(const LeaderState& state, const Job& job, uint32_t occurrence, const Step& step)
{
    return isDue(state, job, occurrence) && areDependenciesDone(job, occurrence, step);
}

void assign(const DecisionContext& context, Job& job, const TaskKey& key, const WorkerIncarnation& incarnation, uint32_t run)
{
    context.noteJob(key.job_);
    Task& task = job.tasks_[taskNumber(job, key)];
    task.progress_.phase_ = TaskPhase::Assigned;
    task.progress_.run_ = run;
    task.progress_.worker_ = incarnation;
    task.isStartReleased_ = false;
    task.isOnWorker_ = false;
    task.isUnlisted_ = false;
    task.isStopping_ = false;
    task.silentWorker_.reset();
    task.progressPercent_ = 0;
    task.readings_ = 0;
    task.throttledMilliCores_ = 0;
    task.slowedSince_.reset();
    task.runProgress_ = {};
    task.movesTo_.reset();
    task.times_ = RunTimes { context.now_, std::nullopt, std::nullopt, std::nullopt, Duration(0) };
    task.lastProgressAt_ = context.now_;
    Worker& worker = context.state_.workers_.at(incarnation);
    if (isUnproven(worker))
        beginProbe(context, key, worker);
    reserveResources(worker, key, stepOf(job, key));
    releaseHold(worker, key);
    task.isRoomHeld_ = false;
    bool isLate = isLateSuspect(context.state_.tuning_, task.progress_);
    if ((task.progress_.crashes_ > 0 || isLate) && !stepOf(job, key).gang_)
        worker.observedTask_ = key;
    if (isLate && !stepOf(job, key).gang_)
        worker.suspects_.insert(key);
    stage(context.state_, key.job_, ReleaseStart { { key, run } });
}

static TaskKey makeTaskKey(const Job& job, uint32_t occurrence, uint32_t step, uint32_t index)
{
    return { job.record_.id_, occurrence, step, index };
}

bool isAwaitingWorkers(const LeaderState& state, Instant now)
{
    return now < state.awaitsWorkersUntil_ && std::any_of(state.workers_.begin(), state.workers_.end(), [](const auto& entry) { return entry.second.agent_.empty(); });
}

static bool isRoomHeld(const Job& job, uint32_t occurrence, uint32_t stepNumber)
{
    auto first = job.tasks_.begin() + taskNumber(job, makeTaskKey(job, occurrence, stepNumber, 0));
    return std::any_of(first, first + job.record_.spec_.steps()[stepNumber].count_, [](const Task& task) { return task.isRoomHeld_; });
}

// As each long-running task has to run, whether others of its job do or not, one that has waited for long may be placed beside a
// late suspect, and use room that is held in vain, though a sibling is at work.
static Disturbance disturbanceOf(const DecisionContext& context, const Job& job, uint32_t occurrence, uint32_t stepNumber, PlacementRound& round)
{
    Disturbance disturbance = round.disturbanceOf(job);
    const Step& step = job.record_.spec_.steps()[stepNumber];
    if (disturbance != Disturbance::Avoided || !step.longRunning_)
        return disturbance;
    bool hasWaitedLong = false;
    for (uint32_t index = 0; index < step.count_ && !hasWaitedLong; ++index) {
        std::optional<Instant> since = waitingSince(job, makeTaskKey(job, occurrence, stepNumber, index));
        hasWaitedLong = since && context.now_ - *since > context.state_.tuning_.passOverHoldAfter_;
    }
    if (!hasWaitedLong)
        return disturbance;
    return round.isMostlyFree(job.queue_.service_) ? Disturbance::AllowedOnSharedCores : Disturbance::Allowed;
}

// What one round of starts has found out so far.
struct StartRound {
    explicit StartRound(const DecisionContext& context)
        : placement_(context.state_, context.now_)
        , nearPlaces_(context)
        , slowStarts_(context, placement_)
    {
    }

    PlacementRound placement_;
    NearPlaceRound nearPlaces_;
    SlowStarts slowStarts_;
    UnplaceableDemands unplaceable_;
};

// \return true if a task of the step still waits for free capacity.
static bool startStep(const DecisionContext& context, Job& job, uint32_t occurrence, uint32_t stepNumber, StartRound& starts)
{
    auto& [round, nearPlaces, slowStarts, unplaceable] = starts;
    const Step& step = job.record_.spec_.steps()[stepNumber];
    if (step.gang_)
        return startGang(context, job, occurrence, stepNumber, round, nearPlaces);
    if ((step.longRunning_ || step.isFilling_) && isAwaitingWorkers(context.state_, context.now_))
        return true;
    Disturbance disturbance = disturbanceOf(context, job, occurrence, stepNumber, round);
    // Room that is held for a task of the step was of no use to the steps that found no worker.
    bool isHeld = isRoomHeld(job, occurrence, stepNumber);
    bool isUnplaceable = !isHeld && unplaceable.contains(job, step, Disturbance::Avoided);
    bool isAllowed = disturbance == Disturbance::Allowed && (step.isFilling_ || round.hasObservedWorkers());
    bool hasException = disturbance == Disturbance::AllowedOnSharedCores || isAllowed;
    bool mayBeExceptional = hasException && (isHeld || !unplaceable.contains(job, step, disturbance));
    // Whether a search has found no worker: for any task of the step, or for those that are barred from probes.
    bool isFull = false;
    bool isFullForBarred = isUnplaceable && !isHeld && unplaceable.contains(job, step, disturbance, true);
    bool mustWait = false;
    uint32_t placedDespiteInterference = 0;
    TaskKey key = makeTaskKey(job, occurrence, stepNumber, 0);
    for (; key.index_ < step.count_ && !isFull; ++key.index_) {
        const TaskProgress& progress = job.tasks_[taskNumber(job, key)].progress_;
        if (progress.phase_ != TaskPhase::Waiting)
            continue;
        bool mustAwaitList = mayHaveEnded(context.state_, job.tasks_[taskNumber(job, key)], context.now_);
        if (mustAwaitList || mustAwaitObservation(context.state_, job, key, context.now_)) {
            mustWait = true;
            continue;
        }
        Task& task = job.tasks_[taskNumber(job, key)];
        if (nearPlaces.keepsWaiting(job, key) || (!isUnplaceable && slowStarts.keepsWaiting(job, key, task))) {
            mustWait = true;
            continue;
        }
        bool isBarred = isBarredFromProbes(job, key, disturbance);
        if (isBarred && isFullForBarred) {
            mustWait = true;
            continue;
        }
        auto incarnation = isUnplaceable ? std::nullopt : round.chooseWorker(job, key, Disturbance::Avoided);
        bool isExceptional = !incarnation && mayBeExceptional;
        if (isExceptional)
            incarnation = round.chooseWorker(job, key, disturbance);
        // A suspect may not use all workers that its siblings may.
        if (!incarnation && (progress.crashes_ > 0 || isLateSuspect(context.state_.tuning_, progress))) {
            mustWait = true;
            continue;
        }
        if (!incarnation) {
            isFull = !isBarred || (isUnplaceable && !mayBeExceptional);
            isFullForBarred = true;
            mustWait = true;
            continue;
        }
        if (slowStarts.mustWait(job, key, task, *incarnation) || nearPlaces.mustWait(job, key, *incarnation)) {
            mustWait = true;
            continue;
        }
        assign(context, job, key, *incarnation, progress.run_ + 1);
        nearPlaces.noteStart(job, key, *incarnation);
        slowStarts.noteStart(task, *incarnation);
        if (step.longRunning_)
            round.refreshImages();
        job.hasExceptionalPlace_ = isExceptional;
        if (!isExceptional)
            continue;
        ++placedDespiteInterference;
        // One task keeps the job running; the others wait, as tasks that disturb are slowed down and end late.
        if (disturbance == Disturbance::AllowedOnSharedCores || round.hasHarmlessWorker(job, step))
            mayBeExceptional = false;
    }
    // Without an exception no short task may probe, so that one search tells for all.
    bool isFullWithoutException = isFull || (isFullForBarred && !step.longRunning_);
    if (isFullWithoutException && !isUnplaceable)
        unplaceable.add(job, step, Disturbance::Avoided);
    if (isFullForBarred && mayBeExceptional)
        unplaceable.add(job, step, disturbance, !isFull);
    if (step.isFilling_ && placedDespiteInterference > 0)
        context.logEvent("job.interference_ignored", job.record_.id_.value(), concat(placedDespiteInterference, " tasks of step ", stepNumber, " placed, as nothing of the job was running"));
    return mustWait;
}

static void updateIdleTime(const DecisionContext& context, Job& job, bool waits)
{
    // A start that comes to nothing does not begin the wait anew, as such starts may follow each other without end.
    if (hasListedRunAtWork(context.state_, job, context.now_) || (!waits && !hasAssignedTasks(job)))
        job.idleSince_.reset();
    else if (!job.idleSince_)
        job.idleSince_ = context.now_;
}

// \return true if the job stays ready: a task waits for free capacity or an occurrence is not due yet.
static bool startTasksOf(const DecisionContext& context, Job& job, StartRound& starts)
{
    bool waits = false;
    const JobSpec& spec = job.record_.spec_;
    for (uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
        if (!isDue(context.state_, job, occurrence)) {
            waits = true;
            break;
        }
        for (uint32_t step = 0; step < spec.steps().size(); ++step) {
            size_t number = occurrence * spec.steps().size() + step;
            if (job.unfinishedTasks_[number] == 0 || !areDependenciesDone(job, occurrence, spec.steps()[step]))
                continue;
            if (!job.stepTimes_[number].startableSince_)
                job.stepTimes_[number].startableSince_ = context.now_;
            waits = startStep(context, job, occurrence, step, starts) || waits;
        }
    }
    return waits;
}

// How long after the last round of placement the next one is due. A job that has just become ready is placed at once; jobs
// that found no room are tried again less often, as a round visits all of them.
static Duration placementIntervalOf(const LeaderState& state)
{
    const Tuning& tuning = state.tuning_;
    if (state.placementResumesFrom_)
        return tuning.cutPlacementInterval_;
    if (state.readyJobs_.size() > tuning.backlogThreshold_)
        return tuning.placementInterval_;
    return state.hasNewlyReadyJobs_ ? Duration(0) : tuning.retryPlacementInterval_;
}

void startReadyTasks(const DecisionContext& context)
{
    bool isIdle = context.state_.readyJobs_.empty() && context.state_.nearPlaces_.waits_.empty();
    if (isIdle || context.now_ - context.state_.lastPlacementAt_ < placementIntervalOf(context.state_))
        return;
    context.state_.lastPlacementAt_ = context.now_;
    context.state_.hasNewlyReadyJobs_ = false;
    std::vector<Urgency> ready;
    for (const JobId& id : context.state_.readyJobs_) {
        auto job = context.state_.jobs_.find(id);
        if (job != context.state_.jobs_.end())
            ready.push_back(urgencyOf(context.state_, job->second));
    }
    std::sort(ready.begin(), ready.end());
    if (std::optional<JobId> first = std::exchange(context.state_.placementResumesFrom_, std::nullopt)) {
        auto resumed = std::find_if(ready.begin(), ready.end(), [&](const Urgency& urgency) { return urgency.job_ == *first; });
        if (resumed != ready.end())
            std::rotate(ready.begin(), resumed, ready.end());
    }
    StartRound starts(context);
    for (const Urgency& urgency : ready) {
        if (starts.placement_.visits() >= context.state_.tuning_.maximumPlacementVisits_) {
            context.state_.placementResumesFrom_ = urgency.job_;
            context.logEvent("placement.cut", urgency.job_.value(), concat(starts.placement_.visits(), " workers looked at for some of ", ready.size(), " jobs; the others come first in the next round"));
            break;
        }
        context.noteJob(urgency.job_);
        Job& job = context.state_.jobs_.at(urgency.job_);
        bool waits = !job.isCancelled_ && !job.hasFailed_ && startTasksOf(context, job, starts);
        updateIdleTime(context, job, waits);
        if (!waits)
            context.state_.readyJobs_.erase(urgency.job_);
    }
    context.state_.lastPlacementVisits_ = starts.placement_.visits();
    starts.nearPlaces_.endObsoleteWaits();
}

// Why a start that was decided earlier must not be released now; empty if it may.
static std::string_view startObstacle(const LeaderState& state, const Job& job, const TaskKey& key, const WorkerIncarnation& incarnation, Instant now)
{
    if (job.isCancelled_ || job.hasFailed_)
        return "the job has ended";
    auto worker = state.workers_.find(incarnation);
    if (worker == state.workers_.end())
        return "the worker was removed";
    if (!acceptsRuns(state, worker->second, now) && !acceptsProbe(state, worker->second, key, now))
        return "the worker accepts no new runs";
    if (worker->second.traits_.service_ != job.queue_.service_)
        return "the queue was assigned to another service";
    if (isOvercommitted(worker->second))
        return "the worker's capacity has shrunk";
    return {};
}

// The runs in the evacuated domains whose orders to start have never been sent.
static std::vector<RunKey> unsentStartsInEvacuatedDomains(const LeaderState& state)
{
    std::vector<RunKey> runs;
    for (const auto& [name, agent] : state.agents_) {
        for (const Order& order : agent.pendingOrders_) {
            const auto* start = std::get_if<StartRun>(&order);
            auto worker = start && start->number_ > agent.lastSentOrder_ ? state.workers_.find(start->worker_) : state.workers_.end();
            if (worker != state.workers_.end() && state.evacuatedDomains_.count(worker->second.traits_.domain_) > 0)
                runs.push_back(start->run_);
        }
    }
    return runs;
}

static void stopUnsentStarts(const DecisionContext& context)
{
    for (const RunKey& run : unsentStartsInEvacuatedDomains(context.state_)) {
        Task* task = findTask(context.state_, run.task_);
        if (task && task->progress_.phase_ == TaskPhase::Assigned && task->progress_.run_ == run.run_)
            orderStop(context, run.task_, *task, "its domain is evacuated and the order to start it has not been sent");
    }
}

void withdrawForbiddenStarts(const DecisionContext& context)
{
    stopUnsentStarts(context);
    for (auto& [id, staged] : context.state_.staged_) {
        auto found = context.state_.jobs_.find(id);
        if (found == context.state_.jobs_.end())
            continue;
        Job& job = found->second;
        for (uint32_t number = 0; number < job.tasks_.size(); ++number) {
            Task& task = job.tasks_[number];
            if (task.progress_.phase_ == TaskPhase::Assigned && !task.isStartReleased_ && !startObstacle(context.state_, job, keyOf(job, number), task.progress_.worker_, context.now_).empty())
                unassign(context, job, keyOf(job, number), task);
        }
    }
}

static void releaseStart(const DecisionContext& context, const ReleaseStart& effect)
{
    const RunKey& run = effect.run_;
    Task* task = findTask(context.state_, run.task_);
    if (!task || task->progress_.phase_ != TaskPhase::Assigned || task->progress_.run_ != run.run_ || task->isStartReleased_)
        return;
    Job& job = context.state_.jobs_.at(run.task_.job_);
    const WorkerIncarnation incarnation = task->progress_.worker_;
    std::string_view reason = startObstacle(context.state_, job, run.task_, incarnation, context.now_);
    if (!reason.empty()) {
        context.logEvent("run.withdrawn", describe(run), std::string(reason));
        unassign(context, job, run.task_, *task);
        stage(context.state_, run.task_.job_);
        return closeIfEnded(context, job);
    }
    Worker& worker = context.state_.workers_.at(incarnation);
    if (worker.probe_ == run.task_)
        worker.isProbeReplaceable_ = !stepOf(job, run.task_).longRunning_;
    const std::string& agentName = worker.agent_;
    Agent& agent = context.state_.agents_.at(agentName);
    agent.lastOrder_ = agent.lastOrder_.next();
    task->isStartReleased_ = true;
    task->times_.releasedAt_ = context.now_;
    task->lastOrder_ = agent.lastOrder_;
    addOrder(context, agentName, StartRun { agent.lastOrder_, incarnation, run, job.record_.spec_.payload(), task->progress_.checkpoint_, "" });
    context.logEvent("run.start", describe(run), concat("worker ", incarnation.name_, ", domain ", worker.traits_.domain_));
}

static void releaseEnd(const DecisionContext& context, const ReleaseEnd& effect)
{
    auto worker = context.state_.workers_.find(effect.worker_);
    if (worker == context.state_.workers_.end())
        return;
    worker->second.nonDurableEnds_.erase(effect.number_);
}

namespace {

    struct EffectVisitor {
        const DecisionContext& context_;

        void operator()(const AnswerClient& answer) const { context_.addAction(answer); }
        void operator()(const ReleaseStart& start) const { releaseStart(context_, start); }
        void operator()(const ReleaseEnd& end) const { releaseEnd(context_, end); }
    };

} // namespace

void handleBatchDurable(const DecisionContext& context, const BatchDurable& message)
{
    context.state_.storeFailedAt_.reset();
    context.state_.lastDurableWriteAt_ = std::max(context.state_.lastDurableWriteAt_, message.writeSentAt_);
    context.state_.leasesEndBy_ = std::max(context.state_.leasesEndBy_, message.writeSentAt_ + context.state_.tuning_.fullLeasePeriod_ + context.state_.tuning_.taskLease_);
    allowLeaseGrants(context, message.batch_);
    for (const Batch::Item& item : message.batch_.items_) {
        context.noteJob(item.job_);
        auto job = context.state_.jobs_.find(item.job_);
        if (job != context.state_.jobs_.end())
            job->second.durablePhase_ = item.phase_;
        if (item.staged_.writesCancellation_)
            noteDurableCancellation(context.state_, item.job_);
        for (const Effect& effect : item.staged_.effects_)
            std::visit(EffectVisitor { context }, effect);
    }
    startReadyTasks(context);
}

} // namespace persimmondoor::workflow
