#include "SupervisorRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmondoor::supervision {

using workflow::RunKey;
using workflow::RunTraits;
using workflow::WorkerIncarnation;

// After this many consecutive readings with a tail above its target, although the harmful images are slowed down, the
// harmless ones are paused too. Tails must not stay above their targets for 4 s.
static constexpr uint32_t maximumHighReadings = 3;
// The pace of harmful images, from 0 to 1, rises by at most this much per reading: a reading is half a second old, and
// an overloaded task needs seconds to recover.
static constexpr double maximumPaceIncrease = 0.25;
// A lower pace, in percent, is rounded down to 0: the task would make no useful progress.
static constexpr uint32_t minimumPace = 8;
// Smaller changes of the pace, in percent, are not sent.
static constexpr uint32_t minimumPaceChange = 5;

// Tasks to which the headroom of others goes get at least this pace, in percent: at a lower one the leader counts them as slowed.
static constexpr uint32_t leastServedPace = 50;

static double capacityShareOf(const LocalWorker& worker, int64_t milliCores)
{
    return static_cast<double>(milliCores) / static_cast<double>(std::max<int64_t>(worker.traits_.capacity_.milliCores(), 1));
}

static const RunTraits* traitsOf(const SupervisorState& state, const RunKey& run)
{
    auto traits = state.traits_.find(run);
    return traits == state.traits_.end() ? nullptr : &traits->second;
}

static workflow::LoadReading makeLoadReading(const SupervisorState& state, const LocalWorker& worker)
{
    workflow::LoadReading reading;
    for (const auto& [run, active] : worker.active_) {
        const RunTraits* traits = traitsOf(state, run);
        if (!traits)
            continue;
        if (traits->isFilling_)
            reading.filling_[traits->image_] += capacityShareOf(worker, active.load_);
        else if (traits->targetTailMs_ > 0 && active.progressPercent_ >= 100)
            reading.longRunning_[run] = { traits->image_, active.load_, traits->targetTailMs_ };
    }
    return reading;
}

// The filling tasks on the worker, including those that no list has shown yet.
static std::map<RunKey, const RunTraits*> fillingRuns(const SupervisorState& state, const LocalWorker& worker)
{
    std::map<RunKey, const RunTraits*> runs;
    auto add = [&](const RunKey& run) {
        const RunTraits* traits = traitsOf(state, run);
        if (traits && traits->isFilling_)
            runs[run] = traits;
    };
    for (const auto& [run, active] : worker.active_)
        add(run);
    for (const auto& [run, confirmedAt] : worker.confirmedRuns_)
        add(run);
    return runs;
}

static uint64_t worstTailPercent(const workflow::LoadReading& reading)
{
    uint64_t worst = 0;
    for (const auto& [run, longRunning] : reading.longRunning_)
        worst = std::max(worst, uint64_t(longRunning.tailMs_) * 100 / longRunning.targetMs_);
    return worst;
}

// The headroom of the worker's long-running tasks; none for images of which no reading is known yet.
static std::vector<workflow::Headroom> currentHeadrooms(const SupervisorState& state, const LocalWorker& worker)
{
    std::vector<workflow::Headroom> headrooms = worker.headrooms_;
    for (const auto& [run, active] : worker.active_) {
        const RunTraits* traits = traitsOf(state, run);
        if (traits && traits->targetTailMs_ > 0)
            workflow::addImageWithoutReading(headrooms, traits->image_);
    }
    return headrooms;
}

static bool isHarmless(const SupervisorState& state, const std::vector<workflow::Headroom>& headrooms, const std::string& image)
{
    return std::all_of(headrooms.begin(), headrooms.end(), [&](const workflow::Headroom& headroom) { return workflow::isHarmless(state.interference_, image, headroom.image_); });
}

// The paces that the worker's filling tasks may have now, by image.
static std::map<std::string, double> nextPaces(const SupervisorState& state, const LocalWorker& worker, const std::map<RunKey, const RunTraits*>& runs, double maximumIncrease)
{
    std::map<std::string, double> shares;
    for (const auto& [run, traits] : runs)
        shares[traits->image_] += capacityShareOf(worker, traits->milliCores_);
    std::vector<workflow::Headroom> headrooms = currentHeadrooms(state, worker);
    std::map<std::string, double> paces = workflow::maximumPaces(state.interference_, headrooms, shares);
    for (auto& [image, pace] : paces) {
        auto previous = worker.imagePaces_.find(image);
        if (worker.consecutiveHighReadings_ >= maximumHighReadings)
            pace = 0;
        else if (!isHarmless(state, headrooms, image))
            pace = std::min(pace, previous == worker.imagePaces_.end() ? maximumPaceIncrease : previous->second + maximumIncrease);
    }
    return paces;
}

static uint32_t toPercent(double pace)
{
    auto percent = static_cast<uint32_t>(std::floor(pace * fullPace));
    return percent < minimumPace ? 0 : percent;
}

