#include "Packing.h"

#include <algorithm>
#include <tuple>

namespace persimmondoor::workflow {

// Distinct demands that are packed, as each costs a pass over the workers.
static constexpr size_t maximumPackedDemands = 64;

namespace {

    struct PackedDemand {
        Resources demand_;
        std::string label_;
        size_t assignedTasks_ { 0 };
        size_t waitingTasks_ { 0 };
    };

    struct Bin {
        const Worker* worker_ { nullptr };
        Resources used_;
    };

} // namespace

static bool isAssignedToUsableWorker(const LeaderState& state, const Task& task, Instant now)
{
    auto worker = task.progress_.phase_ == TaskPhase::Assigned ? state.workers_.find(task.progress_.worker_) : state.workers_.end();
    return worker != state.workers_.end() && acceptsRuns(state, worker->second, now);
}

static PackedDemand& demandOf(std::vector<PackedDemand>& demands, const Step& step)
{
    auto known = std::find_if(demands.begin(), demands.end(), [&](const PackedDemand& other) { return other.demand_ == step.demand_ && other.label_ == step.requiredLabel_; });
    return known != demands.end() ? *known : demands.emplace_back(PackedDemand { step.demand_, step.requiredLabel_, 0, 0 });
}

static void addDemandsOf(const LeaderState& state, const Job& job, Instant now, std::vector<PackedDemand>& demands)
{
    const std::vector<Step>& steps = job.record_.spec_.steps();
    if (std::none_of(steps.begin(), steps.end(), [](const Step& step) { return step.longRunning_; }))
        return;
    for (uint32_t number = 0; number < job.tasks_.size(); ++number) {
        TaskKey key = keyOf(job, number);
        const Step& step = steps[key.step_];
        if (!step.longRunning_)
            continue;
        if (isAssignedToUsableWorker(state, job.tasks_[number], now))
            ++demandOf(demands, step).assignedTasks_;
        else if (job.tasks_[number].progress_.phase_ == TaskPhase::Waiting && isStartable(state, job, key.occurrence_, step))
            ++demandOf(demands, step).waitingTasks_;
    }
}

// The demands of the service's long-running tasks, the largest first.
static std::vector<PackedDemand> collectDemands(const LeaderState& state, const std::string& service, Instant now)
{
    std::vector<PackedDemand> demands;
    for (const JobId& id : state.openJobs_) {
        const Job& job = state.jobs_.at(id);
        if (job.queue_.service_ == service && !job.isCancelled_ && !job.hasFailed_)
            addDemandsOf(state, job, now, demands);
    }
    std::sort(demands.begin(), demands.end(), [](const PackedDemand& left, const PackedDemand& right) {
        return std::tuple(left.demand_.milliCores(), left.demand_.memoryBytes()) > std::tuple(right.demand_.milliCores(), right.demand_.memoryBytes());
    });
    if (demands.size() > maximumPackedDemands)
        demands.resize(maximumPackedDemands);
    return demands;
}

// Packs up to `count` tasks of the demand, into the first bins with room.
// \return how many were packed.
static size_t pack(std::vector<Bin>& bins, const PackedDemand& demand, size_t count)
{
    size_t packed = 0;
    for (Bin& bin : bins) {
        const WorkerTraits& traits = bin.worker_->traits_;
        bool hasLabel = demand.label_.empty() || std::find(traits.labels_.begin(), traits.labels_.end(), demand.label_) != traits.labels_.end();
        while (hasLabel && packed < count && (bin.used_ + demand.demand_).fitsIn(traits.capacity_)) {
            bin.used_ = bin.used_ + demand.demand_;
            ++packed;
        }
    }
    return packed;
}

LongRunningRoom roomForLongRunningTasks(const LeaderState& state, const std::string& service, Instant now)
{
    LongRunningRoom room;
    std::vector<Bin> bins;
    for (const auto& [incarnation, worker] : state.workers_) {
        if (worker.traits_.service_ != service || !acceptsRuns(state, worker, now))
            continue;
        bins.push_back({ &worker, {} });
        room.freeMilliCores_ += std::max<int64_t>(0, freeMilliCores(worker));
        room.largestFreeMilliCores_ = std::max(room.largestFreeMilliCores_, freeMilliCores(worker));
    }
    std::vector<PackedDemand> demands = collectDemands(state, service, now);
    for (const PackedDemand& demand : demands)
        pack(bins, demand, demand.assignedTasks_);
    for (const PackedDemand& demand : demands) {
        room.waitingTasks_ += demand.waitingTasks_;
        room.placeableTasks_ += pack(bins, demand, demand.waitingTasks_);
    }
    return room;
}

} // namespace persimmondoor::workflow
