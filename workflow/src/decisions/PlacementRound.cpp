#include "PlacementRound.h"

#include "PlacementScore.h"
#include "ServiceUse.h"

#include <algorithm>
#include <tuple>

namespace persimmondoor::workflow {

PlacementRound::PlacementRound(const LeaderState& state, Instant now)
    : state_(state)
    , now_(now)
{
    candidates_.reserve(state.workers_.size());
    for (const auto& [incarnation, worker] : state.workers_) {
        if (stateObstacle(state, worker, now) == WorkerObstacle::None)
            candidates_.push_back({ &incarnation, &worker, now < worker.lastChoiceUntil_, isQuarantined(worker, now), speedScoreOf(worker), {}, {}, {} });
    }
    refreshImages();
}

void PlacementRound::refreshImages()
{
    for (Candidate& candidate : candidates_) {
        candidate.images_.clear();
        for (const auto& [image, count] : candidate.worker_->longRunningByImage_)
            candidate.images_.push_back(positionOf(image));
    }
}

size_t PlacementRound::positionOf(const std::string& longRunningImage)
{
    auto [found, isNew] = longRunningImages_.try_emplace(longRunningImage, longRunningImages_.size());
    if (isNew)
        disturbedByFilling_.clear();
    return found->second;
}

const std::vector<bool>& PlacementRound::disturbedBy(const std::string& fillingImage)
{
    auto [found, isNew] = disturbedByFilling_.try_emplace(fillingImage);
    if (isNew) {
        found->second.resize(longRunningImages_.size());
        for (const auto& [image, position] : longRunningImages_)
            found->second[position] = !workflow::isHarmless(state_.interference_, fillingImage, image);
    }
    return found->second;
}

bool PlacementRound::isHarmless(const Candidate& candidate, const std::vector<bool>& disturbed)
{
    return std::none_of(candidate.images_.begin(), candidate.images_.end(), [&](size_t position) { return disturbed[position]; });
}

void PlacementRound::claim(const WorkerIncarnation& incarnation, const TaskKey& key, const Resources& demand)
{
    auto candidate = std::find_if(candidates_.begin(), candidates_.end(), [&](const Candidate& other) { return *other.incarnation_ == incarnation; });
    if (candidate == candidates_.end())
        return;
    candidate->claimed_ = candidate->claimed_ + demand;
    candidate->claimants_.push_back(key);
}

bool PlacementRound::hasUnclaimedRoom(const Candidate& candidate, const TaskKey& key, const Step& step)
{
    if (candidate.claimants_.empty())
        return true;
    const Worker& worker = *candidate.worker_;
    auto siblings = std::count_if(candidate.claimants_.begin(), candidate.claimants_.end(), [&](const TaskKey& other) { return std::tie(other.job_, other.occurrence_, other.step_) == std::tie(key.job_, key.occurrence_, key.step_); });
    if (step.maxPerWorker_ > 0 && countSiblings(worker, key) + siblings >= step.maxPerWorker_)
        return false;
    Resources wanted = candidate.claimed_ + step.demand_;
    int64_t milliCores = step.isFilling_ ? spareMilliCores(worker) : freeMilliCores(worker);
    Resources reserved = worker.reserved_ + wanted;
    const Resources& capacity = worker.traits_.capacity_;
    return wanted.milliCores() <= milliCores && reserved.memoryBytes() <= capacity.memoryBytes() && reserved.accelerators() <= capacity.accelerators();
}

bool PlacementRound::hasHarmlessWorker(const Job& job, const Step& step)
{
    const std::vector<bool>& disturbed = disturbedBy(step.image_);
    return std::any_of(candidates_.begin(), candidates_.end(), [&](const Candidate& candidate) {
        return !candidate.isQuarantined_ && candidate.worker_->traits_.service_ == job.queue_.service_ && isHarmless(candidate, disturbed);
    });
}

bool PlacementRound::hasObservedWorkers() const
{
    return std::any_of(candidates_.begin(), candidates_.end(), [](const Candidate& candidate) { return candidate.worker_->observedTask_.has_value(); });
}

bool PlacementRound::isMostlyFree(const std::string& service)
{
    auto known = mostlyFreeByService_.find(service);
    if (known == mostlyFreeByService_.end())
        known = mostlyFreeByService_.emplace(service, useOf(state_, service, now_).isMostlyFree(state_.tuning_.maximumTakenPercent_)).first;
    return known->second;
}

Disturbance PlacementRound::disturbanceOf(const Job& job)
{
    if (hasRunAtWork(state_, job, now_))
        return Disturbance::Avoided;
    Duration idle = idleTimeOf(state_, job, now_);
    bool mayShareCores = job.hasExceptionalPlace_ || idle > state_.tuning_.shareCoresAfter_;
    if (mayShareCores && isMostlyFree(job.queue_.service_))
        return Disturbance::AllowedOnSharedCores;
    return idle > state_.tuning_.ignoreInterferenceAfter_ ? Disturbance::Allowed : Disturbance::Avoided;
}

std::optional<WorkerIncarnation> PlacementRound::chooseWorker(const Job& job, const TaskKey& key, Disturbance disturbance, const std::string& rack)
{
    const Candidate* best = nullptr;
    int64_t bestScore = 0;
    const Step& step = stepOf(job, key);
    bool ignoresInterference = disturbance != Disturbance::Avoided || !step.isFilling_;
    // Filling tasks wait for a worker without interference if there is one, even if it has no free capacity now.
    bool mayCauseInterference = ignoresInterference || !hasHarmlessWorker(job, step);
    const std::vector<bool>* disturbed = step.isFilling_ ? &disturbedBy(step.image_) : nullptr;
    for (const Candidate& candidate : candidates_) {
        const Worker& worker = *candidate.worker_;
        if (!rack.empty() && !hasLabel(worker, rack))
            continue;
        bool isHarmlessHere = !disturbed || isHarmless(candidate, *disturbed);
        if (!isHarmlessHere && !mayCauseInterference)
            continue;
        if (taskObstacle(job, key, worker, disturbance, now_) != WorkerObstacle::None || mustBeIsolated(state_, job, key, worker, now_) || !hasUnclaimedRoom(candidate, key, step))
            continue;
        if (!isHarmlessHere && !ignoresInterference && paceAt(state_, step, worker) < minimumPace)
            continue;
        int64_t score = scoreOf(state_, job, key, *candidate.incarnation_, worker, isHarmlessHere) - (candidate.isQuarantined_ ? quarantineWeight : 0) - (candidate.isLastChoice_ ? lastChoiceWeight : 0);
        if (!step.longRunning_)
            score += candidate.speedScore_;
        if (!best || score > bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best ? std::optional(*best->incarnation_) : std::nullopt;
}

} // namespace persimmondoor::workflow
