// Latency statistics of the requests of this process, by service and outcome.
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <string>

namespace persimmondoor::burn {

class Metrics {
public:
    // Adds a request. Beyond `maximumSeries` pairs of service and outcome, a request of a new pair is counted without a
    // series.
    void add(const ServiceName& service, const std::string& outcome, Duration latency);
    std::string text() const;
    std::string json() const;

private:
    using Latencies = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::max,
            boost::accumulators::tag::extended_p_square_quantile>>;

    static Latencies emptyLatencies();

    std::map<std::pair<ServiceName, std::string>, Latencies> series_;
    uint64_t withoutSeries_ { 0 };
};

} // namespace persimmondoor::burn
