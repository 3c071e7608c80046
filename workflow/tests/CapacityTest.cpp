#include "FillingWorld.h"

namespace persimmondoor::workflow {

BOOST_AUTO_TEST_SUITE(capacity)

static std::vector<ActiveRun> runsOf(const std::string& job, uint32_t first, uint32_t count)
{
    std::vector<ActiveRun> runs;
    for (uint32_t index = first; index < first + count; ++index)
        runs.push_back({ runOf(job, index), "", 10, 0, 100 });
    return runs;
}

// Guards against starts on a worker whose capacity has shrunk below what runs there.
BOOST_AUTO_TEST_CASE(worker_that_has_shrunk_gets_no_start_until_its_runs_fit)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.submit({ stepOfTasks(8) }, 20, searchJob);
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 4U);
    world.lastCompletedOrder_ = OrderNumber(4);
    world.capacity_ = *Resources::create(2000, 1'000'000, 0);
    world.report("w-1", 100, runsOf(searchJob, 0, 4));
    // Two of four runs end: the others fill the worker.
    std::vector<EndedRun> ends { { 1, runOf(searchJob, 0), RunEnd::Done, "" }, { 2, runOf(searchJob, 1), RunEnd::Done, "" } };
    world.report("w-1", 200, runsOf(searchJob, 2, 2), ends);
    world.commit(201);
    BOOST_TEST(world.starts("w-1", 202).empty());
    ends.push_back({ 3, runOf(searchJob, 2), RunEnd::Done, "" });
    world.report("w-1", 300, runsOf(searchJob, 3, 1), ends);
    world.commit(301);
    BOOST_TEST(world.starts("w-1", 302).size() == 1U);
}

// Guards against a task that never runs although another worker has room, as it is placed on a worker that has shrunk below its
// long-running tasks, withdrawn and placed there again.
BOOST_AUTO_TEST_CASE(filling_task_is_not_placed_on_a_worker_that_has_shrunk_below_its_long_running_tasks)
{
    LeaderWorld world;
    world.report("w-1", 10);
    Step longRunning = longRunningStep("search");
    longRunning.count_ = 3;
    longRunning.targetTailMs_ = 0;
    world.submit({ longRunning }, 20, searchJob);
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 3U);
    std::vector<ActiveRun> runs;
    for (uint32_t index = 0; index < 3; ++index)
        runs.push_back({ runOf(searchJob, index), "", 100, 0, 100 });
    Step filling = fillingStep(1, "light");
    filling.demand_ = *Resources::create(300, 1000, 0);
    size_t started = 0;
    for (int64_t time = 100; time < 1000 && started == 0; time += 100) {
        world.lastCompletedOrder_ = OrderNumber(3);
        world.capacity_ = *Resources::create(2000, 1'000'000, 0);
        world.report("w-1", time, runs);
        world.lastCompletedOrder_ = OrderNumber();
        world.capacity_ = *Resources::create(4000, 1'000'000, 0);
        world.report("w-2", time);
        if (time == 100)
            world.submit({ filling }, 110, fillingJob);
        world.commit(time + 20);
        started = world.starts("w-2", time + 30).size();
    }
    BOOST_TEST(started == 1U);
    BOOST_TEST(world.logged("run.withdrawn").empty());
}

// Guards against a start that was decided before the worker shrank and is ordered long after, as the store was slow.
BOOST_AUTO_TEST_CASE(start_that_no_longer_fits_is_withdrawn)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.submit({ stepOfTasks(4) }, 20, searchJob);
    world.capacity_ = *Resources::create(2000, 1'000'000, 0);
    world.report("w-1", 25);
    world.commit(30);
    BOOST_TEST(world.starts("w-1", 31).size() == 2U);
    BOOST_TEST(world.logged("run.withdrawn").size() == 2U);
}

// Guards against a capacity that counts as shrunk for good.
BOOST_AUTO_TEST_CASE(worker_that_has_grown_again_is_used)
{
    LeaderWorld world;
    world.capacity_ = *Resources::create(1000, 1'000'000, 0);
    world.report("w-1", 10);
    world.submit({ stepOfTasks(4) }, 20, searchJob);
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 1U);
    world.lastCompletedOrder_ = OrderNumber(1);
    world.capacity_ = *Resources::create(4000, 1'000'000, 0);
    world.report("w-1", 100, runsOf(searchJob, 0, 1));
    world.commit(101);
    BOOST_TEST(world.starts("w-1", 102).size() == 3U);
}

// Guards against a start beside a run that is still being stopped, as its task was completed by an earlier run.
BOOST_AUTO_TEST_CASE(run_that_is_being_stopped_keeps_its_room)
{
    LeaderWorld world;
    Step gang = stepOfTasks(2);
    gang.gang_ = true;
    gang.maxPerWorker_ = 1;
    gang.demand_ = *Resources::create(4000, 1000, 0);
    world.report("w-1", 10);
    world.report("w-2", 10);
    world.submit({ gang }, 20, searchJob);
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() + world.starts("w-2", 31).size() == 2U);
    world.lastCompletedOrder_ = OrderNumber(1);
    bool isFirstOnFirst = world.state_.jobs_.at(JobId::of(searchJob)).tasks_[0].progress_.worker_.name_ == "w-1";
    std::string ended = isFirstOnFirst ? "w-1" : "w-2";
    std::string other = isFirstOnFirst ? "w-2" : "w-1";
    ActiveRun member { runOf(searchJob, 1), "", 10, 0, 100 };
    world.report(other, 100, { member });
    world.submit({ stepOfTasks(8) }, 110, rankingJob);
    world.report(ended, 120, {}, { { 1, runOf(searchJob, 0), RunEnd::Done, "" } });
    world.commit(130);
    // The other member of the gang is ordered to stop, and its worker still lists it.
    BOOST_TEST(world.starts(other, 131).empty());
    // Once it is gone, its room is used.
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report(other, 1000, {}, { { 1, runOf(searchJob, 1), RunEnd::Stopped, "" } });
    world.commit(1001);
    BOOST_TEST(world.starts(other, 1002).size() == 4U);
}

// Guards against a new leader that gives away the room of a run that it does not know and that is still being stopped.
BOOST_AUTO_TEST_CASE(run_of_a_finished_task_keeps_its_room_under_a_new_leader)
{
    LeaderWorld first;
    first.report("w-1", 10);
    first.submit({ stepOfTasks(1), stepOfTasks(1, { 0 }) }, 20, searchJob);
    first.commit(30);
    first.starts("w-1", 31);
    first.lastCompletedOrder_ = OrderNumber(1);
    first.report("w-1", 40, {}, { { 1, runOf(searchJob), RunEnd::Done, "" } });
    first.commit(41);
    LeaderWorld second(first.rows(), 2);
    ActiveRun earlierRun { runOf(searchJob), "", 10, 0, 100 };
    ActiveRun present { { { JobId::of(searchJob), 0, 1, 0 }, 1 }, "", 10, 0, 100 };
    second.report("w-1", 100, { earlierRun, present });
    second.submit({ stepOfTasks(8) }, 110, rankingJob);
    second.commit(120);
    BOOST_TEST(second.starts("w-1", 121).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
