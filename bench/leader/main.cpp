// Cost of the leader's decisions, counted in instructions by callgrind (`--instr-atstart=no`).
//
//     bench_leader start 160     39 filling tasks are placed on 160 workers
//     bench_leader reading 160   one agent reports a new reading of its worker
//     bench_leader backlog 160   a report, and a round of placement, beside a backlog of jobs that wait for room
//     bench_leader near 300      a round of placement beside 10,000 tasks that find no room, while as many tasks as may wait for a
//                                near place; `near-free` is the same where distance costs nothing
//     bench_leader admission 7000  a job is submitted beside so many unfinished jobs of 100 tasks, whose work is summed up
//     bench_leader line 160      the log lines of a tick beside many waiting jobs
//     bench_leader waits 160     the same a second later, when the jobs have had nothing running for long enough to be logged
//     bench_leader order 160     one task is accepted, placed, written and ordered to start
//     bench_leader end 160       an agent reports the end of one run, which is written
//     bench_leader list 30       an agent reports its worker with 30 runs
//     bench_leader encode 30     that report is encoded
//     bench_leader observe 30    the estimates of 16 long-running images are updated with one reading, of 30 filling images
//
// Bytes, without callgrind:
//
//     bench_leader report-bytes 30   a report of a worker with 30 runs
//     bench_leader reply-bytes 30    a reply with the orders of 30 starts
//     bench_leader row-bytes 100     the row that the end of one task rewrites, of a job of 100 tasks
#include "ExchangeCodec.h"
#include "Fleet.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <chrono>
#include <iostream>
#include <string>
#include <valgrind/callgrind.h>

using persimmondoor::workflow::Fleet;

namespace {

// Tasks of a wide job, and the cores that each demands.
constexpr uint32_t wideJobTasks = 39;
constexpr int64_t wideJobMilliCores = 7000;
// Jobs that find no room.
constexpr uint32_t backlogJobs = 60;
constexpr uint32_t longBacklogJobs = 600;
constexpr uint32_t dataJobs = 12;
constexpr uint32_t dataTasks = 100;
constexpr uint32_t wideBacklogJobs = 100;
constexpr int64_t dataMilliCores = 4000;
constexpr uint32_t dataRacks = 5;
constexpr uint32_t admissionWorkers = 300;
constexpr double farFactor = 3;
constexpr int64_t tooManyMilliCores = 60'000;
// Demand of tasks of which hundreds fit a worker.
constexpr int64_t smallMilliCores = 100;
constexpr int64_t smallBytes = 100'000'000;
constexpr uint32_t longRunningImages = 16;

} // namespace

static int usage()
{
    std::cerr << "usage: bench_leader start|reading|backlog|line|waits|order|end|near|near-free WORKERS, admission JOBS, list|encode|report-bytes|reply-bytes RUNS, row-bytes TASKS, or observe IMAGES\n";
    return 2;
}

static int observeReading(uint32_t images)
{
    namespace workflow = persimmondoor::workflow;
    workflow::Interference estimates;
    workflow::LoadReading before;
    workflow::LoadReading after;
    for (uint32_t image = 0; image < images; ++image) {
        std::string name = "filling-image-" + std::to_string(image);
        before.filling_[name] = 0.01;
        after.filling_[name] = 0.02;
    }
    for (uint32_t image = 0; image < longRunningImages; ++image) {
        workflow::RunKey run { { persimmondoor::JobId::of("00000000000000aa"), 0, 0, image }, 1 };
        before.longRunning_[run] = { "serving-image-" + std::to_string(image), 5, 18 };
        after.longRunning_[run] = { "serving-image-" + std::to_string(image), 7, 18 };
    }
    estimates = workflow::observe(std::move(estimates), before, after);
    CALLGRIND_START_INSTRUMENTATION;
    estimates = workflow::observe(std::move(estimates), before, after);
    CALLGRIND_STOP_INSTRUMENTATION;
    std::cout << "observe: " << estimates.sensitivities_.size() << " images\n";
    return 0;
}

