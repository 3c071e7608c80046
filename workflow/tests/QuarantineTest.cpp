#include "FillingWorld.h"

#include <algorithm>

namespace persimmondoor::workflow {

BOOST_AUTO_TEST_SUITE(quarantine)

namespace {

    const std::string failingJob = "00000000000000f1";
    const std::string longRunningJob = "00000000000000f2";

    // Workers on which tasks fail, besides one without room.
    class QuarantineWorld : public LeaderWorld {
    public:
        QuarantineWorld()
        {
            report("w-0", 1);
            Step step = stepOfTasks(1);
            step.demand_ = *Resources::create(4000, 1000, 0);
            submit({ step }, 2, "00000000000000f0");
            commit(3);
        }

        const Worker& worker(const std::string& name) const { return state_.workers_.at({ name, bornMs_, host_ }); }
        bool isQuarantined(const std::string& name, int64_t milliseconds) const { return at(milliseconds) < worker(name).quarantinedUntil_; }
        // Duration of a quarantine that began at that time.
        Duration quarantineSince(const std::string& name, int64_t milliseconds) const { return worker(name).quarantinedUntil_ - at(milliseconds); }

        // The runs that are assigned to the worker.
        std::vector<RunKey> assigned(const std::string& name) const
        {
            std::vector<RunKey> runs;
            for (const TaskKey& key : worker(name).assignedTasks_)
                runs.push_back({ key, state_.jobs_.at(key.job_).tasks_.at(key.index_).progress_.run_ });
            return runs;
        }

        // Reports that all runs on the worker have ended.
        void end(const std::string& name, RunEnd how, int64_t milliseconds)
        {
            std::vector<EndedRun> ended;
            for (const RunKey& run : assigned(name))
                ended.push_back({ ++ends_[name], run, how, "" });
            report(name, milliseconds, {}, std::move(ended));
            commit(milliseconds);
        }

        // Reports that all runs on the worker are at work.
        void work(const std::string& name, int64_t milliseconds)
        {
            std::vector<ActiveRun> active;
            for (const RunKey& run : assigned(name))
                active.push_back({ run, "", 100, 8, 100 });
            report(name, milliseconds, std::move(active));
            commit(milliseconds);
        }

        // Submits tasks that are placed on the only worker with room, and lets them fail.
        void failTasks(const std::string& name, uint32_t count, const std::string& job, int64_t milliseconds)
        {
            submit({ stepOfTasks(count) }, milliseconds, job);
            commit(milliseconds + 1);
            end(name, RunEnd::Failed, milliseconds + 50);
        }

