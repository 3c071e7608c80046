#include "PlacementScore.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace persimmondoor::workflow {

// Weights of a worker's score; one unit is one percent of the worker's capacity that would stay free.
// Data on another rack makes a task take at least 1.5 times as long.
static constexpr int64_t dataRackWeight = 200;
// A worker on which this task failed, hung, was slowed down or did not appear is chosen only if no other has enough free
// capacity. For long-running tasks, the weights of images below may outweigh this one.
static constexpr int64_t avoidedWeight = 1000;
static constexpr int64_t failureWeight = 100;
// Long-running tasks are placed beside tasks of their own image, as the same filling images disturb them; each filling
// image then finds workers where it does no harm. Otherwise they are placed beside as few other images as possible.
static constexpr int64_t sameImageWeight = 3000;
static constexpr int64_t otherImageWeight = 1000;
static constexpr int64_t emptyWorkerWeight = 2500;
// Tasks of one step are busy at the same times, which leaves filling tasks more processor time than tasks with alternating
// loads.
static constexpr int64_t siblingWeight = 20;
// Short tasks and harmless filling tasks are placed beside long-running tasks, as they do not disturb them.
static constexpr int64_t besideLongRunningWeight = 150;
// Long-running tasks lose more by a crash than others, as they have users of their own.
static constexpr int64_t longRunningLossWeight = 10;
// A filling task that would be slowed down everywhere is placed where it is slowed down least.
static constexpr double slowdownWeight = 200;
// A slow worker is chosen only if no other has enough free capacity.
static constexpr int64_t slowWorkerWeight = 10'000;
// Share of their demand that long-running tasks leave unused most of the time, in percent.
static constexpr int64_t longRunningIdlePercent = 45;

static bool isReported(const LeaderState& state, const Worker& worker, Instant now)
{
    return worker.isListed_ && state.agents_.count(worker.agent_) > 0 && now - worker.lastReportAt_ < state.tuning_.maximumReportAge_;
}

bool isUp(const LeaderState& state, const Worker& worker, Instant now)
{
    return worker.isReachable_ && isReported(state, worker, now);
}

WorkerObstacle stateObstacle(const LeaderState& state, const Worker& worker, Instant now)
{
    if (worker.draining_)
        return WorkerObstacle::Draining;
    if (state.evacuatedDomains_.count(worker.traits_.domain_) > 0)
        return WorkerObstacle::Evacuated;
    if (!isReported(state, worker, now))
        return WorkerObstacle::NotReported;
    return worker.isReachable_ ? WorkerObstacle::None : WorkerObstacle::Unreachable;
}

bool acceptsRuns(const LeaderState& state, const Worker& worker, Instant now)
{
    return !isQuarantined(worker, now) && stateObstacle(state, worker, now) == WorkerObstacle::None;
}

bool acceptsProbe(const LeaderState& state, const Worker& worker, const TaskKey& key, Instant now)
{
    return worker.probe_ == key && stateObstacle(state, worker, now) == WorkerObstacle::None;
}

bool hasLabel(const Worker& worker, const std::string& label)
{
    return std::find(worker.traits_.labels_.begin(), worker.traits_.labels_.end(), label) != worker.traits_.labels_.end();
}

int64_t countSiblings(const Worker& worker, const TaskKey& key)
{
    auto first = worker.assignedTasks_.lower_bound({ key.job_, key.occurrence_, key.step_, 0 });
    auto last = worker.assignedTasks_.lower_bound({ key.job_, key.occurrence_, key.step_ + 1, 0 });
    return std::distance(first, last);
}

int64_t freeMilliCores(const Worker& worker)
{
    return worker.traits_.capacity_.milliCores() - worker.reserved_.milliCores() + worker.fillingMilliCores_;
}

// True if the tails of all long-running tasks on the worker leave room for filling tasks. Images with a target of
// which no reading is known yet leave none.
static bool hasHeadroom(const Worker& worker)
{
    auto hasReading = [&](const auto& image) {
        return std::any_of(worker.headrooms_.begin(), worker.headrooms_.end(), [&](const Headroom& headroom) { return headroom.image_ == image.first; });
    };
    return std::all_of(worker.headrooms_.begin(), worker.headrooms_.end(), [](const Headroom& headroom) { return headroom.utilisation_ > 0; })
        && std::all_of(worker.targetedByImage_.begin(), worker.targetedByImage_.end(), hasReading);
}