// The runs, those with the most progress first.
static std::vector<RunKey> runsByProgress(const LocalWorker& worker, const std::map<RunKey, const RunTraits*>& runs)
{
    std::vector<std::pair<uint32_t, RunKey>> ranked;
    for (const auto& [run, traits] : runs) {
        auto active = worker.active_.find(run);
        ranked.emplace_back(100 - std::min(100U, active == worker.active_.end() ? 0U : active->second.progressPercent_), run);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<RunKey> ordered;
    ordered.reserve(ranked.size());
    for (auto& [remaining, run] : ranked)
        ordered.push_back(std::move(run));
    return ordered;
}

// Serves as many tasks of the image as can use what all of them may use in sum, those with the most progress first, until they
// end. The others are paused.
// \param milliCores what the image may use in sum.
static void serveFewTasks(const std::vector<RunKey>& ordered, const std::map<RunKey, const RunTraits*>& runs, const std::string& image, double milliCores, std::map<RunKey, uint32_t>& paces)
{
    for (const RunKey& run : ordered) {
        const RunTraits& traits = *runs.at(run);
        if (traits.image_ != image || traits.milliCores_ <= 0)
            continue;
        auto demand = static_cast<double>(traits.milliCores_);
        uint32_t pace = toPercent(std::min(1.0, milliCores / demand));
        if (pace < leastServedPace)
            continue;
        paces[run] = pace;
        milliCores -= demand * pace / fullPace;
    }
}

// The paces of the runs, in percent: equal for all tasks of an image, unless that leaves none a useful one.
static std::map<RunKey, uint32_t> pacesOfRuns(const LocalWorker& worker, const std::map<RunKey, const RunTraits*>& runs)
{
    std::map<RunKey, uint32_t> paces;
    std::map<std::string, double> milliCoresWithoutPace;
    for (const auto& [run, traits] : runs) {
        double pace = worker.imagePaces_.at(traits->image_);
        paces[run] = toPercent(pace);
        if (pace > 0 && paces[run] == 0)
            milliCoresWithoutPace[traits->image_] += pace * static_cast<double>(traits->milliCores_);
    }
    if (milliCoresWithoutPace.empty())
        return paces;
    std::vector<RunKey> ordered = runsByProgress(worker, runs);
    for (const auto& [image, milliCores] : milliCoresWithoutPace)
        serveFewTasks(ordered, runs, image, milliCores, paces);
    return paces;
}

static bool isSignificantChange(uint32_t lastPace, uint32_t pace)
{
    bool isExtreme = pace == 0 || pace == fullPace;
    return lastPace != pace && (isExtreme || std::max(lastPace, pace) - std::min(lastPace, pace) >= minimumPaceChange);
}

static void updatePaces(const DecisionContext& context, const WorkerIncarnation& incarnation, LocalWorker& worker, double maximumIncrease)
{
    std::map<RunKey, const RunTraits*> runs = fillingRuns(context.state_, worker);
    worker.imagePaces_ = nextPaces(context.state_, worker, runs, maximumIncrease);
    std::map<RunKey, uint32_t> paces = pacesOfRuns(worker, runs);
    for (const auto& [run, traits] : runs) {
        uint32_t pace = paces.at(run);
        auto [lastPace, isNew] = worker.runPaces_.try_emplace(run, fullPace);
        bool isUnconfirmed = worker.unconfirmedPaces_.erase(run) > 0;
        if (!isUnconfirmed && !isSignificantChange(lastPace->second, pace))
            continue;
        context.logEvent("run.paced", workflow::describe(run), concat(lastPace->second, " to ", pace, " percent, worst tail latency at ", worstTailPercent(worker.lastReading_), " percent of its target, image ", traits->image_));
        lastPace->second = pace;
        context.addAction(CallPace { incarnation, run, context.state_.fence_, pace });
    }
    std::erase_if(worker.runPaces_, [&](const auto& entry) { return runs.count(entry.first) == 0; });
    std::erase_if(worker.unconfirmedPaces_, [&](const RunKey& run) { return runs.count(run) == 0; });
}

void updateReading(const DecisionContext& context, const WorkerIncarnation& incarnation, LocalWorker& worker)
{
    workflow::LoadReading reading = makeLoadReading(context.state_, worker);
    worker.consecutiveHighReadings_ = worstTailPercent(reading) > 100 ? worker.consecutiveHighReadings_ + 1 : 0;
    worker.headrooms_ = workflow::headroomsOf(context.state_.interference_, worker.lastReading_, reading);
    worker.lastReading_ = std::move(reading);
    worker.nextReadingAt_ = context.now_ + context.state_.tuning_.readingInterval_;
    ++worker.readingNumber_;
    context.state_.hasChanges_ = context.state_.hasChanges_ || !worker.headrooms_.empty();
    updatePaces(context, incarnation, worker, maximumPaceIncrease);
}

void handlePaceFailed(const DecisionContext& context, const PaceFailed& failure)
{
    auto worker = context.state_.workers_.find(failure.worker_);
    if (worker != context.state_.workers_.end() && worker->second.runPaces_.count(failure.run_) > 0)
        worker->second.unconfirmedPaces_.insert(failure.run_);
}

void paceFillingRuns(const DecisionContext& context, const WorkerIncarnation& incarnation, LocalWorker& worker)
{
    updatePaces(context, incarnation, worker, 0);
}

} // namespace persimmondoor::supervision
