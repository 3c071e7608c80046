#include "FillingWorld.h"

namespace persimmondoor::workflow {

namespace {

    const std::string suspectJob = "00000000000000aa";
    const std::string otherJob = "00000000000000bb";

    // Two workers; the test lets them run tasks, read their load, and crash.
    class CrashWorld : public LeaderWorld {
    public:
        explicit CrashWorld(std::vector<StoredJob> rows = {}, uint64_t epoch = 1)
            : LeaderWorld(std::move(rows), epoch)
        {
            if (epoch == 1)
                reportWorkers();
        }

        // Reports both workers with the runs started on them.
        void reportWorkers()
        {
            now_ += 100;
            for (const auto& [name, born] : born_) {
                bornMs_ = born;
                lastCompletedOrder_ = completed_[name];
                report(name, now_, active_[name]);
            }
        }

        // A new load reading of all workers, which shows that they have outlived the starts.
        void read()
        {
            now_ += 300;
            ++readingNumber_;
            recent_.clear();
            reportWorkers();
        }

        // Writes all decisions and starts the ordered runs.
        // \return the worker that started a run of the job; empty if none did.
        std::string start(const std::string& job)
        {
            now_ += 100;
            std::string chosen;
            commit(now_);
            for (const auto& [name, born] : born_) {
                for (const RunKey& run : starts(name, now_ + 1)) {
                    active_[name].push_back({ run, "", 10, 0, 100 });
                    recent_[name].push_back(run);
                    completed_[name] = completed_[name].next();
                    ++startsByJob_[run.task_.job_.value()];
                    if (run.task_.job_.value() == job)
                        chosen = name;
                }
            }
            return chosen;
        }

        // The worker restarts, and its agent reports the runs that had just been started there.
        void crash(const std::string& worker, bool areStartsConfirmed = true)
        {
            now_ += 3000;
            endedWorkers_ = { { worker, born_[worker], host_ } };
            crashedRuns_ = recent_[worker];
            if (!areStartsConfirmed)
                unconfirmedStarts_ = { crashedRuns_.begin(), crashedRuns_.end() };
            bornMs_ = born_[worker] = 1000 + now_;
            active_[worker].clear();
            recent_[worker].clear();
            lastCompletedOrder_ = completed_[worker];
            report(worker, now_);
            // Agents repeat this for some time.
            report(worker, now_ + 1);
            endedWorkers_.clear();
            crashedRuns_.clear();
            unconfirmedStarts_.clear();
            reportWorkers();
        }

        // The worker lists the ends.
        void endRuns(const std::string& worker, std::vector<EndedRun> ends)
        {
            now_ += 10;
            bornMs_ = born_[worker];
            lastCompletedOrder_ = completed_[worker];
            report(worker, now_, active_[worker], std::move(ends));
        }

        // Starts the job and lets the worker that runs it crash, `times` times or until it is no longer started.
        void crashUnder(const std::string& job, int times, bool areStartsConfirmed = true)
        {
            for (int count = 0; count < times; ++count) {
                std::string worker = start(job);
                if (worker.empty())
                    return;
                // Otherwise the agent has not reached the worker since, and its order is open.
                if (areStartsConfirmed)
                    reportWorkers();
                crash(worker, areStartsConfirmed);
            }
        }

        uint32_t crashesOf(const std::string& job) const { return state_.jobs_.at(JobId::of(job)).tasks_.front().progress_.crashes_; }
        bool hasFailed(const std::string& job) const { return state_.jobs_.at(JobId::of(job)).hasFailed_; }

        int64_t now_ { 0 };
        std::map<std::string, uint32_t> startsByJob_;
        std::map<std::string, std::vector<ActiveRun>> active_;
        std::map<std::string, std::vector<RunKey>> recent_;