int64_t spareMilliCores(const Worker& worker)
{
    // Tasks at a reduced pace keep their assignment but not their cores; they would otherwise fill the worker while it is
    // idle, as they stay and the others end. Without headroom those cores are needed by the long-running tasks: even
    // filling tasks that count as harmless add a little to their tails.
    int64_t usedByFilling = worker.fillingMilliCores_ - (hasHeadroom(worker) ? worker.throttledMilliCores_ : 0);
    return freeMilliCores(worker) + worker.longRunningReserved_.milliCores() * longRunningIdlePercent / 100 - usedByFilling;
}

bool isOvercommitted(const Worker& worker)
{
    const Resources& capacity = worker.traits_.capacity_;
    return freeMilliCores(worker) < 0 || worker.reserved_.memoryBytes() > capacity.memoryBytes() || worker.reserved_.accelerators() > capacity.accelerators();
}

// Cores in thousandths that the worker has for the task, without regard to those that are held for others.
static int64_t usableMilliCores(const Worker& worker, const Step& step, Disturbance disturbance)
{
    if (!step.isFilling_)
        return freeMilliCores(worker);
    return disturbance == Disturbance::AllowedOnSharedCores ? worker.traits_.capacity_.milliCores() : spareMilliCores(worker);
}

static WorkerObstacle capacityObstacle(const Worker& worker, const Job& job, const TaskKey& key, Disturbance disturbance)
{
    const Step& step = stepOf(job, key);
    const Resources& capacity = worker.traits_.capacity_;
    // The start would be withdrawn before its release, and the task placed there again.
    if (isOvercommitted(worker))
        return worker.reserved_.memoryBytes() > capacity.memoryBytes() ? WorkerObstacle::Memory : WorkerObstacle::Cores;
    Resources held = heldForOthers(worker, job, key, disturbance);
    // Filling tasks wait for spare cores, as beyond them they would only slow each other down. They take no cores that are
    // held for others, as theirs are not counted against the capacity.
    int64_t heldCores = step.isFilling_ ? 0 : held.milliCores();
    if (step.demand_.milliCores() > usableMilliCores(worker, step, disturbance) - heldCores)
        return WorkerObstacle::Cores;
    if (worker.reserved_.memoryBytes() + held.memoryBytes() + step.demand_.memoryBytes() > capacity.memoryBytes())
        return WorkerObstacle::Memory;
    bool hasAccelerators = worker.reserved_.accelerators() + held.accelerators() + step.demand_.accelerators() <= capacity.accelerators();
    return hasAccelerators ? WorkerObstacle::None : WorkerObstacle::Accelerators;
}

// The headroom of the worker's long-running tasks; none for images of which no reading is known yet.
static std::vector<Headroom> headroomsAt(const Worker& worker)
{
    std::vector<Headroom> headrooms = worker.headrooms_;
    for (const auto& [image, count] : worker.longRunningByImage_)
        addImageWithoutReading(headrooms, image);
    return headrooms;
}

double paceAt(const LeaderState& state, const Step& step, const Worker& worker)
{
    std::vector<Headroom> headrooms = headroomsAt(worker);
    if (headrooms.empty())
        return 1;
    auto capacity = static_cast<double>(std::max<int64_t>(worker.traits_.capacity_.milliCores(), 1));
    std::map<std::string, double> shares;
    for (const auto& [image, filling] : worker.fillingByImage_)
        shares[image] = static_cast<double>(filling.milliCores_) / capacity;
    shares[step.image_] += static_cast<double>(step.demand_.milliCores()) / capacity;
    return maximumPaces(state.interference_, headrooms, shares).at(step.image_);
}

std::string_view describe(WorkerObstacle obstacle)
{
    static constexpr std::array<std::string_view, workerObstacleCount> texts { "suitable", "of another service", "quarantined or unproven", "draining", "evacuated", "not reported",
        "unreachable", "backing off after a refusal", "with a suspect task", "without the label", "at the step's bound", "without the cores", "without the memory", "without the accelerators" };
    return texts.at(static_cast<size_t>(obstacle));
}

static WorkerObstacle serviceObstacle(const Job& job, const TaskKey& key, const Worker& worker, Disturbance disturbance, Instant now)
{
    if (worker.traits_.service_ != job.queue_.service_)
        return WorkerObstacle::OtherService;
    return isHeldBack(worker, job, key, disturbance, now) ? WorkerObstacle::Quarantined : WorkerObstacle::None;
}

