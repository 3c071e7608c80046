#include "SlowWorkers.h"

#include "PlacementScore.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::workflow {

// Bound on the ended runs that wait for the worker's next reading; more tell nothing new.
static constexpr size_t maximumEndedRuns = 64;

// Filling tasks run at the pace that other tasks leave, gangs at that of their slowest member, and long-running tasks have no end.
static bool tellsSpeed(const Step& step)
{
    return !step.isFilling_ && !step.longRunning_ && !step.gang_ && step.estimate_ > Duration(0);
}

static StepTimes& stepTimesOf(Job& job, const TaskKey& key)
{
    return job.stepTimes_[key.occurrence_ * job.record_.spec_.steps().size() + key.step_];
}

static Duration expectedOf(const LeaderState& state, const Job& job, const TaskKey& key, const ProgressSum& others)
{
    return expectedRunTime(state.admission_.runTimes_.expect(job.queue_.name_, stepOf(job, key).estimate_), others);
}

// How many times as long as near its data the task takes on the worker.
static double distanceFactor(const LeaderState& state, const Step& step, const Worker& worker)
{
    bool isFar = !step.dataRack_.empty() && !hasLabel(worker, step.dataRack_);
    return isFar ? farFactorOf(state.nearPlaces_.cost_, state.tuning_) : 1;
}

// Takes the run's progress since the last reading into account, once it tells the run's pace.
static std::optional<PaceSample> readProgress(const DecisionContext& context, Job& job, const TaskKey& key, Task& task, const Worker& worker, uint32_t percent)
{
    const LeaderState& state = context.state_;
    RunProgress& known = task.runProgress_;
    if (!known.readAt_ || percent < known.percent_) {
        known.readAt_ = context.now_;
        known.percent_ = percent;
        return std::nullopt;
    }
    auto elapsed = static_cast<double>((context.now_ - *known.readAt_).count()) / distanceFactor(state, stepOf(job, key), worker);
    StepTimes& step = stepTimesOf(job, key);
    const ProgressSum progress { Duration(static_cast<int64_t>(elapsed)), static_cast<int64_t>(percent) - known.percent_ };
    const Duration expected = expectedOf(state, job, key, step.progress_ - known.sum_);
    if (!isTelling(progress.elapsed_, expected))
        return std::nullopt;
    known.sum_ = known.sum_ + progress;
    step.progress_ = step.progress_ + progress;
    known.readAt_ = context.now_;
    known.percent_ = percent;
    return PaceSample { { key, task.progress_.run_ }, logSlowdown(progress, expected) };
}

void observeSpeed(const DecisionContext& context, const WorkerReport& report, Worker& worker)
{
    if (context.state_.tuning_.slowWorkerPercent_ == 0)
        return;
    std::vector<PaceSample> samples;
    for (const ActiveRun& active : report.active_) {
        Task* task = findTask(context.state_, active.run_.task_);
        if (!task || !task->isOnWorker_ || task->isStopping_ || task->progress_.run_ != active.run_.run_ || task->progress_.worker_ != report.incarnation_)
            continue;
        Job& job = context.state_.jobs_.at(active.run_.task_.job_);
        if (!tellsSpeed(stepOf(job, active.run_.task_)))
            continue;
        if (auto sample = readProgress(context, job, active.run_.task_, *task, worker, active.progressPercent_))
            samples.push_back(*sample);
    }
    const bool wasSlow = worker.speed_.isSlow_;
    const size_t runs = samples.size() + worker.speed_.ended_.size();
    worker.speed_ = addReading(std::move(worker.speed_), std::move(samples), context.state_.tuning_, context.now_);
    if (worker.speed_.isSlow_ == wasSlow)
        return;
    auto percent = static_cast<int64_t>(worker.speed_.slowdown() * 100);
    context.logEvent(wasSlow ? "worker.steady" : "worker.slow", report.incarnation_.name_, concat("runs take ", percent, " percent of their time elsewhere, by its newest readings, the last of ", runs, " runs; domain ", worker.traits_.domain_));
}

