#include "persimmondoor/placement/Feasibility.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::placement {

void WorkerShapes::add(const FailureDomainName& domain, const Resources& capacity)
{
    std::vector<Resources>& shapes = shapes_[domain];
    if (std::any_of(shapes.begin(), shapes.end(), [&](const Resources& known) { return capacity.fitsIn(known); }))
        return;
    std::erase_if(shapes, [&](const Resources& known) { return known.fitsIn(capacity); });
    if (shapes.size() < maximumShapes)
        shapes.push_back(capacity);
}

bool WorkerShapes::anyHolds(const Resources& resources) const
{
    return std::any_of(shapes_.begin(), shapes_.end(), [&](const auto& item) {
        return std::any_of(item.second.begin(), item.second.end(), [&](const Resources& shape) { return resources.fitsIn(shape); });
    });
}

Resources WorkerShapes::largest() const
{
    Resources most;
    for (const auto& [domain, shapes] : shapes_) {
        for (const Resources& shape : shapes)
            most = most + (shape - most);
    }
    return most;
}

static std::string amounts(const Resources& resources)
{
    return concat(resources.milliCores(), " milli-cores, ", resources.memoryBytes(), " bytes, ", resources.accelerators(), " accelerators");
}

// Returns the number of equal tasks that fit in `quota`, at most `tasks`.
static uint32_t tasksWithin(const Resources& quota, const Resources& each, uint32_t tasks)
{
    auto bound = [&](int64_t whole, int64_t part) { return part == 0 ? static_cast<int64_t>(tasks) : whole / part; };
    int64_t most = std::min({ bound(quota.milliCores(), each.milliCores()), bound(quota.memoryBytes(), each.memoryBytes()),
        bound(quota.accelerators(), each.accelerators()), static_cast<int64_t>(tasks) });
    return static_cast<uint32_t>(most);
}

static std::string spreadFault(const Spread& spread, uint32_t tasks, const WorkerShapes& shapes)
{
    if (spread.maximumPerGroup_ == 0)
        return "the spread allows no task in any group";
    uint64_t most = static_cast<uint64_t>(spread.maximumPerGroup_) * shapes.domainCount();
    if (spread.level_ == GroupLevel::Domain && tasks > most)
        return concat("the spread allows ", most, " tasks in ", shapes.domainCount(), " failure domains; the job has ", tasks);
    return {};
}

static std::string gangFault(const PlacementRequest& request, uint32_t tasks, const QuotaLedger& quotas)
{
    uint32_t most = tasksWithin(quotas.quota(request.team_), request.resources_, tasks);
    if (most < tasks)
        return concat("the gang starts ", tasks, " tasks together; the team's quota holds ", most);
    return {};
}

std::optional<NotPlaced> findUnplaceable(const PlacementRequest& request, uint32_t tasks, const WorkerShapes& shapes, const QuotaLedger& quotas)
{
    if (shapes.empty())
        return std::nullopt;
    auto never = [&](std::string detail) { return NotPlaced { request.task_, WaitReason::NeverFits, std::move(detail) }; };
    if (!shapes.anyHolds(request.resources_))
        return never(concat("no worker is large enough: ", amounts(request.resources_), "; the largest amounts of any worker are ", amounts(shapes.largest())));
    if (!request.resources_.fitsIn(quotas.quota(request.team_)))
        return never(concat("one task exceeds the team's quota: ", amounts(request.resources_), "; quota ", amounts(quotas.quota(request.team_))));
    auto toFault = Visitor {
        [](const Unconstrained&) { return std::string(); },
        [&](const Spread& spread) { return spreadFault(spread, tasks, shapes); },
        [&](const Gang&) { return gangFault(request, tasks, quotas); },
    };
    std::string fault = std::visit(toFault, request.constraint_);
    if (!fault.empty())
        return never(std::move(fault));
    return std::nullopt;
}

} // namespace persimmondoor::placement
