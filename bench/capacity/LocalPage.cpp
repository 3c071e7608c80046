#include "Page.h"

#include "TargetSize.h"
#include "Writer.h"

#include "persimmondoor/core/Text.h"

#include <cmath>

namespace persimmondoor::capacity {

// Assumptions on sizes that the requirements don't state.
static constexpr double entries = 18;
static constexpr double workersPerRack = 40;
static constexpr double meanTaskSeconds = 3'600;
static constexpr double probesPerStart = 1;
static constexpr double settingsBytes = 1'000;
static constexpr double transactionOverheadBytes = 300;

// Current settings of the program that the needs depend on.
static constexpr double partitionsToday = 64;
static constexpr double batchWindowSeconds = 1;
static constexpr double renewalSeconds = 5;
static constexpr double settingsPollSeconds = 8;

static void writeIntroduction(Writer& page)
{
    page.text("# Capacity of the programs without the platform\n");
    page.text("What each role of the programs that run without the users' platform (`local`, partitions of jobs with one owner each) needs at the size in two years, worked");
    page.text("out from slopes measured on one machine. The programs on the platform have [a page of their own](../CAPACITY.md). This page is written by `bench_capacity");
    page.text("render` from [slopes.json](slopes.json), which `bench_capacity measure` writes; a test checks that the page follows from the slopes, and each line from its");
    page.text("points. Needs beyond the measured sizes are extrapolated along the line.\n");
    page.text("Allowances for a node: 4,000 B/s, 128 MB, 31,000 us of processor a second (3.1% of a core). The store: 300 writes/s (the careful reading of \"several");
    page.text("hundred\") and 2,000 reads/s. Assumed, as nobody has said: 18 entries (three a region), racks of 40 workers, a mean run time of an hour, one probe a start");
    page.text("(a round of up to 256 tasks shares its sample), settings subtrees of 1,000 bytes. The store is taken to be one service that all regions reach; a region");
    page.text("that is cut off from it is a store outage for that region.\n");
}

static void writeAgent(Writer& page)
{
    double owners = std::min(runningTasks / workers, partitionsToday);
    double renewals = owners * page.costAt("host.renewal", 1) / renewalSeconds;
    double starts = startsPerSecond / workers * (page.costPerUnit("host.start") + probesPerStart * page.costPerUnit("host.probe") + page.costPerUnit("host.events"));
    double keepalives = page.costAtLargestSize("system.bytes") / 2 * entries / workers;
    page.text("## Agent\n");
    page.text("State: its endpoints, the ledger of its tasks, the settings tree. Messages: keepalives to entries; probes, orders and renewals from owners; a heartbeat only");
    page.text("if it owns a partition.\n");
    page.startRows();
    page.row({ "bytes, keepalives", "`system.bytes` at 200 agents / 2 entries x 18 entries / 6,300 agents; flat by design", keepalives, nodeBytesPerSecond, "B/s",
        "the entry sets the interval, so that all keepalives together stay below a fixed rate" });
    page.row({ "bytes, renewals", concat("min(32 tasks, 64 partitions) owners x `host.renewal` / ", renewalSeconds, " s"), renewals, nodeBytesPerSecond, "B/s",
        "one call a host and partition with a digest, whatever the number of tasks; fewer with a longer interval" });
    page.row({ "bytes, starts at the peak", "3,900 / 6,300 a second x (`host.start` + `host.probe` + `host.events`)", starts, nodeBytesPerSecond, "B/s", "spread over all workers by sampling" });
    page.row({ "bytes, all", "sum of the above", keepalives + renewals + starts, nodeBytesPerSecond, "B/s", "-" });
    page.row({ "memory", "`system.memory` (with its share of an entry) + 14 MB, the resident size of an agent's process", page.costPerUnit("system.memory") + 14e6, nodeMemoryBytes, "bytes",
        "bounded queues and retention" });
    page.row({ "processor, at rest", "`system.processor` (with its share of an entry)", page.costPerUnit("system.processor"), nodeMicrosecondsPerSecond, "us/s", "few timers; an owner of job partitions wakes ten times a second, also when it is idle" });
    page.text("");
}

static void writeEntry(Writer& page)
{
    double handled = page.costAtLargestSize("system.bytes") / 2;
    page.text("## Entry\n");
    page.text("State: the view of all workers and endpoints, routing's figures of each endpoint, the settings tree, service levels. Messages: callers' requests, keepalives,");
    page.text("settings. Requests themselves are work for callers and not counted as control.\n");
    page.startRows();
    page.row({ "memory", "`entry.memory` x 6,300 + 14 MB, the resident size of an entry's process", page.costAt("entry.memory", workers) + 14e6, nodeMemoryBytes, "bytes", "only what was announced is kept" });
    page.row({ "bytes, keepalives (fan-in of 6,300 agents)", "`system.bytes` at 200 agents / 2 entries; flat by design", handled, nodeBytesPerSecond, "B/s",
        "interval grows with the number of agents; a silent host is found earlier by failing requests" });
    page.row({ "bytes, whole announcements", "660 hosts replaced a day x 1,000 B", hostsReplacedPerDay / secondsPerDay * 1'000, nodeBytesPerSecond, "B/s", "only on a change or on request" });
    page.row({ "bytes, cold start in 60 s", "6,300 workers x 232 B of a snapshot / 60 s", workers * 232 / 60, nodeBytesPerSecond, "B/s",
        "a snapshot from a peer; must be spread over 6 minutes, or be compressed; requests are routed among the first workers learned" });
    page.row({ "processor, announcements after the loss of a failure domain", "420 workers x `entry.announcement`, in 1 s", workers / failureDomains * page.costPerUnit("entry.announcement"),
        nodeMicrosecondsPerSecond, "us/s", "one decision an announcement" });
    page.row({ "time to find a silent host", "keepalive interval, 6,300 x 300 B / 3,000 B/s", workers * 300 / 3'000, 16, "s",
        "ejection by failing requests today; to come: keepalives folded up a tree of agents, so that one message carries a rack" });
    page.text("");
}

// Bytes a second that one owner sends and journals for starts at the peak.
static double startBytes(Writer& page, double partitions)
{
    return startsPerSecond / partitions * (page.costPerUnit("host.start") + probesPerStart * page.costPerUnit("host.probe") + page.costPerUnit("host.events") + page.costPerUnit("owner.journal"))
        + transactionOverheadBytes / batchWindowSeconds;
}

// Bytes a second of renewals at one owner. Without affinity nearly every task of a partition runs on another host.
static double renewalBytes(Writer& page, double partitions, double seconds)
{
    return std::min(batchTasks / partitions, workers) * page.costAt("host.renewal", 1) / seconds;
}

// Bytes a second of renewals at one owner if the tasks of a partition are placed together, so that each host runs tasks
// of one partition only.
static double groupedRenewalBytes(Writer& page, double partitions, double seconds)
{
    return workers / partitions * page.costAt("host.renewal", 1) / seconds;
}

static void writeOwner(Writer& page)
{
    double partitions = partitionsToday;
    double tasks = batchTasks / partitions;
    page.text("## Owner of a job partition\n");
    page.text("Any entry or agent may own a partition, so this comes on top of the above at that node. State: the ledger of the partition's jobs. Messages: probes, start");
    page.text("orders, renewals; journal transactions. At today's 64 partitions:\n");
    page.startRows();
    page.row({ "bytes, renewals, at all times", "180,000 / 64 tasks, each on a host of its own, x `host.renewal` / 5 s", renewalBytes(page, partitions, renewalSeconds), nodeBytesPerSecond, "B/s",
        "not carried today; (1) to (3) below" });
    page.row({ "bytes, starts at the peak", "3,900 / 64 starts a second x (`host.start` + `host.probe` + `host.events` + `owner.journal`)", startBytes(page, partitions), nodeBytesPerSecond, "B/s",
        "not carried today; (1) and (4) below" });
    page.row({ "bytes, starts at the mean", "as above with 180,000 tasks of an hour: 50 starts a second",
        batchTasks / meanTaskSeconds / partitions * (page.costPerUnit("host.start") + probesPerStart * page.costPerUnit("host.probe") + page.costPerUnit("host.events") + page.costPerUnit("owner.journal")), nodeBytesPerSecond, "B/s",
        "ownership spread over all processes" });
    page.row({ "memory", "180,000 / 64 tasks x `owner.memory`", page.costAt("owner.memory", tasks), nodeMemoryBytes, "bytes", "live tasks only; ended jobs for a day, at most 20,000" });
    page.row({ "processor at the peak", "3,900 / 64 starts a second x `owner.start`", startsPerSecond / partitions * page.costPerUnit("owner.start"), nodeMicrosecondsPerSecond, "us/s",
        "placement over a bounded sample" });
    page.row({ "recovery, processor", "180,000 / 64 tasks x `owner.recovery`, in 1 s", page.costAt("owner.recovery", tasks), nodeMicrosecondsPerSecond, "us/s", "packed snapshot and a short journal" });
    page.text("");
    page.text("More partitions divide an owner's bytes and multiply the store's writes. \"Grouped\" renewals are those of a partition whose tasks are placed together, as many on");
    page.text("a host as it runs, renewed every 20 s. The window is the batch window that keeps journals and leases within 300 writes/s with today's heartbeat of 3 s, and with one");
    page.text("of 12 s (a quarter of the writes).\n");
    page.text("| partitions | starts at the peak | renewals today | grouped, 20 s | starts + grouped, of 4,000 B/s | lease writes/s, 3 s | batch window | lease writes/s, 12 s | batch window |");
    page.text("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (double count : { 64.0, 256.0, 512.0, 1'024.0, 2'048.0 }) {
        double starts = startBytes(page, count);
        double grouped = groupedRenewalBytes(page, count, 20);
        double leases = page.costAt("lease.writes", count);
        auto window = [count](double used) { return used < storeWritesPerSecond ? concat(Writer::number(count / (storeWritesPerSecond - used)), " s") : std::string("none: leases alone exceed it"); };
        page.text(concat("| ", count, " | ", Writer::number(starts), " B/s | ", Writer::number(renewalBytes(page, count, renewalSeconds)), " B/s | ", Writer::number(grouped), " B/s | x ",
            Writer::number((starts + grouped) / nodeBytesPerSecond), " | ", Writer::number(leases), " | ", window(leases), " | ", Writer::number(leases / 4), " | ", window(leases / 4), " |"));
    }
    page.text("");
    page.text("So today's settings do not carry the size in two years, neither at rest nor at the peak; what carries it, in the order in which it pays, is designed and not built:");
    page.text("(1) 1,024 partitions, with a heartbeat of 12 s, so that leases leave the store to the journals; (2) placement that keeps a partition's tasks together, so that one");
    page.text("renewal covers many; (3) renewals every 20 s under leases of 60 s; (4) free room carried in renewal answers, so that most starts need no probe; (5) a batch window of");
    page.text("5 s at the peak, while urgent starts keep their own lane. Urgent work beside a full batch lane is measured in [design/jobs.md](../design/jobs.md).\n");
}

static void writeStore(Writer& page)
{
    double journal = partitionsToday / batchWindowSeconds;
    double leases = page.costAt("lease.writes", partitionsToday);
    double takeoverReads = partitionsToday / failureDomains * 4;
    page.text("## Store\n");
    page.startRows();
    page.row({ "writes, leases", "`lease.writes` at 64 partitions", leases, storeWritesPerSecond, "writes/s", "one heartbeat row a process that owns something" });
    page.row({ "writes, journals at the peak", "64 partitions / 1 s window", journal, storeWritesPerSecond, "writes/s", "group commit: at most one transaction a partition and window" });
    page.row({ "writes, urgent lane", "47,000 jobs a day, each submitted and started at once", 2 * jobsPerDay / secondsPerDay, storeWritesPerSecond, "writes/s", "no window for urgent work" });
    page.row({ "writes, settings", "3,000 a day, 2 rows in 1 transaction", settingsChangesPerDay / secondsPerDay, storeWritesPerSecond, "writes/s", "compare-and-set on a subtree" });
    page.row({ "writes, service levels", "18 entries / 60 s", entries / 60, storeWritesPerSecond, "writes/s", "one small row an entry and minute" });
    page.row({ "writes, all at the peak", "sum of the above",
        leases + journal + 2 * jobsPerDay / secondsPerDay + settingsChangesPerDay / secondsPerDay + entries / 60, storeWritesPerSecond, "writes/s", "idempotency claims of callers are not in it; they are grouped" });
    page.row({ "reads, leases", "`lease.reads` at 64 partitions", page.costAt("lease.reads", partitionsToday), storeReadsPerSecond, "reads/s", "idle processes read the less often the more there are" });
    page.row({ "reads, settings", "18 entries / 8 s", entries / settingsPollSeconds, storeReadsPerSecond, "reads/s", "only entries read the store; agents fetch from each other" });
    page.row({ "reads, loss of a failure domain", "64 / 15 partitions x 4 rows, in 1 s", takeoverReads, storeReadsPerSecond, "reads/s", "successors claim at most 32 a step" });
    page.text("");
}

static void writeSettings(Writer& page)
{
    double mean = settingsChangesPerDay / secondsPerDay;
    double rounds = std::ceil(std::log(workers / entries) / std::log(16.0));
    page.text("## Settings\n");
    page.startRows();
    page.row({ "bytes a node at the mean", "3,000 a day x 1,000 B, received and passed on once", 2 * mean * settingsBytes, nodeBytesPerSecond, "B/s", "digest on keepalives, fetch on difference" });
    page.row({ "bytes an entry, 4 direct fetches a second", "4 x 1,000 B", 4 * settingsBytes, nodeBytesPerSecond, "B/s", "entries answer few; agents pass on to 16 each" });
    page.row({ "in force everywhere", "poll of 8 s at the other entries + rounds of passing on, each of one keepalive interval (630 s at 6,300 agents)",
        settingsPollSeconds + rounds * workers * 300 / 3'000, 16, "s",
        "today an agent learns of a change with its next keepalive; to come: holders push to the agents that they know, as entries do among themselves" });
    page.text("");
}

static void writeLosses(Writer& page)
{
    page.text("## Days of loss\n");
    page.text("| lost | at once | leases to wait for | starts again | reads of the store |");
    page.text("| --- | --- | --- | --- | --- |");
    struct Loss {
        std::string_view name_;
        double hosts_;
    };
    for (const Loss& loss : { Loss { "host (130 a day)", 1 }, Loss { "rack", workersPerRack }, Loss { "failure domain", workers / failureDomains }, Loss { "region", workers / regions } }) {
        double tasks = loss.hosts_ * batchTasks / workers;
        double partitions = std::ceil(partitionsToday * loss.hosts_ / workers);
        page.text(concat("| ", loss.name_, " | ", Writer::number(loss.hosts_), " hosts, ", Writer::number(tasks), " batch tasks, ", Writer::number(partitions), " owners | 22 s a task (20 s lease, 2 s margin) | ",
            Writer::number(tasks / startsPerSecond), " s at 3,900 starts/s | ", Writer::number(partitions * 4), " |"));
    }
    page.text("");
    page.text("A region that is cut off from the store for an hour keeps running what it runs up to the renewal horizon (15 minutes unless set longer), starts nothing new,");
    page.text("and answers requests all the time; its partitions are taken over by owners on the other side once their lease has lapsed there.\n");
    page.text("What was not measured: more than 300 agents at once, real networks, processor time under a full request load, the store's own limits.");
}

absl::StatusOr<std::string> renderLocalPage(const Slopes& slopes)
{
    Writer page(slopes);
    writeIntroduction(page);
    page.slopes();
    writeAgent(page);
    writeEntry(page);
    writeOwner(page);
    writeStore(page);
    writeSettings(page);
    writeLosses(page);
    return page.finish();
}

} // namespace persimmondoor::capacity
