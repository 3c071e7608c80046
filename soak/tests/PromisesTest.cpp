#include "persimmondoor/soak/Promises.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::soak {

using workflow::RunKey;

static const JobId job = JobId::of("00000000000000aa");

static RunKey runOf(uint32_t step, uint32_t index, uint32_t run)
{
    return { { job, 0, step, index }, run };
}

// Two steps of one task each, the second after the first.
static workflow::JobSpec chain()
{
    workflow::Step second;
    second.dependencies_ = { 0 };
    return *workflow::JobSpec::create("payload", { workflow::Step {}, second }, {});
}

namespace {

    struct World {
        World() { see(JobSubmitted { job, chain() }); }

        void see(const Event& event, int64_t seconds = 0)
        {
            Observation seen = observe(std::move(state_), event, Instant::fromMicroseconds(seconds * 1'000'000));
            state_ = std::move(seen.state_);
            for (const Violation& violation : seen.violations_)
                broken_.push_back(violation.promise_);
        }

        void begin(const RunKey& run, const std::string& worker) { see(RunBegan { run, "payload", worker }); }
        void end(const RunKey& run, const std::string& worker, RunEnd how) { see(RunEnded { run, worker, how }); }

        Promises state_;
        std::vector<std::string> broken_;
    };

} // namespace

using Names = std::vector<std::string>;

BOOST_AUTO_TEST_SUITE(promises)

BOOST_AUTO_TEST_CASE(job_that_ends_in_order_breaks_nothing)
{
    World world;
    world.see(JobAccepted { job });
    world.begin(runOf(0, 0, 1), "a");
    world.end(runOf(0, 0, 1), "a", RunEnd::Done);
    world.see(EndAcknowledged { runOf(0, 0, 1), RunEnd::Done });
    world.begin(runOf(1, 0, 1), "b");
    BOOST_TEST(!isSettled(world.state_));
    world.end(runOf(1, 0, 1), "b", RunEnd::Done);
    world.see(StateShown { job, ShownState::Completed });
    BOOST_TEST(isSettled(world.state_));
    world.see(RunOver {});
    BOOST_TEST(world.broken_.empty());
}

BOOST_AUTO_TEST_CASE(second_run_of_a_running_task_breaks_once)
{
    World world;
    world.begin(runOf(0, 0, 1), "a");
    world.begin(runOf(0, 0, 2), "b");
    BOOST_TEST(world.broken_ == Names { "once" });
}

BOOST_AUTO_TEST_CASE(run_after_the_loss_of_its_worker_breaks_nothing)
{
    World world;
    world.begin(runOf(0, 0, 1), "a");
    world.end(runOf(0, 0, 1), "a", RunEnd::Lost);
    world.begin(runOf(0, 0, 2), "b");
    BOOST_TEST(world.broken_.empty());
}

BOOST_AUTO_TEST_CASE(start_after_a_done_end_breaks_once_if_the_end_is_acknowledged)
{
    World acknowledgedBefore;
    acknowledgedBefore.begin(runOf(0, 0, 1), "a");
    acknowledgedBefore.end(runOf(0, 0, 1), "a", RunEnd::Done);
    acknowledgedBefore.see(EndAcknowledged { runOf(0, 0, 1), RunEnd::Done });
    acknowledgedBefore.begin(runOf(0, 0, 2), "b");
    BOOST_TEST(acknowledgedBefore.broken_ == Names { "once" });
    World acknowledgedAfter;
    acknowledgedAfter.begin(runOf(0, 0, 1), "a");
    acknowledgedAfter.end(runOf(0, 0, 1), "a", RunEnd::Done);
    acknowledgedAfter.begin(runOf(0, 0, 2), "b");
    BOOST_TEST(acknowledgedAfter.broken_.empty());
    acknowledgedAfter.see(EndAcknowledged { runOf(0, 0, 1), RunEnd::Done });
    BOOST_TEST(acknowledgedAfter.broken_ == Names { "once" });
}

BOOST_AUTO_TEST_CASE(end_whose_lease_lapsed_before_it_was_acknowledged_binds_nobody)
{
    World world;
    world.begin(runOf(0, 0, 1), "a");
    world.end(runOf(0, 0, 1), "a", RunEnd::Done);
    world.see(LeaseLapsed { "a" });
    world.begin(runOf(0, 0, 2), "b");
    world.see(EndAcknowledged { runOf(0, 0, 1), RunEnd::Done });
    BOOST_TEST(world.broken_.empty());
    world.end(runOf(0, 0, 2), "b", RunEnd::Done);
    world.see(EndAcknowledged { runOf(0, 0, 2), RunEnd::Done });
    world.begin(runOf(0, 0, 3), "a");
    BOOST_TEST(world.broken_ == Names { "once" });
}

