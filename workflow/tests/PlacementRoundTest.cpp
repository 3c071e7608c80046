// What one round of placement costs, and what it leaves behind for jobs that cannot be placed.
#include "LeaderWorld.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

static constexpr uint32_t workers = 11;

static std::string jobName(uint32_t number)
{
    return concat("00000000000", 10'000 + number);
}

static void reportAll(LeaderWorld& world, int64_t milliseconds)
{
    world.capacity_ = *Resources::create(64'000, 256'000'000'000, 0);
    for (uint32_t worker = 0; worker < workers; ++worker)
        world.report(concat("w-", 100 + worker), milliseconds);
}

static Step gangOf(uint32_t members, int64_t milliCores = 1000)
{
    Step gang = stepOfTasks(members);
    gang.gang_ = true;
    gang.demand_ = *Resources::create(milliCores, 1000, 0);
    return gang;
}

static size_t assignedTasks(const LeaderWorld& world)
{
    size_t count = 0;
    for (const auto& [incarnation, worker] : world.state_.workers_)
        count += worker.assignedTasks_.size();
    return count;
}

BOOST_AUTO_TEST_SUITE(placement_round)

// Guards against small jobs that stand still, as the leader searches again and again for the members of gangs that do not fit.
BOOST_AUTO_TEST_CASE(gangs_that_do_not_fit_cost_one_look_at_each_worker)
{
    LeaderWorld world;
    reportAll(world, 10);
    for (uint32_t gang = 0; gang < 4; ++gang)
        world.submit({ gangOf(1000) }, 20, jobName(gang));
    world.commit(25);
    for (int64_t time = 100; time < 1000; time += 100) {
        reportAll(world, time);
        BOOST_TEST(world.state_.lastPlacementVisits_ <= 4 * workers);
    }
    world.submit({ stepOfTasks(1) }, 1000, jobName(9));
    BOOST_TEST(assignedTasks(world) == 1U);
}

// Guards against a gang that is placed in part, and against a write in each round for one that waits.
BOOST_AUTO_TEST_CASE(gang_that_waits_leaves_nothing_behind)
{
    LeaderWorld world;
    reportAll(world, 10);
    // Each member fits somewhere, all together do not.
    world.submit({ gangOf(workers + 1, 40'000) }, 20);
    world.commit(25);
    for (int64_t time = 100; time < 500; time += 100) {
        reportAll(world, time);
        BOOST_TEST(world.state_.staged_.empty());
        BOOST_TEST(world.state_.stagedOrder_.empty());
        BOOST_TEST(assignedTasks(world) == 0U);
    }
    for (const auto& [incarnation, worker] : world.state_.workers_)
        BOOST_TEST((worker.reserved_ == Resources()));
}

// Guards against a gang whose first members keep their room, as held room is left for its last ones.
BOOST_AUTO_TEST_CASE(gang_that_finds_no_worker_for_its_last_member_is_withdrawn)
{
    LeaderWorld world;
    reportAll(world, 10);
    TaskKey holder { JobId::of("00000000000000cc"), 0, 0, 0 };
    for (auto& [incarnation, worker] : world.state_.workers_)
        worker.holds_[holder] = { *Resources::create(60'000, 0, 0), 0, at(0), false };
    world.submit({ gangOf(60) }, 20);
    world.commit(25);
    BOOST_TEST(assignedTasks(world) == 0U);
    BOOST_TEST(world.state_.staged_.empty());
    for (auto& [incarnation, worker] : world.state_.workers_) {
        BOOST_TEST((worker.reserved_ == Resources()));
        worker.holds_.clear();
    }
    reportAll(world, 100);
    BOOST_TEST(assignedTasks(world) == 60U);
}

// Guards against a search for gangs that chooses other workers than the search for single tasks.
BOOST_AUTO_TEST_CASE(gang_is_placed_like_single_tasks)
{
    for (bool isLongRunning : { false, true }) {
        std::vector<std::map<WorkerIncarnation, size_t>> placed;
        for (bool isGang : { false, true }) {
            LeaderWorld world;
            for (uint32_t worker = 0; worker < workers; ++worker) {
                world.capacity_ = *Resources::create(20'000 + 7000 * (worker % 4), 256'000'000'000, 0);
                world.report(concat("w-", 100 + worker), 10);
            }
            Step step = gangOf(50, 3000);
            step.gang_ = isGang;
            step.longRunning_ = isLongRunning;
            step.image_ = "search";
            world.submit({ step }, 20);
            BOOST_TEST(assignedTasks(world) == 50U);
            placed.emplace_back();
            for (const auto& [incarnation, worker] : world.state_.workers_)
                placed.back()[incarnation] = worker.assignedTasks_.size();
        }
        BOOST_TEST((placed[0] == placed[1]));
    }
}

// Guards against a leader that answers nobody during a round, and against jobs that no round reaches.
BOOST_AUTO_TEST_CASE(round_ends_at_its_bound_and_the_next_goes_on)
{
    LeaderWorld world;
    world.state_.tuning_.maximumPlacementVisits_ = 20 * workers;
    reportAll(world, 10);
    constexpr uint32_t hopelessJobs = 200;
    for (uint32_t job = 0; job < hopelessJobs; ++job) {
        // A bound per worker, with which no search tells for another job.
        Step step = stepOfTasks(5);
        step.demand_ = *Resources::create(65'000, 1000, 0);
        step.maxPerWorker_ = 1;
        world.submit({ step }, 20, jobName(job));
    }
    world.submit({ stepOfTasks(1) }, 21, jobName(hopelessJobs));
    int64_t startedAt = 0;
    for (int64_t time = 200; time < 4000 && startedAt == 0; time += 200) {
        world.handle(Tick { 1'000'000 + time }, time);
        // One job may go beyond the bound.
        BOOST_TEST(world.state_.lastPlacementVisits_ <= 20 * workers + 5 * workers);
        startedAt = assignedTasks(world) > 0 ? time : 0;
    }
    // Eleven rounds visit all jobs.
    BOOST_TEST(startedAt > 0);
    BOOST_TEST(startedAt <= 2400);
}

// Guards against a successor that hangs in its first round, as its predecessor did.
BOOST_AUTO_TEST_CASE(first_round_after_a_takeover_is_bounded_too)
{
    LeaderWorld predecessor;
    reportAll(predecessor, 10);
    for (uint32_t gang = 0; gang < 4; ++gang)
        predecessor.submit({ gangOf(1000) }, 20, jobName(gang));
    while (!predecessor.state_.stagedOrder_.empty())
        predecessor.commit(25);
    LeaderWorld successor(predecessor.rows(), 2, predecessor.storedBounds_);
    reportAll(successor, 10);
    BOOST_TEST(successor.state_.openJobs_.size() == 4U);
    BOOST_TEST(successor.state_.lastPlacementVisits_ <= 4 * workers);
    successor.submit({ stepOfTasks(1) }, 1100, jobName(9));
    BOOST_TEST(assignedTasks(successor) == 1U);
}

// Guards against jobs whose tasks fill the memory of one leader after another.
BOOST_AUTO_TEST_CASE(tasks_of_all_jobs_are_bounded_after_a_takeover_too)
{
    LeaderWorld world;
    world.state_.tuning_.maximumTasks_ = 2000;
    for (uint32_t job = 0; job < 2; ++job)
        world.submit({ stepOfTasks(1000) }, 20, jobName(job));
    world.commit(25);
    uint64_t refused = world.submit({ stepOfTasks(1) }, 30, jobName(2));
    BOOST_TEST(world.answer(refused) == "not accepted: too many tasks");
    BOOST_TEST(world.state_.jobs_.size() == 2U);
    LeaderWorld successor(world.rows(), 2, world.storedBounds_);
    successor.state_.tuning_.maximumTasks_ = 2000;
    BOOST_TEST(successor.answer(successor.submit({ stepOfTasks(1) }, 30, jobName(2))) == "not accepted: too many tasks");
    // Finished jobs are forgotten after a while.
    for (uint32_t job = 0; job < 2; ++job)
        successor.call(Cancel {}, 40, jobName(job));
    successor.commit(50);
    int64_t retentionMs = std::chrono::duration_cast<std::chrono::milliseconds>(successor.state_.tuning_.finishedJobRetention_).count();
    successor.handle(Tick { 1'000'000 }, retentionMs + 1000);
    BOOST_TEST(successor.state_.taskCount_ == 0U);
    successor.commit(retentionMs + 1001);
    uint64_t accepted = successor.submit({ stepOfTasks(1000) }, retentionMs + 1010, jobName(3));
    successor.commit(retentionMs + 1020);
    BOOST_TEST(successor.answer(accepted) == "accepted");
}

// Guards against log lines whose number and searches grow with the waiting jobs.
BOOST_AUTO_TEST_CASE(log_lines_on_waiting_tasks_are_bounded)
{
    LeaderWorld world;
    reportAll(world, 10);
    for (uint32_t job = 0; job < 100; ++job) {
        Step step = stepOfTasks(1);
        step.longRunning_ = true;
        step.image_ = "search";
        step.demand_ = *Resources::create(65'000 + job, 1000, 0);
        world.submit({ step }, 20, jobName(job));
    }
    while (!world.state_.stagedOrder_.empty())
        world.commit(25);
    reportAll(world, 500);
    size_t before = world.logged("task.waits").size();
    for (int64_t time = 1000; time < 3000; time += 200)
        world.handle(Tick { 1'000'000 + time }, time);
    size_t lines = world.logged("task.waits").size() - before;
    BOOST_TEST(lines > 0U);
    BOOST_TEST(lines <= 3 * world.state_.tuning_.maximumReportedJobs_);
    BOOST_TEST(!world.logged("task.waits_omitted").empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
