#include "LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace persimmondoor::colocation {

static constexpr double minimumLatency = 1;
static constexpr double binGrowth = 1.004;
static constexpr size_t bins = 2500;
static constexpr double sigma = 0.5;
static constexpr double normalQuantile99 = 2.3263478740408408;

LatencyHistogram::LatencyHistogram()
    : weights_(bins, 0.0)
{
}

void LatencyHistogram::add(double tail, double requests)
{
    double bin = std::log(std::max(tail, minimumLatency) / minimumLatency) / std::log(binGrowth);
    weights_[std::min(bins - 1, static_cast<size_t>(bin))] += requests;
    total_ += requests;
}

double LatencyHistogram::shareAbove(double latency) const
{
    double above = 0;
    for (size_t bin = 0; bin < bins; ++bin) {
        if (weights_[bin] <= 0)
            continue;
        double logTail = std::log(minimumLatency) + (static_cast<double>(bin) + 0.5) * std::log(binGrowth);
        double position = (std::log(latency) - logTail) / sigma + normalQuantile99;
        above += weights_[bin] * 0.5 * std::erfc(position / std::sqrt(2.0));
    }
    return above / total_;
}

double LatencyHistogram::quantile(double quantile) const
{
    double low = minimumLatency / 100;
    double high = minimumLatency * std::pow(binGrowth, bins) * 100;
    for (int step = 0; step < 60; ++step) {
        double middle = std::sqrt(low * high);
        (shareAbove(middle) > 1 - quantile ? low : high) = middle;
    }
    return high;
}

} // namespace persimmondoor::colocation
