#include "persimmondoor/core/Metrics.h"

#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>

namespace persimmondoor {

namespace acc = boost::accumulators;

// Upper bounds of the buckets, in milliseconds: from the time budget of a step boundary to the longest client deadline.
static constexpr std::array<int64_t, 13> bucketBoundsMs { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000 };

namespace {

    struct Histogram {
        std::array<uint64_t, bucketBoundsMs.size()> buckets_ {};
        acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>> seconds_;
    };

    using Histograms = std::map<std::string, Histogram, std::less<>>;

    Histograms& histograms()
    {
        static Histograms all;
        return all;
    }

} // namespace

void recordLatency(std::string_view name, Duration latency)
{
    auto found = histograms().find(name);
    if (found == histograms().end())
        found = histograms().try_emplace(std::string(name)).first;
    Histogram& histogram = found->second;
    histogram.seconds_(static_cast<double>(latency.count()) / 1e6);
    for (size_t index = 0; index < bucketBoundsMs.size(); ++index) {
        if (latency <= std::chrono::milliseconds(bucketBoundsMs[index]))
            ++histogram.buckets_[index];
    }
}

static void appendHistogram(std::string& text, const std::string& name, const Histogram& histogram)
{
    std::string label = concat("{name=\"", name, "\"");
    for (size_t index = 0; index < bucketBoundsMs.size(); ++index)
        absl::StrAppend(&text, "persimmondoor_latency_seconds_bucket", label, ",le=\"", static_cast<double>(bucketBoundsMs[index]) / 1000, "\"} ", histogram.buckets_[index], "\n");
    auto count = acc::count(histogram.seconds_);
    absl::StrAppend(&text, "persimmondoor_latency_seconds_bucket", label, ",le=\"+Inf\"} ", count, "\n");
    absl::StrAppend(&text, "persimmondoor_latency_seconds_sum", label, "} ", acc::sum(histogram.seconds_), "\n");
    absl::StrAppend(&text, "persimmondoor_latency_seconds_count", label, "} ", count, "\n");
}

std::string metricsText()
{
    std::string text;
    for (const auto& [event, count] : countedEvents())
        absl::StrAppend(&text, "persimmondoor_events_total{event=\"", event, "\"} ", count, "\n");
    for (const auto& [name, histogram] : histograms())
        appendHistogram(text, name, histogram);
    return text;
}

} // namespace persimmondoor
