#include "Fitting.h"

#include "Random.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <cmath>

namespace persimmondoor::placement {

/// Width of the steps to which pressures are rounded down before they are compared.
static constexpr double pressureStep = 0.1;

std::string_view groupName(const Site& site, GroupLevel level)
{
    switch (level) {
    case GroupLevel::Worker:
        return site.worker_.value();
    case GroupLevel::Rack:
        return site.rack_.value();
    case GroupLevel::Domain:
        return site.domain_.value();
    case GroupLevel::Cell:
        break;
    }
    return {};
}

Site siteOf(const Offer& offer)
{
    return { offer.worker_, offer.rack_, offer.domain_ };
}

static std::string_view groupName(const Offer& offer, GroupLevel level)
{
    switch (level) {
    case GroupLevel::Worker:
        return offer.worker_.value();
    case GroupLevel::Rack:
        return offer.rack_.value();
    case GroupLevel::Domain:
        return offer.domain_.value();
    case GroupLevel::Cell:
        break;
    }
    return {};
}

std::map<std::string_view, uint32_t> countSiblings(const PlacementRequest& request)
{
    std::map<std::string_view, uint32_t> counts;
    if (const auto* spread = std::get_if<Spread>(&request.constraint_)) {
        for (const Site& site : request.siblings_)
            ++counts[groupName(site, spread->level_)];
    }
    return counts;
}

static uint32_t siblingsInGroup(const PlacementRequest& request, const Offer& offer, const std::map<std::string_view, uint32_t>& siblings)
{
    const auto* spread = std::get_if<Spread>(&request.constraint_);
    if (!spread)
        return 0;
    auto found = siblings.find(groupName(offer, spread->level_));
    return found == siblings.end() ? 0 : found->second;
}

std::optional<WaitReason> refusalIgnoringResources(const PlacementRequest& request, const Offer& offer, const std::map<std::string_view, uint32_t>& siblings)
{
    if (request.closedDomains_.contains(offer.domain_))
        return WaitReason::DomainClosed;
    if (request.avoidedWorkers_.contains(offer.worker_))
        return WaitReason::WorkerAvoided;
    if (!offer.accepting_)
        return WaitReason::NotAccepting;
    const auto* spread = std::get_if<Spread>(&request.constraint_);
    if (spread && siblingsInGroup(request, offer, siblings) >= spread->maximumPerGroup_)
        return WaitReason::SpreadLimit;
    return std::nullopt;
}

std::optional<WaitReason> missingResource(const Resources& needed, const Resources& free)
{
    if (needed.accelerators() > free.accelerators())
        return WaitReason::Accelerators;
    if (needed.memoryBytes() > free.memoryBytes())
        return WaitReason::Memory;
    if (needed.milliCores() > free.milliCores())
        return WaitReason::Processors;
    return std::nullopt;
}

// Returns the mean remaining share of the capacity over the resources that the worker has.
static double remainingShare(const Resources& left, const Resources& capacity)
{
    double sum = 0;
    int parts = 0;
    auto add = [&](int64_t amount, int64_t whole) {
        if (whole <= 0)
            return;
        sum += static_cast<double>(amount) / static_cast<double>(whole);
        ++parts;
    };
    add(left.milliCores(), capacity.milliCores());
    add(left.memoryBytes(), capacity.memoryBytes());
    add(left.accelerators(), capacity.accelerators());
    return parts == 0 ? 0 : sum / parts;
}

Preference preferenceOf(const PlacementRequest& request, const Offer& offer, const std::map<std::string_view, uint32_t>& siblings)
{
    bool blocksAccelerators = request.resources_.accelerators() == 0 && offer.free_.accelerators() > 0;
    int pressure = static_cast<int>(std::floor(std::clamp(offer.pressure_, 0.0, 1.0) / pressureStep));
    double left = remainingShare(offer.free_ - request.resources_, offer.capacity_);
    return { blocksAccelerators, siblingsInGroup(request, offer, siblings), pressure, left, hashOf(offer.worker_.value(), request.seed_) };
}

NotPlaced Refusals::summary(const TaskId& task) const
{
    if (counts_.empty())
        return { task, WaitReason::NoOffers, "no worker has answered" };
    auto fewer = [](const auto& left, const auto& right) { return left.second < right.second; };
    auto most = std::max_element(counts_.begin(), counts_.end(), fewer);
    std::string detail;
    for (const auto& [reason, count] : counts_)
        detail += concat(detail.empty() ? "" : ", ", count, " x ", describe(reason));
    return { task, most->first, detail };
}

} // namespace persimmondoor::placement
