#include "LeaderWorld.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

static const JobId job = JobId::of("00000000000000aa");
static constexpr uint32_t gangSize = 3;

static RunKey memberRun(uint32_t index, uint32_t run)
{
    return { { job, 0, 0, index }, run };
}

static std::string workerOf(uint32_t index)
{
    return concat("w-", index);
}

static Step gangStep()
{
    Step gang = stepOfTasks(gangSize);
    gang.gang_ = true;
    gang.savesProgress_ = true;
    gang.demand_ = *Resources::create(3000, 1000, 0);
    return gang;
}

// Makes the agents of `count` workers report that nothing runs there.
static void reportIdle(LeaderWorld& world, uint32_t count, int64_t milliseconds)
{
    for (uint32_t index = 0; index < count; ++index)
        world.report(workerOf(index), milliseconds);
}

// The orders to start members in the next replies to the agents of `count` workers.
static std::vector<StartRun> startsOn(LeaderWorld& world, uint32_t count, int64_t milliseconds)
{
    std::vector<StartRun> starts;
    for (uint32_t index = 0; index < count; ++index) {
        if (world.state_.agents_.count(workerOf(index)) == 0)
            continue;
        for (const Order& order : world.reply(workerOf(index), milliseconds)) {
            if (const auto* start = std::get_if<StartRun>(&order))
                starts.push_back(*start);
        }
    }
    return starts;
}

// Checks that the whole gang is started, as the given run and with one checkpoint.
static void checkStarts(const std::vector<StartRun>& starts, uint32_t run, const std::string& checkpoint)
{
    BOOST_TEST(starts.size() == gangSize);
    for (const StartRun& start : starts) {
        BOOST_TEST(start.run_.run_ == run);
        BOOST_TEST(start.checkpoint_ == checkpoint);
    }
}

// A gang whose members run on one worker each. A fourth worker is idle.
class GangWorld : public LeaderWorld {
public:
    GangWorld()
    {
        reportIdle(*this, gangSize + 1, 5);
        submit({ gangStep() }, 10);
        commit(20);
        BOOST_REQUIRE(startsOn(*this, gangSize + 1, 21).size() == gangSize);
        lastCompletedOrder_ = OrderNumber(1);
    }

    const TaskProgress& progress(uint32_t index) const { return state_.jobs_.at(job).tasks_[index].progress_; }
    std::string workerOfMember(uint32_t index) const { return progress(index).worker_.name_; }

    // The member's worker lists its newest run as active.
    void list(uint32_t index, const std::string& checkpoint, uint32_t percent, int64_t milliseconds)
    {
        report(workerOfMember(index), milliseconds, { { memberRun(index, progress(index).run_), checkpoint, percent, 0, 100 } });
    }

    // The member's worker lists the end of its newest run.
    void end(uint32_t index, RunEnd end, const std::string& checkpoint, int64_t milliseconds)
    {
        report(workerOfMember(index), milliseconds, {}, { { ++lastEnd_, memberRun(index, progress(index).run_), end, checkpoint } });
    }

    // The member's worker has crashed, as the agent of another worker reports, which lists nothing.
    void crash(uint32_t index, const std::string& reporter, int64_t milliseconds)
    {
        endedWorkers_ = { progress(index).worker_ };
        report(reporter, milliseconds);
        endedWorkers_.clear();
    }

    std::string idleWorker() const
    {
        for (const auto& [incarnation, worker] : state_.workers_) {
            if (worker.assignedTasks_.empty())
                return incarnation.name_;
        }
        return {};
    }

private:
    uint64_t lastEnd_ { 0 };
};

BOOST_AUTO_TEST_SUITE(gangs)

// Guards against a gang that never gets together after a crash: each member went on from a checkpoint of its own.
BOOST_AUTO_TEST_CASE(members_start_with_one_checkpoint_after_the_crash_of_a_worker)
{
    GangWorld world;
    world.list(0, "a", 20, 30);
    world.list(1, "b", 20, 31);
    world.list(2, "c", 20, 32);
    world.crash(2, world.idleWorker(), 40);
    world.end(0, RunEnd::GangMemberEnded, "d", 50);
    world.end(1, RunEnd::GangMemberEnded, "e", 51);
    world.commit(60);
    checkStarts(startsOn(world, gangSize + 1, 61), 2, "d");
}

// Guards against a gang that never gets together after its leader has stopped all members, each with a checkpoint of its own.
BOOST_AUTO_TEST_CASE(members_start_with_one_checkpoint_after_all_were_stopped)
{
    GangWorld world;
    world.list(0, "", 20, 30);
    world.list(1, "", 22, 31);
    world.list(2, "", 21, 32);
    world.end(0, RunEnd::Stopped, "a", 50);
    world.end(1, RunEnd::Stopped, "b", 51);
    world.end(2, RunEnd::Stopped, "c", 52);
    world.commit(60);
    checkStarts(startsOn(world, gangSize + 1, 61), 2, "b");
}

// Guards against a gang that goes back to an old checkpoint, as the member with that one has listed its progress last.
BOOST_AUTO_TEST_CASE(checkpoint_that_appeared_at_the_most_progress_is_chosen)
{
    GangWorld world;
    world.list(0, "old", 30, 30);
    world.list(1, "new", 47, 31);
    world.list(2, "older", 25, 32);
    world.list(0, "old", 48, 33);
    for (uint32_t index = 0; index < gangSize; ++index)
        world.end(index, RunEnd::GangMemberEnded, world.progress(index).checkpoint_, 50 + index);
    world.commit(60);
    checkStarts(startsOn(world, gangSize + 1, 61), 2, "new");
}

