#include "Law.h"

#include <algorithm>
#include <utility>

namespace persimmondoor::colocation {

static constexpr double baseMilliseconds = 20;
static constexpr std::array<double, taskClasses> typicalHarms { 0.02, 0.04, 0.06, 0.1, 0.15, 0.25, 1.8, 3.6 };
static constexpr double harmSpread = 0.2;

Law Law::create(uint64_t seed)
{
    Random random(seed);
    Law law;
    for (size_t index = 0; index < taskClasses; ++index)
        law.harms_[index] = typicalHarms[index] * std::exp(harmSpread * random.normal());
    for (size_t index = taskClasses - 1; index > 0; --index)
        std::swap(law.harms_[index], law.harms_[random.below(index + 1)]);
    return law;
}

double Law::solo(double load) const
{
    return baseMilliseconds / (1 - 0.35 * std::min(load, 1.5));
}

double Law::tail(double load, double saturation, const std::array<double, taskClasses>& shares) const
{
    double disturbance = 0;
    for (size_t index = 0; index < taskClasses; ++index)
        disturbance += harms_[index] * shares[index];
    double tight = std::max(0.0, saturation - 0.75);
    double contention = 4 * tight * tight + 6 * std::max(0.0, saturation - 1);
    return solo(load) * (1 + disturbance * loadFactor(load) + contention);
}

} // namespace persimmondoor::colocation
