#include "persimmondoor/colocation/LoadForecast.h"

#include <algorithm>

namespace persimmondoor::colocation {

void LoadForecast::observe(double load, Instant now)
{
    if (!started_) {
        started_ = true;
        startedAt_ = now;
        startLoad_ = load;
        highestLoad_ = load;
        return;
    }
    highestLoad_ = std::max(highestLoad_, load);
    if (now - startedAt_ < horizon)
        return;
    for (double& weight : rises_)
        weight *= retention;
    double step = std::clamp((highestLoad_ - startLoad_) / stepSize, 0.0, static_cast<double>(steps - 1));
    rises_[static_cast<size_t>(step)] += 1;
    startedAt_ = now;
    startLoad_ = load;
    highestLoad_ = load;
}

double LoadForecast::rise() const
{
    double total = 0;
    for (double weight : rises_)
        total += weight;
    if (total <= 0)
        return 0;
    double below = 0;
    size_t step = 0;
    for (; step + 1 < steps; ++step) {
        below += rises_[step];
        if (below >= coveredQuantile * total)
            break;
    }
    return static_cast<double>(step) * stepSize;
}

double domainLossLoad(double load, uint32_t instances, uint32_t largestDomain)
{
    if (largestDomain >= instances)
        return 0;
    return load * largestDomain / (instances - largestDomain);
}

} // namespace persimmondoor::colocation
