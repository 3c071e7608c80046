#include "FillingWorld.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Urgency.h"

namespace persimmondoor::workflow {

namespace {

    const std::string watchJob = "00000000000000aa";

    // A worker of four cores that four tasks of one long-running step fill.
    class WatchedWorld : public LeaderWorld {
    public:
        // \param mayMiss as the step states it.
        explicit WatchedWorld(uint32_t mayMiss)
        {
            state_.tuning_.unstatedMissPercent_ = 0;
            state_.tuning_.maximumStoppedPercent_ = 100;
            report("w-1", 10);
            Step watch = longRunningStep("watch");
            watch.count_ = 4;
            watch.mayMiss_ = mayMiss;
            submit({ watch }, 20, watchJob);
            commit(30);
            lastCompletedOrder_ = OrderNumber(starts("w-1", 31).size());
            reportWatch(100, { 0, 1, 2, 3 });
        }

        // Submits jobs of one task each.
        void submitUrgent(size_t jobs, int64_t milliseconds)
        {
            for (size_t number = 0; number < jobs; ++number)
                submit({ stepOfTasks(1) }, milliseconds, concat("00000000000001", 10 + urgentJobs_++));
            commit(milliseconds + 1);
        }

        // Lets checks pass, with the long-running tasks in `active` at work.
        void pass(int64_t begin, int64_t end, const std::vector<uint32_t>& active)
        {
            for (int64_t time = begin; time <= end; time += 100) {
                reportWatch(time, active);
                handle(Tick { 1'000'000 + time }, time + 1);
                commit(time + 2);
            }
        }

        void reportWatch(int64_t milliseconds, const std::vector<uint32_t>& active)
        {
            std::vector<ActiveRun> runs;
            runs.reserve(active.size());
            for (uint32_t index : active)
                runs.push_back({ { { JobId::of(watchJob), 0, 0, index }, 1 }, "", 100, 0, 100 });
            report("w-1", milliseconds, runs, ends_);
        }

        // Indexes of the long-running tasks that are being stopped.
        std::vector<uint32_t> stopping() const
        {
            std::vector<uint32_t> indexes;
            const std::vector<Task>& tasks = state_.jobs_.at(JobId::of(watchJob)).tasks_;
            for (uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].isStopping_)
                    indexes.push_back(index);
            }
            return indexes;
        }

        std::vector<EndedRun> ends_;

    private:
        size_t urgentJobs_ { 0 };
    };

    UrgentDemand demandOf(int64_t waiting, int64_t free)
    {
        UrgentDemand demand;
        demand.tasks_ = 1;
        demand.demand_ = *Resources::create(waiting, 0, 0);
        demand.onTimeDemand_ = demand.demand_;
        demand.free_ = *Resources::create(free, 0, 0);
        demand.queue_ = "tests";
        return demand;
    }

    bool isRush(const ServiceRoom& room) { return std::holds_alternative<Rush>(room); }

} // namespace

BOOST_AUTO_TEST_SUITE(urgent_room)

// Guards against urgent jobs that all end late, as long-running tasks of their priority keep all cores.
BOOST_AUTO_TEST_CASE(four_urgent_jobs_beside_full_workers_get_the_room_of_the_stated_number)
{
    WatchedWorld world(2);
    world.pass(200, 4000, { 0, 1, 2, 3 });
    world.submitUrgent(4, 4050);
    world.pass(4100, 4900, { 0, 1, 2, 3 });
    BOOST_TEST(world.logged("rush.began").size() == 1U);
    BOOST_TEST(world.stopping().size() == 2U);
    BOOST_REQUIRE(world.logged("run.stop").size() == 2U);
    BOOST_TEST(world.logged("run.stop").front().find("makes room for queue tests") != std::string::npos);
    BOOST_TEST(world.logged("rush.short").front().find("stopped and not back 2") != std::string::npos);
}

