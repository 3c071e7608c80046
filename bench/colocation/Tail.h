/// Quantiles of the latency of all requests of a run, from the tail of each second.
#pragma once

#include <vector>

namespace persimmondoor::colocation {

class TailMeter {
public:
    TailMeter();
    /// \param tail 99th percentile of the requests of one instance and second, in milliseconds.
    /// \param requests their number, in any unit.
    void add(double tail, double requests);
    /// \param quantile for instance 0.99.
    /// \return latency in milliseconds. Each second's latencies are taken as log-normal.
    double quantile(double quantile) const;

private:
    double shareAbove(double latency) const;

    std::vector<double> weights_;
    double total_ { 0 };
};

} // namespace persimmondoor::colocation