BOOST_AUTO_TEST_CASE(lapse_of_another_lease_leaves_the_end_binding)
{
    World world;
    world.begin(runOf(0, 0, 1), "a");
    world.end(runOf(0, 0, 1), "a", RunEnd::Done);
    world.see(LeaseLapsed { "b" });
    world.begin(runOf(0, 0, 2), "b");
    world.see(EndAcknowledged { runOf(0, 0, 1), RunEnd::Done });
    BOOST_TEST(world.broken_ == Names { "once" });
}

BOOST_AUTO_TEST_CASE(start_before_its_dependency_is_done_breaks_order)
{
    World world;
    world.begin(runOf(1, 0, 1), "a");
    BOOST_TEST(world.broken_ == Names { "order" });
}

BOOST_AUTO_TEST_CASE(start_that_nobody_asked_for_breaks_asked)
{
    World world;
    world.see(RunBegan { runOf(0, 0, 1), "another payload", "a" });
    world.see(RunBegan { { { JobId::of("00000000000000bb"), 0, 0, 0 }, 1 }, "payload", "a" });
    BOOST_TEST(world.broken_ == (Names { "asked", "asked" }));
}

BOOST_AUTO_TEST_CASE(start_after_a_cancellation_breaks_asked_in_calm)
{
    World world;
    world.see(JobAccepted { job });
    world.see(CancelAcknowledged { job }, 1);
    world.see(RunBegan { runOf(0, 0, 1), "payload", "a" }, 10);
    BOOST_TEST(world.broken_.empty());
    world.end(runOf(0, 0, 1), "a", RunEnd::Stopped);
    world.see(CalmBegan {}, 11);
    world.see(RunBegan { runOf(0, 0, 2), "payload", "a" }, 12);
    BOOST_TEST(world.broken_ == Names { "asked" });
}

BOOST_AUTO_TEST_CASE(start_of_a_refused_job_breaks_not_run_in_either_order)
{
    World before;
    before.see(JobRefused { job });
    before.begin(runOf(0, 0, 1), "a");
    BOOST_TEST(before.broken_ == Names { "not run" });
    World after;
    after.begin(runOf(0, 0, 1), "a");
    after.see(JobRefused { job });
    BOOST_TEST(after.broken_ == Names { "not run" });
}

BOOST_AUTO_TEST_CASE(job_shown_as_completed_too_early_breaks_state)
{
    World world;
    world.see(JobAccepted { job });
    world.see(StateShown { job, ShownState::Completed });
    BOOST_TEST(world.broken_ == Names { "state" });
}

// Late starts: a member whose start was held up is stopped once another one has ended.
BOOST_AUTO_TEST_CASE(gang_is_done_once_a_member_is_done)
{
    workflow::Step gang;
    gang.count_ = 2;
    gang.gang_ = true;
    World world;
    world.see(JobSubmitted { job, *workflow::JobSpec::create("payload", { gang }, {}) });
    world.begin(runOf(0, 0, 1), "a");
    world.begin(runOf(0, 1, 1), "b");
    world.see(StateShown { job, ShownState::Completed });
    BOOST_TEST(world.broken_ == Names { "state" });
    world.end(runOf(0, 0, 1), "a", RunEnd::Done);
    world.end(runOf(0, 1, 1), "b", RunEnd::Stopped);
    world.see(StateShown { job, ShownState::Completed });
    BOOST_TEST(world.broken_ == Names { "state" });
}

BOOST_AUTO_TEST_CASE(accepted_job_that_is_forgotten_or_left_breaks_accepted)
{
    World world;
    world.see(JobAccepted { job });
    world.see(StateShown { job, ShownState::Absent }, 10);
    BOOST_TEST(world.broken_.empty());
    world.see(CalmBegan {}, 10);
    world.see(StateShown { job, ShownState::Absent }, 11);
    BOOST_TEST(world.broken_ == Names { "accepted" });
    world.see(RunOver {}, 60);
    BOOST_TEST(world.broken_ == (Names { "accepted", "accepted" }));
}

BOOST_AUTO_TEST_CASE(third_attempt_after_two_failures_breaks_attempts)
{
    World world;
    for (uint32_t run : { 1U, 2U }) {
        world.begin(runOf(0, 0, run), "a");
        world.end(runOf(0, 0, run), "a", RunEnd::Failed);
        world.see(EndAcknowledged { runOf(0, 0, run), RunEnd::Failed });
    }
    BOOST_TEST(world.broken_.empty());
    world.begin(runOf(0, 0, 3), "a");
    BOOST_TEST(world.broken_ == Names { "attempts" });
}

BOOST_AUTO_TEST_CASE(cancelled_job_that_runs_at_the_end_breaks_accepted)
{
    World world;
    world.see(JobAccepted { job });
    world.begin(runOf(0, 0, 1), "a");
    world.see(CancelSent { job });
    world.see(CancelAcknowledged { job });
    world.see(RunOver {}, 60);
    BOOST_TEST(world.broken_ == Names { "accepted" });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::soak
