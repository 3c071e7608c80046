#include "FillingWorld.h"

#include <utility>

namespace persimmondoor::workflow {

namespace {

    const std::string suspectJob = "00000000000000aa";
    const std::string waitingJob = "00000000000000dd";
    // Waits in series, each below the 3 s after which a job counts as lost, must not add up to it.
    constexpr int64_t longestStandstillMs = 1000;
    constexpr int64_t lostAfterMs = 3000;
    constexpr int64_t submittedAtMs = 1500;
    // Until then the suspect is observed.
    constexpr int64_t observedUntilMs = 3000;

    // A service with one worker, which is kept free of other starts while a suspect task is observed there.
    class ObservationWorld : public LeaderWorld {
    public:
        explicit ObservationWorld(bool isLate)
        {
            report("w-1", 10);
            submitWith(isLate ? 0 : 1, isLate ? CrashSeries { 2, 0, 2800 } : CrashSeries(), { stepOfTasks(1) }, 20, suspectJob);
            reportUntilStarted(100, submittedAtMs);
            BOOST_REQUIRE(started_.size() == 1U);
            active_.push_back({ started_.front(), "", 10, 0, 100 });
            lastCompletedOrder_ = OrderNumber(1);
            report("w-1", submittedAtMs - 400, active_);
        }

        // Submits a job whose first task has crashed workers before.
        void submitWith(uint32_t crashes, const CrashSeries& series, std::vector<Step> steps, int64_t milliseconds, const std::string& job)
        {
            handle(EvacuationsChanged { { "north" } }, milliseconds);
            submit(std::move(steps), milliseconds, job);
            progressOf(job).crashes_ = crashes;
            progressOf(job).crashSeries_ = series;
            handle(EvacuationsChanged {}, milliseconds);
        }

        TaskProgress& progressOf(const std::string& job) { return state_.jobs_.at(JobId::of(job)).tasks_.front().progress_; }

        // Reports the worker until it is ordered to start runs.
        // \return when it was; `end` if it was not.
        int64_t reportUntilStarted(int64_t begin, int64_t end)
        {
            for (int64_t time = begin; time < end; time += 100) {
                readingNumber_ = hasReadings_ ? static_cast<uint64_t>(time) : 0;
                report("w-1", time, active_);
                for (const std::string& worker : smallWorkers_)
                    reportSmall(worker, time);
                handle(Tick { 1'000'000 + time }, time + 1);
                commit(time + 2);
                started_ = starts("w-1", time + 3);
                if (!started_.empty())
                    return time;
            }
            return end;
        }

        std::vector<ActiveRun> active_;
        std::vector<RunKey> started_;
        // Each report has a new reading of the load.
        bool hasReadings_ { false };
        // Workers without room for any task.
        std::vector<std::string> smallWorkers_;

