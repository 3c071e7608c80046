#include "LeaderRules.h"

#include <algorithm>
#include <iterator>

namespace persimmondoor::workflow {

// Weights of the score of a worker, in percent of its free capacity.
// Data on another rack makes a task take half as long again or more.
static constexpr int64_t dataRackWeight = 200;
// A worker on which this task failed or hung is taken only if no other has room.
static constexpr int64_t avoidedWeight = 1000;
static constexpr int64_t failureWeight = 100;
// Long-running tasks share a worker with those of their image, which the same filling work disturbs, so that each filling
// image finds workers where it does no harm; otherwise with as few others as they can.
static constexpr int64_t sameImageWeight = 3000;
static constexpr int64_t otherImageWeight = 1000;
static constexpr int64_t emptyWorkerWeight = 2500;
// Those of one step are busy at the same times, which leaves filling work more room than tasks that take turns.
static constexpr int64_t siblingWeight = 20;
// Short work and harmless filling work go where long-running tasks are, as they do not disturb them.
static constexpr int64_t besideLongRunningWeight = 150;
// Filling work that would be slowed down looks for a worker where it is slowed down least.
static constexpr double harmWeight = 200;
// Filling work goes to a worker only if it can be given this share of its speed there.
static constexpr double leastPace = 0.8;
// Long-running tasks use less than they ask for most of the time, in percent.
static constexpr int64_t idlePartOfLongRunning = 45;

bool acceptsRuns(const LeaderState& state, const Worker& worker, Instant now)
{
    if (!worker.isListed_ || worker.draining_ || now < worker.quarantinedUntil_ || state.evacuatedDomains_.count(worker.traits_.domain_) > 0)
        return false;
    return state.agents_.count(worker.agent_) > 0 && now - worker.lastReportAt_ < state.tuning_.maximumReportAge_;
}

static bool hasLabel(const Worker& worker, const std::string& label)
{
    return std::find(worker.traits_.labels_.begin(), worker.traits_.labels_.end(), label) != worker.traits_.labels_.end();
}

// Tasks of the same step and occurrence on the worker.
static int64_t countSiblings(const Worker& worker, const TaskKey& key)
{
    auto first = worker.assignedTasks_.lower_bound({ key.job_, key.occurrence_, key.step_, 0 });
    auto last = worker.assignedTasks_.lower_bound({ key.job_, key.occurrence_, key.step_ + 1, 0 });
    return std::distance(first, last);
}

// Free processors in thousandths; cores of filling tasks are not counted against the capacity.
static int64_t freeMilliCores(const Worker& worker)
{
    return worker.traits_.capacity_.milliCores() - worker.reserved_.milliCores() + worker.fillingMilliCores_;
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
    int64_t cores = step.isFilling_ ? leftMilliCores(worker) : freeMilliCores(worker);
    return step.demand_.milliCores() <= cores && worker.reserved_.memoryBytes() + step.demand_.memoryBytes() <= capacity.memoryBytes()
        && worker.reserved_.accelerators() + step.demand_.accelerators() <= capacity.accelerators();
}

// Share of its speed that a filling task could be given on the worker, from 0 to 1, if all its filling tasks work.
static double paceAt(const LeaderState& state, const Step& step, const Worker& worker)
{
    if (worker.tolerances_.empty())
        return 1;
    auto capacity = static_cast<double>(std::max<int64_t>(worker.traits_.capacity_.milliCores(), 1));
    std::map<std::string, double> shares;
    for (const auto& [image, milliCores] : worker.fillingByImage_)
        shares[image] = static_cast<double>(milliCores) / capacity;
    shares[step.image_] += static_cast<double>(step.demand_.milliCores()) / capacity;
    return maximumPaces(state.interference_, worker.tolerances_, shares).at(step.image_);
}

static bool isHarmlessOn(const LeaderState& state, const Step& step, const Worker& worker)
{
    return std::all_of(worker.tolerances_.begin(), worker.tolerances_.end(), [&](const Tolerance& tolerance) { return isHarmless(state.interference_, step.image_, tolerance.image_); });
}

// True if some worker has no long-running task that filling work of the step would disturb; room there is worth waiting for.
static bool hasHarmlessWorker(const LeaderState& state, const Job& job, const Step& step, Instant now)
{
    return std::any_of(state.workers_.begin(), state.workers_.end(), [&](const auto& entry) {
        const Worker& worker = entry.second;
        return worker.traits_.service_ == job.queue_.service_ && acceptsRuns(state, worker, now) && isHarmlessOn(state, step, worker);
    });
}

static bool isEligible(const LeaderState& state, const Job& job, const TaskKey& key, const Worker& worker, Instant now)
{
    const Step& step = stepOf(job, key);
    if (worker.traits_.service_ != job.queue_.service_ || now < worker.backoffUntil_ || !acceptsRuns(state, worker, now))
        return false;
    if (!step.requiredLabel_.empty() && !hasLabel(worker, step.requiredLabel_))
        return false;
    if (step.maxPerWorker_ > 0 && countSiblings(worker, key) >= step.maxPerWorker_)
        return false;
    return fits(worker, step);
}

// Score of a worker for a long-running task: the fullest with its image, else an empty one, the largest first.
static int64_t companyScore(const Worker& worker, const TaskKey& key, const Step& step, int64_t leftPercent)
{
    int64_t siblings = siblingWeight * countSiblings(worker, key);
    if (worker.longRunningCount_ == 0)
        return emptyWorkerWeight + worker.traits_.capacity_.milliCores() / 1000;
    auto images = static_cast<int64_t>(worker.longRunningByImage_.size());
    if (worker.longRunningByImage_.count(step.image_) > 0)
        return sameImageWeight - leftPercent + siblings - otherImageWeight * (images - 1);
    return siblings - leftPercent - otherImageWeight * images;
}

// Score of a worker for other tasks: the emptiest, beside long-running tasks only if it does them no harm.
static int64_t spreadScore(const LeaderState& state, const Step& step, const Worker& worker, int64_t leftPercent)
{
    if (worker.longRunningCount_ == 0)
        return leftPercent;
    if (!step.isFilling_ || isHarmlessOn(state, step, worker))
        return leftPercent + besideLongRunningWeight;
    return leftPercent - besideLongRunningWeight - static_cast<int64_t>((1 - paceAt(state, step, worker)) * harmWeight);
}

static int64_t scoreOf(const LeaderState& state, const Job& job, const TaskKey& key, const WorkerIncarnation& incarnation, const Worker& worker)
{
    const Step& step = stepOf(job, key);
    int64_t capacity = std::max<int64_t>(worker.traits_.capacity_.milliCores(), 1);
    int64_t leftPercent = 100 * (leftMilliCores(worker) - step.demand_.milliCores()) / capacity;
    int64_t score = step.longRunning_ ? companyScore(worker, key, step, leftPercent) : spreadScore(state, step, worker, leftPercent);
    if (!step.dataRack_.empty() && hasLabel(worker, step.dataRack_))
        score += dataRackWeight;
    if (incarnation.name_ == job.tasks_[taskNumber(job, key)].avoidedWorker_)
        score -= avoidedWeight;
    return score - failureWeight * worker.consecutiveFailures_;
}

bool mayIgnoreInterference(const LeaderState& state, const Job& job, Instant now)
{
    return job.idleSince_ && now - *job.idleSince_ > state.tuning_.ignoreInterferenceAfter_;
}

std::optional<WorkerIncarnation> chooseWorker(const LeaderState& state, const Job& job, const TaskKey& key, Instant now)
{
    std::optional<WorkerIncarnation> best;
    int64_t bestScore = 0;
    const Step& step = stepOf(job, key);
    bool takesAny = !step.isFilling_ || mayIgnoreInterference(state, job, now);
    bool mayDisturb = takesAny || !hasHarmlessWorker(state, job, step, now);
    for (const auto& [incarnation, worker] : state.workers_) {
        if (!isEligible(state, job, key, worker, now))
            continue;
        bool isBearable = takesAny || isHarmlessOn(state, step, worker) || (mayDisturb && paceAt(state, step, worker) >= leastPace);
        if (!isBearable)
            continue;
        int64_t score = scoreOf(state, job, key, incarnation, worker);
        if (!best || score > bestScore) {
            best = incarnation;
            bestScore = score;
        }
    }
    return best;
}

} // namespace persimmondoor::workflow