void observeEndedPace(const DecisionContext& context, Job& job, const TaskKey& key, Task& task, Worker& worker)
{
    if (context.state_.tuning_.slowWorkerPercent_ == 0 || !tellsSpeed(stepOf(job, key)) || worker.speed_.ended_.size() >= maximumEndedRuns)
        return;
    // Of a run that went on from a checkpoint the share that was left is not known before its first reading.
    if (!task.runProgress_.readAt_ && task.progress_.checkpoint_.empty())
        task.runProgress_.readAt_ = task.times_.listedAt_;
    if (!task.runProgress_.readAt_)
        return;
    if (auto sample = readProgress(context, job, key, task, worker, 100))
        worker.speed_.ended_.push_back(*sample);
}

std::map<std::string, SlowTally> tallySlowWorkers(const LeaderState& state, Instant now)
{
    std::map<std::string, SlowTally> tally;
    bool hasSlow = std::any_of(state.workers_.begin(), state.workers_.end(), [](const auto& entry) { return entry.second.speed_.isSlow_; });
    if (!hasSlow)
        return tally;
    for (const auto& [incarnation, worker] : state.workers_) {
        if (!acceptsRuns(state, worker, now))
            continue;
        SlowTally& service = tally[worker.traits_.service_];
        ++service.workers_;
        if (!worker.speed_.isSlow_)
            continue;
        const double slowdown = worker.speed_.slowdown();
        service.leastSlowdown_ = service.slowWorkers_ == 0 ? slowdown : std::min(service.leastSlowdown_, slowdown);
        ++service.slowWorkers_;
    }
    std::erase_if(tally, [](const auto& entry) { return entry.second.slowWorkers_ == 0; });
    return tally;
}

static bool areOthersTheRule(const SlowTally& tally, const Tuning& tuning)
{
    return tally.slowWorkers_ * 100 <= tally.workers_ * tuning.maximumSlowWorkersPercent_;
}

bool isSlowAmongOthers(const LeaderState& state, const Worker& worker, Instant now)
{
    if (!worker.speed_.isSlow_)
        return false;
    const std::map<std::string, SlowTally> tally = tallySlowWorkers(state, now);
    auto service = tally.find(worker.traits_.service_);
    return service == tally.end() || areOthersTheRule(service->second, state.tuning_);
}

namespace {

    // Room that is reserved for moved runs on their next workers, as long as the object lives, so that the same room is not
    // offered to several of them.
    class ClaimedRoom {
    public:
        // Claims the room of all runs whose move is under way.
        explicit ClaimedRoom(LeaderState& state)
            : state_(state)
        {
            for (const auto& [incarnation, worker] : state.workers_) {
                for (const TaskKey& key : worker.assignedTasks_) {
                    const Job& job = state.jobs_.at(key.job_);
                    const Task& task = job.tasks_[taskNumber(job, key)];
                    if (task.isStopping_ && task.movesTo_ && state.workers_.count(*task.movesTo_) > 0)
                        claim(*task.movesTo_, stepOf(job, key).demand_);
                }
            }
        }
        ClaimedRoom(const ClaimedRoom&) = delete;
        ClaimedRoom& operator=(const ClaimedRoom&) = delete;
        ClaimedRoom(ClaimedRoom&&) = delete;
        ClaimedRoom& operator=(ClaimedRoom&&) = delete;
        ~ClaimedRoom()
        {
            for (const auto& [worker, demand] : claims_)
                worker->reserved_ = worker->reserved_ - demand;
        }

        void claim(const WorkerIncarnation& incarnation, const Resources& demand)
        {
            Worker& worker = state_.workers_.at(incarnation);
            worker.reserved_ = worker.reserved_ + demand;
            claims_.emplace_back(&worker, demand);
        }

    private:
        LeaderState& state_;
        std::vector<std::pair<Worker*, Resources>> claims_;
    };

} // namespace

