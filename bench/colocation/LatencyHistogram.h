/// Quantiles of the latency of all requests of a run, calculated from the tail latency of each second.
#pragma once

#include <vector>

namespace persimmondoor::colocation {

class LatencyHistogram {
public:
    LatencyHistogram();
    /// \param tail 99th percentile of the requests to one instance in one second, in milliseconds.
    /// \param requests their number, in any unit.
    void add(double tail, double requests);
    /// \param quantile for example 0.99.
    /// \return latency in milliseconds. The latencies of each second are assumed to be log-normal.
    double quantile(double quantile) const;

private:
    double shareAbove(double latency) const;

    std::vector<double> weights_;
    double total_ { 0 };
};

} // namespace persimmondoor::colocation
