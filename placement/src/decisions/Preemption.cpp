#include "persimmondoor/placement/Preemption.h"

#include "Fitting.h"
#include "Random.h"

#include <algorithm>

namespace persimmondoor::placement {

static constexpr int64_t percent = 100;

static Duration lostWork(const RunningTask& task)
{
    if (!task.canCheckpoint_)
        return task.sinceCheckpoint_;
    return checkpointCost + task.sinceCheckpoint_ * checkpointRiskPercent / percent;
}

// Orders by least lost work, then by longest remaining run time.
static bool isBetterVictim(const RunningTask* left, const RunningTask* right)
{
    return std::tuple(lostWork(*left), -left->remaining_, left->task_) < std::tuple(lostWork(*right), -right->remaining_, right->task_);
}

// True if stopping `task` frees some of a resource that is short.
static bool reducesDeficit(const RunningTask& task, const Resources& deficit)
{
    return deficit - task.resources_ != deficit;
}

// Drops each victim without which the others still cover `deficit`, starting with the one that loses the most work.
static void dropUnneeded(std::vector<const RunningTask*>& victims, const Resources& deficit)
{
    for (size_t index = victims.size(); index-- > 0;) {
        Resources rest;
        for (size_t other = 0; other < victims.size(); ++other) {
            if (other != index)
                rest = rest + victims[other]->resources_;
        }
        if (deficit.fitsIn(rest))
            victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

// Returns victims whose resources cover `deficit`, or none if that is impossible.
static std::vector<const RunningTask*> chooseVictims(std::vector<const RunningTask*> candidates, const Resources& deficit)
{
    std::sort(candidates.begin(), candidates.end(), isBetterVictim);
    std::vector<const RunningTask*> victims;
    Resources left = deficit;
    for (const RunningTask* candidate : candidates) {
        if (left == Resources())
            break;
        if (!reducesDeficit(*candidate, left))
            continue;
        victims.push_back(candidate);
        left = left - candidate->resources_;
    }
    if (left != Resources())
        return {};
    dropUnneeded(victims, deficit);
    return victims;
}

static Preemption makePreemption(const Offer& offer, const std::vector<const RunningTask*>& victims)
{
    Preemption preemption { siteOf(offer), {}, Duration(0) };
    for (const RunningTask* victim : victims) {
        preemption.victims_.push_back(victim->task_);
        preemption.lostWork_ += lostWork(*victim);
    }
    return preemption;
}

PreemptionChoice proposePreemption(const PlacementRequest& request, const std::vector<Offer>& offers, const std::vector<RunningTask>& running)
{
    if (request.priority_.tier_ != Tier::Paying)
        return NotPlaced { request.task_, WaitReason::MayNotPreempt, "only tasks of the paying tier may preempt" };
    std::map<WorkerName, std::vector<const RunningTask*>> trialTasks;
    for (const RunningTask& task : running) {
        if (task.tier_ == Tier::Trial)
            trialTasks[task.worker_].push_back(&task);
    }
    auto siblings = countSiblings(request);
    Refusals refusals;
    using Candidate = std::tuple<Duration, size_t, uint64_t, Preemption>;
    std::optional<Candidate> best;
    for (const Offer& offer : offers) {
        if (auto refusal = refusalIgnoringResources(request, offer, siblings)) {
            refusals.add(*refusal);
            continue;
        }
        Resources deficit = request.resources_ - offer.free_;
        std::vector<const RunningTask*> victims = chooseVictims(trialTasks[offer.worker_], deficit);
        if ((victims.empty() && deficit != Resources()) || victims.size() > maximumVictims) {
            refusals.add(missingResource(request.resources_, offer.free_).value_or(WaitReason::Processors));
            continue;
        }
        Preemption preemption = makePreemption(offer, victims);
        Candidate candidate { preemption.lostWork_, victims.size(), hashOf(offer.worker_.value(), request.seed_), std::move(preemption) };
        auto rank = [](const Candidate& item) { return std::tuple(std::get<0>(item), std::get<1>(item), std::get<2>(item)); };
        if (!best || rank(candidate) < rank(*best))
            best = std::move(candidate);
    }
    if (best)
        return std::get<Preemption>(*best);
    return refusals.summary(request.task_);
}

} // namespace persimmondoor::placement
