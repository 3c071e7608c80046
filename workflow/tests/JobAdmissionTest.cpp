#include "LeaderWorld.h"

#include "persimmondoor/workflow/JobAdmission.h"

namespace persimmondoor::workflow {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    // Ten cores and an objective of 2 s: a job has value for 6 s and is refused beyond 7.5 s.
    AdmissionForecast forecastWith(double workAhead)
    {
        return { workAhead, 1, 10, milliseconds(1000), milliseconds(2000), Duration(0) };
    }

    bool isAdmitted(const AdmissionForecast& forecast) { return std::holds_alternative<Admitted>(assessAdmission(forecast, {})); }

    // A leader that knows the run times of its queue, with one worker of four cores. The jobs have four tasks of 0.8 s and one
    // core, so that each adds 0.8 s to the wait. A job has value for 4.35 s and is refused beyond 5.4 s.
    class BurstWorld : public LeaderWorld {
    public:
        explicit BurstWorld(std::vector<StoredJob> rows = {}, uint64_t epoch = 1)
            : LeaderWorld(std::move(rows), epoch)
        {
            report("w-1", 5);
        }

        void learnRunTimes()
        {
            for (int run = 0; run < 20; ++run)
                state_.admission_.runTimes_ = observeRun(std::move(state_.admission_.runTimes_), "tests", milliseconds(800), milliseconds(800));
        }

        static std::string idOf(int number) { return "00000000000000" + std::to_string(10 + number); }

        // Submits that many jobs, a millisecond after each other.
        // \return the number of those that were refused.
        size_t submitBurst(int jobs, int64_t begin, const Step& step = stepOfTasks(4))
        {
            size_t refused = 0;
            for (int number = 0; number < jobs; ++number)
                refused += isRefused(submit({ step }, begin + number, idOf(number))) ? 1 : 0;
            return refused;
        }
        bool isRefused(uint64_t token) const { return answer(token).find("cannot be finished in time") != std::string::npos; }
    };

} // namespace

BOOST_AUTO_TEST_SUITE(job_admission)