    private:
        void reportSmall(const std::string& worker, int64_t milliseconds)
        {
            Resources capacity = std::exchange(capacity_, *Resources::create(500, 500, 0));
            report(worker, milliseconds);
            capacity_ = capacity;
        }
    };

} // namespace

BOOST_AUTO_TEST_SUITE(observation)

// Guards against a job that stands still while late suspects are observed on all workers with room.
BOOST_AUTO_TEST_CASE(job_that_stands_still_is_started_beside_a_late_suspect)
{
    for (bool isFilling : { false, true }) {
        ObservationWorld world(true);
        world.submit({ isFilling ? fillingStep(1, "light") : stepOfTasks(1) }, submittedAtMs, waitingJob);
        BOOST_TEST(world.reportUntilStarted(submittedAtMs + 100, observedUntilMs) <= submittedAtMs + longestStandstillMs);
    }
}

// Guards against a job that stands still, and a long-running task that waits without end, beside workers on which late suspects are
// observed one after the other, as most of the service's memory or cores are taken.
BOOST_AUTO_TEST_CASE(task_that_has_waited_for_long_is_started_beside_a_late_suspect_of_a_full_service)
{
    Step longRunning = stepOfTasks(1);
    longRunning.longRunning_ = true;
    for (const Step& step : { stepOfTasks(1), fillingStep(1, "light"), longRunning }) {
        ObservationWorld world(true);
        world.state_.tuning_.maximumTakenPercent_ = 0;
        world.submit({ step }, submittedAtMs, waitingJob);
        BOOST_TEST(world.reportUntilStarted(submittedAtMs + 100, submittedAtMs + lostAfterMs) < submittedAtMs + lostAfterMs);
    }
}

// Guards against a crash that is held against tasks which were started beside a late suspect, or no longer against the suspect.
BOOST_AUTO_TEST_CASE(run_beside_a_late_suspect_leaves_its_crash_as_evidence)
{
    ObservationWorld world(true);
    world.submit({ stepOfTasks(1) }, submittedAtMs, waitingJob);
    int64_t startedAt = world.reportUntilStarted(submittedAtMs + 100, observedUntilMs);
    BOOST_REQUIRE(startedAt < observedUntilMs);
    world.active_.push_back({ world.started_.front(), "", 10, 0, 100 });
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", startedAt + 100, world.active_);
    world.reachable_ = false;
    world.report("w-1", 3900, world.active_);
    world.endedWorkers_ = { { "w-1", world.bornMs_, world.host_ } };
    world.bornMs_ = 5000;
    world.reachable_ = true;
    world.report("w-1", 5000);
    BOOST_TEST(world.progressOf(suspectJob).crashSeries_.evidence_ == 1U);
    BOOST_TEST(world.progressOf(waitingJob).crashSeries_.evidence_ == 0U);
    BOOST_TEST(world.progressOf(waitingJob).crashes_ == 0U);
}

// Guards against suspects that are lost together, so that neither shows its fault.
BOOST_AUTO_TEST_CASE(suspect_is_not_started_beside_another)
{
    for (bool isLate : { false, true }) {
        ObservationWorld world(true);
        world.submitWith(isLate ? 0 : 1, isLate ? CrashSeries { 3, 0, 600 } : CrashSeries(), { stepOfTasks(1) }, submittedAtMs, waitingJob);
        BOOST_TEST(world.reportUntilStarted(submittedAtMs + 100, observedUntilMs) == observedUntilMs);
    }
}

// Guards against a suspect's job that stands still until it counts as lost: the crash of its worker is noticed late, and the wait
// for the observation of other suspects begins only then.
BOOST_AUTO_TEST_CASE(suspect_whose_job_stands_still_does_not_await_other_observations)
{
    for (bool isLate : { false, true }) {
        ObservationWorld world(true);
        int64_t crashedAt = 3000;
        int64_t noticedAt = crashedAt + 1900;
        int64_t bornMs = world.bornMs_;
        world.report("w-2", submittedAtMs);
        world.submit({ stepOfTasks(1) }, submittedAtMs, waitingJob);
        world.commit(submittedAtMs + 10);
        std::vector<RunKey> runs = world.starts("w-2", submittedAtMs + 20);
        BOOST_REQUIRE(runs.size() == 1U);
        std::vector<ActiveRun> crashing { { runs.front(), "", 10, 0, 100 } };
        world.report("w-2", crashedAt - 400, crashing);
        world.progressOf(waitingJob).crashes_ = isLate ? 0 : 1;
        world.progressOf(waitingJob).crashSeries_ = isLate ? CrashSeries { 3, 0, crashedAt - submittedAtMs } : CrashSeries();
        for (int64_t time = crashedAt; time < crashedAt + lostAfterMs; time += 100) {
            world.report("w-1", time, world.active_);
            world.reachable_ = time >= noticedAt;
            if (world.reachable_)
                world.endedWorkers_ = { { "w-2", std::exchange(world.bornMs_, noticedAt), world.host_ } };
            world.report("w-2", time, world.reachable_ ? std::vector<ActiveRun>() : crashing);
            world.reachable_ = true;
            world.endedWorkers_.clear();
            world.bornMs_ = bornMs;
            world.handle(Tick { 1'000'000 + time }, time + 1);
            world.commit(time + 2);
        }
        const TaskProgress& progress = world.progressOf(waitingJob);
        BOOST_TEST_CONTEXT("late " << isLate)
        {
            BOOST_TEST(progress.run_ == 2U);
            BOOST_TEST((progress.phase_ == TaskPhase::Assigned));
        }
    }
}

// Guards against a late suspect's job that stands still as another one is on all workers with room.
BOOST_AUTO_TEST_CASE(suspect_whose_job_stands_still_is_started_beside_one_that_is_no_longer_observed)
{
    ObservationWorld world(true);
    world.hasReadings_ = true;
    world.progressOf(suspectJob).crashSeries_.ageMs_ = 9000;
    int64_t begin = 3500;
    BOOST_REQUIRE(world.reportUntilStarted(submittedAtMs, begin) == begin);
    world.submitWith(0, CrashSeries { 3, 0, 600 }, { stepOfTasks(1) }, begin, waitingJob);
    BOOST_TEST(world.reportUntilStarted(begin + 100, begin + lostAfterMs) < begin + lostAfterMs);
}

// Guards against a suspect that keeps its siblings from workers which are closed to it alone.
BOOST_AUTO_TEST_CASE(sibling_of_a_suspect_is_started_beside_another)
{
    ObservationWorld world(true);
    // So many that a further suspect need not wait for the end of the observation.
    world.smallWorkers_ = { "w-2", "w-3", "w-4" };
    world.submitWith(1, {}, { stepOfTasks(2) }, submittedAtMs, waitingJob);
    BOOST_TEST(world.reportUntilStarted(submittedAtMs + 100, observedUntilMs) <= submittedAtMs + longestStandstillMs);
    BOOST_REQUIRE(world.started_.size() == 1U);
    BOOST_TEST(world.started_.front().task_.index_ == 1U);
}

// Guards against a crash just after a start that is held against a run which was started beside the suspect.
BOOST_AUTO_TEST_CASE(no_run_is_started_beside_a_task_that_may_crash_its_worker_at_its_start)
{
    ObservationWorld world(false);
    world.submit({ stepOfTasks(1) }, submittedAtMs, waitingJob);
    BOOST_TEST(world.reportUntilStarted(submittedAtMs + 100, observedUntilMs) == observedUntilMs);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
