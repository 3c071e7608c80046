// Tasks that name a rack, and gangs that have to be on one, as the leader places them: the waits for near places.
#include "LeaderWorld.h"

namespace persimmondoor::workflow {

static const std::string firstJob = "00000000000000a1";
static const std::string secondJob = "00000000000000a2";

// Workers with the racks that they are on.
using Racks = std::vector<std::pair<std::string, std::string>>;

// Workers of one core each, with the racks that they are on. Their reports and the writes of the rows come together.
class RackWorld : public LeaderWorld {
public:
    explicit RackWorld(Racks rackByWorker)
        : RackWorld(std::move(rackByWorker), {}, {}, 1, 2000)
    {
    }

    // A new leader, with the predecessor's rows and workers.
    static RackWorld successorOf(const RackWorld& predecessor) { return RackWorld(predecessor.rackByWorker_, predecessor.active_, predecessor.rows(), 2, 100); }

    // Lets the time pass in steps of 50 ms.
    void pass(int64_t milliseconds)
    {
        for (int64_t end = now_ + milliseconds; now_ <= end; now_ += 50) {
            handle(Tick { 1'000'000 + now_ }, now_);
            for (const auto& [worker, rack] : rackByWorker_)
                reportWorker(worker, rack, {});
        }
        now_ -= 50;
    }

    void submitJob(const std::string& id, Step step)
    {
        submit({ std::move(step) }, now_, id);
        pass(0);
    }

    // The run of the worker ends as done.
    void end(const std::string& worker)
    {
        RunKey run = *active_.at(worker).begin();
        active_.at(worker).clear();
        for (const auto& [name, rack] : rackByWorker_) {
            if (name == worker)
                reportWorker(name, rack, { { ++lastEnd_[worker], run, RunEnd::Done, "" } });
        }
        pass(50);
    }

    // The jobs of the runs on the worker.
    std::vector<std::string> jobsOn(const std::string& worker) const
    {
        std::vector<std::string> jobs;
        if (auto found = active_.find(worker); found != active_.end()) {
            for (const RunKey& run : found->second)
                jobs.push_back(run.task_.job_.value());
        }
        return jobs;
    }
    bool runs(const std::string& worker, const std::string& job) const { return jobsOn(worker) == std::vector<std::string> { job }; }
    size_t runsOf(const std::string& job) const
    {
        size_t count = 0;
        for (const auto& [worker, rack] : rackByWorker_)
            count += runs(worker, job) ? 1 : 0;
        return count;
    }
    // Tasks that are assigned to a worker, whether it has listed their runs or not.
    int64_t assignedTasksOf(const std::string& job) const
    {
        const std::vector<Task>& tasks = state_.jobs_.at(JobId::of(job)).tasks_;
        return std::count_if(tasks.begin(), tasks.end(), [](const Task& task) { return task.progress_.phase_ == TaskPhase::Assigned; });
    }
    size_t waits() const { return state_.nearPlaces_.waits_.size(); }

    std::set<std::string> draining_;
    // Workers that do not carry out the starts that they are ordered.
    std::set<std::string> ignoring_;

private:
    RackWorld(Racks rackByWorker, std::map<std::string, std::set<RunKey>> active, std::vector<StoredJob> rows, uint64_t epoch, int64_t begin)
        : LeaderWorld(std::move(rows), epoch)
        , rackByWorker_(std::move(rackByWorker))
        , now_(begin)
        , active_(std::move(active))
    {
        state_.tuning_.farFactor_ = 3;
        capacity_ = *Resources::create(1000, 1'000'000, 0);
        pass(0);
    }

    void reportWorker(const std::string& worker, const std::string& rack, std::vector<EndedRun> ended)
    {
        std::vector<ActiveRun> active;
        for (const RunKey& run : active_[worker])
            active.push_back({ run, "", static_cast<uint32_t>(now_ / 50 % 99 + 1), 0, 100 });
        rack_ = rack;
        domain_ = "domain-" + rack;
        LeaderWorld::draining_ = draining_.count(worker) > 0;
        report(worker, now_, std::move(active), std::move(ended));
        commit(now_);
        for (const auto& [other, otherRack] : rackByWorker_) {
            if (state_.agents_.count(other) == 0 || ignoring_.count(other) > 0)
                continue;
            for (const RunKey& run : starts(other, now_)) {
                if (state_.jobs_.at(run.task_.job_).tasks_[run.task_.index_].progress_.phase_ == TaskPhase::Assigned)
                    active_[other].insert(run);
            }
        }
    }

