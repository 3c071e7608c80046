#include "HostSimulation.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::hosting;

namespace {

constexpr Duration second = std::chrono::seconds(1);
constexpr PartitionNumber partition(7);

struct Fixture {
    Fixture() { simulation_.report(); }
    ~Fixture()
    {
        for (const std::string& violation : simulation_.violations())
            BOOST_TEST(false, violation);
    }
    Fixture(const Fixture&) = delete;
    Fixture& operator=(const Fixture&) = delete;

    // Starts a task and delivers the worker's launch and report.
    void run(const std::string& task, uint64_t attempt, int64_t milliCores, const std::string& command = "sleep 60000")
    {
        BOOST_TEST(!simulation_.start(startOrder(simulation_, task, attempt, milliCores, command)).has_value());
        simulation_.performAll();
        simulation_.report();
    }

    std::optional<StartRefusal> refusal(const StartOrder& order)
    {
        auto outcome = simulation_.start(order);
        if (!outcome || !std::holds_alternative<StartRefused>(*outcome))
            return std::nullopt;
        return std::get<StartRefused>(*outcome).reason_;
    }

    template <typename Event>
    size_t count()
    {
        size_t found = 0;
        for (const HostEvent& event : simulation_.events(partition))
            found += std::holds_alternative<Event>(event.event_) ? 1 : 0;
        return found;
    }

