#include "LeaderWorld.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

static const JobId job = JobId::of("00000000000000aa");

static RunKey runOf(uint32_t index, uint32_t run = 1)
{
    return { { job, 0, 0, index }, run };
}

// Steps of two tasks in which each amount, each bound and the kind of the tasks vary, with 0 among the values.
static std::vector<Step> stepsWithZeros()
{
    std::vector<Step> steps;
    for (uint32_t choice = 0; choice < 64; ++choice) {
        Step step;
        step.count_ = 2;
        step.demand_ = *Resources::create((choice & 1) != 0 ? 1000 : 0, (choice & 2) != 0 ? 1000 : 0, (choice & 4) != 0 ? 1 : 0);
        step.isFilling_ = (choice & 8) != 0;
        step.longRunning_ = (choice & 16) != 0;
        step.targetTailMs_ = (choice & 32) != 0 ? 18 : 0;
        step.image_ = step.isFilling_ || step.longRunning_ ? "heavy" : "";
        steps.push_back(std::move(step));
    }
    return steps;
}

static std::string describeStep(const Step& step)
{
    return concat(step.demand_.milliCores(), " thousandths of a core, ", step.demand_.memoryBytes(), " bytes, ", step.demand_.accelerators(), " accelerators", step.isFilling_ ? ", filling" : "", step.longRunning_ ? ", long-running" : "", step.targetTailMs_ > 0 ? ", with a target" : "");
}

// What the leader counts on the worker for its assigned tasks.
static bool countsNothing(const Worker& worker)
{
    return worker.assignedTasks_.empty() && worker.stoppingRuns_.empty() && worker.reserved_ == Resources() && worker.fillingMilliCores_ == 0 && worker.throttledMilliCores_ == 0 && worker.fillingByImage_.empty()
        && worker.longRunningCount_ == 0 && worker.longRunningReserved_ == Resources() && worker.longRunningByImage_.empty() && worker.targetedByImage_.empty() && worker.holds_.empty() && worker.suspects_.empty();
}

class ZeroWorld : public LeaderWorld {
public:
    explicit ZeroWorld(std::vector<StoredJob> rows = {}, uint64_t epoch = 1)
        : LeaderWorld(std::move(rows), epoch)
    {
        capacity_ = *Resources::create(4000, 1'000'000, 4);
    }

    void begin(const Step& step)
    {
        report("w-1", 5);
        submit({ step }, 10);
        commit(20);
        BOOST_REQUIRE(starts("w-1", 21).size() == 2U);
        lastCompletedOrder_ = OrderNumber(2);
        readingNumber_ = 1;
        report("w-1", 30, { { runOf(0), "", 100, 0, 50 }, { runOf(1), "", 100, 0, 50 } });
        commit(31);
    }
    // Cancels the job and lists the ends of both runs, one after the other.
    void endOneByOne()
    {
        call(Cancel {}, 40);
        commit(41);
        report("w-1", 50, { { runOf(1), "", 100, 0, 50 } }, { { 1, runOf(0), RunEnd::Stopped, "" } });
        commit(51);
        report("w-1", 60, {}, { { 2, runOf(1), RunEnd::Stopped, "" } });
        commit(61);
        lastCompletedOrder_ = OrderNumber(20);
        report("w-1", 70);
    }
};

BOOST_AUTO_TEST_SUITE(zero_amounts)

// Guards against a leader that hangs as the second task that asks for no cores leaves a worker: the counts by image are removed with
// the last task and not with the last core.
BOOST_AUTO_TEST_CASE(nothing_is_counted_on_a_worker_after_its_tasks_have_ended)
{
    for (const Step& step : stepsWithZeros()) {
        BOOST_TEST_CONTEXT(describeStep(step))
        {
            ZeroWorld world;
            world.begin(step);
            BOOST_TEST(world.state_.workers_.begin()->second.assignedTasks_.size() == 2U);
            world.endOneByOne();
            BOOST_TEST(countsNothing(world.state_.workers_.begin()->second));
        }
    }
}

// Guards against the same in each successor, which restores the counts from the rows.
BOOST_AUTO_TEST_CASE(nothing_is_counted_after_a_takeover_once_the_tasks_have_ended)
{
    for (const Step& step : stepsWithZeros()) {
        BOOST_TEST_CONTEXT(describeStep(step))
        {
            ZeroWorld former;
            former.begin(step);
            ZeroWorld world(former.rows(), 2);
            const Worker& restored = world.state_.workers_.begin()->second;
            const Worker& counted = former.state_.workers_.begin()->second;
            BOOST_TEST((restored.reserved_ == counted.reserved_));
            BOOST_TEST((restored.fillingByImage_ == counted.fillingByImage_));
            BOOST_TEST((restored.longRunningByImage_ == counted.longRunningByImage_));
            world.report("w-1", 35, { { runOf(0), "", 100, 0, 50 }, { runOf(1), "", 100, 0, 50 } });
            world.endOneByOne();
            BOOST_TEST(countsNothing(world.state_.workers_.begin()->second));
        }
    }
}

// Guards against the same as a worker crashes and its tasks go to another one.
BOOST_AUTO_TEST_CASE(tasks_move_to_another_worker_after_a_crash)
{
    for (const Step& step : stepsWithZeros()) {
        BOOST_TEST_CONTEXT(describeStep(step))
        {
            ZeroWorld world;
            world.begin(step);
            world.lastCompletedOrder_ = OrderNumber();
            world.report("w-2", 35);
            world.bornMs_ = 2000;
            world.endedWorkers_ = { { "w-1", 1000, "" } };
            world.report("w-1", 100);
            world.commit(101);
            size_t assigned = 0;
            for (const auto& [incarnation, worker] : world.state_.workers_)
                assigned += worker.assignedTasks_.size();
            BOOST_TEST(world.state_.workers_.size() == 2U);
            BOOST_TEST(assigned == 2U);
        }
    }
}

// Guards against a division by the size of a worker that announces none.
BOOST_AUTO_TEST_CASE(worker_without_capacity_takes_part_in_placement)
{
    for (const Step& step : stepsWithZeros()) {
        BOOST_TEST_CONTEXT(describeStep(step))
        {
            ZeroWorld world;
            world.capacity_ = Resources();
            world.report("w-1", 5);
            world.submit({ step }, 10);
            world.commit(20);
            bool fits = step.demand_ == Resources();
            BOOST_TEST(world.starts("w-1", 21).size() == (fits ? 2U : 0U));
            for (int64_t time = 200; time <= 2000; time += 200) {
                world.report("w-1", time);
                world.handle(Tick { 1'000'000 + time }, time);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
