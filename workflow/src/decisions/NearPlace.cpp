#include "persimmondoor/workflow/NearPlace.h"

#include <algorithm>
#include <array>

namespace persimmondoor::workflow {

// Weight of the newest run in a mean of many.
static constexpr double newestRunWeight = 1.0 / 16;
// Bounds on the correction of the setting and of estimates: runs are also slowed down by what runs beside them.
static constexpr double maximumCorrection = 2;

static Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

// The last moment of a wait, from what the wait is worth alone.
static Instant worthUntil(const PlaceOptions& options, Duration gain, const Tuning& tuning)
{
    int64_t percent = options.isRoomContended_ ? tuning.contendedNearWaitPercent_ : tuning.nearWaitPercent_;
    return options.waitingSince_ + std::min(gain * percent / 100, tuning.maximumNearWait_);
}

PlaceDecision choosePlace(const PlaceOptions& options, const Tuning& tuning)
{
    if (options.isNearOpen_)
        return StartNear {};
    const Duration farTime = scaled(options.runTime_, options.farFactor_);
    const Duration gain = farTime - options.runTime_;
    if (gain < tuning.shortestNearGain_)
        return StartFar { FarReason::LittleGain };
    if (!options.nearOpensAt_)
        return StartFar { FarReason::NoNearWorker };
    const Instant opensAt = *options.nearOpensAt_;
    if (opensAt <= options.now_)
        return StartFar { FarReason::ClosedToTask };
    Instant until = worthUntil(options, gain, tuning);
    FarReason limit = FarReason::OpensTooLate;
    if (options.onTimeBy_) {
        // A far start after the wait must still be on time, unless only a near run can be.
        const Instant lastFarStart = *options.onTimeBy_ - farTime;
        const Instant lastNearStart = *options.onTimeBy_ - options.runTime_;
        if (lastFarStart >= options.now_ && lastFarStart < until) {
            until = lastFarStart;
            limit = FarReason::ObjectiveAtRisk;
        } else if (lastFarStart < options.now_ && opensAt <= lastNearStart) {
            until = std::clamp(lastNearStart, until, std::max(until, options.waitingSince_ + tuning.maximumNearWait_));
        }
    }
    if (options.standsStillSince_ && *options.standsStillSince_ + tuning.maximumStandingWait_ < until) {
        until = *options.standsStillSince_ + tuning.maximumStandingWait_;
        limit = FarReason::StandsStill;
    }
    if (opensAt > until)
        return StartFar { limit };
    return WaitUntil { until };
}

static RunTimeRatio add(RunTimeRatio mean, double ratio)
{
    ++mean.runs_;
    double weight = std::max(1.0 / mean.runs_, newestRunWeight);
    mean.ratio_ += (ratio - mean.ratio_) * weight;
    return mean;
}

DistanceCost addRun(DistanceCost cost, bool isNear, Duration worked, Duration estimate)
{
    if (estimate <= Duration(0))
        return cost;
    double ratio = static_cast<double>(worked.count()) / static_cast<double>(estimate.count());
    RunTimeRatio& mean = isNear ? cost.near_ : cost.far_;
    mean = add(mean, ratio);
    return cost;
}

double farFactorOf(const DistanceCost& cost, const Tuning& tuning)
{
    bool isMeasured = std::min(cost.near_.runs_, cost.far_.runs_) >= tuning.runsBeforeCorrection_ && cost.near_.ratio_ > 0;
    if (tuning.farFactor_ <= 1 || !isMeasured)
        return std::max(tuning.farFactor_, 1.0);
    return std::clamp(cost.far_.ratio_ / cost.near_.ratio_, 1.0, tuning.farFactor_ * maximumCorrection);
}

Duration nearRunTimeOf(const DistanceCost& cost, const Tuning& tuning, Duration estimate)
{
    if (cost.near_.runs_ < tuning.runsBeforeCorrection_)
        return estimate;
    return scaled(estimate, std::clamp(cost.near_.ratio_, 1 / maximumCorrection, maximumCorrection));
}

std::string_view describe(FarReason reason)
{
    static constexpr std::array<std::string_view, 6> texts { "a near run saves too little", "no worker of the rack can take it", "the near workers with room are closed to it", "a near place opens too late",
        "the objective is at risk", "nothing of the job runs" };
    return texts.at(static_cast<size_t>(reason));
}

} // namespace persimmondoor::workflow