    HostSimulation simulation_ { *Resources::create(4000, 0, 0) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(host, Fixture)

BOOST_AUTO_TEST_CASE(start_is_answered_when_the_worker_has_launched)
{
    run("t", 1, 1000);
    BOOST_TEST((simulation_.startAnswers_.at(CallNumber(1)) == StartOutcome(Started {})));
    BOOST_TEST(simulation_.runningAtWorker().size() == 1U);
    BOOST_TEST(count<TaskStarted>() == 1U);
    BOOST_TEST(simulation_.host_.offer(simulation_.now_).free_.milliCores() == 3000);
}

BOOST_AUTO_TEST_CASE(repeated_start_is_answered_and_starts_once)
{
    StartOrder order = startOrder(simulation_, "t", 1, 1000);
    simulation_.start(order);
    simulation_.start(order);
    simulation_.performAll();
    BOOST_TEST((simulation_.startAnswers_.at(CallNumber(1)) == StartOutcome(Started {})));
    BOOST_TEST((simulation_.startAnswers_.at(CallNumber(2)) == StartOutcome(Started {})));
    BOOST_TEST((simulation_.start(order) == StartOutcome(Started {})));
    BOOST_TEST(simulation_.runningAtWorker().size() == 1U);
    BOOST_TEST(simulation_.host_.committed().milliCores() == 1000);
}

BOOST_AUTO_TEST_CASE(late_start_of_an_ended_attempt_starts_nothing)
{
    StartOrder order = startOrder(simulation_, "t", 1, 1000, "sleep 10");
    simulation_.start(order);
    simulation_.performAll();
    simulation_.advance(second);
    simulation_.report();
    BOOST_TEST(count<TaskFinished>() == 1U);
    BOOST_TEST((simulation_.start(order) == StartOutcome(Started {})));
    BOOST_TEST(!simulation_.hasCalls());
    // Until the end is acknowledged, an order with a new stamp may arrive as well.
    simulation_.advance(4 * second);
    BOOST_TEST((simulation_.start(startOrder(simulation_, "t", 1, 1000, "sleep 10")) == StartOutcome(Started {})));
    // After that, all orders for the attempt have stale stamps.
    Renewal acknowledgement = renewal(simulation_);
    acknowledgement.acknowledged_ = simulation_.events(partition).back().sequence_;
    simulation_.renew(acknowledgement);
    simulation_.advance(4 * second);
    BOOST_TEST((refusal(order) == StartRefusal::StaleStamp));
}

BOOST_AUTO_TEST_CASE(stale_stamps_are_refused)
{
    StartOrder order = startOrder(simulation_, "t", 1, 1000);
    simulation_.advance(stampLifetime + Duration(1));
    BOOST_TEST((refusal(order) == StartRefusal::StaleStamp));
    order = startOrder(simulation_, "t", 1, 1000);
    simulation_.restartAgent();
    simulation_.report();
    BOOST_TEST((refusal(order) == StartRefusal::StaleStamp));
    order = startOrder(simulation_, "t", 1, 1000);
    order.stamp_.issuedAt_ = simulation_.now_ + second;
    BOOST_TEST((refusal(order) == StartRefusal::StaleStamp));
}

BOOST_AUTO_TEST_CASE(orders_of_a_deposed_owner_are_refused)
{
    run("t", 1, 1000);
    Renewal later = renewal(simulation_);
    later.epoch_ = Epoch(5);
    BOOST_TEST(std::holds_alternative<RenewalAnswer>(simulation_.renew(later)));
    BOOST_TEST((refusal(startOrder(simulation_, "u", 1, 1000)) == StartRefusal::StaleEpoch));
    BOOST_TEST((simulation_.stop(stopOrder("t", 1)) == StopOutcome(StopStaleEpoch {})));
    BOOST_TEST(std::holds_alternative<RenewalStaleEpoch>(simulation_.renew(renewal(simulation_))));
    // Each partition has its own epochs.
    StartOrder other = startOrder(simulation_, "v", 1, 1000);
    other.partition_ = PartitionNumber(8);
    BOOST_TEST(!refusal(other).has_value());
}

BOOST_AUTO_TEST_CASE(stale_attempts_are_refused)
{
    run("t", 3, 1000);
    BOOST_TEST((refusal(startOrder(simulation_, "t", 2, 1000)) == StartRefusal::StaleAttempt));
    BOOST_TEST((simulation_.stop(stopOrder("t", 2)) == StopOutcome(StopUnknownTask {})));
    BOOST_TEST(simulation_.runningAtWorker().size() == 1U);
}

BOOST_AUTO_TEST_CASE(later_attempt_waits_until_the_earlier_one_has_ended)
{
    run("t", 1, 1000);
    BOOST_TEST((refusal(startOrder(simulation_, "t", 2, 1000)) == StartRefusal::EarlierAttemptRuns));
    simulation_.performAll();
    simulation_.report();
    BOOST_TEST(simulation_.runningAtWorker().empty());
    run("t", 2, 1000);
    BOOST_TEST((simulation_.runningAtWorker().at(0) == TaskAttempt { TaskId::of("t"), Attempt(2) }));
}

BOOST_AUTO_TEST_CASE(capacity_race_of_two_owners_has_one_winner)
{
    StartOrder first = startOrder(simulation_, "t", 1, 3000);
    StartOrder second = startOrder(simulation_, "u", 1, 3000);
    second.partition_ = PartitionNumber(8);
    BOOST_TEST(!simulation_.start(first).has_value());
    BOOST_TEST((refusal(second) == StartRefusal::Capacity));
    simulation_.performAll();
    BOOST_TEST(simulation_.runningAtWorker().size() == 1U);
}

BOOST_AUTO_TEST_CASE(capacity_is_free_again_only_when_the_worker_reports_the_end)
{
    run("t", 1, 4000);
    simulation_.stop(stopOrder("t", 1));
    BOOST_TEST((refusal(startOrder(simulation_, "u", 1, 4000)) == StartRefusal::Capacity));
    simulation_.performAll();
    BOOST_TEST((refusal(startOrder(simulation_, "u", 1, 4000)) == StartRefusal::Capacity));
    simulation_.report();
    BOOST_TEST(!refusal(startOrder(simulation_, "u", 1, 4000)).has_value());
}

BOOST_AUTO_TEST_CASE(stop_before_its_start_prevents_the_start)
{
    StartOrder late = startOrder(simulation_, "t", 1, 1000);
    BOOST_TEST((simulation_.stop(stopOrder("t", 1)) == StopOutcome(StopUnknownTask {})));
    BOOST_TEST((refusal(late) == StartRefusal::StaleAttempt));
    BOOST_TEST(!simulation_.hasCalls());
}

BOOST_AUTO_TEST_CASE(stop_during_the_launch_stops_after_it)
{
    simulation_.start(startOrder(simulation_, "t", 1, 1000));
    BOOST_TEST((simulation_.stop(stopOrder("t", 1)) == StopOutcome(StopAccepted {})));
    simulation_.performAll();
    simulation_.report();
    BOOST_TEST(simulation_.runningAtWorker().empty());
    BOOST_TEST(count<TaskStopped>() == 1U);
}

BOOST_AUTO_TEST_CASE(repeated_stop_and_checkpoint_end_the_task_once)
{
    run("t", 1, 1000, "compute 60000");
    for (int round = 0; round < 2; ++round)
        BOOST_TEST((simulation_.stop(stopOrder("t", 1, StopKind::Checkpoint)) == StopOutcome(StopAccepted {})));
    simulation_.performAll();
    simulation_.report();
    BOOST_TEST((simulation_.stop(stopOrder("t", 1, StopKind::Checkpoint)) == StopOutcome(StopUnknownTask {})));
    BOOST_TEST(count<TaskCheckpointed>() == 1U);
    BOOST_TEST(count<TaskStopped>() == 1U);
}

BOOST_AUTO_TEST_CASE(checkpoint_with_a_lost_reply_is_read_from_the_report)
{
    run("t", 1, 1000, "compute 60000");
    simulation_.stop(stopOrder("t", 1, StopKind::Checkpoint));
    simulation_.performNext(WorkerCallResult::ReplyLost);
    simulation_.report();
    BOOST_TEST(count<TaskCheckpointed>() == 1U);
}

BOOST_AUTO_TEST_CASE(task_is_stopped_without_a_checkpoint_if_none_can_be_made)
{
    run("t", 1, 1000, "compute 60000");
    simulation_.stop(stopOrder("t", 1, StopKind::Checkpoint));
    for (int tries = 0; tries < maximumCheckpointTries; ++tries) {
        simulation_.performNext(WorkerCallResult::Unavailable);
        simulation_.advance(second);
    }
    simulation_.performAll();
    simulation_.report();
    BOOST_TEST(count<TaskCheckpointed>() == 0U);
    BOOST_TEST(count<TaskStopped>() == 1U);
}

BOOST_AUTO_TEST_CASE(launch_with_a_lost_reply_is_repeated)
{
    simulation_.start(startOrder(simulation_, "t", 1, 1000));
    simulation_.performNext(WorkerCallResult::ReplyLost);
    BOOST_TEST(simulation_.startAnswers_.empty());
    BOOST_TEST(simulation_.runningAtWorker().size() == 1U);
    simulation_.advance(second);
    simulation_.performAll();
    BOOST_TEST((simulation_.startAnswers_.at(CallNumber(1)) == StartOutcome(Started {})));
    BOOST_TEST(simulation_.runningAtWorker().size() == 1U);
}

BOOST_AUTO_TEST_CASE(failed_repeat_of_a_launch_with_a_lost_reply_keeps_the_reservation)
{
    simulation_.start(startOrder(simulation_, "t", 1, 1000));
    simulation_.performNext(WorkerCallResult::ReplyLost);
    simulation_.advance(second);
    simulation_.performNext(WorkerCallResult::Unavailable);
    // The first launch may have taken effect, so its resources stay reserved and a later attempt is refused.
    BOOST_TEST(simulation_.startAnswers_.empty());
    BOOST_TEST(simulation_.host_.committed().milliCores() == 1000);
    BOOST_TEST((refusal(startOrder(simulation_, "t", 2, 1000)) == StartRefusal::EarlierAttemptRuns));
}

BOOST_AUTO_TEST_CASE(unreachable_worker_refuses_and_the_attempt_may_be_repeated)
{
    simulation_.start(startOrder(simulation_, "t", 1, 1000));
    simulation_.performNext(WorkerCallResult::Unavailable);
    BOOST_TEST((std::get<StartRefused>(simulation_.startAnswers_.at(CallNumber(1))).reason_ == StartRefusal::WorkerUnavailable));
    BOOST_TEST(simulation_.host_.committed().milliCores() == 0);
    run("t", 1, 1000);
    BOOST_TEST(simulation_.runningAtWorker().size() == 1U);
}

BOOST_AUTO_TEST_CASE(command_that_the_worker_refuses_fails_the_task)
{
    simulation_.start(startOrder(simulation_, "t", 1, 1000, "dance"));
    simulation_.performAll();
    BOOST_TEST((simulation_.startAnswers_.at(CallNumber(1)) == StartOutcome(Started {})));
    BOOST_TEST(count<TaskFailed>() == 1U);
    BOOST_TEST(simulation_.host_.committed().milliCores() == 0);
}

BOOST_AUTO_TEST_CASE(worker_that_fails_everything_reports_failures)
{
    simulation_.worker_.failEverything(true);
    run("t", 1, 1000);
    run("u", 1, 1000);
    BOOST_TEST(count<TaskFailed>() == 2U);
    BOOST_TEST(simulation_.host_.committed().milliCores() == 0);
}

BOOST_AUTO_TEST_CASE(task_whose_lease_expires_is_checkpointed_stopped_and_reported)
{
    run("t", 1, 1000, "compute 60000");
    for (int seconds = 0; seconds < 30; ++seconds) {
        simulation_.advance(second);
        simulation_.performAll();
        simulation_.report();
    }
    BOOST_TEST(simulation_.runningAtWorker().empty());
    BOOST_TEST(count<TaskCheckpointed>() == 1U);
    BOOST_TEST(count<TaskLeaseLapsed>() == 1U);
    BOOST_TEST(count<TaskStopped>() == 0U);
}

BOOST_AUTO_TEST_CASE(worker_ends_a_task_at_its_lease_without_the_agent)
{
    run("t", 1, 1000);
    simulation_.now_ = simulation_.now_ + 30 * second;
    simulation_.worker_.advance(simulation_.now_);
    BOOST_TEST(simulation_.runningAtWorker().empty());
    simulation_.report();
    BOOST_TEST(count<TaskLeaseLapsed>() == 1U);
}

BOOST_AUTO_TEST_CASE(renewal_extends_from_its_stamp)
{
    run("t", 1, 1000);
    Renewal early = renewal(simulation_);
    simulation_.advance(20 * second);
    simulation_.renew(renewal(simulation_));
    simulation_.performAll();
    // A delayed renewal neither shortens nor extends the lease.
    BOOST_TEST(std::get<RenewalAnswer>(simulation_.renew(early)).renewed_);
    BOOST_TEST(!simulation_.hasCalls());
    simulation_.advance(25 * second);
    simulation_.performAll();
    simulation_.report();
    BOOST_TEST(simulation_.runningAtWorker().size() == 1U);
    Renewal foreign = renewal(simulation_);
    foreign.stamp_.incarnation_ = Incarnation(99);
    BOOST_TEST(!std::get<RenewalAnswer>(simulation_.renew(foreign)).renewed_);
}

BOOST_AUTO_TEST_CASE(events_stay_until_acknowledged)
{
    run("t", 1, 1000, "sleep 10");
    simulation_.advance(second);
    simulation_.report();
    std::vector<HostEvent> events = simulation_.events(partition);
    BOOST_REQUIRE_EQUAL(events.size(), 2U);
    BOOST_TEST((simulation_.events(partition) == events));
    Renewal order = renewal(simulation_);
    order.acknowledged_ = events[0].sequence_;
    BOOST_TEST(std::get<RenewalAnswer>(simulation_.renew(order)).events_.size() == 1U);
    BOOST_TEST(!simulation_.hasCalls());
    order.acknowledged_ = events[1].sequence_;
    BOOST_TEST(std::get<RenewalAnswer>(simulation_.renew(order)).events_.empty());
    // The worker may drop its record of the task only after the end is acknowledged.
    BOOST_TEST(simulation_.hasCalls());
}

BOOST_AUTO_TEST_CASE(running_attempts_are_listed_only_if_the_digests_differ)
{
    run("t", 1, 1000);
    run("u", 4, 1000);
    std::vector<TaskAttempt> running { { TaskId::of("u"), Attempt(4) }, { TaskId::of("t"), Attempt(1) } };
    Renewal order = renewal(simulation_);
    order.digest_ = digestOf(running);
    BOOST_TEST(std::get<RenewalAnswer>(simulation_.renew(order)).running_.empty());
    order.digest_ = digestOf({ running[0] });
    BOOST_TEST(std::get<RenewalAnswer>(simulation_.renew(order)).running_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(unwanted_attempts_are_stopped_and_cannot_start)
{
    run("t", 1, 1000);
    StartOrder late = startOrder(simulation_, "u", 1, 1000);
    Renewal order = renewal(simulation_);
    order.unwanted_ = { { TaskId::of("t"), Attempt(1) }, { TaskId::of("u"), Attempt(1) } };
    simulation_.renew(order);
    simulation_.performAll();
    simulation_.report();
    BOOST_TEST(simulation_.runningAtWorker().empty());
    BOOST_TEST((refusal(late) == StartRefusal::StaleAttempt));
}

BOOST_AUTO_TEST_CASE(restarted_agent_accepts_nothing_before_its_workers_first_report)
{
    run("t", 1, 3000);
    run("u", 1, 1000, "sleep 10");
    simulation_.advance(second);
    simulation_.restartAgent();
    BOOST_TEST(!simulation_.host_.offer(simulation_.now_).accepting_);
    BOOST_TEST((refusal(startOrder(simulation_, "v", 1, 1000)) == StartRefusal::WorkerUnavailable));
    BOOST_TEST((simulation_.stop(stopOrder("t", 1)) == StopOutcome(StopNotReady {})));
    BOOST_TEST(std::holds_alternative<RenewalNotReady>(simulation_.renew(renewal(simulation_))));
    simulation_.report();
    BOOST_TEST(simulation_.host_.committed().milliCores() == 3000);
    BOOST_TEST((refusal(startOrder(simulation_, "v", 1, 2000)) == StartRefusal::Capacity));
    // The end that was not acknowledged before the restart is reported again, with a higher sequence.
    BOOST_TEST(count<TaskFinished>() == 1U);
    BOOST_TEST((simulation_.stop(stopOrder("t", 1)) == StopOutcome(StopAccepted {})));
}

BOOST_AUTO_TEST_CASE(sequences_increase_across_restarts)
{
    run("t", 1, 1000, "sleep 10");
    simulation_.advance(second);
    simulation_.report();
    Sequence before = simulation_.events(partition).back().sequence_;
    simulation_.restartAgent();
    simulation_.report();
    BOOST_TEST((simulation_.events(partition).front().sequence_ > before));
}

BOOST_AUTO_TEST_CASE(agent_refuses_starts_during_its_startup_delay)
{
    HostSettings settings { WorkerName::of("w"), FailureDomainName::of("d"), RackName::of("r"), simulation_.capacity_, Incarnation(1), 2 * second };
    simulation_.host_ = Host(settings, simulation_.now_);
    simulation_.report();
    BOOST_TEST((refusal(startOrder(simulation_, "t", 1, 1000)) == StartRefusal::WorkerUnavailable));
    simulation_.advance(2 * second);
    BOOST_TEST(!refusal(startOrder(simulation_, "t", 1, 1000)).has_value());
}

BOOST_AUTO_TEST_CASE(tasks_of_a_restarted_worker_fail)
{
    run("t", 1, 1000);
    simulation_.restartWorker();
    simulation_.report();
    BOOST_TEST(count<TaskFailed>() == 1U);
    BOOST_TEST(simulation_.host_.committed().milliCores() == 0);
}

BOOST_AUTO_TEST_CASE(draining_agent_refuses_starts_and_renews)
{
    run("t", 1, 1000);
    simulation_.deliver(DrainBegan {});
    BOOST_TEST((refusal(startOrder(simulation_, "u", 1, 1000)) == StartRefusal::Draining));
    BOOST_TEST(std::get<RenewalAnswer>(simulation_.renew(renewal(simulation_))).renewed_);
    BOOST_TEST(simulation_.runningAtWorker().size() == 1U);
}

BOOST_AUTO_TEST_CASE(pressure_is_offered)
{
    simulation_.deliver(PressureChanged { 0.7, false });
    HostOffer offer = simulation_.host_.offer(simulation_.now_);
    BOOST_TEST(offer.pressure_ == 0.7);
    BOOST_TEST(!offer.accepting_);
}

BOOST_AUTO_TEST_SUITE_END()
