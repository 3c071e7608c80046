#include "LeaderRules.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Urgency.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace persimmondoor::workflow {

static bool isSameStep(const TaskKey& left, const TaskKey& right)
{
    return left.job_ == right.job_ && left.occurrence_ == right.occurrence_ && left.step_ == right.step_;
}

// Holds that a task of the step comes after: all, unless it has a hold on the worker itself, and then the earlier ones. Otherwise
// two holds on one worker would each keep the other's task from the room that is free for either.
static bool comesFirst(const TaskKey& owner, const RoomHold& hold, const std::optional<std::pair<TaskKey, RoomHold>>& own)
{
    return !own || std::tie(hold.priority_, hold.since_, owner) < std::tie(own->second.priority_, own->second.since_, own->first);
}

// The first hold on the worker of a task of the step.
static std::optional<std::pair<TaskKey, RoomHold>> ownHold(const Worker& worker, const TaskKey& key)
{
    std::optional<std::pair<TaskKey, RoomHold>> first;
    for (const auto& [owner, hold] : worker.holds_) {
        if (isSameStep(owner, key) && comesFirst(owner, hold, first))
            first = std::pair(owner, hold);
    }
    return first;
}

Resources heldForOthers(const Worker& worker, const Job& job, const TaskKey& key, Disturbance disturbance)
{
    if (worker.holds_.empty())
        return {};
    std::optional<std::pair<TaskKey, RoomHold>> own = ownHold(worker, key);
    Resources held;
    for (const auto& [owner, hold] : worker.holds_) {
        bool isPassedOver = hold.isFutile_ && disturbance == Disturbance::AllowedOnSharedCores;
        if (!isPassedOver && !isSameStep(owner, key) && hold.priority_ <= job.record_.queue_.priority_ && comesFirst(owner, hold, own))
            held = held + hold.demand_;
    }
    return held;
}

void releaseHold(Worker& worker, const TaskKey& key)
{
    auto hold = worker.holds_.find(key);
    // Tasks of a step are alike: a task may use the room that is held for another one.
    if (hold == worker.holds_.end())
        hold = std::find_if(worker.holds_.begin(), worker.holds_.end(), [&](const auto& entry) { return isSameStep(entry.first, key); });
    if (hold != worker.holds_.end())
        worker.holds_.erase(hold);
}

namespace {

    struct WaitingTask {
        uint32_t priority_ { 0 };
        Instant since_;
        TaskKey key_;
        auto operator<=>(const WaitingTask&) const = default;
    };

} // namespace

// Adds the tasks of a long-running step that have waited long enough for room to be held.
static void addWaitingTasks(const DecisionContext& context, const Job& job, uint32_t occurrence, uint32_t stepNumber, std::vector<WaitingTask>& waiting)
{
    for (uint32_t index = 0; index < job.record_.spec_.steps()[stepNumber].count_; ++index) {
        TaskKey key { job.record_.id_, occurrence, stepNumber, index };
        std::optional<Instant> since = waitingSince(job, key);
        if (since && context.now_ - *since >= context.state_.tuning_.holdRoomAfter_)
            waiting.push_back({ job.record_.queue_.priority_, *since, key });
    }
}