// Guards against a shortfall that goes untold because another service has just told its own.
BOOST_AUTO_TEST_CASE(each_service_reports_its_own_shortfall)
{
    WatchedWorld world(2);
    world.state_.urgentRoom_.nextReportAt_["presses"] = at(60'000);
    world.pass(200, 4000, { 0, 1, 2, 3 });
    world.submitUrgent(4, 4050);
    world.pass(4100, 4900, { 0, 1, 2, 3 });
    BOOST_TEST(world.logged("rush.short").size() == 1U);
}

// Guards against more stops than the waiting work needs.
BOOST_AUTO_TEST_CASE(one_urgent_job_takes_the_room_of_one_task)
{
    WatchedWorld world(3);
    world.pass(200, 4000, { 0, 1, 2, 3 });
    world.submitUrgent(1, 4050);
    world.pass(4100, 4900, { 0, 1, 2, 3 });
    BOOST_TEST(world.stopping().size() == 1U);
}

// Guards against stops beyond the stated number, as a task that is away for another cause is not counted.
BOOST_AUTO_TEST_CASE(task_that_is_away_counts_against_the_stated_number)
{
    WatchedWorld world(1);
    world.pass(200, 4000, { 0, 1, 2, 3 });
    world.ends_ = { { 1, { { JobId::of(watchJob), 0, 0, 3 }, 1 }, RunEnd::Failed, "" } };
    world.submitUrgent(4, 4050);
    world.pass(4100, 4900, { 0, 1, 2 });
    BOOST_TEST(world.logged("rush.began").size() == 1U);
    BOOST_TEST(world.stopping().empty());
}

// Guards against stops beyond the stated number, as a task counts as at work that is gone and whose end is not listed yet.
BOOST_AUTO_TEST_CASE(task_that_is_no_longer_listed_counts_against_the_stated_number)
{
    WatchedWorld world(1);
    world.pass(200, 4000, { 0, 1, 2, 3 });
    world.hasAllEnds_ = false;
    world.submitUrgent(4, 4050);
    world.pass(4100, 4900, { 0, 1, 2 });
    BOOST_TEST(world.logged("rush.began").size() == 1U);
    BOOST_TEST(world.stopping().empty());
}

// Guards against stops of tasks whose submitter has stated no number, where the deployment allows none.
BOOST_AUTO_TEST_CASE(step_without_a_number_keeps_its_tasks_unless_a_share_is_allowed)
{
    WatchedWorld world(0);
    world.pass(200, 4000, { 0, 1, 2, 3 });
    world.submitUrgent(4, 4050);
    world.pass(4100, 4900, { 0, 1, 2, 3 });
    BOOST_TEST(world.logged("rush.began").size() == 1U);
    BOOST_TEST(world.stopping().empty());
    world.state_.tuning_.unstatedMissPercent_ = 25;
    world.submitUrgent(4, 4950);
    world.pass(5000, 5400, { 0, 1, 2, 3 });
    BOOST_TEST(world.stopping().size() == 1U);
}

// Guards against a task that is stopped as soon as it is at work again.
BOOST_AUTO_TEST_CASE(task_is_stopped_only_after_some_time_at_work)
{
    WatchedWorld world(2);
    world.submitUrgent(4, 150);
    world.pass(200, 2900, { 0, 1, 2, 3 });
    BOOST_TEST(world.logged("rush.began").size() == 1U);
    BOOST_TEST(world.stopping().empty());
}

// Guards against stops for work that no worker can run.
BOOST_AUTO_TEST_CASE(demand_that_fits_no_worker_begins_no_rush)
{
    WatchedWorld world(2);
    world.pass(200, 4000, { 0, 1, 2, 3 });
    Step huge = stepOfTasks(4);
    huge.demand_ = *Resources::create(5000, 1000, 0);
    world.submit({ huge }, 4050, "00000000000000bb");
    world.commit(4051);
    world.pass(4100, 4900, { 0, 1, 2, 3 });
    BOOST_TEST(world.logged("rush.began").empty());
    BOOST_TEST(world.stopping().empty());
}

// Guards against stops on workers that could not run the waiting work even if they were empty.
BOOST_AUTO_TEST_CASE(tasks_on_workers_too_small_for_the_waiting_work_stay)
{
    WatchedWorld world(2);
    world.pass(200, 4000, { 0, 1, 2, 3 });
    world.capacity_ = *Resources::create(6000, 64000, 0);
    world.report("w-2", 4010);
    Step other = stepOfTasks(1);
    other.demand_ = *Resources::create(4000, 1000, 0);
    world.submit({ other }, 4020, "00000000000000bb");
    world.commit(4021);
    std::vector<RunKey> started = world.starts("w-2", 4022);
    BOOST_REQUIRE(started.size() == 1U);
    Step large = stepOfTasks(1);
    large.demand_ = *Resources::create(5000, 1000, 0);
    world.submit({ large }, 4050, "00000000000000cc");
    world.commit(4051);
    for (int64_t time = 4100; time <= 4900; time += 100) {
        world.capacity_ = *Resources::create(6000, 64000, 0);
        world.report("w-2", time, { { started.front(), "", 1, 0, 100 } });
        world.capacity_ = *Resources::create(4000, 64000, 0);
        world.pass(time, time, { 0, 1, 2, 3 });
    }
    BOOST_TEST(world.logged("rush.began").size() == 1U);
    BOOST_TEST(world.stopping().empty());
}

// Guards against stops for tasks that wait for the bound of their step and not for room.
BOOST_AUTO_TEST_CASE(tasks_beyond_the_bound_of_their_step_are_no_demand)
{
    WatchedWorld world(2);
    world.pass(200, 4000, { 0, 1, 2, 3 });
    world.capacity_ = *Resources::create(1000, 64000, 0);
    world.report("w-2", 4010);
    Step bounded = stepOfTasks(6);
    bounded.maxPerWorker_ = 1;
    bounded.requiredLabel_ = "a";
    world.submit({ bounded }, 4020, "00000000000000bb");
    world.commit(4021);
    std::vector<RunKey> started = world.starts("w-2", 4022);
    BOOST_REQUIRE(started.size() == 1U);
    for (int64_t time = 4100; time <= 5100; time += 100) {
        world.capacity_ = *Resources::create(1000, 64000, 0);
        world.report("w-2", time, { { started.front(), "", 1, 0, 100 } });
        world.capacity_ = *Resources::create(4000, 64000, 0);
        world.pass(time, time, { 0, 1, 2, 3 });
    }
    BOOST_TEST(world.stopping().size() == 1U);
    BOOST_REQUIRE(!world.logged("rush.began").empty());
    BOOST_TEST(world.logged("rush.began").front().find("waiting 1 tasks") != std::string::npos);
}

// Guards against freed room that the stopped task takes again, ahead of the work that it was freed for.
BOOST_AUTO_TEST_CASE(freed_room_goes_to_the_urgent_work)
{
    WatchedWorld world(1);
    world.pass(200, 4000, { 0, 1, 2, 3 });
    world.submitUrgent(2, 4050);
    world.pass(4100, 4500, { 0, 1, 2, 3 });
    BOOST_REQUIRE(world.stopping().size() == 1U);
    uint32_t stopped = world.stopping().front();
    world.lastCompletedOrder_ = OrderNumber(5);
    world.ends_ = { { 1, { { JobId::of(watchJob), 0, 0, stopped }, 1 }, RunEnd::Stopped, "" } };
    std::vector<uint32_t> rest { 0, 1, 2, 3 };
    std::erase(rest, stopped);
    world.reply("w-1", 4550);
    world.pass(4600, 4700, rest);
    std::vector<RunKey> started = world.starts("w-1", 4750);
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started.front().task_.job_.value() != watchJob);
    BOOST_TEST(world.logged("room.held").empty());
}

