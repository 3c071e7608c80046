// Cost of the leader's decisions, counted in instructions by callgrind (`--instr-atstart=no`).
//
//     bench_leader start 160     39 filling tasks are placed on 160 workers
//     bench_leader reading 160   one agent reports a new reading of its worker
//     bench_leader backlog 160   a report, and a round of placement, beside a backlog of jobs that wait for room
//     bench_leader line 160      the log lines of a tick beside many waiting jobs
//     bench_leader observe 30    the estimates of 16 long-running images are updated with one reading, of 30 filling images
#include "Fleet.h"

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
constexpr int64_t tooManyMilliCores = 60'000;
constexpr uint32_t longRunningImages = 16;

} // namespace

static int usage()
{
    std::cerr << "usage: bench_leader start|reading|backlog|line WORKERS, or bench_leader observe IMAGES\n";
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

int main(int count, char** arguments)
{
    if (count != 3)
        return usage();
    std::string step = arguments[1];
    if (step == "observe")
        return observeReading(static_cast<uint32_t>(std::stoul(arguments[2])));
    if (step != "start" && step != "reading" && step != "backlog" && step != "line")
        return usage();
    Fleet fleet(static_cast<uint32_t>(std::stoul(arguments[2])));
    for (uint32_t job = 0; job < 8; ++job)
        fleet.submitFilling(4, wideJobMilliCores);
    fleet.commitAll();
    fleet.reportAll();
    uint32_t waitingJobs = step == "backlog" ? backlogJobs : step == "line" ? longBacklogJobs
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
    auto begun = std::chrono::steady_clock::now();
    CALLGRIND_START_INSTRUMENTATION;
    if (step == "start")
        fleet.submitFilling(wideJobTasks, wideJobMilliCores);
    else if (step == "line")
        fleet.tick();
    else
        fleet.report(1);
    CALLGRIND_STOP_INSTRUMENTATION;
    auto took = std::chrono::steady_clock::now() - begun;
    std::cout << step << ": " << std::chrono::duration_cast<std::chrono::microseconds>(took).count() << " us, " << fleet.assignedTasks() - assigned << " tasks assigned\n";
    return 0;
}
