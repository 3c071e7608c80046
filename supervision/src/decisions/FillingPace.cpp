#include "SupervisorRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <cmath>

namespace persimmondoor::supervision {

using workflow::RunKey;
using workflow::RunTraits;
using workflow::WorkerIncarnation;

// Tails that stay over their target for so many readings although the harmful images are slowed down: the others stand
// still too. Tails may not be high for 4 s.
static constexpr uint32_t mostHighReadings = 3;
// The pace of images that do harm rises by at most this much with each reading, from 0 to 1: a reading is half a second
// old, and an overloaded task needs seconds to recover.
static constexpr double paceRise = 0.25;
// A pace below this, in percent, is as good as none.
static constexpr uint32_t leastPace = 8;
// Smaller changes of the pace, in percent, are not worth a call.
static constexpr uint32_t leastChange = 5;

static double shareOf(const LocalWorker& worker, int64_t milliCores)
{
    return static_cast<double>(milliCores) / static_cast<double>(std::max<int64_t>(worker.traits_.capacity_.milliCores(), 1));
}

static const RunTraits* traitsOf(const SupervisorState& state, const RunKey& run)
{
    auto traits = state.traits_.find(run);
    return traits == state.traits_.end() ? nullptr : &traits->second;
}

static workflow::LoadReading readLoad(const SupervisorState& state, const LocalWorker& worker)
{
    workflow::LoadReading reading;
    for (const auto& [run, active] : worker.active_) {
        const RunTraits* traits = traitsOf(state, run);
        if (!traits)
            continue;
        if (traits->isFilling_)
            reading.filling_[traits->image_] += shareOf(worker, active.load_);
        else if (traits->targetTailMs_ > 0 && active.progressPercent_ >= 100)
            reading.longRunning_[run] = { traits->image_, active.load_, traits->targetTailMs_ };
    }
    return reading;
}

// The filling tasks on the worker, those included that no list has shown yet.
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

static uint64_t worstPercent(const workflow::LoadReading& reading)
{
    uint64_t worst = 0;
    for (const auto& [run, longRunning] : reading.longRunning_)
        worst = std::max(worst, uint64_t(longRunning.tailMs_) * 100 / longRunning.targetMs_);
    return worst;
}

static bool isHarmless(const SupervisorState& state, const LocalWorker& worker, const std::string& image)
{
    return std::all_of(worker.tolerances_.begin(), worker.tolerances_.end(), [&](const workflow::Headroom& tolerance) { return workflow::isHarmless(state.interference_, image, tolerance.image_); });
}

// The paces that the worker's filling tasks may have now, by image.
static std::map<std::string, double> nextPaces(const SupervisorState& state, const LocalWorker& worker, const std::map<RunKey, const RunTraits*>& runs, double rise)
{
    std::map<std::string, double> shares;
    for (const auto& [run, traits] : runs)
        shares[traits->image_] += shareOf(worker, traits->milliCores_);
    std::map<std::string, double> paces = workflow::maximumPaces(state.interference_, worker.tolerances_, shares);
    for (auto& [image, pace] : paces) {
        auto before = worker.imagePaces_.find(image);
        if (worker.consecutiveHighReadings_ >= mostHighReadings)
            pace = 0;
        else if (!isHarmless(state, worker, image))
            pace = std::min(pace, before == worker.imagePaces_.end() ? paceRise : before->second + rise);
    }
    return paces;
}

static uint32_t toPercent(double pace)
{
    auto percent = static_cast<uint32_t>(std::floor(pace * fullPace));
    return percent < leastPace ? 0 : percent;
}

static bool isWorthACall(uint32_t told, uint32_t pace)
{
    bool isExtreme = pace == 0 || pace == fullPace;
    return told != pace && (isExtreme || std::max(told, pace) - std::min(told, pace) >= leastChange);
}

static void updatePaces(const DecisionContext& context, const WorkerIncarnation& incarnation, LocalWorker& worker, double rise)
{
    std::map<RunKey, const RunTraits*> runs = fillingRuns(context.state_, worker);
    worker.imagePaces_ = nextPaces(context.state_, worker, runs, rise);
    for (const auto& [run, traits] : runs) {
        uint32_t pace = toPercent(worker.imagePaces_.at(traits->image_));
        auto [told, isNew] = worker.runPaces_.try_emplace(run, fullPace);
        if (!isWorthACall(told->second, pace))
            continue;
        context.logEvent("run.paced", workflow::describe(run), concat(told->second, " to ", pace, " percent, worst tail at ", worstPercent(worker.lastReading_), " percent of its target, image ", traits->image_));
        told->second = pace;
        context.addAction(CallPace { incarnation, run, context.state_.fence_, pace });
    }
    std::erase_if(worker.runPaces_, [&](const auto& entry) { return runs.count(entry.first) == 0; });
}

void updateReading(const DecisionContext& context, const WorkerIncarnation& incarnation, LocalWorker& worker)
{
    workflow::LoadReading reading = readLoad(context.state_, worker);
    worker.consecutiveHighReadings_ = worstPercent(reading) > 100 ? worker.consecutiveHighReadings_ + 1 : 0;
    worker.tolerances_ = workflow::headroomsOf(context.state_.interference_, worker.lastReading_, reading);
    worker.lastReading_ = std::move(reading);
    worker.nextReadingAt_ = context.now_ + context.state_.tuning_.readingInterval_;
    ++worker.readingNumber_;
    context.state_.hasChanges_ = context.state_.hasChanges_ || !worker.tolerances_.empty();
    updatePaces(context, incarnation, worker, paceRise);
}

void paceFillingRuns(const DecisionContext& context, const WorkerIncarnation& incarnation, LocalWorker& worker)
{
    updatePaces(context, incarnation, worker, 0);
}

} // namespace persimmondoor::supervision
