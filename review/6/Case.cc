// A minion crashes while two tasks that fill, and ask for no cores, run on it.
#pragma once

#include "../standins-2/World.cc"

namespace review {

inline constexpr const char* fillingJob = "5c0e7a21d94b36f8";
inline constexpr const char* otherJob = "5c0e7a21d94b36f9";
inline constexpr int64_t fillingTasks = 8;
inline constexpr int64_t fillingMemMb = 13'000;
inline constexpr int64_t fillingWorkMs = 90'000;
inline constexpr int64_t otherCpu = 960;
inline constexpr int64_t otherMemMb = 1'900;
inline constexpr int64_t otherWorkMs = 800;
// `for_s` of `srv_crash` in the site file.
inline constexpr Millis downTime(4500);
// Longer than `ackMs`, `recoveryS` and `finish_s` of the deployment together.
inline constexpr Millis judgedFor(35'000);

// A step with `cpu` 0, which is omitted.
inline json::object makeFillingJob()
{
    json::object step { { "count", fillingTasks }, { "memMb", fillingMemMb }, { "estRuntimeMs", fillingWorkMs }, { "savesProgress", true }, { "fills", true }, { "image", "rebuild" } };
    return { { "spec", "rebuild" }, { "steps", json::array { step } } };
}

inline json::object makeOtherJob()
{
    json::object step { { "count", 6 }, { "cpu", otherCpu }, { "memMb", otherMemMb }, { "estRuntimeMs", otherWorkMs } };
    return { { "spec", "cells" }, { "steps", json::array { step } } };
}

inline Minion* busiestMinion(World& world)
{
    auto busiest = std::max_element(world.minions().begin(), world.minions().end(), [](const auto& left, const auto& right) { return left->running() < right->running(); });
    return busiest->get();
}

inline asio::awaitable<int> runCase(World& world)
{
    world.configure(4);
    world.startAll();
    if (!co_await world.waitUntilReady(Millis(15'000)))
        co_return couldNotRun;
    co_await sleepFor(Millis(5'000));
    StepFacts filling { 0, fillingMemMb, fillingWorkMs, 0, false, 16 };
    if (!co_await world.submit(fillingJob, makeFillingJob(), filling))
        co_return couldNotRun;
    co_await sleepFor(Millis(5'000));
    Minion* minion = busiestMinion(world);
    world.note(minion->identity().id_ + " runs " + std::to_string(minion->running()) + " filling tasks");
    if (world.isTroubled()) {
        minion->crash();
        world.note(minion->identity().id_ + " crashes");
    }
    co_await sleepFor(downTime);
    if (world.isTroubled()) {
        minion->restart();
        world.note(minion->identity().id_ + " is up again");
    }
    // Another client's job, and the state of the first one at each entry.
    int64_t end = steadyMs() + judgedFor.count();
    StepFacts other { otherCpu, otherMemMb, otherWorkMs, 0, false, 0 };
    bool isAccepted = co_await world.submit(otherJob, makeOtherJob(), other, 5);
    size_t answered = 0;
    for (bool isLastRound = false; !isLastRound;) {
        isLastRound = steadyMs() >= end;
        answered = 0;
        for (size_t entry = 0; entry < world.entries().size(); ++entry) {
            CallResult state = co_await world.look("GET", fillingJob, "", entry);
            world.note("GET at " + world.entries()[entry].name_ + " -> " + std::to_string(state.status_) + " " + state.body_);
            answered += state.status_ == 200 ? 1 : 0;
        }
        co_await sleepFor(Millis(2000));
    }
    for (Machine& machine : world.entries())
        world.note(machine.name_ + (machine.process_->hasEnded() ? " has ended by itself" : " is alive"));
    world.writeEvents();
    bool isBroken = answered == 0;
    world.note(std::string(isBroken ? "no entry answers for the accepted job" : "the accepted job is known") + (isAccepted ? "" : "; the other job was not accepted"));
    co_return isBroken ? ruleBroken : ruleHeld;
}

inline int runCase()
{
    World world(4, 4);
    return world.run(runCase(world), Millis(110'000));
}

} // namespace review
