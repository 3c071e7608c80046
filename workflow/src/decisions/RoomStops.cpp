#include "LeaderRules.h"
#include "UrgentDemand.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Urgency.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <string_view>

namespace persimmondoor::workflow {

// Number of tasks of the long-running step that may be away; 0 if none may be stopped.
static uint32_t mayMissOf(const Tuning& tuning, const Step& step)
{
    return step.mayMiss_ > 0 ? step.mayMiss_ : step.count_ * tuning.unstatedMissPercent_ / 100;
}

namespace {

    // A long-running task that may be stopped. Those that lose least come first.
    struct StopCandidate {
        // 1 if the submitter has stated no number of tasks that may be missed.
        int isUnstated_ { 0 };
        // 1 if the task writes no checkpoints, so that a stop loses all of its work.
        int losesWork_ { 0 };
        // Work since its start, in thousandths of a core times milliseconds.
        int64_t work_ { 0 };
        TaskKey key_;
        auto operator<=>(const StopCandidate&) const = default;
    };

    // Counts the tasks of each long-running step that are away.
    class AwayTasks {
    public:
        explicit AwayTasks(const DecisionContext& context)
            : context_(context)
        {
        }

        bool mayStop(const Job& job, const TaskKey& key) { return countOf(job, key) < mayMissOf(context_.state_.tuning_, stepOf(job, key)); }
        void add(const Job& job, const TaskKey& key) { ++countOf(job, key); }

    private:
        uint32_t& countOf(const Job& job, const TaskKey& key)
        {
            TaskKey first { key.job_, key.occurrence_, key.step_, 0 };
            auto [count, isNew] = counts_.try_emplace(first);
            for (uint32_t index = 0; isNew && index < stepOf(job, key).count_; ++index)
                count->second += isAtWork(job.tasks_[taskNumber(job, { key.job_, key.occurrence_, key.step_, index })]) ? 0 : 1;
            return count->second;
        }
        bool isAtWork(const Task& task) const
        {
            bool isListed = task.progress_.phase_ == TaskPhase::Assigned && task.isOnWorker_ && !task.isUnlisted_ && !task.isStopping_ && task.progressPercent_ >= 100;
            auto worker = isListed ? context_.state_.workers_.find(task.progress_.worker_) : context_.state_.workers_.end();
            return worker != context_.state_.workers_.end() && isUp(context_.state_, worker->second, context_.now_);
        }

        const DecisionContext& context_;
        std::map<TaskKey, uint32_t> counts_;
    };

} // namespace

// Why a long-running task is not stopped. In the order in which the reasons are checked.
enum class StopObstacle : uint8_t {
    None,
    // The waiting work could not use the room on its worker.
    Worker,
    // Its priority is higher than that of the waiting work.
    Priority,
    // None of its step may be missed, or its members run together only.
    Unmissable,
    NotAtWork,
    // It has just begun to work, or was stopped a short while ago.
    Recent,
};
static constexpr size_t stopObstacleCount = 6;

static std::string_view describe(StopObstacle obstacle)
{
    static constexpr std::array<std::string_view, stopObstacleCount> texts { "might be stopped", "on workers without use", "of a higher priority", "none of whose step may be missed", "not at work", "at work or stopped only recently" };
    return texts.at(static_cast<size_t>(obstacle));
}

static StopObstacle stopObstacle(const DecisionContext& context, const Rush& rush, const Job& job, const TaskKey& key)
{
    const LeaderState& state = context.state_;
    const Step& step = stepOf(job, key);
    const Task& task = job.tasks_[taskNumber(job, key)];
    if (!yieldsTo(&rush, job.record_.queue_))
        return StopObstacle::Priority;
    if (step.isFilling_ || step.gang_ || mayMissOf(state.tuning_, step) == 0)
        return StopObstacle::Unmissable;
    if (!task.isOnWorker_ || task.isUnlisted_ || task.isStopping_ || task.progressPercent_ < 100 || !task.times_.listedAt_)
        return StopObstacle::NotAtWork;
    auto stopped = state.urgentRoom_.stoppedAt_.find(key);
    bool isRested = stopped == state.urgentRoom_.stoppedAt_.end() || context.now_ - stopped->second >= state.tuning_.minimumTimeBetweenStops_;
    bool isSettled = context.now_ - *task.times_.listedAt_ >= state.tuning_.minimumTimeAtWork_;
    return isRested && isSettled ? StopObstacle::None : StopObstacle::Recent;
}

// True if the waiting task could run on the worker once room is made.
static bool lacksOnlyRoom(const LeaderState& state, const TaskKey& waiting, const Worker& worker, Instant now)
{
    const Job& job = state.jobs_.at(waiting.job_);
    WorkerObstacle obstacle = obstacleAt(state, job, waiting, worker, now);
    return canEverHold(worker, stepOf(job, waiting)) && (obstacle == WorkerObstacle::Cores || obstacle == WorkerObstacle::Memory) && !isOvercommitted(worker);
}

namespace {

    struct StopCandidates {
        // Those that lose least come first.
        std::vector<StopCandidate> tasks_;
        // The long-running tasks that are assigned to workers of the service, by what keeps them from being stopped.
        std::array<size_t, stopObstacleCount> byObstacle_ {};

