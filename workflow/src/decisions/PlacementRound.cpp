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
    for (Candidate& candidate : candidates_)
        refreshImages(candidate);
}

void PlacementRound::refreshImages(Candidate& candidate)
{
    candidate.images_.clear();
    for (const auto& [image, count] : candidate.worker_->longRunningByImage_)
        candidate.images_.push_back(positionOf(image));
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

PlacementRound::Search PlacementRound::beginSearch(const Job& job, const TaskKey& key, Disturbance disturbance, const std::string& rack)
{
    const Step& step = stepOf(job, key);
    bool ignoresInterference = disturbance != Disturbance::Avoided || !step.isFilling_;
    // Filling tasks wait for a worker without interference if there is one, even if it has no free capacity now.
    bool mayCauseInterference = ignoresInterference || !hasHarmlessWorker(job, step);
    return { job, key, disturbance, rack, ignoresInterference, mayCauseInterference, step.isFilling_ ? &disturbedBy(step.image_) : nullptr };
}

int64_t PlacementRound::scoreAt(const Candidate& candidate, const Search& search)
{
    ++visits_;
    const Worker& worker = *candidate.worker_;
    if (!search.rack_.empty() && !hasLabel(worker, search.rack_))
        return unsuitable;
    bool isHarmlessHere = !search.disturbed_ || isHarmless(candidate, *search.disturbed_);
    if (!isHarmlessHere && !search.mayCauseInterference_)
        return unsuitable;
    const Job& job = search.job_;
    const Step& step = stepOf(job, search.key_);
    if (taskObstacle(job, search.key_, worker, search.disturbance_, now_) != WorkerObstacle::None || mustBeIsolated(state_, job, search.key_, worker, now_) || !hasUnclaimedRoom(candidate, search.key_, step))
        return unsuitable;
    if (!isHarmlessHere && !search.ignoresInterference_ && paceAt(state_, step, worker) < minimumPace)
        return unsuitable;
    int64_t score = scoreOf(state_, job, search.key_, *candidate.incarnation_, worker, isHarmlessHere) - (candidate.isQuarantined_ ? quarantineWeight : 0) - (candidate.isLastChoice_ ? lastChoiceWeight : 0);
    return step.longRunning_ ? score : score + candidate.speedScore_;
}

std::optional<WorkerIncarnation> PlacementRound::chooseWorker(const Job& job, const TaskKey& key, Disturbance disturbance, const std::string& rack)
{
    const Candidate* best = nullptr;
    int64_t bestScore = unsuitable;
    const Search search = beginSearch(job, key, disturbance, rack);
    for (const Candidate& candidate : candidates_) {
        int64_t score = scoreAt(candidate, search);
        if (score > bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best ? std::optional(*best->incarnation_) : std::nullopt;
}

static uint64_t timesThatFit(int64_t free, int64_t demand)
{
    return demand > 0 ? static_cast<uint64_t>(std::max<int64_t>(free, 0) / demand) : std::numeric_limits<uint64_t>::max();
}

// An upper bound on the tasks of the step that the worker can take, without regard to interference and held room.
static uint64_t roomOn(const Worker& worker, const TaskKey& first, const Step& step)
{
    const Resources& capacity = worker.traits_.capacity_;
    const Resources& demand = step.demand_;
    if (isOvercommitted(worker) || !demand.fitsIn(capacity))
        return 0;
    // The cores of filling tasks are not counted against the capacity.
    uint64_t room = step.isFilling_ ? std::numeric_limits<uint64_t>::max() : timesThatFit(freeMilliCores(worker), demand.milliCores());
    room = std::min(room, timesThatFit(capacity.memoryBytes() - worker.reserved_.memoryBytes(), demand.memoryBytes()));
    room = std::min(room, timesThatFit(capacity.accelerators() - worker.reserved_.accelerators(), demand.accelerators()));
    return step.maxPerWorker_ == 0 ? room : std::min(room, static_cast<uint64_t>(std::max<int64_t>(0, int64_t(step.maxPerWorker_) - countSiblings(worker, first))));
}

uint64_t PlacementRound::roomForGang(const Job& job, const TaskKey& first, const std::string& rack)
{
    const Step& step = stepOf(job, first);
    uint64_t room = 0;
    for (const Candidate& candidate : candidates_) {
        ++visits_;
        const Worker& worker = *candidate.worker_;
        bool isSuitable = worker.traits_.service_ == job.queue_.service_ && (rack.empty() || hasLabel(worker, rack)) && (step.requiredLabel_.empty() || hasLabel(worker, step.requiredLabel_));
        if (isSuitable)
            room += std::min<uint64_t>(roomOn(worker, first, step), step.count_ - room);
        if (room == step.count_)
            break;
    }
    return room;
}

} // namespace persimmondoor::workflow
