#include "FillingWorld.h"

namespace persimmondoor::workflow {

BOOST_AUTO_TEST_SUITE(wait_report)

static Step largeLongRunningStep(int64_t milliCores, int64_t memoryBytes)
{
    Step step = longRunningStep("search");
    step.demand_ = *Resources::create(milliCores, memoryBytes, 0);
    return step;
}

// Guards against long-running tasks that wait without a line that tells the reason.
BOOST_AUTO_TEST_CASE(waiting_long_running_task_is_reported_with_the_obstacles_of_all_workers)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.report("w-2", 10);
    world.report("w-3", 10);
    world.state_.workers_.at({ "w-2", 1000, "" }).quarantinedUntil_ = at(60'000);
    world.submit({ largeLongRunningStep(3500, 1000) }, 20, searchJob);
    world.submit({ largeLongRunningStep(3500, 1000) }, 21, rankingJob);
    world.submit({ largeLongRunningStep(3500, 1000) }, 22, fillingJob);
    world.commit(30);
    world.report("w-1", 900);
    world.report("w-2", 900);
    world.report("w-3", 900);
    // The lease keeps the worker known while it is silent.
    world.reply("w-3", 901);
    world.handle(Tick { 1'000'900 }, 902);
    BOOST_TEST(world.logged("task.waits").empty());
    world.report("w-1", 1300);
    world.report("w-2", 1300);
    world.handle(Tick { 1'001'800 }, 2500);
    auto lines = world.logged("task.waits");
    BOOST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines.front().find("job ready") != std::string::npos);
    BOOST_TEST(lines.front().find("1 quarantined or unproven") != std::string::npos);
    BOOST_TEST(lines.front().find("1 not reported") != std::string::npos);
    BOOST_TEST(lines.front().find("1 without the cores") != std::string::npos);
    // At most one line a second for a step.
    world.handle(Tick { 1'001'900 }, 2800);
    BOOST_TEST(world.logged("task.waits").size() == 1U);
}

// Guards against a run that the leader counts as at work although its worker does not list it.
BOOST_AUTO_TEST_CASE(run_that_its_worker_does_not_list_is_reported)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.submit({ largeLongRunningStep(1000, 1000) }, 20, searchJob);
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 1U);
    world.report("w-1", 1200);
    world.handle(Tick { 1'001'200 }, 1250);
    auto lines = world.logged("run.unseen");
    BOOST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines.front().find("worker w-1, ordered;") != std::string::npos);
}

// Guards against a line that does not tell a lack of room from room in pieces that are too small.
BOOST_AUTO_TEST_CASE(waiting_long_running_task_is_reported_with_what_another_packing_would_place)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.report("w-2", 10);
    Step first = largeLongRunningStep(1500, 1000);
    Step second = first;
    second.image_ = "ranking";
    world.submit({ first }, 20, searchJob);
    world.submit({ second }, 21, rankingJob);
    world.submit({ largeLongRunningStep(3000, 1000) }, 22, fillingJob);
    world.submit({ largeLongRunningStep(4000, 1000) }, 23, "00000000000000dd");
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 1U);
    BOOST_REQUIRE(world.starts("w-2", 31).size() == 1U);
    world.report("w-1", 1200);
    world.report("w-2", 1200);
    world.handle(Tick { 1'001'200 }, 1250);
    auto lines = world.logged("task.waits");
    BOOST_REQUIRE(lines.size() == 2U);
    for (const std::string& line : lines)
        BOOST_TEST(line.find("free in sum 5000, most on one worker 2500; packed anew, 1 of 2 waiting long-running tasks would fit") != std::string::npos);
}

// Guards against a wait that begins anew with each refused start, so that it is neither logged nor ended by held room.
BOOST_AUTO_TEST_CASE(starts_that_are_refused_do_not_begin_the_wait_of_a_task_anew)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.submit({ largeLongRunningStep(1000, 1000) }, 20, searchJob);
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 1U);
    for (uint32_t number = 1; number <= 5; ++number) {
        int64_t time = 300 * number;
        world.refused_ = { { runOf(searchJob, 0, number), StartRefusal::Unavailable } };
        world.lastCompletedOrder_ = OrderNumber(number);
        world.report("w-1", time);
        world.refused_.clear();
        world.handle(Tick { 1'000'000 + time }, time + 5);
        world.report("w-1", time + 250);
        world.commit(time + 251);
        BOOST_REQUIRE(world.starts("w-1", time + 252).size() == 1U);
    }
    BOOST_TEST(!world.logged("task.waits").empty());

    // A run that its worker has listed does.
    auto before = world.logged("task.waits").size();
    world.lastCompletedOrder_ = OrderNumber(6);
    world.report("w-1", 2600, { { runOf(searchJob, 0, 6), "", 100, 0, 100 } });
    world.report("w-1", 2700, {}, { { 1, runOf(searchJob, 0, 6), RunEnd::Failed, "" } });
    world.handle(Tick { 1'002'710 }, 2710);
    BOOST_TEST(world.logged("task.waits").size() == before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