// A fleet of one worker with so many small filling tasks; ordered, or reported as active.
static Fleet crowdedWorker(uint32_t runs, bool isOrdered)
{
    Fleet fleet(1);
    fleet.submitFilling(runs, smallMilliCores, smallBytes);
    fleet.commitAll();
    for (uint32_t round = 0; isOrdered && round < 3; ++round) {
        fleet.advance(std::chrono::milliseconds(500));
        fleet.reportAll();
    }
    return fleet;
}

template <typename Wire, typename Message>
static uint64_t encodedBytes(const Message& message)
{
    capnp::MallocMessageBuilder builder;
    persimmondoor::workflow::encode(message, builder.initRoot<Wire>());
    return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

static int measureWorker(const std::string& step, uint32_t size)
{
    namespace wire = persimmondoor::workflow::wire;
    Fleet fleet = crowdedWorker(size, step != "reply-bytes");
    uint64_t bytes = 0;
    if (step == "list") {
        CALLGRIND_START_INSTRUMENTATION;
        fleet.report(0);
        CALLGRIND_STOP_INSTRUMENTATION;
    } else if (step == "encode") {
        auto report = fleet.reportOf(0);
        CALLGRIND_START_INSTRUMENTATION;
        bytes = encodedBytes<wire::Report>(report);
        CALLGRIND_STOP_INSTRUMENTATION;
    } else if (step == "report-bytes") {
        bytes = encodedBytes<wire::Report>(fleet.reportOf(0));
    } else if (step == "reply-bytes") {
        bytes = encodedBytes<wire::Directive>(fleet.replyTo(0));
    }
    std::cout << step << ": " << fleet.assignedTasks() << " tasks assigned, " << bytes << " bytes\n";
    return 0;
}

// The row of a job, half of whose tasks are done, and half assigned to workers of their own.
static int measureRow(uint32_t tasks)
{
    namespace workflow = persimmondoor::workflow;
    workflow::Progress progress;
    progress.hasStarted_ = true;
    for (uint32_t task = 0; task < tasks; ++task) {
        std::string name = "i-" + std::to_string(1'000'000 + task);
        workflow::TaskPhase phase = task % 2 == 0 ? workflow::TaskPhase::Done : workflow::TaskPhase::Assigned;
        progress.tasks_.push_back({ phase, 1, 0, { name, 1'700'000'000'000, name }, "", 0 });
    }
    std::cout << "row-bytes: " << workflow::encodeProgress(progress).size() << " bytes\n";
    return 0;
}

// Jobs whose data is on a few racks, which they fill, beside room on the others.
static int measureNear(bool isCostly, uint32_t workers)
{
    Fleet fleet(workers);
    fleet.setFarFactor(isCostly ? farFactor : 1);
    for (uint32_t job = 0; job < dataJobs; ++job)
        fleet.submitData(dataTasks, dataMilliCores, "r" + std::to_string(job % dataRacks));
    for (uint32_t job = 0; job < wideBacklogJobs; ++job)
        fleet.submitData(dataTasks, tooManyMilliCores, "r" + std::to_string(job % dataRacks));
    fleet.commitAll();
    for (uint32_t round = 0; round < 20; ++round) {
        fleet.advance(std::chrono::milliseconds(100));
        fleet.reportAll();
        fleet.commitAll();
    }
    fleet.advance(std::chrono::milliseconds(50));
    auto begun = std::chrono::steady_clock::now();
    CALLGRIND_START_INSTRUMENTATION;
    fleet.tick();
    CALLGRIND_STOP_INSTRUMENTATION;
    auto took = std::chrono::steady_clock::now() - begun;
    std::cout << "near: " << std::chrono::duration_cast<std::chrono::microseconds>(took).count() << " us, " << fleet.assignedTasks() << " tasks assigned, " << fleet.nearWaits() << " wait for a near place\n";
    return 0;
}

static int64_t submitOne(Fleet& fleet)
{
    auto begun = std::chrono::steady_clock::now();
    fleet.submitShort(1, dataMilliCores);
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - begun).count();
}

