// Measures partition ownership, with the pure decisions over a simulated table: store writes and reads per second at
// rest, the time without an owner after a crash, and, for several renewal horizons, the longest store outage that
// running tasks survive and the delay until tasks may run again if their host and their owner fail together.
//
// bench_leases

#include "LeaseCell.h"

#include <algorithm>
#include <cstdio>

using namespace persimmondoor;
using namespace persimmondoor::leases;

namespace {

void measureRate(uint32_t processes, uint32_t partitions)
{
    Cell cell(processes, settingsFor(processes, partitions));
    cell.pass(120 * second);
    size_t owned = cell.owned();
    store::TableCounts before = cell.table_.counts();
    cell.pass(300 * second);
    store::TableCounts after = cell.table_.counts();
    size_t owners = 0;
    size_t most = 0;
    for (const Process& process : cell.processes_) {
        owners += process.held_.empty() ? 0 : 1;
        most = std::max(most, process.held_.size());
    }
    std::printf("%9u %10u %6zu %6zu %11zu %12.1f %11.1f %14.0f\n", processes, partitions, owned, owners, most, static_cast<double>(after.transactions_ - before.transactions_) / 300,
        static_cast<double>(after.reads_ - before.reads_) / 300, static_cast<double>(after.bytesWritten_ - before.bytesWritten_) / 300);
}

void measureTakeover(uint32_t processes, uint32_t partitions)
{
    Cell cell(processes, settingsFor(processes, partitions));
    cell.pass(120 * second);
    Process& victim = cell.processes_.front();
    for (Process& process : cell.processes_) {
        if (process.held_.size() > victim.held_.size())
            std::swap(process, victim);
    }
    size_t lost = victim.held_.size();
    victim.crashed_ = true;
    Instant crash = cell.now_;
    while (cell.owned() < partitions && cell.now_ - crash < 300 * second)
        cell.pass(tick);
    std::printf("%9u %10u %10zu %18.1f\n", processes, partitions, lost, seconds(cell.now_ - crash));
}

void measureHorizon(Duration horizon)
{
    OwnershipSettings settings = settingsFor(4, 8);
    settings.horizon_ = horizon;
    Cell outage(4, settings);
    outage.pass(60 * second);
    outage.isStoreDown_ = true;
    Instant begin = outage.now_;
    Instant earliest = outage.processes_.front().horizonUntil_;
    for (const Process& process : outage.processes_)
        earliest = std::min(earliest, process.horizonUntil_);
    outage.pass(earliest - begin + second);
    Duration survived = earliest - begin;

    Cell crash(4, settings);
    crash.pass(60 * second);
    crash.processes_.front().crashed_ = true;
    Instant crashed = crash.now_;
    while (crash.owned() < 8)
        crash.pass(tick);
    Duration inherited(0);
    for (const Process& process : crash.processes_) {
        for (const auto& [partition, gained] : process.held_)
            inherited = std::max(inherited, process.crashed_ ? Duration(0) : gained.horizon_);
    }
    std::printf("%9.0f %28.0f %35.0f\n", seconds(horizon), seconds(survived), seconds(crash.now_ - crashed + inherited));
}

} // namespace

int main()
{
    std::puts("at rest\nprocesses partitions  owned owners   max/owner writes/s     reads/s written bytes/s");
    measureRate(13, 64);
    measureRate(100, 64);
    measureRate(1000, 64);
    measureRate(1000, 300);
    std::puts("\none owner crashes\nprocesses partitions  partitions lost   owned again after s");
    measureTakeover(13, 64);
    measureTakeover(100, 64);
    measureTakeover(1000, 300);
    std::puts("\nhorizon s  outage survived by tasks, s   tasks of failed host and owner, s");
    for (int minutes : { 1, 5, 15, 60 })
        measureHorizon(std::chrono::minutes(minutes));
    return 0;
}
