#include "Page.h"

#include "TargetSize.h"
#include "Writer.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <cmath>

namespace persimmondoor::capacity {

// The machines that the sweep is carried on to: the workers' hosts and the entries.
static constexpr double machines = 6'309;
// Sockets of an entry: 4,096 descriptors, of which 200 are kept for files.
static constexpr double sockets = 3'896;
static constexpr double settingsInForceSeconds = 16;
static constexpr double urgentStartMilliseconds = 1'600;
// An agent's worker counts as silent once its last report is this old.
static constexpr double maximumReportAgeSeconds = 1.5;
// A lost worker's tasks wait for the end of its leases: 7.5 s, 2 percent of clock drift and 0.3 s of slack.
static constexpr double taskLeaseSeconds = 7.95;
// A report is answered at least this often, and each answer renews all leases of the host.
static constexpr double reportIntervalSeconds = 0.45;
// Jobs in one transaction at most, and the usual duration of a transaction, of which one is in flight at a time.
static constexpr double jobsPerTransaction = 40;
static constexpr double transactionSeconds = 0.012;
// Rows written for a task that is the only one of its job in the batch: one with its start, one with its end.
static constexpr double rowsPerTask = 2;

static void writeIntroduction(Writer& page)
{
    page.text("# Capacity\n");
    page.text("What each role of the programs on the users' platform needs at the size in two years: 6,300 workers, 3,900 task starts a second, 204,000 tasks running. The slopes");
    page.text("come from a sweep of the users' bench over its large deployment (one day with killed and restarted processes, workers that leave, a change of the configuration and a lost failure domain, at three sizes, processor charged);");
    page.text("`bench_capacity record` adds the figures of a sweep to [capacity/sweep.json](capacity/sweep.json), `bench_capacity render` writes this page from them, and a test");
    page.text("checks that the page follows from the slopes and each line from its points. The programs without the platform have [a page of their own](capacity/local.md).\n");
    page.text("Needs are carried on along the lines to 6,309 machines, 20 times the largest size that was played. The days of the sweep start 1.3 to 1.4 tasks a second and");
    page.text("machine (2,495 runs in 50 s at 36 machines, 6,774 at 104), where 3,900 starts a second would be 0.6: for the needs that follow the starts, the line leads to about");
    page.text("twice the load that is asked for. \"Busiest\" is the busiest process of its role on that day; for entries it is taken to be the leader. Bytes are all that a host sends and");
    page.text("receives, with clients' requests at entries and with the calls between an agent and the worker on its own host.\n");
    page.text("Allowances for a node: 4,000 B/s, 128 MB, 31,000 us of processor a second (3.1% of a core).\n");
}

static void writeLeader(Writer& page)
{
    double processor = page.costAt("leader.processor", machines);
    double bytes = page.costAt("leader.bytes", machines);
    double memory = page.costAt("leader.memory", machines);
    double rows = startsPerSecond * rowsPerTask;
    page.text("## Leader\n");
    page.text("One entry leads all queues. State: every open job and its tasks, all workers with what is reserved on them, the interference estimates. Messages: reports of");
    page.text("all agents and the replies to them, clients' calls that other entries pass on, one transaction at a time to the store.\n");
    page.startRows();
    page.row({ "processor", "`leader.processor` at 6,309 machines", processor, nodeMicrosecondsPerSecond, "us/s", "not carried by one leader; (1) and (2) below" });
    page.row({ "bytes", "`leader.bytes` at 6,309 machines", bytes, nodeBytesPerSecond, "B/s", "not carried by one leader; (1) to (3) below" });
    page.row({ "memory", "`leader.memory` at 6,309 machines", memory, nodeMemoryBytes, "bytes", "at most 8,000 open jobs, beyond which new ones are refused" });
    page.row({ "connections", "`leader.connections` at 6,309 machines", page.costAt("leader.connections", machines), sockets, "sockets", "one connection an agent and peer; (1) divides them" });
    page.row({ "job rows written at the peak", "3,900 starts/s x 2 rows, each task the only one of its job in its batch", rows, jobsPerTransaction / transactionSeconds, "rows/s",
        "group commit of 40 jobs each 12 ms; the tasks of a step share one row" });
    page.row({ "transactions at the peak", "one in flight, 12 ms each", 1 / transactionSeconds, storeWritesPerSecond, "writes/s", "group commit: the rate doesn't grow with the load" });
    page.row({ "a successor leads after the leader's death", "`leader.replacement` at the largest size; flat", page.costAtLargestSize("leader.replacement"), urgentStartMilliseconds, "ms",
        "followers claim after 0.9 s of silence or at a closed connection" });
    page.text("");
    double leaders = std::ceil(std::max(processor / nodeMicrosecondsPerSecond, bytes / nodeBytesPerSecond));
    page.text("What carries the size, designed and not built, in the order in which it pays:\n");
    page.text(concat("1. Several leaders, each with the queues whose hash falls to it, its own row, chain and part of the store. To divide the processor alone takes ", Writer::number(std::ceil(processor / nodeMicrosecondsPerSecond)),
        " leaders within 3.1% of a core each, or ", Writer::number(std::ceil(processor / 500'000)), " that may use half a core. The room of a worker is then shared: its agent, which every start passes, refuses what doesn't fit, as it does today for shrunk capacities."));
    page.text(concat("2. Reports and replies that carry changes only. Today a report lists all runs of a worker, and a reply the traits of all its filling and long-running runs; by bytes alone today's messages would take ", Writer::number(leaders), " leaders."));
    page.text("3. Reports of a rack folded by one agent of it, so that a leader has one connection a rack instead of one an agent.\n");
}

static void writeEntry(Writer& page)
{
    page.text("## Entry that does not lead\n");
    page.text("State: who leads, peers, calls in progress. Messages: clients' calls, passed on to the leader; workers' heartbeats that miss their agent.\n");
    page.startRows();
    page.row({ "processor", "`entry.processor` (median) at the largest size; flat", page.costAtLargestSize("entry.processor"), nodeMicrosecondsPerSecond, "us/s", "the work follows the entry's own clients" });
    page.row({ "bytes", "`entry.bytes` (median) at the largest size", page.costAtLargestSize("entry.bytes"), nodeBytesPerSecond, "B/s", "clients' requests and answers are in it, which are no control" });
    page.row({ "memory", "`entry.memory` (median) at the largest size; flat", page.costAtLargestSize("entry.memory"), nodeMemoryBytes, "bytes", "no state but calls in progress" });
    page.text("");
}

static void writeAgent(Writer& page)
{
    page.text("## Agent\n");
    page.text("State: the workers of its host, their runs and readings, orders without an outcome. Messages: lists, starts and stops at the worker, one report in flight to the");
    page.text("leader and a second one for changes. None of it grows with the number of machines.\n");
    page.startRows();
    page.row({ "processor", "`agent.processor` (busiest) at the largest size", page.costAtLargestSize("agent.processor"), nodeMicrosecondsPerSecond, "us/s", "one list of the worker each 0.5 s, more often while runs end" });
    page.row({ "bytes", "`agent.bytes` (median) at the largest size", page.costAtLargestSize("agent.bytes"), nodeBytesPerSecond, "B/s",
        "the worker's lists on its own host are in it; reports that carry changes only, (2) above, are designed" });
    page.row({ "memory", "`agent.memory` (busiest) at the largest size", page.costAtLargestSize("agent.memory"), nodeMemoryBytes, "bytes", "only the host's own runs" });
    page.row({ "renewals of the running tasks", "204,000 tasks / 6,300 hosts, one answer a report renews all", 1 / reportIntervalSeconds, 1 / reportIntervalSeconds * runningTasks / workers, "messages/s",
        "per host, not per task; the allowance is what one message a task would take" });
    page.text("");
}

static void writeTimes(Writer& page)
{
    page.text("## Times\n");
    page.startRows();
    page.row({ "a silent host is found", "its last report is 1.5 s old; independent of the size while the leader keeps up", maximumReportAgeSeconds, settingsInForceSeconds, "s", "each agent reports at least every 0.5 s; no keepalives of entries are involved" });
    page.row({ "settings in force everywhere", "`configuration.acknowledged` at 6,309 machines", page.costAt("configuration.acknowledged", machines) / 1'000, settingsInForceSeconds, "s",
        "each entry follows the operators' table of the store; agents learn nothing of it" });
    page.row({ "serving after all processes were killed", "`restart.all` at the largest size; flat", page.costAtLargestSize("restart.all"), 15'000, "ms", "the rows of the queues are read in pages" });
    page.row({ "serving after a failure domain was lost", "`domain.lost` at the largest size; no trend in 0, 1,500, 500 ms", page.costAtLargestSize("domain.lost"), 15'000, "ms", "as a leader's death, plus clients that reach another entry" });
    page.text("");
}

static void writeLosses(Writer& page)
{
    page.text("## Days of loss\n");
    page.text("| lost | at once | known lost after | starts again, at 3,900 a second |");
    page.text("| --- | --- | --- | --- |");
    struct Loss {
        std::string_view name_;
        double hosts_;
    };
    static constexpr double workersPerRack = 40;
    for (const Loss& loss : { Loss { "host (130 a day)", 1 }, Loss { "rack", workersPerRack }, Loss { "failure domain", workers / failureDomains }, Loss { "region", workers / regions } }) {
        double tasks = loss.hosts_ * runningTasks / workers;
        page.text(concat("| ", loss.name_, " | ", Writer::number(loss.hosts_), " hosts, ", Writer::number(tasks), " tasks | ", Writer::number(taskLeaseSeconds), " s | ", Writer::number(tasks / startsPerSecond), " s |"));
    }
    page.text("");
    page.text("A restarted host (530 a day) is known at once, as its new worker shows that the former one is gone. While the store is away, running tasks go on until the");
    page.text("stored bound on their leases, 8.0 s after the leader's last write; nothing new is started.\n");
    page.text("Not measured: more than 305 machines, 7,000 accelerators, 48 teams with quotas, six regions, the store's own limits, 204,000 tasks at once.");
}

absl::StatusOr<std::string> renderPlatformPage(const Slopes& slopes)
{
    Writer page(slopes);
    writeIntroduction(page);
    page.slopes();
    writeLeader(page);
    writeEntry(page);
    writeAgent(page);
    writeTimes(page);
    writeLosses(page);
    return page.finish();
}

} // namespace persimmondoor::capacity
