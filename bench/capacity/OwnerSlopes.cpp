#include "Codec.h"
#include "Measure.h"
#include "Meter.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/placement/Choice.h"

#include <malloc.h>

namespace persimmondoor::capacity {

using namespace jobs;

// Tasks per job, and offers that one placement compares.
static constexpr uint32_t tasksPerJob = 100;
static constexpr int offersPerChoice = 8;

static TeamName teamOfJob(uint32_t job)
{
    return TeamName::of(concat("team-", job % 48));
}

static TaskKey keyOf(uint32_t task)
{
    uint32_t job = task / tasksPerJob;
    return { *jobId(teamOfJob(job), concat("rebuild-plan-", job)), task % tasksPerJob };
}

static placement::Site siteOf(uint32_t task)
{
    uint32_t worker = task % 6'300;
    return { WorkerName::of(concat("worker-", worker)), RackName::of(concat("rack-", worker / 40)), FailureDomainName::of(concat("domain-", worker % 15)) };
}

static JobSpec specOf(uint32_t job)
{
    JobSpec spec;
    spec.id_ = *jobId(teamOfJob(job), concat("rebuild-plan-", job));
    spec.team_ = teamOfJob(job);
    spec.priority_ = { Tier::Paying, placement::Urgency::Normal };
    spec.command_ = "rebuild --pack 17 --cells 96 --balance";
    spec.taskCount_ = tasksPerJob;
    spec.resources_ = *Resources::create(1'000, 2'000'000'000, 0);
    return spec;
}

// Journal records of the starts of `count` tasks.
static std::vector<Record> startsOf(uint32_t count)
{
    std::vector<Record> records;
    records.reserve(count);
    for (uint32_t task = 0; task < count; ++task)
        records.emplace_back(TaskAssigned { keyOf(task), Attempt(1), siteOf(task) });
    return records;
}

static std::vector<Record> endsOf(uint32_t count)
{
    std::vector<Record> records;
    records.reserve(count);
    for (uint32_t task = 0; task < count; ++task)
        records.emplace_back(jobs::TaskFinished { keyOf(task), Attempt(1), 0, "ok", 1'796'000'000'000 });
    return records;
}

static Ledger submitTasks(uint32_t tasks)
{
    std::vector<Record> records;
    for (uint32_t job = 0; job * tasksPerJob < tasks; ++job)
        records.emplace_back(JobSubmitted { specOf(job), 1'796'000'000'000 });
    return applyRecords(Ledger(), records).ledger_;
}

static std::vector<placement::Offer> offersOf(uint32_t task)
{
    std::vector<placement::Offer> offers;
    offers.reserve(offersPerChoice);
    for (int index = 0; index < offersPerChoice; ++index) {
        placement::Site site = siteOf(task * 31 + static_cast<uint32_t>(index) * 97);
        offers.push_back({ site.worker_, site.domain_, site.rack_, *Resources::create(64'000, 250'000'000'000, 0), *Resources::create(1'000 + 500 * index, 9'000'000'000, 0), 30, 0, true });
    }
    return offers;
}

// Places `count` tasks, then encodes and applies the journal records of their starts and ends. Returns the processor
// time in microseconds.
static double measureStartsAndEnds(uint32_t count)
{
    Ledger ledger = submitTasks(count);
    double started = threadMicroseconds();
    size_t placed = 0;
    for (uint32_t task = 0; task < count; ++task) {
        placement::PlacementRequest request;
        request.task_ = taskId(keyOf(task));
        request.team_ = teamOfJob(task / tasksPerJob);
        request.resources_ = *Resources::create(1'000, 2'000'000'000, 0);
        request.seed_ = task;
        placed += std::holds_alternative<placement::Placed>(placement::choosePlacement(request, offersOf(task))) ? 1 : 0;
    }
    assertInvariant(placed == count, "every task is placed");
    for (const std::vector<Record>& records : { startsOf(count), endsOf(count) }) {
        std::string row = encode(Batch { Epoch(1), Sequence(1), records });
        assertInvariant(!row.empty(), "the batch is encoded");
        ledger = applyRecords(std::move(ledger), records).ledger_;
    }
    assertInvariant(ledger.liveTasks() == 0, "every task has ended");
    return threadMicroseconds() - started;
}

Slopes measureOwner()
{
    std::vector<Point> memory;
    std::vector<Point> snapshot;
    std::vector<Point> recovery;
    std::vector<Point> journal;
    std::vector<Point> processor;
    for (uint32_t tasks : { 1'000, 10'000, 100'000 }) {
        double size = tasks;
        malloc_trim(0);
        double before = heapBytes();
        Ledger ledger = applyRecords(submitTasks(tasks), startsOf(tasks)).ledger_;
        memory.push_back({ size, heapBytes() - before });
        std::string bytes = encodeSnapshot(ledger);
        snapshot.push_back({ size, static_cast<double>(bytes.size()) });
        double started = threadMicroseconds();
        assertInvariant(decodeSnapshot(bytes).ok(), "the snapshot is read back");
        recovery.push_back({ size, threadMicroseconds() - started });
    }
    for (uint32_t tasks : { 10, 100, 1'000 }) {
        size_t bytes = encode(Batch { Epoch(1), Sequence(1), startsOf(tasks) }).size() + encode(Batch { Epoch(1), Sequence(2), endsOf(tasks) }).size();
        journal.push_back({ static_cast<double>(tasks), static_cast<double>(bytes) });
    }
    for (uint32_t tasks : { 1'000, 4'000, 16'000 })
        processor.push_back({ static_cast<double>(tasks), measureStartsAndEnds(tasks) });
    return { fit("owner.memory", "tasks", "bytes", memory), fit("owner.snapshot", "tasks", "bytes", snapshot), fit("owner.recovery", "tasks", "us", recovery),
        fit("owner.journal", "starts", "bytes", journal), fit("owner.start", "starts", "us", processor) };
}

} // namespace persimmondoor::capacity
