#include "GroundTruth.h"

#include <algorithm>
#include <utility>

namespace persimmondoor::colocation {

static constexpr double baseMilliseconds = 20;
static constexpr std::array<double, taskClasses> typicalHarms { 0.02, 0.04, 0.06, 0.1, 0.15, 0.25, 1.8, 3.6 };
static constexpr double harmSpread = 0.2;

GroundTruth GroundTruth::create(uint64_t seed)
{
    Random random(seed);
    GroundTruth truth;
    for (size_t index = 0; index < taskClasses; ++index)
        truth.harms_[index] = typicalHarms[index] * std::exp(harmSpread * random.normal());
    for (size_t index = taskClasses - 1; index > 0; --index)
        std::swap(truth.harms_[index], truth.harms_[random.below(index + 1)]);
    return truth;
}

double GroundTruth::baseTail(double load) const
{
    return baseMilliseconds / (1 - 0.35 * std::min(load, 1.5));
}

double GroundTruth::tail(double load, double saturation, const std::array<double, taskClasses>& shares) const
{
    double disturbance = 0;
    for (size_t index = 0; index < taskClasses; ++index)
        disturbance += harms_[index] * shares[index];
    double aboveKnee = std::max(0.0, saturation - 0.75);
    double contention = 4 * aboveKnee * aboveKnee + 6 * std::max(0.0, saturation - 1);
    return baseTail(load) * (1 + disturbance * loadFactor(load) + contention);
}

} // namespace persimmondoor::colocation