    private:
        std::map<std::string, uint64_t> ends_;
    };

} // namespace

// Guards against long-running tasks that wait for the end of a quarantine although only quarantined workers have room.
BOOST_AUTO_TEST_CASE(long_running_task_without_other_room_probes_a_quarantined_worker)
{
    QuarantineWorld world;
    world.state_.tuning_.initialQuarantine_ = std::chrono::seconds(8);
    world.report("w-1", 10);
    world.failTasks("w-1", 3, failingJob, 20);
    BOOST_REQUIRE(world.isQuarantined("w-1", 8000));
    Step step = longRunningStep("search");
    step.count_ = 3;
    world.submit({ step }, 100, longRunningJob);
    world.commit(110);
    world.work("w-1", 1000);
    world.work("w-1", 1500);
    // One long-running task; the failed tasks wait, as a further failure could be their last.
    BOOST_REQUIRE(world.assigned("w-1").size() == 1U);
    BOOST_TEST(world.assigned("w-1").front().task_.job_.value() == longRunningJob);
    BOOST_TEST((world.starts("w-1", 1501).back() == world.assigned("w-1").front()));

    // A probe that fails is not followed by another one at once.
    world.end("w-1", RunEnd::Failed, 1600);
    BOOST_TEST(world.isQuarantined("w-1", 8000));
    world.work("w-1", 1700);
    BOOST_TEST(world.assigned("w-1").empty());
    world.work("w-1", 2700);
    BOOST_REQUIRE(world.assigned("w-1").size() == 1U);

    // A probe at work ends the quarantine.
    world.work("w-1", 2800);
    world.work("w-1", 3300);
    BOOST_TEST(world.assigned("w-1").size() == 1U);
    world.work("w-1", 3900);
    BOOST_TEST(!world.isQuarantined("w-1", 3900));
    BOOST_TEST(world.assigned("w-1").size() == 4U);
}

// Guards against probes where another worker has room.
BOOST_AUTO_TEST_CASE(long_running_task_prefers_workers_that_are_not_quarantined)
{
    QuarantineWorld world;
    world.state_.tuning_.initialQuarantine_ = std::chrono::seconds(8);
    world.report("w-1", 10);
    world.failTasks("w-1", 3, failingJob, 20);
    world.report("w-2", 1400);
    // An empty worker of this size would be preferred.
    world.capacity_ = *Resources::create(9000, 1'000'000, 0);
    world.report("w-1", 1500);
    world.submit({ longRunningStep("search") }, 1510, longRunningJob);
    world.commit(1520);
    BOOST_TEST(world.assigned("w-1").empty());
    BOOST_TEST(world.assigned("w-2").size() == 4U);
}

// Guards against a run that hangs on a quarantined worker and counts as proof that the worker runs tasks.
BOOST_AUTO_TEST_CASE(probe_that_has_not_started_up_does_not_end_the_quarantine)
{
    QuarantineWorld world;
    world.state_.tuning_.initialQuarantine_ = std::chrono::seconds(8);
    world.report("w-1", 10);
    world.failTasks("w-1", 3, failingJob, 20);
    world.submit({ longRunningStep("search") }, 100, longRunningJob);
    world.commit(110);
    world.work("w-1", 1200);
    BOOST_REQUIRE(world.assigned("w-1").size() == 1U);
    for (int64_t time : { 1300, 1800, 2300, 2800 })
        world.report("w-1", time, { { world.assigned("w-1").front(), "", 0, 0, 100 } });
    BOOST_TEST(world.isQuarantined("w-1", 2800));
}

// Guards against quarantines that stay long for the life of a worker that has recovered.
BOOST_AUTO_TEST_CASE(worker_that_has_finished_a_task_starts_over_with_the_shortest_quarantine)
{
    QuarantineWorld world;
    world.report("w-1", 10);
    world.failTasks("w-1", 3, failingJob, 20);
    BOOST_TEST((world.quarantineSince("w-1", 70) == world.state_.tuning_.initialQuarantine_));
    world.report("w-1", 2500);
    world.commit(2510);
    BOOST_REQUIRE(world.assigned("w-1").size() == 1U);
    world.end("w-1", RunEnd::Done, 2600);
    BOOST_REQUIRE(world.assigned("w-1").size() == 2U);
    world.end("w-1", RunEnd::Done, 2650);
    world.failTasks("w-1", 2, rankingJob, 2700);
    BOOST_TEST(!world.isQuarantined("w-1", 2800));
    world.end("w-1", RunEnd::Done, 2900);
    world.failTasks("w-1", 3, searchJob, 3000);
    BOOST_TEST((world.quarantineSince("w-1", 3050) == world.state_.tuning_.initialQuarantine_));
}

// Guards against many tasks that fail on a worker whose quarantine ends before it has recovered.
BOOST_AUTO_TEST_CASE(worker_gets_one_task_at_a_time_after_its_quarantine_until_one_has_succeeded)
{
    QuarantineWorld world;
    world.report("w-1", 10);
    world.failTasks("w-1", 4, failingJob, 20);
    world.work("w-1", 2500);
    BOOST_REQUIRE(world.assigned("w-1").size() == 1U);
    world.work("w-1", 3000);
    BOOST_TEST(world.assigned("w-1").size() == 1U);
    // The run has been at work for long enough.
    world.work("w-1", 3500);
    world.work("w-1", 4000);
    BOOST_TEST(world.assigned("w-1").size() == 4U);
}

// Guards against a worker that is held back for good by a task that neither ends nor makes progress.
BOOST_AUTO_TEST_CASE(task_without_progress_holds_a_worker_back_for_a_time_only)
{
    QuarantineWorld world;
    world.report("w-1", 10);
    world.failTasks("w-1", 4, failingJob, 20);
    world.work("w-1", 2500);
    BOOST_REQUIRE(world.assigned("w-1").size() == 1U);
    ActiveRun standing { world.assigned("w-1").front(), "", 0, 0, 0 };
    for (int64_t time : { 2600, 3000, 3400 })
        world.report("w-1", time, { standing });
    BOOST_TEST(world.assigned("w-1").size() == 1U);
    world.report("w-1", 3600, { standing });
    BOOST_TEST(world.assigned("w-1").size() == 2U);
}

// Guards against long-running tasks that fail at once, again and again, and keep a worker from a task that would prove it.
BOOST_AUTO_TEST_CASE(tasks_that_fail_again_and_again_do_not_keep_others_from_a_worker)
{
    QuarantineWorld world;
    world.report("w-1", 10);
    Step looping = longRunningStep("search");
    looping.count_ = 3;
    world.submit({ looping }, 20, failingJob);
    world.commit(30);
    auto failLooping = [&](int64_t time) {
        std::vector<ActiveRun> active;
        std::vector<EndedRun> ends;
        for (const RunKey& run : world.assigned("w-1")) {
            if (run.task_.job_.value() == failingJob)
                ends.push_back({ static_cast<uint64_t>(time) * 10 + run.task_.index_, run, RunEnd::Failed, "" });
            else
                active.push_back({ run, "", 100, 8, 100 });
        }
        world.report("w-1", time, active, ends);
        world.handle(Tick { 1'000'000 + time }, time + 1);
        world.commit(time + 2);
    };
    for (int64_t time = 100; time <= 1000; time += 100)
        failLooping(time);
    world.submit({ longRunningStep("search") }, 1050, longRunningJob);
    world.commit(1060);
    int64_t startedAt = 0;
    for (int64_t time = 1100; time <= 9000 && startedAt == 0; time += 100) {
        failLooping(time);
        for (const RunKey& run : world.assigned("w-1"))
            startedAt = run.task_.job_.value() == longRunningJob ? time : startedAt;
    }
    BOOST_TEST(startedAt > 0);
    BOOST_TEST(startedAt < 4000);
}

// As above, for workers that run long-running tasks only.
BOOST_AUTO_TEST_CASE(worker_with_a_long_running_task_at_work_starts_over_with_the_shortest_quarantine)
{
    QuarantineWorld world;
    world.report("w-1", 10);
    world.failTasks("w-1", 3, failingJob, 20);
    world.call(Cancel {}, 100, failingJob);
    world.commit(110);
    world.work("w-1", 2500);
    world.submit({ longRunningStep("search") }, 2510, longRunningJob);
    world.commit(2520);
    for (int64_t time : { 2600, 3100, 3600, 4100 })
        world.work("w-1", time);
    BOOST_REQUIRE(world.assigned("w-1").size() == 1U);
    world.failTasks("w-1", 3, searchJob, 4200);
    BOOST_TEST((world.quarantineSince("w-1", 4250) == world.state_.tuning_.initialQuarantine_));
}

// Guards against one burst of failures that lengthens the quarantine which it has caused, up to the longest.
BOOST_AUTO_TEST_CASE(failures_of_runs_from_before_a_quarantine_do_not_lengthen_it)
{
    QuarantineWorld world;
    world.report("w-1", 10);
    world.failTasks("w-1", 4, failingJob, 20);
    BOOST_TEST((world.quarantineSince("w-1", 70) == world.state_.tuning_.initialQuarantine_));
}

// Guards against tasks that fail everywhere and take all workers out.
BOOST_AUTO_TEST_CASE(at_most_half_of_the_workers_are_quarantined)
{
    QuarantineWorld world;
    const std::vector<std::string> names { "w-1", "w-2", "w-3", "w-4" };
    for (const std::string& name : names)
        world.report(name, 10);
    world.submit({ stepOfTasks(16) }, 20, failingJob);
    world.commit(30);
    for (const std::string& name : names) {
        BOOST_REQUIRE(world.assigned(name).size() == 4U);
        world.end(name, RunEnd::Failed, 100);
    }
    auto count = std::count_if(names.begin(), names.end(), [&](const std::string& name) { return world.isQuarantined(name, 101); });
    BOOST_TEST(count == 2);
    // The others get one task at a time.
    world.report("w-4", 200);
    BOOST_TEST(!world.isQuarantined("w-4", 200));
    BOOST_TEST(world.assigned("w-4").size() == 1U);
}

// Guards against lost workers that count for the bound, so that all usable workers are quarantined.
BOOST_AUTO_TEST_CASE(bound_on_quarantine_counts_usable_workers_only)
{
    QuarantineWorld world;
    for (const char* name : { "w-1", "w-2", "w-3", "w-4" })
        world.report(name, 10);
    world.reachable_ = false;
    world.report("w-3", 15);
    world.report("w-4", 15);
    world.reachable_ = true;
    world.submit({ stepOfTasks(8) }, 20, failingJob);
    world.commit(30);
    world.end("w-1", RunEnd::Failed, 100);
    world.end("w-2", RunEnd::Failed, 101);
    BOOST_TEST((world.isQuarantined("w-1", 110) != world.isQuarantined("w-2", 110)));
}

// Guards against a run from before the failures that counts as proof that its worker runs tasks.
BOOST_AUTO_TEST_CASE(run_from_before_a_quarantine_does_not_end_it)
{
    QuarantineWorld world;
    world.state_.tuning_.initialQuarantine_ = std::chrono::seconds(8);
    world.report("w-1", 10);
    world.submit({ longRunningStep("search") }, 20, longRunningJob);
    world.commit(30);
    BOOST_REQUIRE(world.assigned("w-1").size() == 1U);
    ActiveRun former { world.assigned("w-1").front(), "", 100, 8, 100 };
    world.report("w-1", 50, { former });
    world.submit({ stepOfTasks(3) }, 100, failingJob);
    world.commit(110);
    std::vector<EndedRun> ends;
    for (const RunKey& run : world.assigned("w-1")) {
        if (run.task_.job_.value() == failingJob)
            ends.push_back({ ends.size() + 1, run, RunEnd::Failed, "" });
    }
    BOOST_REQUIRE(ends.size() == 3U);
    world.report("w-1", 200, { former }, ends);
    BOOST_REQUIRE(world.isQuarantined("w-1", 210));
    world.report("w-1", 2000, { former }, ends);
    BOOST_TEST(world.isQuarantined("w-1", 2010));
}

// Guards against a task that has failed and keeps its siblings from a worker that is closed to it alone.
BOOST_AUTO_TEST_CASE(task_that_has_failed_does_not_keep_its_siblings_from_an_unproven_worker)
{
    QuarantineWorld world;
    world.draining_ = true;
    world.report("w-1", 10);
    Worker& unproven = world.state_.workers_.at({ "w-1", world.bornMs_, world.host_ });
    unproven.quarantineCount_ = 1;
    unproven.nextProbeAt_ = at(1000);
    unproven.nextProbeOfFailedAt_ = at(1000);
    Step step = longRunningStep("search");
    step.count_ = 3;
    world.submit({ step }, 20, longRunningJob);
    world.state_.jobs_.at(JobId::of(longRunningJob)).tasks_[0].progress_.failures_ = 1;
    world.draining_ = false;
    world.report("w-1", 30);
    world.commit(31);
    BOOST_REQUIRE(world.assigned("w-1").size() == 1U);
    BOOST_TEST(world.assigned("w-1").front().task_.index_ == 1U);
}

// Guards against a long-running task that has failed and never gets its turn, as each probe by another task puts it off.
BOOST_AUTO_TEST_CASE(probes_by_other_tasks_do_not_put_off_that_of_a_long_running_task_that_has_failed)
{
    QuarantineWorld world;
    world.draining_ = true;
    world.report("w-1", 10);
    Worker& unproven = world.state_.workers_.at({ "w-1", world.bornMs_, world.host_ });
    unproven.quarantineCount_ = 1;
    unproven.nextProbeAt_ = at(1000);
    unproven.nextProbeOfFailedAt_ = at(1000);
    world.submit({ longRunningStep("search") }, 20, longRunningJob);
    world.submit({ stepOfTasks(1) }, 21, failingJob);
    Job& failing = world.state_.jobs_.at(JobId::of(failingJob));
    failing.queue_.maxAttempts_ = 0;
    failing.queue_.priority_ = 1;
    failing.record_.queue_.priority_ = 1;
    for (const std::string& id : { longRunningJob, failingJob })
        world.state_.jobs_.at(JobId::of(id)).tasks_[0].progress_.failures_ = 2;
    world.draining_ = false;
    bool isProbe = false;
    for (int64_t time = 30; time <= 2500 && !isProbe; time += 400) {
        world.report("w-1", time);
        world.commit(time + 1);
        for (const RunKey& run : world.assigned("w-1"))
            isProbe = isProbe || run.task_.job_.value() == longRunningJob;
        if (!isProbe)
            world.end("w-1", RunEnd::Failed, time + 300);
    }
    BOOST_TEST(isProbe);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