// Guards against a new leader that stops more while its predecessor's stops take effect.
BOOST_AUTO_TEST_CASE(new_leader_waits_before_it_stops)
{
    WatchedWorld before(1);
    before.pass(200, 4000, { 0, 1, 2, 3 });
    before.submitUrgent(4, 4050);
    before.pass(4100, 4500, { 0, 1, 2, 3 });
    BOOST_REQUIRE(before.stopping().size() == 1U);
    LeaderWorld after(before.rows(), 2);
    std::vector<ActiveRun> runs;
    for (uint32_t index = 0; index < 4; ++index)
        runs.push_back({ { { JobId::of(watchJob), 0, 0, index }, 1 }, "", 100, 0, 100 });
    for (int64_t time = 100; time <= 2000; time += 100) {
        after.report("w-1", time, runs);
        after.handle(Tick { 1'004'500 + time }, time + 1);
    }
    BOOST_TEST(after.logged("rush.began").size() == 1U);
    BOOST_TEST(after.logged("run.stop").empty());
}

// Guards against a rush that begins with each short wait and ends between two of them.
BOOST_AUTO_TEST_CASE(rush_follows_a_shortage_that_lasts_and_outlives_a_gap)
{
    Tuning tuning;
    ServiceRoom room = nextRoom(Calm {}, demandOf(2000, 1000), tuning, at(0));
    BOOST_TEST(!isRush(room));
    BOOST_TEST(std::holds_alternative<Calm>(nextRoom(room, demandOf(1000, 1000), tuning, at(200))));
    room = nextRoom(room, demandOf(2000, 1000), tuning, at(200));
    BOOST_TEST(isRush(room));
    room = nextRoom(room, demandOf(0, 1000), tuning, at(1600));
    BOOST_TEST(isRush(room));
    BOOST_TEST(!isRush(nextRoom(room, demandOf(0, 1000), tuning, at(1800))));
}

