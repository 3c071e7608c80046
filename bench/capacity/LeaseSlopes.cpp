#include "../leases/LeaseCell.h"
#include "Measure.h"

namespace persimmondoor::capacity {

static constexpr uint32_t processes = 1'000;
// Simulated time until the ownership of partitions is stable, and simulated time over which calls are counted.
static constexpr Duration warmUpTime = std::chrono::seconds(120);
static constexpr Duration measuringTime = std::chrono::seconds(300);

Slopes measureLeases()
{
    std::vector<Point> writes;
    std::vector<Point> reads;
    for (uint32_t partitions : { 64, 150, 300 }) {
        leases::Cell cell(processes, leases::settingsFor(processes, partitions));
        cell.pass(warmUpTime);
        store::TableCounts before = cell.table_.counts();
        cell.pass(measuringTime);
        store::TableCounts after = cell.table_.counts();
        writes.push_back({ static_cast<double>(partitions), static_cast<double>(after.transactions_ - before.transactions_) / leases::seconds(measuringTime) });
        reads.push_back({ static_cast<double>(partitions), static_cast<double>(after.reads_ - before.reads_) / leases::seconds(measuringTime) });
    }
    return { fit("lease.writes", "partitions", "writes/s", writes), fit("lease.reads", "partitions", "reads/s", reads) };
}

} // namespace persimmondoor::capacity
