#include "ServiceUse.h"

#include "PlacementScore.h"

#include <algorithm>

namespace persimmondoor::workflow {

static int64_t percentOf(int64_t taken, int64_t capacity)
{
    return taken * 100 / std::max<int64_t>(capacity, 1);
}

int64_t CapacityUse::coresPercent() const
{
    return percentOf(takenMilliCores_, milliCores_);
}

int64_t CapacityUse::memoryPercent() const
{
    return percentOf(takenMemoryBytes_, memoryBytes_);
}

bool CapacityUse::isWithin(int64_t percent) const
{
    return takenMilliCores_ * 100 <= milliCores_ * percent && takenMemoryBytes_ * 100 <= memoryBytes_ * percent;
}

bool ServiceUse::isMostlyFree(int64_t maximumTakenPercent) const
{
    return open_.isWithin(maximumTakenPercent) || up_.isWithin(maximumTakenPercent);
}

static void add(CapacityUse& use, const Worker& worker)
{
    const Resources& capacity = worker.traits_.capacity_;
    use.milliCores_ += capacity.milliCores();
    use.takenMilliCores_ += capacity.milliCores() - freeMilliCores(worker);
    use.memoryBytes_ += capacity.memoryBytes();
    use.takenMemoryBytes_ += worker.reserved_.memoryBytes();
}

void addWorker(ServiceUse& use, const LeaderState& state, const Worker& worker, Instant now)
{
    bool isOpen = stateObstacle(state, worker, now) == WorkerObstacle::None;
    if (isOpen)
        add(use.open_, worker);
    if (isOpen || isUp(state, worker, now))
        add(use.up_, worker);
}

ServiceUse useOf(const LeaderState& state, const std::string& service, Instant now)
{
    ServiceUse use;
    for (const auto& [incarnation, worker] : state.workers_) {
        if (worker.traits_.service_ == service)
            addWorker(use, state, worker, now);
    }
    return use;
}

} // namespace persimmondoor::workflow
