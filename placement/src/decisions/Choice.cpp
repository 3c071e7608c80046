#include "persimmondoor/placement/Choice.h"

#include "Fitting.h"
#include "Random.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::placement {

std::string_view describe(GroupLevel level)
{
    switch (level) {
    case GroupLevel::Worker:
        return "worker";
    case GroupLevel::Rack:
        return "rack";
    case GroupLevel::Domain:
        return "failure domain";
    case GroupLevel::Cell:
        break;
    }
    return "cell";
}

std::string_view describe(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NoOffers:
        return "no offers";
    case WaitReason::DomainClosed:
        return "failure domain out of service";
    case WaitReason::WorkerAvoided:
        return "worker in quarantine or failed this task";
    case WaitReason::NotAccepting:
        return "worker accepts no tasks";
    case WaitReason::Processors:
        return "processors";
    case WaitReason::Memory:
        return "memory";
    case WaitReason::Accelerators:
        return "accelerators";
    case WaitReason::SpreadLimit:
        return "spread limit";
    case WaitReason::GangIncomplete:
        return "not enough free resources for all tasks of the gang";
    case WaitReason::QuotaExceeded:
        return "team quota";
    case WaitReason::MayNotPreempt:
        return "trial tasks may not preempt";
    case WaitReason::NeverFits:
        break;
    }
    return "never fits";
}

// Returns the index of the best offer among `candidates`, or the refusals if none fits.
static std::variant<size_t, Refusals> bestOffer(const PlacementRequest& request, const std::vector<Offer>& offers, const std::vector<size_t>& candidates)
{
    auto siblings = countSiblings(request);
    Refusals refusals;
    std::optional<std::pair<Preference, size_t>> best;
    for (size_t index : candidates) {
        const Offer& offer = offers[index];
        auto refusal = refusalIgnoringResources(request, offer, siblings);
        if (!refusal)
            refusal = missingResource(request.resources_, offer.free_);
        if (refusal) {
            refusals.add(*refusal);
            continue;
        }
        std::pair candidate { preferenceOf(request, offer, siblings), index };
        if (!best || candidate < *best)
            best = candidate;
    }
    if (best)
        return best->second;
    return refusals;
}

static std::vector<size_t> allIndices(size_t count)
{
    std::vector<size_t> indices(count);
    for (size_t index = 0; index < count; ++index)
        indices[index] = index;
    return indices;
}

static Placed place(const PlacementRequest& request, Offer& offer)
{
    assertInvariant(request.resources_.fitsIn(offer.free_), "a task is placed only where its resources fit");
    offer.free_ = offer.free_ - request.resources_;
    ++offer.running_;
    return { request.task_, siteOf(offer), request.resources_ };
}

static PlacementChoice placeOne(const PlacementRequest& request, std::vector<Offer>& offers, const std::vector<size_t>& candidates)
{
    auto toChoice = Visitor {
        [&](size_t index) -> PlacementChoice { return place(request, offers[index]); },
        [&](const Refusals& refusals) -> PlacementChoice { return refusals.summary(request.task_); },
    };
    return std::visit(toChoice, bestOffer(request, offers, candidates));
}

PlacementChoice choosePlacement(const PlacementRequest& request, const std::vector<Offer>& offers)
{
    auto toChoice = Visitor {
        [&](size_t index) -> PlacementChoice { return Placed { request.task_, siteOf(offers[index]), request.resources_ }; },
        [&](const Refusals& refusals) -> PlacementChoice { return refusals.summary(request.task_); },
    };
    return std::visit(toChoice, bestOffer(request, offers, allIndices(offers.size())));
}

namespace {

    // Indices of the offers of one group.
    using Group = std::vector<size_t>;

    struct GangAttempt {
        std::vector<PlacementChoice> choices_;
        std::vector<Offer> offers_;
        bool complete_ { false };
    };

} // namespace

static std::vector<Group> groupsOf(const std::vector<Offer>& offers, GroupLevel level, uint64_t seed)
{
    std::map<std::string, Group> byName;
    for (size_t index = 0; index < offers.size(); ++index)
        byName[std::string(groupName(siteOf(offers[index]), level))].push_back(index);
    std::map<uint64_t, Group> byHash;
    for (const auto& [name, group] : byName)
        byHash.emplace(hashOf(name, seed), group);
    std::vector<Group> groups;
    groups.reserve(byHash.size());
    for (auto& [hash, group] : byHash)
        groups.push_back(std::move(group));
    return groups;
}

