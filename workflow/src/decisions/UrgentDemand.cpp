#include "UrgentDemand.h"

#include "persimmondoor/workflow/Urgency.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace persimmondoor::workflow {

namespace {

    using WorkersByService = std::map<std::string, std::vector<const Worker*>>;

} // namespace

// The workers that accept runs, of the services that have long-running tasks.
static WorkersByService workersBesideLongRunning(const LeaderState& state, Instant now)
{
    WorkersByService workers;
    for (const auto& [incarnation, worker] : state.workers_) {
        if (acceptsRuns(state, worker, now))
            workers[worker.traits_.service_].push_back(&worker);
    }
    std::erase_if(workers, [](const auto& entry) {
        return std::none_of(entry.second.begin(), entry.second.end(), [](const Worker* worker) { return worker->longRunningCount_ > 0; });
    });
    return workers;
}

bool canEverHold(const Worker& worker, const Step& step)
{
    const std::vector<std::string>& labels = worker.traits_.labels_;
    bool hasLabel = step.requiredLabel_.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel_) != labels.end();
    return hasLabel && step.demand_.fitsIn(worker.traits_.capacity_);
}

// True if the task seeks a worker and finds none for want of room, as far as its own state tells.
static bool waitsForRoom(const LeaderState& state, const Job& job, const TaskKey& key, Instant now)
{
    const Task& task = job.tasks_[taskNumber(job, key)];
    std::optional<Instant> since = waitingSince(job, key);
    // A task that waits for a near place leaves room unused that it could have.
    if (nearWaitOf(state, stepOf(job, key), key, now))
        return false;
    return since && now - *since >= state.tuning_.rushDemandAge_ && task.progress_.crashes_ == 0 && !task.silentWorker_;
}

static void addWaitingTask(WaitingWork& work, const Job& job, const TaskKey& key, bool isOnTime)
{
    const Resources& demand = stepOf(job, key).demand_;
    UrgentDemand& sum = work.demand_;
    bool isFirst = sum.tasks_ == 0;
    if (isFirst || (isOnTime && !work.isExampleOnTime_))
        work.example_ = key;
    work.isExampleOnTime_ = work.isExampleOnTime_ || isOnTime;
    work.smallestMilliCores_ = isFirst ? demand.milliCores() : std::min(work.smallestMilliCores_, demand.milliCores());
    sum.priority_ = isFirst ? job.record_.queue_.priority_ : std::min(sum.priority_, job.record_.queue_.priority_);
    ++sum.tasks_;
    sum.demand_ = sum.demand_ + demand;
    if (isOnTime)
        sum.onTimeDemand_ = sum.onTimeDemand_ + demand;
    work.milliCoresByQueue_[job.queue_.name_] += demand.milliCores();
}

namespace {

    // Whether any worker of a service can ever hold a task, by its demand. A survey asks this for each waiting step.
    class HoldableDemands {
    public:
        bool contains(const std::string& service, const std::vector<const Worker*>& workers, const Step& step)
        {
            const Resources& demand = step.demand_;
            auto [known, isNew] = demands_.try_emplace({ service, step.requiredLabel_, demand.milliCores(), demand.memoryBytes(), demand.accelerators() });
            if (isNew)
                known->second = std::any_of(workers.begin(), workers.end(), [&](const Worker* worker) { return canEverHold(*worker, step); });
            return known->second;
        }

    private:
        std::map<std::tuple<std::string_view, std::string_view, int64_t, int64_t, int64_t>, bool> demands_;
    };

} // namespace

// The number of tasks of the step that the bound per worker lets the workers take, at most all of them.
static uint32_t admissibleTasks(const std::vector<const Worker*>& workers, const TaskKey& first, const Step& step)
{
    if (step.maxPerWorker_ == 0)
        return step.count_;
    int64_t tasks = 0;
    for (auto worker = workers.begin(); worker != workers.end() && tasks < step.count_; ++worker) {
        if (canEverHold(**worker, step))
            tasks += std::max<int64_t>(0, int64_t(step.maxPerWorker_) - countSiblings(**worker, first));
    }
    return static_cast<uint32_t>(std::min<int64_t>(tasks, step.count_));
}