// Guards against a gang that repeats work, as the checkpoint that its last run was started with outweighs one of that run.
BOOST_AUTO_TEST_CASE(checkpoint_of_a_later_run_is_chosen_over_the_one_that_it_was_started_with)
{
    GangWorld world;
    for (uint32_t index = 0; index < gangSize; ++index)
        world.list(index, "first", 60, 30 + index);
    for (uint32_t index = 0; index < gangSize; ++index)
        world.end(index, RunEnd::LeaseExpired, "first", 40 + index);
    world.commit(50);
    checkStarts(startsOn(world, gangSize + 1, 51), 2, "first");
    // Percentages of a run that restores its checkpoint may be lower.
    world.list(0, "first", 70, 60);
    world.list(1, "first", 70, 61);
    world.list(2, "second", 10, 62);
    for (uint32_t index = 0; index < gangSize; ++index)
        world.end(index, RunEnd::GangMemberEnded, index == 2 ? "second" : "first", 70 + index);
    world.commit(80);
    checkStarts(startsOn(world, gangSize + 1, 81), 3, "second");
}

// Guards against members that a new leader starts with different checkpoints: the choice was lost with its predecessor.
BOOST_AUTO_TEST_CASE(choice_is_kept_by_a_leader_that_takes_over_before_the_start)
{
    GangWorld world;
    for (uint32_t index = 0; index < gangSize; ++index)
        world.list(index, concat("c", index), 20 + index, 30 + index);
    world.crash(0, world.idleWorker(), 40);
    world.end(1, RunEnd::GangMemberEnded, "d", 50);
    world.end(2, RunEnd::GangMemberEnded, "e", 51);
    world.commit(60);
    BOOST_TEST(world.progress(0).run_ == 2U);
    // The orders to start the second run never arrive.
    LeaderWorld successor(world.rows(), 2);
    reportIdle(successor, gangSize + 1, 100);
    successor.commit(110);
    checkStarts(startsOn(successor, gangSize + 1, 111), 3, "e");
}

// Guards against members that a new leader starts with different checkpoints: it knows those, but not how they came about.
BOOST_AUTO_TEST_CASE(leader_that_knows_no_progress_chooses_one_checkpoint_too)
{
    GangWorld world;
    world.list(1, "b", 20, 30);
    world.list(2, "c", 22, 31);
    // The end is written, with the checkpoints that the other members have listed.
    world.end(0, RunEnd::GangMemberEnded, "", 40);
    world.commit(41);
    LeaderWorld successor(world.rows(), 2);
    reportIdle(successor, gangSize + 1, 100);
    successor.commit(110);
    checkStarts(startsOn(successor, gangSize + 1, 111), 2, "b");
}

// Guards against members that are split again by a checkpoint of an earlier run, which a worker lists after the choice.
BOOST_AUTO_TEST_CASE(end_of_an_earlier_run_does_not_change_the_choice)
{
    GangWorld world;
    for (uint32_t index = 0; index < gangSize; ++index)
        world.list(index, concat("c", index), 20 + index, 30 + index);
    std::string silent = world.workerOfMember(0);
    int64_t time = 200;
    for (; time <= 14'000; time += 200) {
        world.handle(Tick { 1'000'000 + time }, time);
        world.report(world.idleWorker(), time);
        for (uint32_t index = 1; index < gangSize; ++index) {
            if (world.progress(index).phase_ == TaskPhase::Assigned && world.progress(index).run_ == 1)
                world.list(index, concat("c", index), 20 + index, time);
        }
        world.commit(time);
        if (world.progress(0).phase_ == TaskPhase::Waiting)
            break;
    }
    BOOST_REQUIRE((world.progress(0).phase_ == TaskPhase::Waiting));
    world.end(1, RunEnd::Stopped, "d", time + 1);
    world.end(2, RunEnd::Stopped, "e", time + 2);
    BOOST_REQUIRE((world.progress(0).phase_ == TaskPhase::Assigned));
    world.report(silent, time + 3, {}, { { 1, memberRun(0, 1), RunEnd::LeaseExpired, "late" } });
    world.commit(time + 10);
    checkStarts(startsOn(world, gangSize + 1, time + 11), 2, "e");
}

// Guards against a gang that is started again after as many failed runs as its queue allows, as another member failed each time.
BOOST_AUTO_TEST_CASE(gang_is_given_up_whichever_of_its_members_failed)
{
    GangWorld world;
    for (uint32_t run = 1; run <= 2; ++run) {
        int64_t time = run * 100;
        for (uint32_t index = 0; index < gangSize; ++index)
            world.list(index, "", 20, time + index);
        for (uint32_t index = 0; index < gangSize; ++index)
            world.end(index, index == run ? RunEnd::Failed : RunEnd::GangMemberEnded, "", time + 50 + index);
        world.commit(time + 60);
    }
    for (uint32_t index = 0; index < gangSize; ++index)
        BOOST_TEST(world.progress(index).run_ == 2U);
    BOOST_TEST(world.answer(world.call(GetStatus {}, 301)) == "failed");
}

// Guards against a gang that is given up too early, as several of its members failed in one run.
BOOST_AUTO_TEST_CASE(run_in_which_several_members_failed_counts_as_one_failure)
{
    GangWorld world;
    for (uint32_t index = 0; index < gangSize; ++index)
        world.list(index, "", 20, 30 + index);
    for (uint32_t index = 0; index < gangSize; ++index)
        world.end(index, RunEnd::Failed, "", 50 + index);
    world.commit(60);
    checkStarts(startsOn(world, gangSize + 1, 61), 2, "");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