// Places the largest tasks first, so that as few as possible do not fit (first-fit decreasing; Johnson 1973).
static GangAttempt attemptGang(const std::vector<PlacementRequest>& requests, std::vector<Offer> offers, const Group& group)
{
    std::vector<size_t> order = allIndices(requests.size());
    auto larger = [&](size_t left, size_t right) {
        return requests[right].resources_.fitsIn(requests[left].resources_) && requests[left].resources_ != requests[right].resources_;
    };
    std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) {
        return requests[left].resources_.milliCores() > requests[right].resources_.milliCores() || larger(left, right);
    });
    GangAttempt attempt { std::vector<PlacementChoice>(requests.size()), std::move(offers), true };
    for (size_t index : order) {
        attempt.choices_[index] = placeOne(requests[index], attempt.offers_, group);
        attempt.complete_ = attempt.complete_ && std::holds_alternative<Placed>(attempt.choices_[index]);
    }
    return attempt;
}

static GangAttempt incompleteGang(const std::vector<PlacementRequest>& requests, std::vector<Offer> offers, size_t most, GroupLevel level)
{
    GangAttempt attempt { {}, std::move(offers), false };
    std::string detail = concat("at most ", most, " of ", requests.size(), " tasks fit in one ", describe(level));
    for (const PlacementRequest& request : requests)
        attempt.choices_.emplace_back(NotPlaced { request.task_, WaitReason::GangIncomplete, detail });
    return attempt;
}

static GangAttempt placeGang(const std::vector<PlacementRequest>& requests, std::vector<Offer> offers)
{
    if (requests.empty())
        return { {}, std::move(offers), true };
    const auto* gang = std::get_if<Gang>(&requests.front().constraint_);
    assertInvariant(gang != nullptr, "the requests of a gang carry the Gang constraint");
    size_t most = 0;
    for (const Group& group : groupsOf(offers, gang->within_, requests.front().seed_)) {
        GangAttempt attempt = attemptGang(requests, offers, group);
        if (attempt.complete_)
            return attempt;
        auto placed = std::count_if(attempt.choices_.begin(), attempt.choices_.end(), [](const PlacementChoice& choice) { return std::holds_alternative<Placed>(choice); });
        most = std::max(most, static_cast<size_t>(placed));
    }
    return incompleteGang(requests, std::move(offers), most, gang->within_);
}

std::vector<PlacementChoice> chooseGang(const std::vector<PlacementRequest>& requests, const std::vector<Offer>& offers)
{
    return placeGang(requests, offers).choices_;
}

// Reserves quota for all tasks of the unit or for none. Returns the exceeded amounts; empty if reserved.
static std::string reserveUnit(const PlacementUnit& unit, QuotaLedger& quotas)
{
    QuotaLedger tentative = quotas;
    for (const PlacementRequest& request : unit) {
        if (!tentative.reserve(request.team_, request.task_, request.resources_))
            return tentative.excess(request.team_, request.resources_);
    }
    quotas = std::move(tentative);
    return {};
}

static bool isGang(const PlacementUnit& unit)
{
    return !unit.empty() && std::holds_alternative<Gang>(unit.front().constraint_);
}

// Places each request of a unit that is not a gang independently of the others.
static void placeSingles(const PlacementUnit& unit, QueuePlacement& result)
{
    for (const PlacementRequest& request : unit) {
        std::string excess = result.quotas_.excess(request.team_, request.resources_);
        if (!excess.empty()) {
            result.choices_.emplace_back(NotPlaced { request.task_, WaitReason::QuotaExceeded, excess });
            continue;
        }
        result.choices_.push_back(placeOne(request, result.offers_, allIndices(result.offers_.size())));
        if (std::holds_alternative<Placed>(result.choices_.back()))
            result.quotas_.reserve(request.team_, request.task_, request.resources_);
    }
}

static void placeWholeGang(const PlacementUnit& unit, QueuePlacement& result)
{
    QuotaLedger quotas = result.quotas_;
    std::string excess = reserveUnit(unit, quotas);
    if (!excess.empty()) {
        for (const PlacementRequest& request : unit)
            result.choices_.emplace_back(NotPlaced { request.task_, WaitReason::QuotaExceeded, excess });
        return;
    }
    GangAttempt attempt = placeGang(unit, result.offers_);
    if (attempt.complete_) {
        result.offers_ = std::move(attempt.offers_);
        result.quotas_ = std::move(quotas);
    }
    result.choices_.insert(result.choices_.end(), attempt.choices_.begin(), attempt.choices_.end());
}

QueuePlacement placeQueue(std::vector<PlacementUnit> units, std::vector<Offer> offers, QuotaLedger quotas)
{
    std::erase_if(units, [](const PlacementUnit& unit) { return unit.empty(); });
    auto earlier = [](const PlacementUnit& left, const PlacementUnit& right) { return left.front().priority_ < right.front().priority_; };
    std::stable_sort(units.begin(), units.end(), earlier);
    QueuePlacement result { {}, std::move(offers), std::move(quotas) };
    for (const PlacementUnit& unit : units)
        isGang(unit) ? placeWholeGang(unit, result) : placeSingles(unit, result);
    return result;
}

} // namespace persimmondoor::placement