// The second submission finds the sum of the first one.
static int measureAdmission(uint32_t jobs)
{
    Fleet fleet(admissionWorkers);
    for (uint32_t job = 0; job < jobs; ++job)
        fleet.submitShort(dataTasks, dataMilliCores);
    fleet.commitAll();
    fleet.learnRunTimes();
    fleet.advance(std::chrono::milliseconds(500));
    fleet.reportAll();
    // A round of placement, which would otherwise follow the first submission.
    fleet.tick();
    CALLGRIND_START_INSTRUMENTATION;
    int64_t first = submitOne(fleet);
    CALLGRIND_STOP_INSTRUMENTATION;
    int64_t second = submitOne(fleet);
    std::cout << "admission: " << first << " us with the sum, " << second << " us without; " << fleet.assignedTasks() << " tasks assigned, " << fleet.openJobs() << " unfinished jobs\n";
    return 0;
}

int main(int count, char** arguments)
{
    if (count != 3)
        return usage();
    std::string step = arguments[1];
    if (step == "observe")
        return observeReading(static_cast<uint32_t>(std::stoul(arguments[2])));
    for (const char* name : { "list", "encode", "report-bytes", "reply-bytes" }) {
        if (step == name)
            return measureWorker(step, static_cast<uint32_t>(std::stoul(arguments[2])));
    }
    if (step == "near" || step == "near-free")
        return measureNear(step == "near", static_cast<uint32_t>(std::stoul(arguments[2])));
    if (step == "admission")
        return measureAdmission(static_cast<uint32_t>(std::stoul(arguments[2])));
    if (step == "row-bytes")
        return measureRow(static_cast<uint32_t>(std::stoul(arguments[2])));
    if (step != "order" && step != "end" && step != "start" && step != "reading" && step != "backlog" && step != "line" && step != "waits")
        return usage();
    auto workers = static_cast<uint32_t>(std::stoul(arguments[2]));
    Fleet fleet(workers);
    for (uint32_t job = 0; job < 8; ++job)
        fleet.submitFilling(4, wideJobMilliCores);
    fleet.commitAll();
    fleet.reportAll();
    uint32_t waitingJobs = step == "backlog" ? backlogJobs : step == "line" || step == "waits" ? longBacklogJobs
                                                                                               : 0;
    for (uint32_t job = 0; job < waitingJobs; ++job)
        fleet.submitFilling(wideJobTasks, tooManyMilliCores);
    fleet.commitAll();
    for (uint32_t round = 0; round < 4; ++round) {
        fleet.advance(std::chrono::milliseconds(500));
        fleet.reportAll();
    }
    fleet.advance(std::chrono::milliseconds(100));
    uint64_t assigned = fleet.assignedTasks();
    uint32_t worker = 1;
    if (step == "end") {
        worker = fleet.startTask();
        fleet.advance(std::chrono::milliseconds(100));
        fleet.report(worker);
    }
    if (step == "order" || step == "end")
        fleet.commitAll();
    if (step == "waits") {
        // Jobs with nothing running are logged after a second.
        fleet.tick();
        fleet.advance(std::chrono::milliseconds(1100));
        fleet.reportAll();
    }
    auto begun = std::chrono::steady_clock::now();
    CALLGRIND_START_INSTRUMENTATION;
    if (step == "start")
        fleet.submitFilling(wideJobTasks, wideJobMilliCores);
    else if (step == "line" || step == "waits")
        fleet.tick();
    else if (step == "order")
        fleet.startTask();
    else if (step == "end")
        fleet.endRun(worker);
    else
        fleet.report(1);
    CALLGRIND_STOP_INSTRUMENTATION;
    auto took = std::chrono::steady_clock::now() - begun;
    std::cout << step << ": " << std::chrono::duration_cast<std::chrono::microseconds>(took).count() << " us, " << fleet.assignedTasks() - assigned << " tasks assigned\n";
    return 0;
}
