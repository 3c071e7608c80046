#include "persimmondoor/store/WorkerState.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::store;

namespace {

constexpr Instant start = Instant::fromMicroseconds(1'000'000);
constexpr Duration millisecond = std::chrono::milliseconds(1);

WorkerState worker()
{
    return { *Resources::create(4000, 1'000'000, 0), Incarnation(1) };
}

Launch launchOf(const std::string& command, uint64_t attempt = 1, Duration lease = 1000 * millisecond)
{
    return { { TaskId::of("t"), Attempt(attempt) }, command, "", *Resources::create(1000, 1000, 0), std::string("\0label", 6), lease };
}

TaskReport only(const WorkerState& state, Instant now)
{
    WorkerReport report = state.report(WorkerRevision(), now);
    BOOST_REQUIRE_EQUAL(report.tasks_.size(), 1U);
    return report.tasks_.front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_state)

BOOST_AUTO_TEST_CASE(task_ends_after_its_run_time)
{
    WorkerState state = worker();
    BOOST_TEST(std::holds_alternative<Launched>(state.launch(launchOf("sleep 500"), start)));
    BOOST_TEST((state.nextEnd() == start + 500 * millisecond));
    state.advance(start + 499 * millisecond);
    BOOST_TEST((only(state, start).state_ == TaskState::Running));
    state.advance(start + 500 * millisecond);
    BOOST_TEST((only(state, start).state_ == TaskState::Finished));
    BOOST_TEST((state.committed() == Resources()));
}

BOOST_AUTO_TEST_CASE(repeated_launch_of_an_attempt_starts_nothing)
{
    WorkerState state = worker();
    state.launch(launchOf("sleep 500"), start);
    WorkerState before = state;
    BOOST_TEST(std::holds_alternative<Launched>(state.launch(launchOf("sleep 500"), start + millisecond)));
    BOOST_TEST((state == before));
}

BOOST_AUTO_TEST_CASE(task_is_stopped_when_its_lease_expires)
{
    WorkerState state = worker();
    state.launch(launchOf("sleep 500", 1, 100 * millisecond), start);
    state.extend({ { TaskId::of("t"), Attempt(1) } }, 100 * millisecond, start + 50 * millisecond);
    state.advance(start + 149 * millisecond);
    BOOST_TEST((only(state, start).state_ == TaskState::Running));
    state.advance(start + 150 * millisecond);
    BOOST_TEST((only(state, start).state_ == TaskState::LeaseLapsed));
}

BOOST_AUTO_TEST_CASE(next_attempt_resumes_from_a_checkpoint)
{
    WorkerState state = worker();
    state.launch(launchOf("compute 500"), start);
    auto reference = state.checkpoint({ TaskId::of("t"), Attempt(1) }, start + 300 * millisecond);
    BOOST_REQUIRE(reference.ok());
    BOOST_TEST(state.stop({ TaskId::of("t"), Attempt(1) }, start + 300 * millisecond).ok());
    Launch next = launchOf("compute 500", 2);
    next.checkpoint_ = *reference;
    state.launch(next, start + 400 * millisecond);
    BOOST_TEST((state.nextEnd() == start + 600 * millisecond));
}

BOOST_AUTO_TEST_CASE(checkpoint_of_another_task_is_refused)
{
    WorkerState state = worker();
    Launch launch = launchOf("compute 500");
    launch.checkpoint_ = "other/1@300";
    BOOST_TEST(std::holds_alternative<LaunchRefused>(state.launch(launch, start)));
    BOOST_TEST(state.report(WorkerRevision(), start).tasks_.empty());
}

BOOST_AUTO_TEST_CASE(throttle_slows_compute_but_not_sleep)
{
    WorkerState computes = worker();
    WorkerState sleeps = worker();
    computes.launch(launchOf("compute 500"), start);
    sleeps.launch(launchOf("sleep 500"), start);
    for (WorkerState* state : { &computes, &sleeps })
        BOOST_TEST(state->throttle({ TaskId::of("t"), Attempt(1) }, 0.5, start + 100 * millisecond).ok());
    BOOST_TEST((computes.nextEnd() == start + 900 * millisecond));
    BOOST_TEST((sleeps.nextEnd() == start + 500 * millisecond));
    BOOST_TEST(!computes.throttle({ TaskId::of("t"), Attempt(1) }, 1.5, start).ok());
}

BOOST_AUTO_TEST_CASE(failing_worker_fails_every_task)
{
    WorkerState state = worker();
    state.failEverything(true);
    state.launch(launchOf("sleep 500"), start);
    BOOST_TEST((only(state, start).state_ == TaskState::Failed));
}

BOOST_AUTO_TEST_CASE(report_lists_changes_since_a_revision_until_forgotten)
{
    WorkerState state = worker();
    state.launch(launchOf("fail 10"), start);
    WorkerRevision launched = state.revision();
    BOOST_TEST(state.report(launched, start).tasks_.empty());
    state.advance(start + 10 * millisecond);
    WorkerReport report = state.report(launched, start);
    BOOST_REQUIRE_EQUAL(report.tasks_.size(), 1U);
    BOOST_TEST((report.tasks_[0].state_ == TaskState::Failed));
    BOOST_TEST(report.tasks_[0].exitCode_ == 1);
    state.forget({ report.tasks_[0].task_ });
    BOOST_TEST(state.report(WorkerRevision(), start).tasks_.empty());
}

BOOST_AUTO_TEST_CASE(usage_is_reported_for_an_earlier_time)
{
    WorkerState state = worker();
    state.launch(launchOf("compute 500 150"), start);
    BOOST_TEST(state.usage(start - millisecond).empty());
    std::vector<TaskUsage> usage = state.usage(start + 250 * millisecond);
    BOOST_REQUIRE_EQUAL(usage.size(), 1U);
    BOOST_TEST(usage[0].used_.milliCores() == 1500);
    BOOST_TEST(usage[0].progress_ == 0.5);
}

BOOST_AUTO_TEST_CASE(malformed_commands_are_refused)
{
    for (const char* command : { "", "sleep", "sleep x", "sleep -1", "run 5", "sleep 1 2 3" }) {
        WorkerState state = worker();
        BOOST_TEST(std::holds_alternative<LaunchRefused>(state.launch(launchOf(command), start)), command);
    }
}

BOOST_AUTO_TEST_SUITE_END()
