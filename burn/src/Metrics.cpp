#include "Metrics.h"

#include <absl/strings/str_format.h>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::burn {

namespace accumulators = boost::accumulators;
namespace json = boost::json;

static constexpr size_t maximumSeries = 2'000;
static constexpr double microsecondsPerSecond = 1e6;
// Quantiles estimated by the extended P-square algorithm: Raatikainen, "Simultaneous estimation of several percentiles",
// 1987.
static constexpr std::array<double, 4> quantiles { 0.5, 0.9, 0.99, 0.999 };

Metrics::Latencies Metrics::emptyLatencies()
{
    return Latencies(accumulators::extended_p_square_probabilities = quantiles);
}

void Metrics::add(const ServiceName& service, const std::string& outcome, Duration latency)
{
    auto found = series_.find({ service, outcome });
    if (found == series_.end() && series_.size() >= maximumSeries) {
        ++withoutSeries_;
        return;
    }
    if (found == series_.end())
        found = series_.emplace(std::pair(service, outcome), emptyLatencies()).first;
    found->second(static_cast<double>(latency.count()) / microsecondsPerSecond);
}

std::string Metrics::text() const
{
    std::string text = "# TYPE persimmondoor_request_seconds summary\n";
    for (const auto& [key, latencies] : series_) {
        std::string labels = absl::StrFormat("service=\"%s\",outcome=\"%s\"", key.first.value(), key.second);
        for (double quantile : quantiles) {
            double value = accumulators::quantile(latencies, accumulators::quantile_probability = quantile);
            text += absl::StrFormat("persimmondoor_request_seconds{%s,quantile=\"%g\"} %g\n", labels, quantile, value);
        }
        text += absl::StrFormat("persimmondoor_request_seconds_sum{%s} %g\n", labels, accumulators::sum(latencies));
        text += absl::StrFormat("persimmondoor_request_seconds_count{%s} %d\n", labels, accumulators::count(latencies));
    }
    text += "# TYPE persimmondoor_requests_without_series counter\n";
    text += absl::StrFormat("persimmondoor_requests_without_series %d\n", withoutSeries_);
    return text;
}

std::string Metrics::json() const
{
    json::array list;
    for (const auto& [key, latencies] : series_) {
        json::object item;
        item["service"] = key.first.value();
        item["outcome"] = key.second;
        item["count"] = accumulators::count(latencies);
        item["sum_s"] = accumulators::sum(latencies);
        item["max_s"] = accumulators::max(latencies);
        for (double quantile : quantiles)
            item[absl::StrFormat("p%g_s", quantile * 100)] = accumulators::quantile(latencies, accumulators::quantile_probability = quantile);
        list.push_back(std::move(item));
    }
    json::object document;
    document["requests"] = std::move(list);
    document["requests_without_series"] = withoutSeries_;
    return json::serialize(document) + "\n";
}

} // namespace persimmondoor::burn