// The long-running tasks that wait for a worker, the most urgent first.
static std::vector<WaitingTask> collectWaitingTasks(const DecisionContext& context)
{
    std::vector<WaitingTask> waiting;
    for (const JobId& id : context.state_.readyJobs_) {
        const Job& job = context.state_.jobs_.at(id);
        const std::vector<Step>& steps = job.record_.spec_.steps();
        for (size_t number = 0; number < job.unfinishedTasks_.size(); ++number) {
            auto occurrence = static_cast<uint32_t>(number / steps.size());
            auto step = static_cast<uint32_t>(number % steps.size());
            bool mayHold = steps[step].longRunning_ && !steps[step].gang_ && job.unfinishedTasks_[number] > 0;
            if (mayHold && isStartable(context.state_, job, occurrence, steps[step]))
                addWaitingTasks(context, job, occurrence, step, waiting);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    return waiting;
}

// True if the obstacle is passing or one that the hold itself removes.
static bool mayPass(WorkerObstacle obstacle)
{
    switch (obstacle) {
    case WorkerObstacle::None:
    case WorkerObstacle::Quarantined:
    case WorkerObstacle::Unreachable:
    case WorkerObstacle::BackingOff:
    case WorkerObstacle::Observed:
    case WorkerObstacle::Cores:
    case WorkerObstacle::Memory:
    case WorkerObstacle::Accelerators:
        return true;
    case WorkerObstacle::OtherService:
    case WorkerObstacle::Draining:
    case WorkerObstacle::Evacuated:
    case WorkerObstacle::NotReported:
    case WorkerObstacle::MissingLabel:
    case WorkerObstacle::StepBound:
        return false;
    }
    return false;
}

// True if the worker would have room for the task without its short tasks.
static bool canMakeRoom(const Worker& worker, const TaskKey& key, const Step& step)
{
    Resources held;
    int64_t siblings = countSiblings(worker, key);
    for (const auto& [owner, hold] : worker.holds_) {
        held = held + hold.demand_;
        siblings += isSameStep(owner, key) ? 1 : 0;
    }
    bool isWithinBound = step.maxPerWorker_ == 0 || siblings < step.maxPerWorker_;
    return isWithinBound && (worker.longRunningReserved_ + step.demand_ + held).fitsIn(worker.traits_.capacity_);
}

// Share of the worker's capacity, in percent, that has to be freed for the task; nothing if the worker would have no room
// for the task even without its short tasks, or cannot take it for another reason than its capacity.
static std::optional<int64_t> missingPercent(const LeaderState& state, const Job& job, const TaskKey& key, const Worker& worker, Instant now)
{
    WorkerObstacle obstacle = obstacleAt(state, job, key, worker, now);
    if (obstacle != WorkerObstacle::Cores && obstacle != WorkerObstacle::Memory && obstacle != WorkerObstacle::Accelerators)
        return std::nullopt;
    const Step& step = stepOf(job, key);
    if (!canMakeRoom(worker, key, step))
        return std::nullopt;
    const Resources& capacity = worker.traits_.capacity_;
    Resources needed = step.demand_;
    for (const auto& [owner, hold] : worker.holds_)
        needed = needed + hold.demand_;
    int64_t cores = needed.milliCores() - freeMilliCores(worker);
    int64_t memory = worker.reserved_.memoryBytes() + needed.memoryBytes() - capacity.memoryBytes();
    return std::max(100 * cores / std::max<int64_t>(capacity.milliCores(), 1), 100 * memory / std::max<int64_t>(capacity.memoryBytes(), 1));
}

namespace {

    // Demands for which no worker can make room, and the bound on the searches of one update.
    class FailedSearches {
    public:
        explicit FailedSearches(size_t bound)
            : bound_(bound)
        {
        }

        // True if the searches of the update, or those of tasks that are limited like this one, are used up.
        bool isExhausted(const Job& job, const TaskKey& key) const
        {
            auto used = std::count_if(demands_.begin(), demands_.end(), [&](const Demand& demand) { return isLimited(demand.step_, demand.hasFailed_) == isLimited(stepOf(job, key), hasFailed(job, key)); });
            return static_cast<size_t>(used) >= bound_;
        }
        // A demand that is at least as large, with the same constraints, finds no worker either.
        bool contains(const Job& job, const TaskKey& key) const
        {
            return std::any_of(demands_.begin(), demands_.end(), [&](const Demand& demand) { return covers(demand, job, key); });
        }
        void add(const Job& job, const TaskKey& key) { demands_.push_back({ key, job.queue_.service_, stepOf(job, key), hasFailed(job, key) }); }

    private:
        struct Demand {
            TaskKey key_;
            std::string service_;
            Step step_;
            bool hasFailed_ { false };
        };

        // True if workers are closed to the task that are open to others.
        static bool isLimited(const Step& step, bool hasFailed) { return step.maxPerWorker_ > 0 || hasFailed; }
        // Workers that have to prove themselves are closed to tasks that have failed.
        static bool hasFailed(const Job& job, const TaskKey& key) { return job.tasks_[taskNumber(job, key)].progress_.failures_ > 0; }
        static bool covers(const Demand& demand, const Job& job, const TaskKey& key)
        {
            const Step& step = stepOf(job, key);
            // The bound of a step closes workers to its own tasks alone.
            if ((demand.step_.maxPerWorker_ > 0 && !isSameStep(demand.key_, key)) || (demand.hasFailed_ && !hasFailed(job, key)))
                return false;
            return demand.service_ == job.queue_.service_ && demand.step_.requiredLabel_ == step.requiredLabel_ && demand.step_.demand_.fitsIn(step.demand_);
        }

        size_t bound_ { 0 };
        std::vector<Demand> demands_;
    };

} // namespace

// \param avoided worker on which a hold of the task has freed nothing.
static std::optional<WorkerIncarnation> chooseWorkerToHold(const LeaderState& state, const Job& job, const TaskKey& key, const std::optional<WorkerIncarnation>& avoided, Instant now)
{
    std::optional<WorkerIncarnation> best;
    int64_t leastMissing = 0;
    for (const auto& [incarnation, worker] : state.workers_) {
        std::optional<int64_t> missing = incarnation == avoided ? std::nullopt : missingPercent(state, job, key, worker, now);
        if (!missing || (best && *missing >= leastMissing))
            continue;
        best = incarnation;
        leastMissing = *missing;
    }
    return best;
}

namespace {

    // Where room is held for a task.
    struct HoldPlace {
        WorkerIncarnation worker_;
        Instant since_;
        auto operator<=>(const HoldPlace&) const = default;
    };

} // namespace

// Removes all holds.
// \return the worker that each task had a hold on, and since when.
static std::map<TaskKey, HoldPlace> clearHolds(LeaderState& state)
{
    std::map<TaskKey, HoldPlace> holders;
    for (auto& [incarnation, worker] : state.workers_) {
        for (const auto& [key, hold] : worker.holds_)
            holders[key] = { incarnation, hold.since_ };
        worker.holds_.clear();
    }
    return holders;
}

// The former hold of the task, if its worker may still make room.
static std::optional<HoldPlace> keptHold(const LeaderState& state, const std::map<TaskKey, HoldPlace>& former, const Job& job, const TaskKey& key, Instant now)
{
    auto known = former.find(key);
    auto worker = known == former.end() ? state.workers_.end() : state.workers_.find(known->second.worker_);
    if (worker == state.workers_.end())
        return std::nullopt;
    bool isUsable = mayPass(obstacleAt(state, job, key, worker->second, now)) && canMakeRoom(worker->second, key, stepOf(job, key));
    return isUsable ? std::optional(known->second) : std::nullopt;
}

// The worker on which to hold room for the task, and since when.
// \param kept the task's former hold. It stays, as a hold that moved from worker to worker would let none of them become
// free, unless it has lasted for long: what occupies the worker may stay too, such as a filling task that makes no progress.
static std::optional<HoldPlace> chooseHold(const LeaderState& state, const std::optional<HoldPlace>& kept, const Job& job, const TaskKey& key, FailedSearches& failed, Instant now)
{
    bool isFutile = kept && now - kept->since_ > state.tuning_.maximumHoldTime_;
    if ((kept && !isFutile) || failed.isExhausted(job, key) || failed.contains(job, key))
        return kept;
    std::optional<WorkerIncarnation> found = chooseWorkerToHold(state, job, key, kept ? std::optional(kept->worker_) : std::nullopt, now);
    if (found)
        return HoldPlace { *found, now };
    if (!kept)
        failed.add(job, key);
    return kept;
}

// True if room is not held for the long-running task, as urgent work that comes before it is short of room.
static bool mustYield(const LeaderState& state, const TaskKey& key)
{
    const Job& job = state.jobs_.at(key.job_);
    return yieldsTo(state.urgentRoom_.rushOf(job.queue_.service_), job.record_.queue_);
}

void updateRoomHolds(const DecisionContext& context)
{
    LeaderState& state = context.state_;
    std::map<TaskKey, HoldPlace> former = clearHolds(state);
    auto usable = std::count_if(state.workers_.begin(), state.workers_.end(), [&](const auto& entry) { return acceptsRuns(state, entry.second, context.now_); });
    size_t bound = std::clamp<size_t>(static_cast<size_t>(usable) * state.tuning_.maximumHeldPercent_ / 100, 1, state.tuning_.maximumHolds_);
    size_t held = 0;
    FailedSearches failed(state.tuning_.maximumHoldSearches_);
    std::vector<WaitingTask> waitingTasks = collectWaitingTasks(context);
    for (const WaitingTask& waiting : waitingTasks)
        findTask(state, waiting.key_)->isRoomHeld_ = false;
    std::erase_if(waitingTasks, [&](const WaitingTask& waiting) { return mustYield(state, waiting.key_); });
    std::optional<TaskKey> searchesFrom = std::exchange(state.holdSearchesFrom_, std::nullopt);
    bool isSearching = std::none_of(waitingTasks.begin(), waitingTasks.end(), [&](const WaitingTask& waiting) { return waiting.key_ == searchesFrom; });
    for (const WaitingTask& waiting : waitingTasks) {
        if (held >= bound)
            break;
        Job& job = state.jobs_.at(waiting.key_.job_);
        std::optional<HoldPlace> kept = keptHold(state, former, job, waiting.key_, context.now_);
        isSearching = isSearching || waiting.key_ == searchesFrom;
        // Urgent tasks that find no room in any update must not use up the searches of all others.
        if (!kept && !isSearching)
            continue;
        if (!kept && !state.holdSearchesFrom_ && failed.isExhausted(job, waiting.key_))
            state.holdSearchesFrom_ = waiting.key_;
        std::optional<HoldPlace> chosen = chooseHold(state, kept, job, waiting.key_, failed, context.now_);
        if (!chosen)
            continue;
        ++held;
        job.tasks_[taskNumber(job, waiting.key_)].isRoomHeld_ = true;
        state.workers_.at(chosen->worker_).holds_[waiting.key_] = { stepOf(job, waiting.key_).demand_, waiting.priority_, chosen->since_, context.now_ - chosen->since_ > state.tuning_.passOverHoldAfter_ };
        if (former.count(waiting.key_) == 0)
            context.logEvent("room.held", describe(waiting.key_), concat("worker ", chosen->worker_.name_, ", after ", milliseconds(context.now_ - waiting.since_), " ms"));
    }
}

} // namespace persimmondoor::workflow
