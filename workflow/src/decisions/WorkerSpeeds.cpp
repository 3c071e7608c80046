#include "persimmondoor/workflow/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>

namespace persimmondoor::workflow {

// Factor by which each reading multiplies the weight of the older ones.
static constexpr double retention = 0.8;
// Weight of the assumption that a worker is as fast as others; a single reading does not outweigh it.
static constexpr double priorWeight = 1.5;
// Weight of a reading that shows nothing but the one run that the last such reading showed.
static constexpr double sameRunWeight = 0.2;
// Bounds on the logarithm of one run. With the larger one a single run, however odd, makes no worker slow.
static constexpr double smallestLog = -1;
static constexpr double largestLog = 3;
// Progress from which on whole percents tell a pace, in percent, and the shortest time between two readings of a run.
static constexpr int64_t tellingPercent = 4;
static constexpr Duration shortestInterval = std::chrono::milliseconds(300);

static Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

ProgressSum operator+(const ProgressSum& left, const ProgressSum& right)
{
    return { left.elapsed_ + right.elapsed_, left.percent_ + right.percent_ };
}

ProgressSum operator-(const ProgressSum& left, const ProgressSum& right)
{
    return { left.elapsed_ - right.elapsed_, left.percent_ - right.percent_ };
}

Duration expectedRunTime(Duration estimate, const ProgressSum& others)
{
    return (estimate + others.elapsed_) * 100 / (100 + std::max<int64_t>(others.percent_, 0));
}

double logSlowdown(const ProgressSum& progress, Duration expected)
{
    double share = std::max(static_cast<double>(progress.percent_), 0.5) / 100;
    double expectedCount = std::max(static_cast<double>(expected.count()), 1.0) * share;
    return std::clamp(std::log2(std::max(static_cast<double>(progress.elapsed_.count()), 1.0) / expectedCount), smallestLog, largestLog);
}

bool isTelling(Duration elapsed, Duration expected)
{
    return elapsed >= shortestInterval && elapsed * 100 >= expected * tellingPercent;
}

// How much slower the worker is for certain: the fewer readings, the nearer to 1.
static double evidenceOf(const WorkerSpeed& speed)
{
    return std::exp2(speed.sum_ / (speed.weight_ + priorWeight));
}

double WorkerSpeed::slowdown() const
{
    return isSlow_ && weight_ > 0 ? std::exp2(sum_ / weight_) : evidenceOf(*this);
}

static void fade(WorkerSpeed& speed, double factor)
{
    speed.sum_ *= factor;
    speed.weight_ *= factor;
}

// Weight of a reading of these runs. Runs of one task after another tell as much as runs side by side.
static double weightOf(WorkerSpeed& speed, const std::vector<PaceSample>& samples)
{
    if (samples.size() > 1) {
        speed.onlyRun_.reset();
        return 1;
    }
    bool isSameRun = speed.onlyRun_ == samples.front().run_;
    speed.onlyRun_ = samples.front().run_;
    return isSameRun && samples.front().logSlowdown_ > 0 ? sameRunWeight : 1;
}

WorkerSpeed addReading(WorkerSpeed speed, std::vector<PaceSample> active, const Tuning& tuning, Instant now)
{
    std::vector<PaceSample> samples = std::move(active);
    samples.insert(samples.end(), speed.ended_.begin(), speed.ended_.end());
    speed.ended_.clear();
    if (samples.empty()) {
        double halves = std::chrono::duration<double>(now - speed.readAt_) / std::chrono::duration<double>(tuning.workerSpeedHalfLife_);
        fade(speed, std::exp2(-std::max(halves, 0.0)));
    } else {
        auto middle = samples.begin() + static_cast<std::ptrdiff_t>((samples.size() - 1) / 2);
        std::nth_element(samples.begin(), middle, samples.end(), [](const PaceSample& left, const PaceSample& right) { return left.logSlowdown_ < right.logSlowdown_; });
        const double reading = middle->logSlowdown_;
        const double weight = weightOf(speed, samples);
        fade(speed, retention);
        speed.sum_ += weight * reading;
        speed.weight_ += weight;
    }
    speed.readAt_ = now;
    const double percent = evidenceOf(speed) * 100;
    speed.isSlow_ = percent >= static_cast<double>(speed.isSlow_ ? tuning.steadyWorkerPercent_ : tuning.slowWorkerPercent_);
    return speed;
}

bool paysToWait(const SlowOffer& offer, const Tuning& tuning)
{
    bool areOthersTheRule = offer.slowWorkers_ * 100 <= offer.workers_ * tuning.maximumSlowWorkersPercent_;
    if (!areOthersTheRule || offer.standstill_ >= tuning.maximumStandingWait_)
        return false;
    const Duration longer = scaled(offer.runTime_, offer.slowdown_ - 1);
    return offer.now_ - offer.since_ < std::min(longer, tuning.maximumSlowWait_);
}

bool paysToMove(const SlowRun& run, const Tuning& tuning)
{
    const int64_t left = 100 - std::min(run.percent_, 100U);
    const Duration here = scaled(run.runTime_ * left / 100, run.slowdown_);
    const Duration elsewhere = tuning.moveTime_ + (run.savesProgress_ ? run.runTime_ * left / 100 : run.runTime_);
    return here >= scaled(elsewhere, static_cast<double>(tuning.movePaysPercent_) / 100);
}

} // namespace persimmondoor::workflow
