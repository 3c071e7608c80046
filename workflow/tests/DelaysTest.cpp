#include "FillingWorld.h"

namespace persimmondoor::workflow {

BOOST_AUTO_TEST_SUITE(delays)

BOOST_AUTO_TEST_CASE(parts_of_a_completed_run_add_up_to_its_time)
{
    RunTimes times { at(100), at(110), at(130), std::nullopt, Duration(0) };
    times = addPaceReading(times, 50, at(500));
    times = addPaceReading(times, 25, at(1000));
    Delays delays = delaysOfRun(times, at(40), true, at(1500));
    BOOST_TEST(describe(delays) == "placement 60 ms, write 10, startup 20, work 995, slowed 375, repeated 0");
}

BOOST_AUTO_TEST_CASE(time_of_a_run_that_did_not_complete_its_task_counts_as_repeated)
{
    RunTimes times { at(100), at(110), at(130), std::nullopt, Duration(0) };
    Delays delays = delaysOfRun(times, at(40), false, at(1500));
    BOOST_TEST(describe(delays) == "placement 60 ms, write 0, startup 0, work 0, slowed 0, repeated 1400");
}

BOOST_AUTO_TEST_CASE(end_of_a_job_is_logged_with_the_delays_along_its_slowest_chain)
{
    LeaderWorld world;
    world.report("w-1", 0);
    uint64_t submitted = world.submit({ stepOfTasks(2), stepOfTasks(1, { 0 }) }, 10);
    world.commit(30);
    BOOST_REQUIRE(world.answer(submitted) == "accepted");
    world.starts("w-1", 31);
    RunKey first { { JobId::of("00000000000000aa"), 0, 0, 0 }, 1 };
    RunKey second { { JobId::of("00000000000000aa"), 0, 0, 1 }, 1 };
    RunKey third { { JobId::of("00000000000000aa"), 0, 1, 0 }, 1 };
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", 40, { { first, "", 0, 0, 0 }, { second, "", 0, 0, 0 } });
    world.report("w-1", 500, { { second, "", 50, 0, 0 } }, { { 1, first, RunEnd::Done, "" } });
    world.report("w-1", 900, {}, { { 1, first, RunEnd::Done, "" }, { 2, second, RunEnd::Done, "" } });
    world.commit(910);
    world.starts("w-1", 911);
    world.lastCompletedOrder_ = OrderNumber(3);
    world.report("w-1", 930, { { third, "", 0, 0, 0 } });
    world.report("w-1", 1730, {}, { { 3, third, RunEnd::Done, "" } });
    BOOST_REQUIRE(world.logged("job.ended").size() == 1U);
    BOOST_TEST(world.logged("job.ended").front() == "completed; placement 0 ms, write 30, startup 30, work 1660, slowed 0, repeated 0; queue tests, 3 tasks, domain north");
}

BOOST_AUTO_TEST_CASE(job_that_misses_its_objective_is_logged_once)
{
    LeaderWorld world;
    world.submit({ stepOfTasks(3) }, 0);
    world.commit(10);
    // The objective is 1.5 times 800 ms, and 250 ms.
    world.handle(Tick { 1'000'000 + 1400 }, 1400);
    BOOST_TEST(world.logged("job.late").empty());
    world.handle(Tick { 1'000'000 + 1700 }, 1700);
    world.handle(Tick { 1'000'000 + 2000 }, 2000);
    BOOST_REQUIRE(world.logged("job.late").size() == 1U);
    BOOST_TEST(world.logged("job.late").front() == "objective 1450 ms; tasks: 3 waiting, 0 assigned, 0 done; steps done: placement 0 ms, write 0, startup 0, work 0, slowed 0, repeated 0; queue tests, 3 tasks");
}

BOOST_AUTO_TEST_CASE(backlog_is_logged_once_a_second_and_names_the_obstacle)
{
    FillingWorld world;
    world.submit({ fillingStep(9, "heavy") }, 200, fillingJob);
    world.handle(Tick { 1'000'200 }, 201);
    world.handle(Tick { 1'000'700 }, 701);
    BOOST_REQUIRE(world.logged("queues.backlog").size() == 1U);
    // Both workers have 3.45 cores left by their long-running tasks; three tasks fit beside "ranking".
    BOOST_TEST(world.logged("queues.backlog").front() == "on time 1, late 0, worthless 0; tasks waiting for capacity 0, for a worker without interference 6; filling cores, in thousandths: 3000 assigned, 0 at work, 3900 spare; held: 0 rooms, 0 thousandths of a core; widest demand: 6 tasks, 1000 thousandths of a core; cores that they leave unused: 3450 with room, 450 without the cores");
    world.handle(Tick { 1'001'300 }, 1301);
    BOOST_TEST(world.logged("queues.backlog").size() == 2U);
}

// Guards against a log line whose cost is the number of waiting jobs times the number of workers: jobs of one demand count as one.
BOOST_AUTO_TEST_CASE(backlog_adds_up_the_jobs_of_one_demand_and_tells_others_apart)
{
    FillingWorld world;
    world.submit({ fillingStep(9, "heavy") }, 200, fillingJob);
    world.submit({ fillingStep(5, "heavy") }, 200, "00000000000000dd");
    Step large = fillingStep(2, "heavy");
    large.demand_ = *Resources::create(100'000, 1, 0);
    world.submit({ large }, 200, "00000000000000ee");
    world.handle(Tick { 1'000'200 }, 201);
    BOOST_REQUIRE(world.logged("queues.backlog").size() == 1U);
    std::string line = world.logged("queues.backlog").front();
    BOOST_TEST_INFO(line);
    BOOST_TEST(line.find("on time 3,") == 0U);
    BOOST_TEST(line.find("waiting for capacity 2, for a worker without interference 11;") != std::string::npos);
    BOOST_TEST(line.find("widest demand: 11 tasks, 1000 thousandths of a core;") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
