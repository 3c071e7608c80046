#include "../leases/LeaseCell.h"
#include "Measure.h"

namespace persimmondoor::capacity {

static constexpr uint32_t processes = 1'000;
static constexpr Duration settling = std::chrono::seconds(120);
static constexpr Duration counting = std::chrono::seconds(300);

Slopes measureLeases()
{
    std::vector<Point> writes;
    std::vector<Point> reads;
    for (uint32_t partitions : { 64, 150, 300 }) {
        leases::Cell cell(processes, leases::settingsFor(processes, partitions));
        cell.pass(settling);
        store::TableCounts before = cell.table_.counts();
        cell.pass(counting);
        store::TableCounts after = cell.table_.counts();
        writes.push_back({ static_cast<double>(partitions), static_cast<double>(after.transactions_ - before.transactions_) / leases::seconds(counting) });
        reads.push_back({ static_cast<double>(partitions), static_cast<double>(after.reads_ - before.reads_) / leases::seconds(counting) });
    }
    return { fit("lease.writes", "partitions", "writes/s", writes), fit("lease.reads", "partitions", "reads/s", reads) };
}

} // namespace persimmondoor::capacity
