// Measures the bytes of a renewal on the wire, both directions together, by the number of tasks of one partition on a
// host: with equal digests, with different digests, and with an event of every task.
//
// bench_hosting [--json]

#include "HostBench.h"
#include "persimmondoor/core/Log.h"

#include <iomanip>
#include <iostream>

using namespace persimmondoor;
using namespace persimmondoor::hosting;

static void printTable(const std::vector<RenewalBytes>& rows)
{
    std::cout << "tasks  bytes, equal digests  bytes, running listed  bytes, new tasks' events\n";
    for (const RenewalBytes& row : rows)
        std::cout << std::setw(5) << row.tasks_ << std::setw(22) << row.equalDigests_ << std::setw(23) << row.differentDigests_ << std::setw(26) << row.events_ << "\n";
}

static void printJSON(const std::vector<RenewalBytes>& rows)
{
    for (const RenewalBytes& row : rows)
        std::cout << "{\"tasks\":" << row.tasks_ << ",\"equal\":" << row.equalDigests_ << ",\"different\":" << row.differentDigests_ << ",\"events\":" << row.events_ << "}\n";
}

int main(int argc, char** argv)
{
    startLog(LogLevel::Error, "bench");
    HostBench bench;
    std::vector<RenewalBytes> rows;
    for (uint64_t tasks : { 1, 8, 32, 128 })
        rows.push_back(bench.measureRenewals(tasks));
    if (argc > 1 && std::string(argv[1]) == "--json")
        printJSON(rows);
    else
        printTable(rows);
    return 0;
}