    Racks rackByWorker_;
    int64_t now_ { 0 };
    std::map<std::string, std::set<RunKey>> active_;
    std::map<std::string, uint64_t> lastEnd_;
};

static Step dataStep(uint32_t count, int64_t estimateMs, const std::string& rack = "r1")
{
    Step step = stepOfTasks(count);
    step.estimate_ = std::chrono::milliseconds(estimateMs);
    step.dataRack_ = rack;
    return step;
}

static Step rackGang(uint32_t count, int64_t estimateMs)
{
    Step gang = dataStep(count, estimateMs, "");
    gang.gang_ = true;
    gang.rackSensitive_ = true;
    return gang;
}

// A worker on the rack of the data, which is at work for 800 ms, and an idle one on another rack.
class BusyNearWorld : public RackWorld {
public:
    BusyNearWorld()
        : RackWorld(Racks { { "near", "r1" }, { "far", "r2" } })
    {
        submitJob(firstJob, dataStep(1, 800));
        pass(500);
        BOOST_REQUIRE(runs("near", firstJob));
    }
};

BOOST_AUTO_TEST_SUITE(near_waits)

BOOST_AUTO_TEST_CASE(near_place_free_soon_is_awaited)
{
    BusyNearWorld world;
    world.submitJob(secondJob, dataStep(1, 800));
    BOOST_TEST(world.runsOf(secondJob) == 0U);
    BOOST_TEST(world.waits() == 1U);
    world.pass(200);
    world.end("near");
    BOOST_TEST(world.runs("near", secondJob));
    BOOST_TEST(world.waits() == 0U);
    BOOST_TEST(world.logged("place.wait_began").size() == 1U);
    BOOST_REQUIRE(world.logged("place.wait_ended").size() == 1U);
    BOOST_TEST(world.logged("place.wait_ended").front().rfind("won", 0) == 0U);
    BOOST_TEST(world.state_.nearPlaces_.cost_.near_.runs_ == 1U);
}

BOOST_AUTO_TEST_CASE(cost_of_one_starts_at_once)
{
    BusyNearWorld world;
    world.state_.tuning_.farFactor_ = 1;
    world.submitJob(secondJob, dataStep(1, 800));
    BOOST_TEST(world.runs("far", secondJob));
    BOOST_TEST((world.state_.nearPlaces_ == NearPlaces {}));
}

BOOST_AUTO_TEST_CASE(near_place_that_is_never_free_is_not_awaited)
{
    RackWorld world(Racks { { "near", "r1" }, { "far", "r2" } });
    Step service = dataStep(1, 800);
    service.longRunning_ = true;
    world.submitJob(firstJob, service);
    world.pass(500);
    BOOST_REQUIRE(world.runs("near", firstJob));
    world.submitJob(secondJob, dataStep(1, 800));
    BOOST_TEST(world.runs("far", secondJob));
}

BOOST_AUTO_TEST_CASE(short_task_does_not_wait)
{
    BusyNearWorld world;
    world.submitJob(secondJob, dataStep(1, 20));
    BOOST_TEST(world.runs("far", secondJob));
}

// Guards against a queue for one rack that grows without end, and against tasks that all run far.
BOOST_AUTO_TEST_CASE(hot_rack_is_shared_between_waits_and_far_runs)
{
    RackWorld world(Racks { { "near", "r1" }, { "far-1", "r2" }, { "far-2", "r2" }, { "far-3", "r3" }, { "far-4", "r3" } });
    world.submitJob(firstJob, dataStep(1, 800));
    world.pass(500);
    world.submitJob(secondJob, dataStep(5, 800));
    // A near run saves 1600 ms: it pays to wait for the first two places, after 300 and 1100 ms.
    BOOST_TEST(world.waits() == 2U);
    BOOST_TEST(world.runsOf(secondJob) == 3U);
}

// Guards against a far start as the forecast still counts a near place that a task of the same round has just taken.
BOOST_AUTO_TEST_CASE(place_taken_in_the_same_round_does_not_count)
{
    RackWorld world(Racks { { "near-1", "r1" }, { "near-2", "r1" }, { "far-1", "r2" }, { "far-2", "r2" } });
    world.submitJob(firstJob, dataStep(2, 800));
    world.pass(500);
    world.submitJob(secondJob, dataStep(2, 800));
    BOOST_REQUIRE(world.waits() == 2U);
    world.end("near-1");
    BOOST_TEST(world.runsOf(secondJob) == 1U);
    BOOST_TEST(world.waits() == 1U);
}

BOOST_AUTO_TEST_CASE(evacuated_rack_ends_the_waits_for_it)
{
    BusyNearWorld world;
    world.submitJob(secondJob, dataStep(1, 800));
    BOOST_REQUIRE(world.waits() == 1U);
    world.handle(EvacuationsChanged { { "domain-r1" } }, 2500);
    BOOST_TEST(world.waits() == 0U);
    BOOST_TEST(world.logged("place.wait_ended").back().find("no worker of the rack can take it") != std::string::npos);
    world.pass(50);
    BOOST_TEST(world.runs("far", secondJob));
}

BOOST_AUTO_TEST_CASE(rack_whose_workers_leave_is_not_awaited_any_more)
{
    BusyNearWorld world;
    world.submitJob(secondJob, dataStep(1, 800));
    BOOST_REQUIRE(world.waits() == 1U);
    world.draining_ = { "near" };
    world.pass(50);
    BOOST_TEST(world.runs("far", secondJob));
}

BOOST_AUTO_TEST_CASE(cancelled_job_ends_its_wait)
{
    BusyNearWorld world;
    world.submitJob(secondJob, dataStep(1, 800));
    BOOST_REQUIRE(world.waits() == 1U);
    world.call(Cancel {}, 2550, secondJob);
    world.pass(50);
    BOOST_TEST(world.waits() == 0U);
    BOOST_TEST(world.runsOf(secondJob) == 0U);
}

// Guards against a job that stands still beside free room, as the run that it waits for outlasts its estimate.
BOOST_AUTO_TEST_CASE(standing_job_is_not_held_back)
{
    BusyNearWorld world;
    world.submitJob(secondJob, dataStep(1, 8000));
    BOOST_REQUIRE(world.waits() == 1U);
    world.pass(850);
    BOOST_TEST(world.runs("far", secondJob));
    BOOST_TEST(world.waits() == 0U);
}

// Guards against a job that stands still beside free room, as its only run has been ordered and is never carried out.
BOOST_AUTO_TEST_CASE(start_that_is_not_carried_out_does_not_count_as_work_for_long)
{
    RackWorld world(Racks { { "near", "r1" }, { "far-1", "r2" }, { "far-2", "r2" } });
    world.submitJob(firstJob, dataStep(1, 3000));
    world.pass(100);
    BOOST_REQUIRE(world.runs("near", firstJob));
    world.ignoring_ = { "far-1", "far-2" };
    world.submitJob(secondJob, dataStep(2, 4000));
    BOOST_REQUIRE(world.waits() == 1U);
    world.pass(900);
    BOOST_TEST(world.waits() == 0U);
    BOOST_TEST(world.assignedTasksOf(secondJob) == 2U);
}

BOOST_AUTO_TEST_CASE(job_at_work_waits_for_longer_than_a_standing_one)
{
    RackWorld world(Racks { { "near-1", "r1" }, { "near-2", "r1" }, { "far", "r2" } });
    world.submitJob(firstJob, dataStep(1, 3000));
    world.pass(100);
    world.submitJob(secondJob, dataStep(2, 4000));
    world.pass(1500);
    BOOST_TEST(world.runsOf(secondJob) == 1U);
    BOOST_TEST(world.jobsOn("far").empty());
    world.end(world.runs("near-1", firstJob) ? "near-1" : "near-2");
    BOOST_TEST(world.runsOf(secondJob) == 2U);
    BOOST_TEST(world.jobsOn("far").empty());
}

// Guards against a takeover that lets a job stand still anew: its new leader does not know for how long it has.
BOOST_AUTO_TEST_CASE(new_leader_does_not_hold_a_standing_job_back)
{
    BusyNearWorld world;
    world.submitJob(secondJob, dataStep(1, 800));
    BOOST_REQUIRE(world.waits() == 1U);
    RackWorld successor = RackWorld::successorOf(world);
    BOOST_TEST((successor.state_.nearPlaces_ == NearPlaces {}));
    successor.pass(50);
    BOOST_TEST(successor.runs("far", secondJob));
    BOOST_TEST(successor.waits() == 0U);
}

// Guards against a start that is ordered although its write has failed: a wait leaves nothing to write.
BOOST_AUTO_TEST_CASE(wait_writes_nothing)
{
    BusyNearWorld world;
    world.submitJob(secondJob, dataStep(1, 800));
    BOOST_REQUIRE(world.waits() == 1U);
    world.handle(StoreFailed {}, 2550);
    world.handle(Tick { 1'002'560 }, 2560);
    BOOST_TEST(world.state_.stagedOrder_.empty());
    BOOST_TEST(world.waits() == 1U);
}

// Guards against long-running tasks that are stopped for tasks that leave free room unused.
BOOST_AUTO_TEST_CASE(waits_for_near_places_are_no_shortage_of_room)
{
    RackWorld world(Racks { { "near", "r1" }, { "far-1", "r2" }, { "far-2", "r2" }, { "watch", "r3" } });
    Step watch = dataStep(1, 800, "r3");
    watch.longRunning_ = true;
    watch.requiredLabel_ = "r3";
    world.submitJob("00000000000000a0", watch);
    world.submitJob(firstJob, dataStep(1, 3000));
    world.pass(100);
    BOOST_REQUIRE(world.runs("near", firstJob));
    world.submitJob(secondJob, dataStep(3, 4000));
    world.pass(800);
    BOOST_TEST(world.waits() == 2U);
    BOOST_TEST(world.logged("rush.began").empty());
}

BOOST_AUTO_TEST_CASE(gang_is_placed_on_one_rack)
{
    RackWorld world(Racks { { "a-1", "r1" }, { "a-2", "r1" }, { "b-1", "r2" }, { "b-2", "r2" }, { "b-3", "r2" } });
    world.submitJob(firstJob, rackGang(3, 800));
    for (const char* worker : { "b-1", "b-2", "b-3" })
        BOOST_TEST(world.runs(worker, firstJob), worker);
}

BOOST_AUTO_TEST_CASE(gang_waits_for_a_rack_that_has_room_soon)
{
    RackWorld world(Racks { { "a-1", "r1" }, { "b-1", "r2" }, { "b-2", "r2" } });
    world.submitJob(firstJob, dataStep(1, 800, "r2"));
    world.pass(500);
    world.submitJob(secondJob, rackGang(2, 800));
    BOOST_TEST(world.runsOf(secondJob) == 0U);
    BOOST_TEST(world.waits() == 1U);
    world.end(world.runs("b-1", firstJob) ? "b-1" : "b-2");
    BOOST_TEST(world.runs("b-1", secondJob));
    BOOST_TEST(world.runs("b-2", secondJob));
    BOOST_TEST(world.waits() == 0U);
}

// Guards against a gang on several racks as the first rack with room is closed to it for a reason that no forecast knows.
BOOST_AUTO_TEST_CASE(gang_is_placed_on_the_next_rack_where_the_first_is_closed_to_it)
{
    RackWorld world(Racks { { "a-1", "r1" }, { "a-2", "r1" }, { "b-1", "r2" }, { "b-2", "r2" } });
    for (auto& [incarnation, worker] : world.state_.workers_) {
        if (incarnation.name_ == "a-1")
            worker.backoffUntil_ = at(60'000);
    }
    world.submitJob(firstJob, rackGang(2, 800));
    BOOST_TEST(world.runs("b-1", firstJob));
    BOOST_TEST(world.runs("b-2", firstJob));
}

// Guards against a gang on several racks as a rack counts as open whose workers may not take that many members.
BOOST_AUTO_TEST_CASE(gang_with_a_bound_per_worker_waits_for_a_rack_with_enough_workers)
{
    RackWorld world(Racks { { "a-1", "r1" }, { "b-1", "r2" }, { "b-2", "r2" } });
    world.submitJob(firstJob, dataStep(1, 800, "r2"));
    world.pass(500);
    Step gang = rackGang(2, 800);
    gang.demand_ = *Resources::create(500, 1000, 0);
    gang.maxPerWorker_ = 1;
    world.submitJob(secondJob, gang);
    BOOST_TEST(world.runsOf(secondJob) == 0U);
    BOOST_TEST(world.waits() == 1U);
}

// Guards against forecasts of all racks in each round for gangs that have no room on any.
BOOST_AUTO_TEST_CASE(gang_without_room_on_several_racks_begins_no_wait)
{
    RackWorld world(Racks { { "a-1", "r1" }, { "b-1", "r2" }, { "b-2", "r2" } });
    world.submitJob(firstJob, dataStep(2, 800, "r2"));
    world.pass(500);
    world.submitJob(secondJob, rackGang(2, 800));
    BOOST_TEST(world.waits() == 0U);
    world.end("b-1");
    BOOST_TEST(world.waits() == 1U);
    world.end("b-2");
    BOOST_TEST(world.runs("b-1", secondJob));
    BOOST_TEST(world.runs("b-2", secondJob));
}

BOOST_AUTO_TEST_CASE(gang_without_a_rack_for_all_members_is_split)
{
    RackWorld world(Racks { { "a-1", "r1" }, { "b-1", "r2" }, { "b-2", "r2" } });
    world.submitJob(firstJob, rackGang(3, 800));
    BOOST_TEST(world.runsOf(firstJob) == 3U);
}

BOOST_AUTO_TEST_CASE(wait_is_a_reason_for_which_a_job_stands_still)
{
    BusyNearWorld world;
    world.state_.tuning_.reportJobWaitAfter_ = std::chrono::milliseconds(100);
    world.submitJob(secondJob, dataStep(1, 8000));
    world.pass(300);
    BOOST_REQUIRE(!world.logged("job.waits").empty());
    BOOST_TEST(world.logged("job.waits").back().find("reasons: 1 a near place") != std::string::npos);
    BOOST_TEST(world.logged("job.waits").back().find("waits for a near place until ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