void moveRunsFromSlowWorkers(const DecisionContext& context)
{
    LeaderState& state = context.state_;
    const std::map<std::string, SlowTally> tally = tallySlowWorkers(state, context.now_);
    // While the store fails no start is released, so that a stopped run would not go on elsewhere.
    if (tally.empty() || state.storeFailedAt_)
        return;
    uint32_t moved = 0;
    ClaimedRoom claimed(state);
    PlacementRound round(state, context.now_);
    UnplaceableDemands unplaceable;
    for (const auto& [incarnation, worker] : state.workers_) {
        auto service = tally.find(worker.traits_.service_);
        bool mayMove = worker.speed_.isSlow_ && isUp(state, worker, context.now_) && service != tally.end() && areOthersTheRule(service->second, state.tuning_);
        if (!mayMove)
            continue;
        for (const TaskKey& key : worker.assignedTasks_) {
            Job& job = state.jobs_.at(key.job_);
            Task& task = job.tasks_[taskNumber(job, key)];
            const Step& step = stepOf(job, key);
            if (moved == state.tuning_.maximumMovesPerCheck_)
                return;
            if (!tellsSpeed(step) || !task.isOnWorker_ || task.isStopping_ || unplaceable.contains(job, step, Disturbance::Avoided))
                continue;
            const Duration runTime = expectedOf(state, job, key, stepTimesOf(job, key).progress_ - task.runProgress_.sum_);
            if (!paysToMove({ task.progressPercent_, step.savesProgress_, runTime, worker.speed_.slowdown() }, state.tuning_))
                continue;
            auto better = round.chooseWorker(job, key, Disturbance::Avoided);
            if (!better || state.workers_.at(*better).speed_.isSlow_) {
                unplaceable.add(job, step, Disturbance::Avoided);
                continue;
            }
            task.avoidedWorker_ = incarnation.name_;
            task.movesTo_ = better;
            claimed.claim(*better, step.demand_);
            orderStop(context, key, task, concat("its worker is slow; ", task.progressPercent_, " percent done"));
            ++moved;
        }
    }
}

SlowStarts::SlowStarts(const DecisionContext& context, PlacementRound& round)
    : context_(context)
    , round_(round)
    , tally_(tallySlowWorkers(context.state_, context.now_))
{
}

// A start that is not carried out does not count as work, as such starts may follow each other without end.
static Duration standstillOf(const LeaderState& state, const Job& job, Instant now)
{
    return job.idleSince_ && !hasListedRunAtWork(state, job, now) ? now - *job.idleSince_ : Duration(0);
}

bool SlowStarts::decide(const Job& job, const TaskKey& key, Task& task, double slowdown)
{
    const LeaderState& state = context_.state_;
    const SlowTally& tally = tally_.at(job.queue_.service_);
    SlowOffer offer;
    offer.now_ = context_.now_;
    offer.runTime_ = expectedOf(state, job, key, job.stepTimes_[key.occurrence_ * job.record_.spec_.steps().size() + key.step_].progress_);
    offer.slowdown_ = slowdown;
    offer.since_ = task.onlySlowSince_.value_or(context_.now_);
    offer.standstill_ = round_.isMostlyFree(job.queue_.service_) ? standstillOf(state, job, context_.now_) : Duration(0);
    offer.slowWorkers_ = tally.slowWorkers_;
    offer.workers_ = tally.workers_;
    if (!paysToWait(offer, state.tuning_))
        return false;
    task.onlySlowSince_ = offer.since_;
    return true;
}

static bool mayWait(const LeaderState& state, const Step& step, const Task& task)
{
    // Where a suspect runs matters more than for how long.
    return tellsSpeed(step) && task.progress_.crashes_ == 0 && !isLateSuspect(state.tuning_, task.progress_);
}

bool SlowStarts::keepsWaiting(const Job& job, const TaskKey& key, Task& task)
{
    auto tally = tally_.find(job.queue_.service_);
    if (tally == tally_.end() || !mayWait(context_.state_, stepOf(job, key), task) || !onlySlow_.contains(job, stepOf(job, key), Disturbance::Avoided))
        return false;
    return decide(job, key, task, tally->second.leastSlowdown_);
}

bool SlowStarts::mustWait(const Job& job, const TaskKey& key, Task& task, const WorkerIncarnation& chosen)
{
    auto tally = tally_.find(job.queue_.service_);
    if (tally == tally_.end() || !mayWait(context_.state_, stepOf(job, key), task))
        return false;
    const WorkerSpeed& speed = context_.state_.workers_.at(chosen).speed_;
    if (!speed.isSlow_)
        return false;
    onlySlow_.add(job, stepOf(job, key), Disturbance::Avoided);
    return decide(job, key, task, speed.slowdown());
}

void SlowStarts::noteStart(Task& task, const WorkerIncarnation& incarnation)
{
    if (!task.onlySlowSince_)
        return;
    bool isSlow = context_.state_.workers_.at(incarnation).speed_.isSlow_;
    context_.addAction(RecordLatency { isSlow ? "slow_wait_lost" : "slow_wait_won", context_.now_ - *task.onlySlowSince_ });
    task.onlySlowSince_.reset();
}

} // namespace persimmondoor::workflow