// Guards against long-running tasks that wait without end, as urgent work never has enough.
BOOST_AUTO_TEST_CASE(endless_shortage_gives_long_running_tasks_their_turn)
{
    Tuning tuning;
    ServiceRoom room = Calm {};
    std::vector<int64_t> turns;
    for (int64_t time = 0; time < 60'000; time += 200) {
        room = nextRoom(room, demandOf(2000, 0), tuning, at(time));
        if (std::holds_alternative<RushPause>(room))
            turns.push_back(time);
    }
    BOOST_TEST(turns.size() * 200 >= 8'000U);
    BOOST_TEST(turns.size() * 200 <= 12'000U);
}

// Guards against a queue that takes all room of a rush while another of the same priority waits.
BOOST_AUTO_TEST_CASE(queue_with_the_smaller_share_comes_first_in_a_rush)
{
    WatchedWorld world(0);
    Job large = world.state_.jobs_.at(JobId::of(watchJob));
    Job small = large;
    for (Job* job : { &large, &small })
        job->record_.spec_ = *JobSpec::create("spec", { stepOfTasks(1) }, {});
    large.queue_.name_ = "large";
    small.queue_.name_ = "small";
    small.record_.id_ = JobId::of("00000000000000ff");
    BOOST_TEST((urgencyOf(world.state_, large) < urgencyOf(world.state_, small)));
    world.state_.urgentRoom_.services_["packs"] = Rush { at(0), at(0), 0, "large", { { "large", 500 }, { "small", 20 } } };
    BOOST_TEST((urgencyOf(world.state_, small) < urgencyOf(world.state_, large)));
    BOOST_TEST((urgencyOf(world.state_, large) < urgencyOf(world.state_, world.state_.jobs_.at(JobId::of(watchJob)))));
}

// Guards against a change of the order where no work is short of room.
BOOST_AUTO_TEST_CASE(long_running_tasks_count_as_on_time_outside_a_rush)
{
    WatchedWorld world(2);
    const Job& watch = world.state_.jobs_.at(JobId::of(watchJob));
    BOOST_TEST((urgencyOf(world.state_, watch).prospect_ == Prospect::OnTime));
    world.state_.urgentRoom_.services_["packs"] = Rush { at(0), at(0), 1, "tests", {} };
    BOOST_TEST((urgencyOf(world.state_, watch).prospect_ == Prospect::OnTime));
    world.state_.urgentRoom_.services_["packs"] = Rush { at(0), at(0), 0, "tests", {} };
    BOOST_TEST((urgencyOf(world.state_, watch).prospect_ == Prospect::Yielding));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