        size_t longRunningTasks() const { return std::accumulate(byObstacle_.begin(), byObstacle_.end(), size_t(0)); }
    };

} // namespace

static StopCandidates collectCandidates(const DecisionContext& context, const std::string& service, const Rush& rush, const TaskKey& waiting)
{
    const LeaderState& state = context.state_;
    StopCandidates candidates;
    for (const auto& [incarnation, worker] : state.workers_) {
        if (worker.traits_.service_ != service || worker.longRunningCount_ == 0)
            continue;
        bool isUseful = lacksOnlyRoom(state, waiting, worker, context.now_);
        for (const TaskKey& key : worker.assignedTasks_) {
            const Job& job = state.jobs_.at(key.job_);
            const Step& step = stepOf(job, key);
            if (!step.longRunning_)
                continue;
            StopObstacle obstacle = isUseful ? stopObstacle(context, rush, job, key) : StopObstacle::Worker;
            ++candidates.byObstacle_.at(static_cast<size_t>(obstacle));
            if (obstacle != StopObstacle::None)
                continue;
            int64_t age = milliseconds(context.now_ - *job.tasks_[taskNumber(job, key)].times_.listedAt_);
            candidates.tasks_.push_back({ step.mayMiss_ > 0 ? 0 : 1, step.savesProgress_ ? 0 : 1, age * step.demand_.milliCores(), key });
        }
    }
    std::sort(candidates.tasks_.begin(), candidates.tasks_.end());
    return candidates;
}

// True if more of what the task takes is needed than would be left over.
static bool isWorthStopping(const Resources& shortfall, const Resources& demand)
{
    bool needsCores = shortfall.milliCores() > 0 && 2 * shortfall.milliCores() >= demand.milliCores();
    return needsCores || (shortfall.memoryBytes() > 0 && 2 * shortfall.memoryBytes() >= demand.memoryBytes());
}

// The tasks that were stopped to make room and are not back yet.
static size_t countStopped(LeaderState& state, const std::string& service)
{
    return static_cast<size_t>(std::count_if(state.urgentRoom_.stoppedAt_.begin(), state.urgentRoom_.stoppedAt_.end(), [&](const auto& entry) {
        const Task* task = findTask(state, entry.first);
        bool isBack = task && task->progress_.phase_ == TaskPhase::Assigned && !task->isStopping_;
        return task && !isBack && state.jobs_.at(entry.first.job_).queue_.service_ == service;
    }));
}

// Logs, once per `Tuning::waitReportInterval_`, why no more tasks are stopped.
static void reportShortfall(const DecisionContext& context, const std::string& service, const Rush& rush, const Resources& shortfall, const StopCandidates& candidates, size_t stopped)
{
    Instant& nextReportAt = context.state_.urgentRoom_.nextReportAt_[service];
    if (context.now_ < nextReportAt)
        return;
    nextReportAt = context.now_ + context.state_.tuning_.waitReportInterval_;
    std::string text = concat("queue ", rush.queue_, "; short of ", shortfall.milliCores(), " thousandths of a core, ", shortfall.memoryBytes(), " bytes; stopped and not back ", stopped, "; long-running tasks:");
    for (size_t obstacle = 0; obstacle < stopObstacleCount; ++obstacle)
        text += concat(obstacle == 0 ? " " : ", ", candidates.byObstacle_.at(obstacle), " ", describe(static_cast<StopObstacle>(obstacle)));
    context.logEvent("rush.short", service, std::move(text));
}

void makeUrgentRoom(const DecisionContext& context, const std::string& service, const Rush& rush, const UrgentDemand& demand, const TaskKey& waiting)
{
    LeaderState& state = context.state_;
    Resources shortfall = demand.shortfall();
    if (shortfall == Resources() || isAwaitingWorkers(state, context.now_))
        return;
    StopCandidates candidates = collectCandidates(context, service, rush, waiting);
    size_t bound = candidates.longRunningTasks() * state.tuning_.maximumStoppedPercent_ / 100;
    size_t stopped = countStopped(state, service);
    uint32_t ordered = 0;
    AwayTasks away(context);
    for (const StopCandidate& candidate : candidates.tasks_) {
        if (ordered >= state.tuning_.maximumStopsPerCheck_ || stopped >= bound)
            break;
        Job& job = state.jobs_.at(candidate.key_.job_);
        const Resources& taken = stepOf(job, candidate.key_).demand_;
        if (!isWorthStopping(shortfall, taken) || !away.mayStop(job, candidate.key_))
            continue;
        Task& task = job.tasks_[taskNumber(job, candidate.key_)];
        orderStop(context, candidate.key_, task, concat("makes room for queue ", rush.queue_, " in a rush of ", milliseconds(context.now_ - rush.since_), " ms; short of ", shortfall.milliCores(), " thousandths of a core, ", shortfall.memoryBytes(), " bytes; frees ", taken.milliCores(), ", ", taken.memoryBytes()));
        if (!task.isStopping_)
            continue;
        away.add(job, candidate.key_);
        state.urgentRoom_.stoppedAt_[candidate.key_] = context.now_;
        shortfall = shortfall - taken;
        ++ordered;
        ++stopped;
    }
    if (!(shortfall == Resources()))
        reportShortfall(context, service, rush, shortfall, candidates, stopped);
}

} // namespace persimmondoor::workflow
