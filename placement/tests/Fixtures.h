/// Builders and random generators of offers and requests for tests.
#pragma once

#include "persimmondoor/placement/Choice.h"

#include <rapidcheck.h>

namespace persimmondoor::placement {

inline constexpr int64_t gigabyte = 1'000'000'000;

inline Resources resources(int64_t cores, int64_t gigabytes, int64_t accelerators = 0)
{
    return *Resources::create(cores * 1'000, gigabytes * gigabyte, accelerators);
}

inline Offer offer(const std::string& worker, const std::string& domain, const Resources& free, const Resources& capacity)
{
    return { WorkerName::of(worker), FailureDomainName::of(domain), RackName::of(domain + "-rack"), capacity, free, 0, 0, true };
}

inline PlacementRequest request(const std::string& task, const Resources& wanted, Priority priority = { Tier::Paying, Urgency::Normal })
{
    PlacementRequest result;
    result.task_ = TaskId::of(task);
    result.team_ = TeamName::of("team");
    result.priority_ = priority;
    result.resources_ = wanted;
    return result;
}

inline rc::Gen<Resources> anyResources(int64_t cores, int64_t gigabytes, int64_t accelerators)
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange<int64_t>(0, cores + 1), rc::gen::inRange<int64_t>(0, gigabytes + 1), rc::gen::inRange<int64_t>(0, accelerators + 1)),
        [](const std::tuple<int64_t, int64_t, int64_t>& parts) { return resources(std::get<0>(parts), std::get<1>(parts), std::get<2>(parts)); });
}

/// Returns up to 11 random offers from three domains, some of them not accepting.
inline std::vector<Offer> anyOffers()
{
    std::vector<Offer> offers;
    int count = *rc::gen::inRange(0, 12);
    for (int index = 0; index < count; ++index) {
        Resources capacity = *anyResources(16, 64, 2);
        Resources used = *anyResources(16, 64, 2);
        Offer each = offer("w" + std::to_string(index), "d" + std::to_string(index % 3), capacity - used, capacity);
        each.accepting_ = *rc::gen::inRange(0, 5) > 0;
        each.pressure_ = *rc::gen::inRange(0, 10) / 10.0;
        offers.push_back(each);
    }
    return offers;
}

inline Constraint anyConstraint()
{
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return Spread { *rc::gen::element(GroupLevel::Worker, GroupLevel::Rack, GroupLevel::Domain), *rc::gen::inRange<uint32_t>(1, 3) };
    case 1:
        return Gang { *rc::gen::element(GroupLevel::Worker, GroupLevel::Rack, GroupLevel::Domain, GroupLevel::Cell) };
    default:
        return Unconstrained {};
    }
}

inline Priority anyPriority()
{
    return { *rc::gen::element(Tier::Paying, Tier::Trial), *rc::gen::element(Urgency::Urgent, Urgency::Normal) };
}

} // namespace persimmondoor::placement
