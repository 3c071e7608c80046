#include "LeaderWorld.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

static constexpr uint32_t gangSize = 3;

static RunKey memberRun(uint32_t index)
{
    return { { JobId::of("00000000000000aa"), 0, 0, index }, 1 };
}

static std::string workerOf(uint32_t index)
{
    return concat("w-", index);
}

// Number up to which the next reply acknowledges the ends of the worker.
static uint64_t acknowledgedEnd(LeaderWorld& world, const std::string& worker, int64_t milliseconds)
{
    ReportReply reply = makeReportReply(world.state_, worker, at(milliseconds));
    BOOST_REQUIRE(reply.durableEnds_.size() == 1U);
    return reply.durableEnds_[0].number_;
}

BOOST_AUTO_TEST_SUITE(durable_ends)

// Guards against a gang that runs again: the ends of its members were acknowledged, and the end of the gang was lost with the
// leader before it was durable.
BOOST_AUTO_TEST_CASE(ends_of_all_gang_members_are_acknowledged_only_once_the_end_of_the_gang_is_durable)
{
    LeaderWorld world;
    for (uint32_t index = 0; index < gangSize; ++index)
        world.report(workerOf(index), 5);
    Step gang = stepOfTasks(gangSize);
    gang.gang_ = true;
    gang.demand_ = *Resources::create(3000, 1000, 0);
    world.submit({ gang }, 10);
    world.commit(20);
    world.lastCompletedOrder_ = OrderNumber(1);
    std::vector<std::string> workers;
    for (uint32_t index = 0; index < gangSize; ++index) {
        workers.push_back(world.state_.jobs_.at(JobId::of("00000000000000aa")).tasks_[index].progress_.worker_.name_);
        BOOST_REQUIRE(world.starts(workers[index], 21).size() == 1U);
        world.report(workers[index], 25, { { memberRun(index), "", 50, 0, 100 } });
    }
    for (uint32_t index = 0; index < gangSize; ++index)
        world.report(workers[index], 30, {}, { { 1, memberRun(index), RunEnd::Done, "" } });
    for (const std::string& worker : workers)
        BOOST_TEST(acknowledgedEnd(world, worker, 31) == 0U);
    world.commit(40);
    for (const std::string& worker : workers)
        BOOST_TEST(acknowledgedEnd(world, worker, 41) == 1U);
}

// Guards against a task that runs again: its worker was dropped while the store was down, came back and listed the end a
// second time, and the end was acknowledged although it was not durable.
BOOST_AUTO_TEST_CASE(end_that_is_listed_again_by_a_returned_worker_is_acknowledged_only_once_it_is_durable)
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ stepOfTasks(1) }, 10);
    world.commit(20);
    world.reply("w-1", 21);
    world.lastCompletedOrder_ = OrderNumber(1);
    EndedRun end { 1, memberRun(0), RunEnd::Done, "" };
    world.report("w-1", 30, {}, { end });
    for (int64_t time = 200; time <= 13'000; time += 200)
        world.handle(Tick { 1'000'000 + time }, time);
    BOOST_REQUIRE(world.state_.workers_.empty());
    world.report("w-1", 13'100, {}, { end });
    BOOST_TEST(acknowledgedEnd(world, "w-1", 13'101) == 0U);
    world.commit(13'200);
    BOOST_TEST(acknowledgedEnd(world, "w-1", 13'201) == 1U);
}

// Guards against ends that stay on the list of a worker: those of runs that were superseded change no task.
BOOST_AUTO_TEST_CASE(end_that_changes_no_task_is_acknowledged_with_the_next_write_of_its_job)
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ stepOfTasks(1) }, 10);
    world.commit(20);
    world.reply("w-1", 21);
    world.lastCompletedOrder_ = OrderNumber(1);
    world.report("w-1", 30, {}, { { 1, memberRun(0), RunEnd::Done, "" } });
    world.commit(40);
    RunKey earlier = memberRun(0);
    earlier.run_ = 0;
    world.report("w-1", 50, {}, { { 1, memberRun(0), RunEnd::Done, "" }, { 2, earlier, RunEnd::Stopped, "" } });
    BOOST_TEST(acknowledgedEnd(world, "w-1", 51) == 1U);
    world.commit(60);
    BOOST_TEST(acknowledgedEnd(world, "w-1", 61) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