static WorkerObstacle roomObstacle(const Job& job, const TaskKey& key, const Worker& worker, Disturbance disturbance, Instant now)
{
    const Step& step = stepOf(job, key);
    if (now < worker.backoffUntil_)
        return WorkerObstacle::BackingOff;
    if (worker.observedTask_ && !mayStartBesideObserved(job, key, worker, disturbance))
        return WorkerObstacle::Observed;
    if (!step.requiredLabel_.empty() && !hasLabel(worker, step.requiredLabel_))
        return WorkerObstacle::MissingLabel;
    if (step.maxPerWorker_ > 0 && countSiblings(worker, key) >= step.maxPerWorker_)
        return WorkerObstacle::StepBound;
    return capacityObstacle(worker, job, key, disturbance);
}

WorkerObstacle taskObstacle(const Job& job, const TaskKey& key, const Worker& worker, Disturbance disturbance, Instant now)
{
    WorkerObstacle obstacle = serviceObstacle(job, key, worker, disturbance, now);
    return obstacle == WorkerObstacle::None ? roomObstacle(job, key, worker, disturbance, now) : obstacle;
}

WorkerObstacle obstacleAt(const LeaderState& state, const Job& job, const TaskKey& key, const Worker& worker, Instant now)
{
    WorkerObstacle obstacle = serviceObstacle(job, key, worker, Disturbance::Avoided, now);
    if (obstacle == WorkerObstacle::None)
        obstacle = stateObstacle(state, worker, now);
    if (obstacle == WorkerObstacle::None && mustBeIsolated(state, job, key, worker, now))
        obstacle = WorkerObstacle::Observed;
    return obstacle == WorkerObstacle::None ? roomObstacle(job, key, worker, Disturbance::Avoided, now) : obstacle;
}

// Score of a worker for a long-running task: prefers the fullest worker with tasks of its image only, then an empty one,
// the largest first.
static int64_t longRunningScore(const Worker& worker, const TaskKey& key, const Step& step, int64_t sparePercent)
{
    int64_t siblings = siblingWeight * countSiblings(worker, key);
    if (worker.longRunningCount_ == 0)
        return emptyWorkerWeight + worker.traits_.capacity_.milliCores() / 1000;
    auto images = static_cast<int64_t>(worker.longRunningByImage_.size());
    if (worker.longRunningByImage_.count(step.image_) > 0)
        return sameImageWeight - sparePercent + siblings - otherImageWeight * (images - 1);
    return siblings - sparePercent - otherImageWeight * images;
}

// Score of a worker for other tasks: prefers the emptiest worker, and workers with long-running tasks only if the task
// does not disturb them.
static int64_t spreadScore(const LeaderState& state, const Step& step, const Worker& worker, int64_t sparePercent, bool isHarmless)
{
    if (worker.longRunningCount_ == 0)
        return sparePercent;
    if (isHarmless)
        return sparePercent + besideLongRunningWeight;
    return sparePercent - besideLongRunningWeight - static_cast<int64_t>((1 - paceAt(state, step, worker)) * slowdownWeight);
}

int64_t speedScoreOf(const Worker& worker)
{
    return worker.speed_.isSlow_ ? -slowWorkerWeight - static_cast<int64_t>(worker.speed_.slowdown() * slowdownWeight) : 0;
}

// Score of a worker for a task that may crash it: prefers the worker with the fewest runs to lose.
static int64_t suspectScore(const Worker& worker)
{
    return -longRunningLossWeight * worker.longRunningCount_ - static_cast<int64_t>(worker.assignedTasks_.size());
}

int64_t scoreOf(const LeaderState& state, const Job& job, const TaskKey& key, const WorkerIncarnation& incarnation, const Worker& worker, bool isHarmless)
{
    const Step& step = stepOf(job, key);
    int64_t capacity = std::max<int64_t>(worker.traits_.capacity_.milliCores(), 1);
    int64_t sparePercent = 100 * (spareMilliCores(worker) - step.demand_.milliCores()) / capacity;
    const Task& task = job.tasks_[taskNumber(job, key)];
    int64_t score = step.longRunning_ ? longRunningScore(worker, key, step, sparePercent) : spreadScore(state, step, worker, sparePercent, isHarmless);
    if (task.progress_.crashes_ > 0 || isLateSuspect(state.tuning_, task.progress_))
        score = suspectScore(worker);
    if (!step.dataRack_.empty() && hasLabel(worker, step.dataRack_))
        score += dataRackWeight;
    if (incarnation.name_ == task.avoidedWorker_)
        score -= avoidedWeight;
    return score - failureWeight * worker.consecutiveFailures_;
}

Duration idleTimeOf(const LeaderState& state, const Job& job, Instant now)
{
    return job.idleSince_ && !hasRunAtWork(state, job, now) ? now - *job.idleSince_ : Duration(0);
}

} // namespace persimmondoor::workflow
