#include "LeaderWorld.h"

namespace persimmondoor::workflow {

static const JobId job = JobId::of("00000000000000aa");

static RunKey runOf(uint32_t index, uint32_t run = 1)
{
    return { { job, 0, 0, index }, run };
}

static EndedRun doneEnd(uint64_t number, uint32_t index)
{
    return { number, runOf(index), RunEnd::Done, "" };
}

// A worker on which two runs are active and then end as done, of which it lists the first end only.
class CutListWorld : public LeaderWorld {
public:
    CutListWorld()
    {
        report("w-1", 5);
        submit({ stepOfTasks(2) }, 10);
        commit(20);
        BOOST_REQUIRE(starts("w-1", 21).size() == 2U);
        lastCompletedOrder_ = OrderNumber(2);
        report("w-1", 30, { { runOf(0), "", 10, 0, 100 }, { runOf(1), "", 10, 0, 100 } });
        commit(31);
    }

    // \return whether the task is assigned to the run.
    bool isRun(uint32_t index) const
    {
        const TaskProgress& progress = state_.jobs_.at(job).tasks_[index].progress_;
        return progress.phase_ == TaskPhase::Assigned && progress.run_ == 1;
    }
};

BOOST_AUTO_TEST_SUITE(unlisted_ends)

// Guards against a second run of a task that is done, as its worker lists a part of its ends at a time and the run was in neither
// list.
BOOST_AUTO_TEST_CASE(run_whose_end_is_not_listed_yet_is_not_lost)
{
    CutListWorld world;
    world.hasAllEnds_ = false;
    world.report("w-1", 40, {}, { doneEnd(1, 0) });
    world.commit(41);
    BOOST_TEST(world.isRun(1));
    BOOST_TEST(world.starts("w-1", 42).empty());
    world.hasAllEnds_ = true;
    world.report("w-1", 50, {}, { doneEnd(2, 1) });
    world.commit(51);
    BOOST_TEST(world.logged("run.lost").empty());
    BOOST_TEST(world.answer(world.call(GetStatus {}, 60)) == "completed");
}

// Guards against a run that stays assigned for ever after all ends were listed without it.
BOOST_AUTO_TEST_CASE(run_without_an_end_is_lost_once_all_ends_are_listed)
{
    CutListWorld world;
    world.hasAllEnds_ = false;
    world.report("w-1", 40, {}, { doneEnd(1, 0) });
    world.hasAllEnds_ = true;
    world.report("w-1", 50, {}, {});
    BOOST_TEST((world.logged("run.lost") == std::vector<std::string> { "not on the worker; worker w-1" }));
}

// Guards against the same after a takeover, where the successor knows the assignment from the rows alone.
BOOST_AUTO_TEST_CASE(successor_does_not_lose_a_run_whose_end_is_not_listed_yet)
{
    CutListWorld former;
    LeaderWorld world(former.rows(), 2);
    world.hasAllEnds_ = false;
    world.report("w-1", 40, {}, { doneEnd(1, 0) });
    world.report("w-2", 45);
    world.commit(46);
    BOOST_TEST(world.starts("w-1", 47).empty());
    BOOST_TEST(world.starts("w-2", 47).empty());
    world.hasAllEnds_ = true;
    world.report("w-1", 50, {}, { doneEnd(1, 0), doneEnd(2, 1) });
    world.commit(51);
    BOOST_TEST(world.answer(world.call(GetStatus {}, 60)) == "completed");
}

// Guards against a stop of runs that make no progress only because they have ended.
BOOST_AUTO_TEST_CASE(run_whose_end_is_not_listed_yet_is_not_taken_for_hung)
{
    CutListWorld world;
    world.hasAllEnds_ = false;
    for (int64_t time = 200; time <= 4000; time += 200) {
        world.report("w-1", time, {}, { doneEnd(1, 0) });
        world.handle(Tick { 1'000'000 + time }, time);
    }
    BOOST_TEST(world.logged("run.stop").empty());
}

// Guards against a refused run that waits for ends: it never started, so that it has none.
BOOST_AUTO_TEST_CASE(refused_run_is_lost_whether_or_not_all_ends_are_listed)
{
    CutListWorld world;
    world.hasAllEnds_ = false;
    world.refused_ = { { runOf(1), StartRefusal::NoRoom } };
    world.report("w-1", 40, {}, { doneEnd(1, 0) });
    BOOST_TEST((world.logged("run.lost") == std::vector<std::string> { "refused by the worker; worker w-1" }));
}

// Guards against a second run of a task whose start was refused as the same run has ended there already.
BOOST_AUTO_TEST_CASE(stale_run_is_not_lost_before_all_ends_are_listed)
{
    CutListWorld world;
    world.hasAllEnds_ = false;
    world.refused_ = { { runOf(1), StartRefusal::StaleRun } };
    world.report("w-1", 40, {}, { doneEnd(1, 0) });
    BOOST_TEST(world.isRun(1));
    world.hasAllEnds_ = true;
    world.report("w-1", 50, {}, { doneEnd(1, 0) });
    BOOST_TEST(!world.isRun(1));
}

// A worker of two runs whose agent is silent for longer than its leases and is back, so that the tasks wait for its lists.
class SilentCutListWorld : public CutListWorld {
public:
    SilentCutListWorld()
    {
        reply("w-1", 41);
        for (int64_t time = 200; time <= 9000; time += 200)
            handle(Tick { 1'000'000 + time }, time);
        BOOST_REQUIRE(logged("worker.gone").size() == 1U);
        handle(ReportArrived { { "w-1", domain_, 7, state_.epoch_, Fence(), Sequence(1000), OrderNumber(), {}, {}, true, {} } }, 9100);
        reply("w-1", 9101);
        lastCompletedOrder_ = OrderNumber();
        report("w-2", 9200);
        commit(9201);
        BOOST_REQUIRE(starts("w-2", 9202).empty());
    }
};

// Guards against a second run of a task that was done on a silent worker, which lists a part of its ends for longer than the wait for
// its lists lasts, such as while no end can be acknowledged.
BOOST_AUTO_TEST_CASE(task_of_a_silent_worker_waits_until_all_its_ends_are_listed)
{
    SilentCutListWorld world;
    for (int64_t time = 9300; time <= 16'000; time += 200) {
        world.hasAllEnds_ = false;
        world.reportBy("w-1", 8, "w-1", time, {}, { doneEnd(1, 0) });
        world.hasAllEnds_ = true;
        world.report("w-2", time + 50);
        world.handle(Tick { 1'000'000 + time }, time + 60);
        world.commit(time + 70);
        BOOST_TEST(world.starts("w-2", time + 80).empty());
        BOOST_TEST(world.starts("w-1", time + 80).empty());
    }
    world.reportBy("w-1", 8, "w-1", 16'300, {}, { doneEnd(2, 1) });
    world.commit(16'301);
    BOOST_TEST(world.answer(world.call(GetStatus {}, 16'310)) == "completed");
}

// Guards against a task that waits without end for a worker that has listed a part of its ends and is silent again.
BOOST_AUTO_TEST_CASE(task_of_a_silent_worker_is_started_elsewhere_if_the_other_ends_never_come)
{
    SilentCutListWorld world;
    world.hasAllEnds_ = false;
    world.reportBy("w-1", 8, "w-1", 9300, {}, { doneEnd(1, 0) });
    world.hasAllEnds_ = true;
    // An order that is not completed is sent again.
    std::set<RunKey> started;
    for (int64_t time = 9400; time <= 24'000; time += 200) {
        world.report("w-2", time);
        world.handle(Tick { 1'000'000 + time }, time);
        world.commit(time + 10);
        for (const RunKey& run : world.starts("w-2", time + 20))
            started.insert(run);
    }
    BOOST_TEST((started == std::set<RunKey> { runOf(1, 2) }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