    private:
        std::map<std::string, int64_t> born_ { { "w-1", 1000 }, { "w-2", 1000 } };
        std::map<std::string, OrderNumber> completed_;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(crashes)

// Guards against a task that crashes one worker after the other without end.
BOOST_AUTO_TEST_CASE(task_that_crashes_its_workers_is_given_up)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    world.crashUnder(suspectJob, 10);
    BOOST_TEST(world.hasFailed(suspectJob));
    // No other run had just started on either worker, so that two crashes show the fault.
    BOOST_TEST(world.startsByJob_[suspectJob] == 2U);
    world.commit(world.now_ + 10);
    BOOST_TEST(world.answer(world.call(GetStatus {}, world.now_ + 20, suspectJob)).find("failed") != std::string::npos);
}

// Guards against a job that is given up although no worker has begun its task: each had crashed just before the order arrived.
BOOST_AUTO_TEST_CASE(task_whose_starts_may_not_have_arrived_is_not_given_up_after_two_crashes)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    world.crashUnder(suspectJob, 2, false);
    BOOST_TEST(world.startsByJob_[suspectJob] == 2U);
    BOOST_TEST(world.crashesOf(suspectJob) == 2U);
    BOOST_TEST(!world.hasFailed(suspectJob));
    std::string worker = world.start(suspectJob);
    BOOST_REQUIRE(!worker.empty());
    world.reportWorkers();
    for (int reading = 0; reading < 3; ++reading)
        world.read();
    BOOST_TEST(world.crashesOf(suspectJob) == 0U);
}

// Guards against a series of late crashes that counts runs which may not have begun.
BOOST_AUTO_TEST_CASE(loss_after_an_unconfirmed_start_is_in_no_series)
{
    for (bool isConfirmed : { false, true }) {
        CrashWorld world;
        world.submit({ stepOfTasks(1) }, 110, suspectJob);
        world.crashUnder(suspectJob, 1, isConfirmed);
        const TaskProgress& progress = world.state_.jobs_.at(JobId::of(suspectJob)).tasks_.front().progress_;
        BOOST_TEST(progress.crashSeries_.count_ == (isConfirmed ? 1U : 0U));
    }
}

// Guards against a task that crashes each worker before it answers, and is started without end. At most two starts may follow the third
// crash (stated by the platform).
BOOST_AUTO_TEST_CASE(task_that_crashes_its_workers_before_they_answer_is_given_up)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    world.crashUnder(suspectJob, 10, false);
    BOOST_TEST(world.hasFailed(suspectJob));
    BOOST_TEST(world.startsByJob_[suspectJob] <= 5U);
}

// Guards against unconfirmed starts that hide what a confirmed one shows.
BOOST_AUTO_TEST_CASE(confirmed_crashes_count_beside_unconfirmed_ones)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    world.crashUnder(suspectJob, 1, false);
    world.crashUnder(suspectJob, 1);
    BOOST_TEST(!world.hasFailed(suspectJob));
    world.crashUnder(suspectJob, 1);
    BOOST_TEST(world.hasFailed(suspectJob));
}

// Guards against a task that crashes workers and is never given up, as others always start beside it.
BOOST_AUTO_TEST_CASE(task_that_crashes_its_workers_beside_others_is_given_up_after_three_crashes)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    // Too many for the workers, so that each start is accompanied by others.
    world.submit({ stepOfTasks(40) }, 111, otherJob);
    world.state_.tuning_.maximumObservedPercent_ = 0;
    for (int count = 0; count < 10 && !world.hasFailed(suspectJob); ++count) {
        std::string worker = world.start(suspectJob);
        world.reportWorkers();
        world.crash(worker.empty() ? "w-1" : worker);
    }
    BOOST_TEST(world.hasFailed(suspectJob));
    BOOST_TEST(world.startsByJob_[suspectJob] <= 3U);
}

// Guards against a job that is given up although it was only near when its worker crashed.
BOOST_AUTO_TEST_CASE(run_that_outlived_its_start_is_not_blamed)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    // In turns past the age at which the previous run was lost, and well before it.
    for (int readings : { 2, 12, 2, 12, 2, 12 }) {
        std::string worker = world.start(suspectJob);
        BOOST_REQUIRE(!worker.empty());
        for (int reading = 0; reading < readings; ++reading)
            world.read();
        world.crash(worker);
        BOOST_TEST(world.crashesOf(suspectJob) == 0U);
    }
    BOOST_TEST(!world.hasFailed(suspectJob));
}

// Guards against crashes that add up over the life of a task that is not at fault.
BOOST_AUTO_TEST_CASE(run_that_outlives_its_start_clears_its_task)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    world.crashUnder(suspectJob, 1);
    BOOST_TEST(world.crashesOf(suspectJob) == 1U);
    std::string worker = world.start(suspectJob);
    world.read();
    BOOST_TEST(world.crashesOf(suspectJob) == 1U);
    world.read();
    BOOST_TEST(world.crashesOf(suspectJob) == 0U);
    world.crash(worker);
    world.crashUnder(suspectJob, 1);
    BOOST_TEST(!world.hasFailed(suspectJob));
}

// Guards against a new leader that starts to count anew.
BOOST_AUTO_TEST_CASE(crashes_are_counted_across_leaders)
{
    CrashWorld first;
    first.submit({ stepOfTasks(1) }, 110, suspectJob);
    first.crashUnder(suspectJob, 1);
    first.commit(first.now_ + 10);
    std::vector<StoredJob> rows = first.rows();
    BOOST_REQUIRE(rows.size() == 1U);
    auto decoded = decodeProgress(encodeProgress(rows.front().progress_));
    BOOST_REQUIRE(decoded.ok());
    rows.front().progress_ = *decoded;
    CrashWorld second(rows, 2);
    BOOST_TEST(second.crashesOf(suspectJob) == 1U);
}

