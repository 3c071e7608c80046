#include "OwnerRules.h"

#include <algorithm>
#include <iterator>

namespace persimmondoor::workflow {

// Weights of the score of a worker, in percent of its free capacity.
// Data on another rack makes a task take half as long again or more.
static constexpr int64_t dataRackWeight = 200;
// A worker on which this task failed or hung is taken only if no other has room.
static constexpr int64_t avoidedWeight = 1000;
static constexpr int64_t failureWeight = 100;
// Long-running tasks share as few workers as they can, the largest first, so that others are free for filling work that
// would disturb them.
static constexpr int64_t companyWeight = 1000;
// Those of one step are spread as far as that allows, so that one worker's end takes few of them.
static constexpr int64_t siblingWeight = 5;
// Short work and harmless filling work go where long-running tasks are, as they do not disturb them.
static constexpr int64_t besideLongRunningWeight = 150;
// Tails above this share of their target leave no room for more filling work, in percent.
static constexpr uint64_t fullTailPercent = 75;
// Where filling tasks are slowed down below this pace, in percent, more of them would only share it.
static constexpr uint32_t leastSharedPace = 50;
// Long-running tasks use less than they ask for most of the time, in percent.
static constexpr int64_t idlePartOfLongRunning = 45;

bool takesRuns(const OwnerState& state, const Worker& worker, Instant now)
{
    if (!worker.listed_ || worker.draining_ || now < worker.quarantinedUntil_ || state.evacuated_.count(worker.traits_.domain_) > 0)
        return false;
    return state.agents_.count(worker.agent_) > 0 && now - worker.reportedAt_ < state.tuning_.silenceBeforeNoStarts_;
}

static bool hasLabel(const Worker& worker, const std::string& label)
{
    return std::find(worker.traits_.labels_.begin(), worker.traits_.labels_.end(), label) != worker.traits_.labels_.end();
}

// Tasks of the same step and occurrence on the worker.
static int64_t countSiblings(const Worker& worker, const TaskKey& key)
{
    auto first = worker.assigned_.lower_bound({ key.job_, key.occurrence_, key.step_, 0 });
    auto last = worker.assigned_.lower_bound({ key.job_, key.occurrence_, key.step_ + 1, 0 });
    return std::distance(first, last);
}

// Free processors in thousandths; cores of filling tasks are not counted against the capacity.
static int64_t freeMilliCores(const Worker& worker)
{
    return worker.traits_.capacity_.milliCores() - worker.used_.milliCores() + worker.fillingMilliCores_;
}

// What filling tasks can still have: long-running tasks leave a part of their cores unused.
static int64_t leftMilliCores(const Worker& worker)
{
    return freeMilliCores(worker) + worker.longRunningMilliCores_ * idlePartOfLongRunning / 100 - worker.fillingMilliCores_;
}

static bool fits(const Worker& worker, const Step& step)
{
    const Resources& capacity = worker.traits_.capacity_;
    // Filling tasks beyond what is left would only slow each other down: they wait instead.
    int64_t cores = step.fills_ ? leftMilliCores(worker) : freeMilliCores(worker);
    return step.demand_.milliCores() <= cores && worker.used_.memoryBytes() + step.demand_.memoryBytes() <= capacity.memoryBytes()
        && worker.used_.accelerators() + step.demand_.accelerators() <= capacity.accelerators();
}

// Filling work stays away from long-running tasks that it is known to disturb, and from workers whose tails are high
// or whose filling tasks are slowed down already.
static bool mayFill(const OwnerState& state, const Step& step, const Worker& worker)
{
    if (worker.longRunning_ == 0)
        return true;
    return worker.tailPercent_ < fullTailPercent && worker.fillingPace_ >= leastSharedPace && worstHarm(state.interference_, step.image_, worker.images_) != Harm::Harmful;
}

static bool isEligible(const OwnerState& state, const Job& job, const TaskKey& key, const Worker& worker, Instant now)
{
    const Step& step = stepOf(job, key);
    if (worker.traits_.service_ != job.queue_.service_ || now < worker.fullUntil_ || !takesRuns(state, worker, now))
        return false;
    if (!step.requiredLabel_.empty() && !hasLabel(worker, step.requiredLabel_))
        return false;
    if (step.maxPerWorker_ > 0 && countSiblings(worker, key) >= step.maxPerWorker_)
        return false;
    if (step.fills_ && !mayFill(state, step, worker))
        return false;
    return fits(worker, step);
}

// Score of a worker for a long-running task: the fullest that already has some, else the largest.
static int64_t companyScore(const Worker& worker, const TaskKey& key, int64_t leftPercent)
{
    int64_t siblings = siblingWeight * countSiblings(worker, key);
    if (worker.longRunning_ > 0)
        return companyWeight - leftPercent - siblings;
    return worker.traits_.capacity_.milliCores() / 1000 - siblings;
}

// Score of a worker for other tasks: the emptiest, beside long-running tasks only if it does them no harm.
static int64_t spreadScore(const OwnerState& state, const Step& step, const Worker& worker, int64_t leftPercent)
{
    if (worker.longRunning_ == 0)
        return leftPercent;
    bool harmless = !step.fills_ || worstHarm(state.interference_, step.image_, worker.images_) == Harm::Harmless;
    int64_t headroom = step.fills_ ? -static_cast<int64_t>(worker.tailPercent_) : 0;
    return leftPercent + headroom + (harmless ? besideLongRunningWeight : -besideLongRunningWeight);
}

static int64_t scoreOf(const OwnerState& state, const Job& job, const TaskKey& key, const WorkerLife& life, const Worker& worker)
{
    const Step& step = stepOf(job, key);
    int64_t capacity = std::max<int64_t>(worker.traits_.capacity_.milliCores(), 1);
    int64_t leftPercent = 100 * (leftMilliCores(worker) - step.demand_.milliCores()) / capacity;
    int64_t score = step.longRunning_ ? companyScore(worker, key, leftPercent) : spreadScore(state, step, worker, leftPercent);
    if (!step.dataRack_.empty() && hasLabel(worker, step.dataRack_))
        score += dataRackWeight;
    if (life.name_ == job.tasks_[taskNumber(job, key)].avoided_)
        score -= avoidedWeight;
    return score - failureWeight * worker.failureStreak_;
}

std::optional<WorkerLife> chooseWorker(const OwnerState& state, const Job& job, const TaskKey& key, Instant now)
{
    std::optional<WorkerLife> best;
    int64_t bestScore = 0;
    for (const auto& [life, worker] : state.workers_) {
        if (!isEligible(state, job, key, worker, now))
            continue;
        int64_t score = scoreOf(state, job, key, life, worker);
        if (!best || score > bestScore) {
            best = life;
            bestScore = score;
        }
    }
    return best;
}

} // namespace persimmondoor::workflow
