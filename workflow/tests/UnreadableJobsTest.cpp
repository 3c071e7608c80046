#include "LeaderWorld.h"

namespace persimmondoor::workflow {

static RunKey runOf(uint32_t index, const std::string& job)
{
    return { { JobId::of(job), 0, 0, index }, 1 };
}

static constexpr const char* unreadable = "00000000000000bb";

// A leader with an unreadable job.
static LeaderWorld worldWith(std::optional<JobSpec> spec)
{
    LeaderWorld world;
    world.state_.unreadableJobs_.emplace(JobId::of(unreadable), UnreadableJob { std::move(spec) });
    return world;
}

BOOST_AUTO_TEST_SUITE(unreadable_jobs)

// Guards against an accepted job that is denied, accepted a second time or refused because its row cannot be read.
BOOST_AUTO_TEST_CASE(calls_for_an_unreadable_job_are_answered_as_unknown)
{
    LeaderWorld world = worldWith(std::nullopt);
    uint64_t status = world.call(GetStatus {}, 10, unreadable);
    uint64_t cancel = world.call(Cancel {}, 11, unreadable);
    uint64_t submission = world.submit({ stepOfTasks(1) }, 12, unreadable);
    for (uint64_t token : { status, cancel, submission })
        BOOST_TEST(world.answer(token) == "unknown: the rows of the job cannot be read");
    BOOST_TEST(world.state_.stagedOrder_.empty());
    uint64_t other = world.submit({ stepOfTasks(1) }, 13);
    world.commit(20);
    BOOST_TEST(world.answer(other) == "accepted");
    BOOST_TEST(concernsKnownJob(world.state_, { "h.example", std::string("/tests/") + unreadable, GetStatus {}, std::chrono::seconds(1) }));
}

// Guards against running tasks that are stopped because the row of their job cannot be read.
BOOST_AUTO_TEST_CASE(run_of_an_unreadable_job_is_left_alone_and_keeps_its_room)
{
    LeaderWorld world = worldWith(*JobSpec::create("spec", { stepOfTasks(3) }, {}));
    world.report("w-1", 10, { { runOf(0, unreadable), "", 50, 0, 100 }, { runOf(2, unreadable), "", 50, 0, 100 } });
    BOOST_TEST(world.logged("run.stop").empty());
    BOOST_TEST(world.logged("run.unreadable").size() == 2U);
    world.submit({ stepOfTasks(4) }, 20);
    world.commit(30);
    // Two of four cores are taken.
    BOOST_TEST(world.starts("w-1", 31).size() == 2U);
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", 40, { { runOf(0, unreadable), "", 50, 0, 100 }, { runOf(0, "00000000000000aa"), "", 1, 0, 100 }, { runOf(1, "00000000000000aa"), "", 1, 0, 100 } }, { { 1, runOf(2, unreadable), RunEnd::Done, "" } });
    world.commit(50);
    BOOST_TEST(world.starts("w-1", 51).size() == 1U);
    BOOST_TEST(world.logged("run.stop").empty());
}

// Guards against starts that bring a worker over its capacity, as the demand of what it runs is not known.
BOOST_AUTO_TEST_CASE(worker_with_a_run_of_unknown_demand_gets_no_starts)
{
    LeaderWorld world = worldWith(std::nullopt);
    world.report("w-1", 10, { { runOf(0, unreadable), "", 50, 0, 100 } });
    world.report("w-2", 10);
    world.submit({ stepOfTasks(5) }, 20);
    world.commit(30);
    BOOST_TEST(world.starts("w-1", 31).empty());
    BOOST_TEST(world.starts("w-2", 31).size() == 4U);
    world.report("w-1", 40);
    world.handle(Tick { 1'001'600 }, 1600);
    world.report("w-1", 1610);
    world.commit(1620);
    BOOST_TEST(world.starts("w-1", 1630).size() == 1U);
}

// Guards against an end that its worker forgets although no leader could record it: the task would run again.
BOOST_AUTO_TEST_CASE(end_of_an_unreadable_job_is_not_acknowledged)
{
    LeaderWorld world = worldWith(std::nullopt);
    world.report("w-1", 10);
    world.submit({ stepOfTasks(1) }, 20);
    world.commit(30);
    world.reply("w-1", 31);
    world.lastCompletedOrder_ = OrderNumber(1);
    EndedRun held { 1, runOf(0, unreadable), RunEnd::Done, "" };
    EndedRun ended { 2, runOf(0, "00000000000000aa"), RunEnd::Done, "" };
    world.report("w-1", 40, {}, { held, ended });
    world.commit(50);
    auto reply = makeReportReply(world.state_, "w-1", at(51));
    for (const DurableEnds& durable : reply.durableEnds_)
        BOOST_TEST(durable.number_ == 0U);
    BOOST_TEST(world.logged("end.held").size() == 1U);
    uint64_t status = world.call(GetStatus {}, 60);
    BOOST_TEST(world.answer(status) == "completed");
}

// Guards against a worker whose list of ends is full of ends that follow a held one.
BOOST_AUTO_TEST_CASE(held_end_is_given_up_after_many_later_ends)
{
    LeaderWorld world = worldWith(std::nullopt);
    std::vector<EndedRun> ends { { 1, runOf(0, unreadable), RunEnd::Done, "" } };
    uint64_t last = world.state_.tuning_.maximumEndsAfterHeldEnd_ + 1;
    for (uint64_t number = 2; number < last; ++number)
        ends.push_back({ number, runOf(0, "00000000000000cc"), RunEnd::Stopped, "" });
    world.report("w-1", 10, {}, ends);
    BOOST_TEST(world.logged("end.given_up").empty());
    ends.push_back({ last, runOf(0, "00000000000000cc"), RunEnd::Stopped, "" });
    world.report("w-1", 20, {}, ends);
    BOOST_TEST(world.logged("end.given_up").size() == 1U);
    auto reply = makeReportReply(world.state_, "w-1", at(21));
    BOOST_REQUIRE(reply.durableEnds_.size() == 1U);
    BOOST_TEST(reply.durableEnds_[0].number_ == last);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