// Guards against a crash that cannot be told from that of another task which started beside the suspect.
BOOST_AUTO_TEST_CASE(no_run_is_started_beside_a_suspect_until_it_outlives_its_start)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    world.crashUnder(suspectJob, 1);
    std::string worker = world.start(suspectJob);
    world.submit({ stepOfTasks(8) }, world.now_ + 1, otherJob);
    world.start(otherJob);
    BOOST_TEST(world.active_[worker].size() == 1U);
    world.read();
    world.read();
    world.start(otherJob);
    BOOST_TEST(world.active_[worker].size() == 4U);
}

// Guards against a suspect that takes the long-running tasks of a worker with it.
BOOST_AUTO_TEST_CASE(suspect_is_started_where_a_crash_costs_least)
{
    CrashWorld world;
    world.submit({ longRunningStep("search") }, 105, otherJob);
    std::string busy = world.start(otherJob);
    world.read();
    world.read();
    world.handle(EvacuationsChanged { { "north" } }, world.now_);
    world.submit({ stepOfTasks(1) }, world.now_ + 1, suspectJob);
    // A short task without a crash would be placed beside the long-running one.
    world.state_.jobs_.at(JobId::of(suspectJob)).tasks_.front().progress_.crashes_ = 1;
    world.handle(EvacuationsChanged {}, world.now_ + 2);
    std::string worker = world.start(suspectJob);
    BOOST_TEST(!worker.empty());
    BOOST_TEST(worker != busy);
}

// Guards against a new leader that forgets a crash which happened under its predecessor.
BOOST_AUTO_TEST_CASE(crash_of_a_run_that_a_predecessor_started_is_counted)
{
    CrashWorld first;
    first.submit({ stepOfTasks(1) }, 110, suspectJob);
    std::string worker = first.start(suspectJob);
    CrashWorld second(first.rows(), 2);
    second.recent_ = first.recent_;
    second.crash(worker);
    BOOST_TEST(second.crashesOf(suspectJob) == 1U);
}

// Guards against two readings in quick succession, the first of which is old, that clear a suspect just after its start.
BOOST_AUTO_TEST_CASE(readings_just_after_a_start_do_not_clear_its_task)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    world.crashUnder(suspectJob, 1);
    std::string worker = world.start(suspectJob);
    for (int reading = 0; reading < 3; ++reading) {
        ++world.readingNumber_;
        world.reportWorkers();
        world.now_ -= 90;
    }
    BOOST_TEST(world.crashesOf(suspectJob) == 1U);
}

// Guards against a worker that is kept free for a suspect which is no longer there.
BOOST_AUTO_TEST_CASE(worker_is_used_again_once_its_suspect_has_ended)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    world.crashUnder(suspectJob, 1);
    std::string worker = world.start(suspectJob);
    std::vector<EndedRun> ends { { 1, world.active_[worker].front().run_, RunEnd::Done, "" } };
    world.active_[worker].clear();
    world.endRuns(worker, ends);
    world.submit({ stepOfTasks(8) }, world.now_ + 1, otherJob);
    world.start(otherJob);
    BOOST_TEST(world.active_["w-1"].size() + world.active_["w-2"].size() == 8U);
}

// Guards against suspects that wait without end, as others are being observed.
BOOST_AUTO_TEST_CASE(suspect_waits_for_a_bounded_time)
{
    CrashWorld world;
    world.submit({ stepOfTasks(1) }, 110, suspectJob);
    world.submit({ stepOfTasks(1) }, 111, otherJob);
    std::string worker = world.start(suspectJob);
    BOOST_REQUIRE(world.startsByJob_[otherJob] == 1U);
    world.reportWorkers();
    world.crash("w-1");
    world.crash("w-2");
    BOOST_REQUIRE(world.crashesOf(suspectJob) == 1U);
    BOOST_REQUIRE(world.crashesOf(otherJob) == 1U);
    // With two workers, one suspect is observed at a time.
    world.start(suspectJob);
    BOOST_TEST(world.startsByJob_[suspectJob] + world.startsByJob_[otherJob] == 3U);
    for (int step = 0; step < 20; ++step)
        world.reportWorkers();
    world.start(suspectJob);
    BOOST_TEST(world.startsByJob_[suspectJob] + world.startsByJob_[otherJob] == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