// Load: a burst of short jobs of ten times the room.
BOOST_AUTO_TEST_CASE(burst_beyond_the_room_is_refused_with_the_time_to_come_back)
{
    BOOST_TEST(isAdmitted(forecastWith(64)));
    AdmissionVerdict verdict = assessAdmission(forecastWith(90), {});
    const auto* hopeless = std::get_if<Hopeless>(&verdict);
    BOOST_REQUIRE(hopeless);
    BOOST_TEST((hopeless->expectedEnd_ == milliseconds(10'000)));
    BOOST_TEST((hopeless->onTimeAfter_ == milliseconds(8000)));
}

BOOST_AUTO_TEST_CASE(uncertain_job_is_admitted)
{
    const Duration chain = seconds(1);
    const Duration objective = seconds(2);
    // Without a known rate, without an objective, and too long for its objective on an idle service as well.
    BOOST_TEST(isAdmitted({ 90, 1, 0, chain, objective, Duration(0) }));
    BOOST_TEST(isAdmitted({ 90, 1, 10, chain, Duration(0), Duration(0) }));
    BOOST_TEST(isAdmitted({ 90, 1, 10, seconds(7), objective, Duration(0) }));
    // Late only because it comes back late: there is next to no wait.
    BOOST_TEST(isAdmitted({ 9, 1, 10, chain, objective, seconds(20) }));
}

BOOST_AUTO_TEST_CASE(work_beyond_what_a_time_holds_is_cut)
{
    AdmissionVerdict verdict = assessAdmission(forecastWith(1e17), {});
    const auto* hopeless = std::get_if<Hopeless>(&verdict);
    BOOST_REQUIRE(hopeless);
    BOOST_TEST((hopeless->expectedEnd_ > std::chrono::hours(24) && hopeless->onTimeAfter_ > std::chrono::hours(24)));
    BOOST_TEST((bookReturn({}, forecastWith(1e17), *hopeless, {}, at(0)).second == Tuning().maximumReturnAfter_));
}

BOOST_AUTO_TEST_CASE(only_work_that_is_due_earlier_or_has_priority_is_ahead)
{
    ServiceLoad load { { { { 0, 9000 }, 1 }, { { 1, 2000 }, 10 }, { { 1, 3000 }, 100 }, { { 2, 1000 }, 1000 } }, 0, 0 };
    BOOST_TEST(load.workAhead({ 1, 2500 }) == 11);
    BOOST_TEST(load.workAhead({ 1, 3000 }) == 111);
    BOOST_TEST(load.workAhead({ 0, 1000 }) == 0);
}

// Load: a crowd that is refused at one moment.
BOOST_AUTO_TEST_CASE(refused_crowd_returns_one_after_another)
{
    AdmissionForecast forecast = forecastWith(90);
    forecast.ownWork_ = 10;
    const Hopeless hopeless { seconds(10), seconds(8) };
    std::pair<ReturnPlan, Duration> booking;
    // Half of the ten cores are promised to those who return, so that each takes two seconds of them, up to the bound of 30 s.
    for (int job = 0; job < 100; ++job) {
        booking = bookReturn(booking.first, forecast, hopeless, {}, at(0));
        BOOST_TEST((booking.second == std::min<Duration>(seconds(8 + 2 * job), Tuning().maximumReturnAfter_)));
    }
    // Later, the booked time has come nearer.
    BOOST_TEST((bookReturn(booking.first, forecast, hopeless, {}, at(25'000)).second == seconds(8)));
}

BOOST_AUTO_TEST_CASE(run_times_follow_what_is_observed)
{
    RunTimeEstimates estimates;
    for (int run = 0; run < 20; ++run) {
        BOOST_TEST((estimates.expect("renders", seconds(3)) == seconds(run < 16 ? 3 : 6)));
        estimates = observeRun(std::move(estimates), "renders", seconds(1), seconds(2));
    }
    BOOST_TEST((estimates.expect("books", seconds(3)) == seconds(3)));
    // One run counts with eight times its declared time at most, and one without a declared time does not count.
    RunTimeEstimates outlier = observeRun(estimates, "renders", seconds(1), seconds(1000));
    BOOST_TEST((outlier.expect("renders", seconds(1)) < milliseconds(2500)));
    BOOST_TEST((observeRun(estimates, "renders", seconds(0), seconds(9)) == estimates));
}

// Load: a burst of jobs that each fill the only worker for 0.8 s.
BOOST_AUTO_TEST_CASE(leader_accepts_what_can_be_finished_and_refuses_the_rest)
{
    BurstWorld world;
    world.learnRunTimes();
    BOOST_TEST(world.submitBurst(12, 100) == 5U);
    BOOST_TEST(world.state_.staged_.size() == 7U);
    BOOST_TEST(world.logged("job.refused").size() == 5U);
    // A known job is never refused.
    uint64_t repeated = world.submit({ stepOfTasks(4) }, 130, BurstWorld::idOf(3));
    world.commit(140);
    BOOST_TEST(world.answer(repeated) == describe(ClientAnswer(Accepted {})));
}

BOOST_AUTO_TEST_CASE(work_without_value_or_that_holds_no_room_is_not_ahead)
{
    BurstWorld world;
    world.learnRunTimes();
    BOOST_TEST(world.submitBurst(6, 100) == 0U);
    // All of these have lost their value.
    world.report("w-1", 10'000);
    BOOST_TEST(!world.isRefused(world.submit({ stepOfTasks(4) }, 10'010, "00000000000000ee")));
    BurstWorld filled;
    filled.learnRunTimes();
    Step filling = stepOfTasks(4);
    filling.isFilling_ = true;
    BOOST_TEST(filled.submitBurst(30, 100, filling) == 0U);
    BOOST_TEST(!filled.isRefused(filled.submit({ stepOfTasks(4) }, 150, "00000000000000ee")));
}

// Load: much work that only one of two workers may run.
BOOST_AUTO_TEST_CASE(job_that_finds_room_beside_bound_work_is_admitted)
{
    BurstWorld world;
    world.learnRunTimes();
    world.rack_ = "r2";
    world.report("w-2", 6);
    Step bound = stepOfTasks(80);
    bound.requiredLabel_ = "r1";
    BOOST_TEST(world.submitBurst(1, 100, bound) == 0U);
    bound.count_ = 4;
    BOOST_TEST(world.isRefused(world.submit({ bound }, 110, "00000000000000ed")));
    BOOST_TEST(!world.isRefused(world.submit({ stepOfTasks(4) }, 120, "00000000000000ee")));
    BOOST_TEST(world.isRefused(world.submit({ stepOfTasks(4) }, 130, "00000000000000ef")));
}

// Load: more ready jobs than are placed at once; the next round of placement is due 20 ms after the last.
BOOST_AUTO_TEST_CASE(room_that_is_freed_for_waiting_tasks_admits_no_other_job)
{
    BurstWorld world;
    world.learnRunTimes();
    BOOST_TEST(world.submitBurst(50, 100, stepOfTasks(1)) > 10U);
    world.commit(150);
    std::vector<RunKey> runs = world.starts("w-1", 151);
    BOOST_REQUIRE(runs.size() == 4U);
    world.lastCompletedOrder_ = OrderNumber(4);
    world.report("w-1", 200, { { runs[0] }, { runs[1] }, { runs[2] }, { runs[3] } });
    world.report("w-1", 205, { { runs[1] }, { runs[2] }, { runs[3] } }, { { 1, runs[0], RunEnd::Done, "" } });
    BOOST_REQUIRE(world.state_.workers_.begin()->second.assignedTasks_.size() == 3U);
    // The short run must not change what is expected of the others.
    world.state_.admission_.runTimes_ = {};
    world.learnRunTimes();
    BOOST_TEST(world.isRefused(world.submit({ stepOfTasks(1) }, 206, "00000000000000ee")));
}

// Load: wide jobs, some of whose tasks have room. Each task counts once, and those of later steps as well.
BOOST_AUTO_TEST_CASE(work_ahead_is_that_of_the_tasks_without_room)
{
    BurstWorld world;
    world.learnRunTimes();
    world.submit({ stepOfTasks(10), stepOfTasks(5, { 0 }) }, 100, BurstWorld::idOf(1));
    world.commit(110);
    Step longRunning = stepOfTasks(3);
    longRunning.longRunning_ = true;
    world.submit({ longRunning }, 120, BurstWorld::idOf(2));
    BOOST_REQUIRE(world.state_.workers_.begin()->second.assignedTasks_.size() == 4U);
    const auto& services = world.state_.admission_.services_;
    world.submit({ stepOfTasks(1) }, 200, BurstWorld::idOf(3));
    ServiceLoad load = *services.at("packs").load_;
    BOOST_TEST(load.heldCores_ == 4);
    BOOST_TEST(load.workAhead({ 100, 0 }) == (6 + 5) * 0.8 + 0.8, boost::test_tools::tolerance(0.001));
    // A cancelled job holds its cores until its runs have ended, and is no work ahead.
    world.call(Cancel {}, 210, BurstWorld::idOf(1));
    world.submit({ stepOfTasks(1) }, 300, BurstWorld::idOf(4));
    load = *services.at("packs").load_;
    BOOST_TEST(load.workAhead({ 100, 0 }) == 2 * 0.8, boost::test_tools::tolerance(0.001));
}

// Load: so many unfinished jobs that their work is summed up less often.
BOOST_AUTO_TEST_CASE(survey_takes_a_bounded_share_of_the_time)
{
    BurstWorld world;
    world.learnRunTimes();
    world.state_.tuning_.surveyIntervalPerJob_ = milliseconds(10);
    BOOST_TEST(world.submitBurst(5, 100) == 0U);
    const ServiceAdmission& service = world.state_.admission_.services_.at("packs");
    const Instant surveyedAt = service.surveyedAt_;
    world.submit({ stepOfTasks(1) }, 145, BurstWorld::idOf(6));
    BOOST_TEST((service.surveyedAt_ == surveyedAt));
    world.submit({ stepOfTasks(1) }, 170, BurstWorld::idOf(7));
    BOOST_TEST((service.surveyedAt_ == at(170)));
}

BOOST_AUTO_TEST_CASE(new_leader_refuses_nothing_before_it_knows_run_times)
{
    BurstWorld world;
    world.learnRunTimes();
    world.submitBurst(12, 100);
    world.commit(200);
    BurstWorld successor(world.rows(), 2);
    BOOST_TEST(successor.submitBurst(40, 100) == 0U);
}

// Guards against state that grows with each queue and service that was ever configured; the estimates of new queues would then
// find no place.
BOOST_AUTO_TEST_CASE(queues_and_services_that_go_are_forgotten)
{
    BurstWorld world;
    world.learnRunTimes();
    world.submitBurst(12, 100);
    world.state_.admission_.runTimes_.byQueue_["books"] = { 1, 1, 16 };
    world.state_.admission_.services_["presses"] = {};
    Catalog catalog = world.state_.catalog_;
    ++catalog.version_;
    world.handle(CatalogChanged { catalog }, 200);
    BOOST_TEST(world.state_.admission_.runTimes_.byQueue_.size() == 1U);
    BOOST_TEST(world.state_.admission_.services_.size() == 1U);
    BOOST_TEST(world.state_.admission_.runTimes_.isKnown("tests"));
    BOOST_TEST(world.state_.admission_.services_.count("packs") == 1U);
}

BOOST_AUTO_TEST_CASE(job_that_comes_back_early_keeps_its_first_time_and_its_turn)
{
    BurstWorld world;
    world.learnRunTimes();
    world.submitBurst(12, 100);
    const std::string late = BurstWorld::idOf(11);
    const RefusedJob first = world.state_.admission_.refused_.at(JobId::of(late));
    world.report("w-1", 900);
    BOOST_TEST(world.isRefused(world.submit({ stepOfTasks(4) }, 900, late)));
    BOOST_TEST((world.state_.admission_.refused_.at(JobId::of(late)) == first));
    // There is room once the jobs ahead are cancelled.
    for (int number = 1; number < 7; ++number)
        world.call(Cancel {}, 950, BurstWorld::idOf(number));
    BOOST_TEST(!world.isRefused(world.submit({ stepOfTasks(4) }, 1000, late)));
    BOOST_TEST(world.state_.jobs_.at(JobId::of(late)).record_.acceptedMs_ == first.submittedMs_);
    BOOST_TEST(world.state_.admission_.refused_.count(JobId::of(late)) == 0U);
}

// The run is assigned at 20 ms and ends at 1020 ms.
BOOST_AUTO_TEST_CASE(completed_run_teaches_unless_its_worker_is_suspect)
{
    for (uint32_t failures : { 0U, 1U }) {
        BurstWorld world;
        world.submit({ stepOfTasks(1) }, 20);
        world.commit(30);
        std::vector<RunKey> runs = world.starts("w-1", 31);
        BOOST_REQUIRE(runs.size() == 1U);
        world.state_.workers_.begin()->second.consecutiveFailures_ = failures;
        world.lastCompletedOrder_ = OrderNumber(1);
        world.report("w-1", 1020, {}, { { 1, runs.front(), RunEnd::Done, "" } });
        const RunTimeSums sums = world.state_.admission_.runTimes_.byQueue_["tests"];
        BOOST_TEST(sums.held_ == (failures == 0 ? 1.0 : 0.0), boost::test_tools::tolerance(0.001));
        const DrainMeter drained = world.state_.admission_.services_["packs"].drained_;
        BOOST_TEST(drainedCores(drained, Tuning().drainWindow_, at(1020)) == 0.25, boost::test_tools::tolerance(0.01));
        BOOST_TEST(drainedCores(drained, Tuning().drainWindow_, at(21'020)) < 0.01);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