static void addWaitingTasks(const LeaderState& state, const Job& job, const std::vector<const Worker*>& workers, bool isOnTime, WaitingWork& work, HoldableDemands& holdable, Instant now)
{
    const std::vector<Step>& steps = job.record_.spec_.steps();
    for (size_t number = 0; number < job.unfinishedTasks_.size(); ++number) {
        auto occurrence = static_cast<uint32_t>(number / steps.size());
        auto stepNumber = static_cast<uint32_t>(number % steps.size());
        const Step& step = steps[stepNumber];
        if (step.isFilling_ || job.unfinishedTasks_[number] == 0 || !isStartable(state, job, occurrence, step) || !holdable.contains(job.queue_.service_, workers, step))
            continue;
        uint32_t admissible = admissibleTasks(workers, { job.record_.id_, occurrence, stepNumber, 0 }, step);
        for (uint32_t index = 0; index < step.count_ && admissible > 0; ++index) {
            TaskKey key { job.record_.id_, occurrence, stepNumber, index };
            if (!waitsForRoom(state, job, key, now))
                continue;
            addWaitingTask(work, job, key, isOnTime);
            --admissible;
        }
    }
}

// True if the run is taken to end within the horizon, as it is being stopped or its estimate says so.
static bool endsSoon(const LeaderState& state, const Task& task, const Step& step, Instant now)
{
    if (step.longRunning_ || task.isStopping_)
        return task.isStopping_;
    Duration age = now - task.times_.listedAt_.value_or(task.times_.assignedAt_);
    return step.estimate_ - age <= state.tuning_.rushHorizon_;
}

// Adds the free room of the worker and what becomes free there, and the use of each queue.
static void addRoom(const LeaderState& state, const Worker& worker, WaitingWork& work, std::map<std::string, Resources>& used, Instant now)
{
    Resources held;
    for (const auto& [owner, hold] : worker.holds_)
        held = held + hold.demand_;
    Resources taken = worker.reserved_ + held;
    Resources free = worker.traits_.capacity_ - taken;
    int64_t freeCores = std::max<int64_t>(0, freeMilliCores(worker) - held.milliCores());
    if (freeCores >= work.smallestMilliCores_)
        work.demand_.free_ = work.demand_.free_ + *Resources::create(freeCores, free.memoryBytes(), free.accelerators());
    for (const auto& [run, stopping] : worker.stoppingRuns_)
        work.demand_.expected_ = work.demand_.expected_ + stopping.demand_;
    for (const TaskKey& key : worker.assignedTasks_) {
        const Job& job = state.jobs_.at(key.job_);
        const Step& step = stepOf(job, key);
        if (step.isFilling_)
            continue;
        if (!step.longRunning_)
            used[job.queue_.name_] = used[job.queue_.name_] + step.demand_;
        if (endsSoon(state, job.tasks_[taskNumber(job, key)], step, now))
            work.demand_.expected_ = work.demand_.expected_ + step.demand_;
    }
}

static int64_t dominantShare(const Resources& used, const Resources& capacity)
{
    return std::max(used.milliCores() * 1000 / std::max<int64_t>(1, capacity.milliCores()), used.memoryBytes() / std::max<int64_t>(1, capacity.memoryBytes() / 1000));
}

static void addRoom(const LeaderState& state, const std::vector<const Worker*>& workers, WaitingWork& work, Instant now)
{
    Resources capacity;
    std::map<std::string, Resources> used;
    for (const Worker* worker : workers) {
        capacity = capacity + worker->traits_.capacity_;
        addRoom(state, *worker, work, used, now);
    }
    auto byDemand = [](const auto& left, const auto& right) { return left.second < right.second; };
    work.demand_.queue_ = std::max_element(work.milliCoresByQueue_.begin(), work.milliCoresByQueue_.end(), byDemand)->first;
    for (const auto& [queue, milliCores] : work.milliCoresByQueue_)
        work.demand_.shares_[queue] = dominantShare(used[queue], capacity);
}

std::map<std::string, WaitingWork> surveyUrgentWork(const LeaderState& state, Instant now)
{
    std::map<std::string, WaitingWork> waiting;
    if (state.readyJobs_.empty())
        return waiting;
    WorkersByService workers = workersBesideLongRunning(state, now);
    HoldableDemands holdable;
    for (const JobId& id : state.readyJobs_) {
        const Job& job = state.jobs_.at(id);
        auto known = workers.find(job.queue_.service_);
        bool hasObjective = job.queue_.stretch_ > 0 || job.queue_.targetLatency_ > Duration(0);
        if (known == workers.end() || !hasObjective || isLongRunning(job.record_.spec_))
            continue;
        Prospect prospect = urgencyOf(state, job).prospect_;
        if (prospect != Prospect::Worthless)
            addWaitingTasks(state, job, known->second, prospect == Prospect::OnTime, waiting[job.queue_.service_], holdable, now);
    }
    std::erase_if(waiting, [](const auto& entry) { return entry.second.demand_.tasks_ == 0; });
    for (auto& [service, work] : waiting)
        addRoom(state, workers.at(service), work, now);
    return waiting;
}

} // namespace persimmondoor::workflow
