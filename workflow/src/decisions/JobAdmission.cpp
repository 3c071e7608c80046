#include "persimmondoor/workflow/JobAdmission.h"

#include "persimmondoor/workflow/Urgency.h"

#include <algorithm>
#include <cmath>

namespace persimmondoor::workflow {

// Below this number of cores the rate is taken as unknown.
static constexpr double minimumCores = 0.001;

static double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Declared times and counts may be arbitrarily large; longer times are cut, so that no sum or product overflows.
static constexpr Duration longestTime = std::chrono::hours(24 * 365);

static Duration durationOf(double seconds)
{
    auto bounded = std::min<std::chrono::duration<double>>(std::chrono::duration<double>(seconds), longestTime);
    return std::chrono::duration_cast<Duration>(bounded);
}

DrainMeter addDrained(DrainMeter meter, double coreSeconds, Duration window, Instant now)
{
    meter.coreSeconds_ = drainedCores(meter, window, now) * seconds(window) + coreSeconds;
    meter.updatedAt_ = now;
    return meter;
}

double drainedCores(const DrainMeter& meter, Duration window, Instant now)
{
    return meter.coreSeconds_ * std::exp(-seconds(now - meter.updatedAt_) / seconds(window)) / seconds(window);
}

double ServiceLoad::workAhead(const DueWork& place) const
{
    double ahead = 0;
    for (auto other = waiting_.begin(); other != waiting_.end() && other->first <= place; ++other)
        ahead += other->second;
    return ahead;
}

AdmissionVerdict assessAdmission(const AdmissionForecast& forecast, const Tuning& tuning)
{
    if (forecast.cores_ < minimumCores || forecast.objective_ <= Duration(0))
        return Admitted {};
    Duration wait = durationOf(forecast.workAhead_ / forecast.cores_);
    Duration alone = std::max(std::min(forecast.chain_, longestTime), durationOf(forecast.ownWork_ / forecast.cores_));
    Duration valueEnd = std::min(forecast.objective_, longestTime) * lateFactor;
    Duration expectedEnd = wait + alone;
    bool isCertain = (forecast.age_ + expectedEnd) * 100 > valueEnd * (100 + tuning.admissionMarginPercent_);
    if (wait < tuning.smallestRefusedWait_ || alone > valueEnd || !isCertain)
        return Admitted {};
    return Hopeless { expectedEnd, std::max(Duration(0), expectedEnd - forecast.objective_) };
}

std::pair<ReturnPlan, Duration> bookReturn(ReturnPlan plan, const AdmissionForecast& forecast, const Hopeless& hopeless, const Tuning& tuning, Instant now)
{
    Instant begin = std::max(plan.bookedUntil_, now + hopeless.onTimeAfter_);
    Instant latest = now + tuning.maximumReturnAfter_;
    Duration own = durationOf(forecast.ownWork_ / forecast.cores_) * 100 / tuning.returningPercent_;
    plan.bookedUntil_ = std::min(begin + own, latest);
    return { plan, std::clamp(begin - now, tuning.retryAfter_, tuning.maximumReturnAfter_) };
}

} // namespace persimmondoor::workflow
