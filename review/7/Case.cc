// More than 500 runs end on a minion while the platform's store is down.
#pragma once

#include "../standins-2/World.cc"

#include <set>

namespace review {

inline constexpr size_t jobCount = 18;
inline constexpr int64_t tasksPerJob = 100;
inline constexpr Millis submitInterval(150);
// Thousandths of a core, and megabytes, of one task: 900 of them fill 54 of a minion's 64 cores.
inline constexpr int64_t taskCpu = 60;
inline constexpr int64_t taskMemMb = 100;
inline constexpr int64_t taskWorkMs = 4000;
inline constexpr int64_t taskSpreadMs = 3000;
inline constexpr Millis outageAfter(1000);
// `for_s` of `platform_down` in the site file.
inline constexpr Millis outageLength(4500);

// Starts of tasks after an end `done` that is taken note of then or later (rule TWICE), and runs at the same time.
inline size_t countBreaches(World& world)
{
    std::map<std::string, std::set<int64_t>> noted;
    for (const RunEvent& event : world.ledger().events_) {
        if (event.what_ == "noted" && event.how_ == "done")
            noted[event.task_].insert(event.run_);
    }
    std::map<std::string, std::set<int64_t>> running;
    std::map<std::string, int64_t> doneAt;
    size_t breaches = 0;
    for (const RunEvent& event : world.ledger().events_) {
        if (event.what_ == "end") {
            running[event.task_].erase(event.run_);
            if (event.how_ == "done" && noted[event.task_].count(event.run_) > 0)
                doneAt.emplace(event.task_, event.run_);
        }
        if (event.what_ != "start")
            continue;
        auto done = doneAt.find(event.task_);
        if (done != doneAt.end()) {
            ++breaches;
            if (breaches <= 20)
                world.note("TWICE: run " + std::to_string(event.run_) + " of " + event.task_ + " was started at " + std::to_string(world.sinceStart(event.atMs_)) + " ms although run " + std::to_string(done->second) + " had ended done");
        }
        if (!running[event.task_].empty()) {
            ++breaches;
            world.note("TWICE: two runs of " + event.task_ + " at the same time");
        }
        running[event.task_].insert(event.run_);
    }
    return breaches;
}

inline std::string jobId(size_t number)
{
    std::string digits = std::to_string(number);
    return std::string("5c0e7a21d94b0000").substr(0, 16 - digits.size()) + digits;
}

inline json::object makeJob()
{
    json::object step { { "count", tasksPerJob }, { "cpu", taskCpu }, { "memMb", taskMemMb }, { "estRuntimeMs", taskWorkMs } };
    return { { "spec", "cells" }, { "steps", json::array { step } } };
}

inline asio::awaitable<int> runCase(World& world)
{
    world.configure(2);
    world.startAll();
    if (!co_await world.waitUntilReady(Millis(15'000)))
        co_return couldNotRun;
    co_await sleepFor(Millis(5'000));
    json::object job = makeJob();
    StepFacts facts { taskCpu, taskMemMb, taskWorkMs, taskSpreadMs, false, 0 };
    for (size_t number = 0; number < jobCount; ++number) {
        if (!co_await world.submit(jobId(number), job, facts))
            co_return couldNotRun;
        co_await sleepFor(submitInterval);
    }
    co_await sleepFor(outageAfter);
    for (const auto& minion : world.minions())
        world.note(minion->identity().id_ + " runs " + std::to_string(minion->running()) + " tasks");
    if (world.isTroubled()) {
        world.note("the store is down");
        world.store().setFault(StoreFault::Busy);
    }
    co_await sleepFor(outageLength);
    for (const auto& minion : world.minions())
        world.note(minion->identity().id_ + " lists " + std::to_string(minion->unacknowledgedEnds()) + " ends that are not acknowledged");
    world.store().setFault(StoreFault::None);
    world.note("the store is up");
    size_t completed = 0;
    for (int64_t end = steadyMs() + 40'000; completed < jobCount && steadyMs() < end;) {
        co_await sleepFor(Millis(1000));
        completed = 0;
        for (size_t number = 0; number < jobCount; ++number) {
            CallResult status = co_await world.look("GET", jobId(number), "", number);
            completed += status.body_.find("completed") != std::string::npos ? 1 : 0;
        }
    }
    world.note(std::to_string(completed) + " of " + std::to_string(jobCount) + " jobs are shown as completed");
    size_t breaches = countBreaches(world);
    world.note(std::to_string(breaches) + " starts break TWICE");
    world.writeEvents();
    co_return breaches > 0 ? ruleBroken : ruleHeld;
}

inline int runCase()
{
    World world(2, 2);
    return world.run(runCase(world), Millis(110'000));
}

} // namespace review
