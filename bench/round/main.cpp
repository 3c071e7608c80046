// Time of a round of placement, and of other decisions about many tasks, over the members of the waiting jobs and their number.
//
//     bench_round                              a table of all kinds of waiting jobs
//     bench_round KIND WORKERS MEMBERS JOBS    one round, also for callgrind (`--instr-atstart=no`)
//
// KIND is one of
//
//     gang      the members fit a part of the workers, all of them together do not
//     bounded   tasks with a bound per worker that are too large for any worker, each job of another size
//     image     tasks that are too large for any worker, each job with another image
//     lasting   long-running tasks that are too large for the room on any worker
//     takeover  gangs as above, with the restoring of the state by a successor
//     check     `bounded`, with the checks and log lines that are due beside the round
//     long-check  the same of `lasting`
//     cancel    a job is cancelled whose starts are all ordered and not confirmed
//     orders    a worker is reported on which none of the ordered starts has arrived
//     refuse    all jobs are refused, as the store has failed for long
#include "Fleet.h"

#include <array>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <string>
#include <string_view>
#include <valgrind/callgrind.h>

namespace workflow = persimmondoor::workflow;

static constexpr std::array<std::string_view, 10> kinds { "gang", "bounded", "image", "lasting", "takeover", "check", "long-check", "cancel", "orders", "refuse" };

static workflow::Step waitingStep(std::string_view kind, uint32_t members, uint32_t job)
{
    workflow::Step step;
    step.count_ = members;
    step.estimate_ = std::chrono::seconds(1);
    step.demand_ = *persimmondoor::Resources::create(60'000 + job, 1'000'000'000, 0);
    if (kind == "gang" || kind == "takeover") {
        step.gang_ = true;
        // Half of the members fit the dozen workers of a rack.
        step.requiredLabel_ = "r0";
        step.demand_ = *persimmondoor::Resources::create(38'000 * 12 / std::max(members / 2, 12U), 1'000'000, 0);
    } else if (kind == "bounded" || kind == "check") {
        step.maxPerWorker_ = 1;
    } else if (kind == "image") {
        step.image_ = "image-" + std::to_string(job);
    } else if (kind == "lasting" || kind == "long-check") {
        step.longRunning_ = true;
        step.image_ = "serving-image-1";
    }
    return step;
}

// Lets the leader do what the kind names.
static void act(workflow::Fleet& fleet, std::string_view kind)
{
    if (kind == "takeover")
        fleet.takeOver();
    if (kind == "cancel")
        fleet.cancelLast();
    else if (kind == "orders")
        fleet.report(0);
    else
        fleet.tick();
}

// A fleet whose leader has not heard of its jobs since they were placed or staged.
static workflow::Fleet fleetWithNewJobs(std::string_view kind, uint32_t workers, uint32_t members, uint32_t jobs)
{
    workflow::Fleet fleet(workers);
    for (uint32_t job = 0; job < jobs; ++job)
        fleet.submitWeightless(members);
    if (kind == "refuse")
        fleet.failStore();
    else
        fleet.commitAll();
    fleet.advance(std::chrono::seconds(2));
    return fleet;
}

static bool concernsNewJobs(std::string_view kind)
{
    return kind == "cancel" || kind == "orders" || kind == "refuse";
}

struct RoundCost {
    int64_t microseconds_ { 0 };
    uint64_t visits_ { 0 };
};

// A fleet with jobs that have waited for a while.
static workflow::Fleet fleetWithWaitingJobs(std::string_view kind, uint32_t workers, uint32_t members, uint32_t jobs)
{
    workflow::Fleet fleet(workers);
    for (uint32_t job = 0; job < jobs; ++job)
        fleet.submit(waitingStep(kind, members, job));
    fleet.commitAll();
    for (int round = 0; round < 3; ++round) {
        fleet.advance(std::chrono::milliseconds(500));
        fleet.reportAll();
        fleet.commitAll();
    }
    fleet.advance(std::chrono::milliseconds(500));
    // Does what is due five times a second, so that a tick soon after is a round alone.
    fleet.tick();
    fleet.commitAll();
    bool isCheck = kind == "check" || kind == "long-check";
    fleet.advance(std::chrono::milliseconds(isCheck ? 1000 : 150));
    return fleet;
}

static RoundCost measureRound(std::string_view kind, uint32_t workers, uint32_t members, uint32_t jobs)
{
    workflow::Fleet fleet = concernsNewJobs(kind) ? fleetWithNewJobs(kind, workers, members, jobs) : fleetWithWaitingJobs(kind, workers, members, jobs);
    auto begun = std::chrono::steady_clock::now();
    CALLGRIND_START_INSTRUMENTATION;
    act(fleet, kind);
    CALLGRIND_STOP_INSTRUMENTATION;
    auto took = std::chrono::steady_clock::now() - begun;
    return { std::chrono::duration_cast<std::chrono::microseconds>(took).count(), fleet.placementVisits() };
}

static void print(std::string_view kind, uint32_t workers, uint32_t members, uint32_t jobs)
{
    RoundCost cost = measureRound(kind, workers, members, jobs);
    std::cout << std::setw(10) << kind << std::setw(9) << workers << std::setw(9) << members << std::setw(7) << jobs << std::setw(12) << cost.microseconds_ << std::setw(12) << cost.visits_ << "\n";
}

int main(int count, char** arguments)
{
    if (count != 1 && count != 5) {
        std::cerr << "usage: bench_round [KIND WORKERS MEMBERS JOBS]\n";
        return 2;
    }
    std::cout << "      kind  workers  members   jobs    round us      visits\n";
    auto number = [&](int index) { return static_cast<uint32_t>(std::stoul(arguments[index])); };
    if (count == 5) {
        print(arguments[1], number(2), number(3), number(4));
        return 0;
    }
    for (std::string_view kind : kinds) {
        for (uint32_t workers : { 12U, 160U, 2000U }) {
            for (uint32_t members : { 30U, 1000U })
                print(kind, workers, members, 10);
            print(kind, workers, 30, 300);
        }
    }
    return 0;
}
