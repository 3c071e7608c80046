#include "../hosting/HostBench.h"
#include "Measure.h"

namespace persimmondoor::capacity {

// Runs `operation` `count` times and returns the sum of the bytes.
template <typename Operation>
static Point repeat(int count, Operation operation)
{
    double bytes = 0;
    for (int index = 0; index < count; ++index)
        bytes += static_cast<double>(operation());
    return { static_cast<double>(count), bytes };
}

Slopes measureHost()
{
    hosting::HostBench bench;
    std::vector<Point> renewal;
    std::vector<Point> events;
    std::vector<Point> probes;
    std::vector<Point> starts;
    for (uint64_t tasks : { 1, 8, 32, 128 }) {
        hosting::RenewalBytes bytes = bench.measureRenewals(tasks);
        renewal.push_back({ static_cast<double>(tasks), static_cast<double>(bytes.equal_) });
        // `events_` are the bytes of the tasks started since the previous size.
        double newTasks = static_cast<double>(tasks) - (events.empty() ? 0 : renewal[renewal.size() - 2].size_);
        events.push_back({ newTasks, static_cast<double>(bytes.events_) });
    }
    for (int count : { 10, 40, 160 }) {
        probes.push_back(repeat(count, [&] { return bench.measureProbe(); }));
        starts.push_back(repeat(count, [&] { return bench.measureStart(); }));
    }
    return { fit("host.renewal", "tasks", "bytes", renewal), fit("host.events", "events", "bytes", events), fit("host.probe", "probes", "bytes", probes),
        fit("host.start", "starts", "bytes", starts) };
}

} // namespace persimmondoor::capacity
