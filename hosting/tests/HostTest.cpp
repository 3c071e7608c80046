#include "HostWorld.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::hosting;

namespace {

constexpr Duration second = std::chrono::seconds(1);
constexpr PartitionNumber partition(7);

struct Fixture {
    Fixture() { world_.report(); }
    ~Fixture()
    {
        for (const std::string& broken : world_.broken())
            BOOST_TEST(false, broken);
    }
    Fixture(const Fixture&) = delete;
    Fixture& operator=(const Fixture&) = delete;

    // Starts a task and lets the worker launch it.
    void run(const std::string& task, uint64_t attempt, int64_t milliCores, const std::string& command = "sleep 60000")
    {
        BOOST_TEST(!world_.start(startOrder(world_, task, attempt, milliCores, command)).has_value());
        world_.performAll();
        world_.report();
    }

    std::optional<StartRefusal> refusal(const StartOrder& order)
    {
        auto outcome = world_.start(order);
        if (!outcome || !std::holds_alternative<StartRefused>(*outcome))
            return std::nullopt;
        return std::get<StartRefused>(*outcome).reason_;
    }

    template <typename Event>
    size_t count()
    {
        size_t found = 0;
        for (const HostEvent& event : world_.events(partition))
            found += std::holds_alternative<Event>(event.event_) ? 1 : 0;
        return found;
    }

    HostWorld world_ { *Resources::create(4000, 0, 0) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(host, Fixture)

BOOST_AUTO_TEST_CASE(start_is_answered_when_the_worker_has_launched)
{
    run("t", 1, 1000);
    BOOST_TEST((world_.startAnswers_.at(CallNumber(1)) == StartOutcome(Started {})));
    BOOST_TEST(world_.runningAtWorker().size() == 1U);
    BOOST_TEST(count<TaskStarted>() == 1U);
    BOOST_TEST(world_.host_.offer(world_.now_).free_.milliCores() == 3000);
}

BOOST_AUTO_TEST_CASE(repeated_start_is_answered_and_starts_once)
{
    StartOrder order = startOrder(world_, "t", 1, 1000);
    world_.start(order);
    world_.start(order);
    world_.performAll();
    BOOST_TEST((world_.startAnswers_.at(CallNumber(1)) == StartOutcome(Started {})));
    BOOST_TEST((world_.startAnswers_.at(CallNumber(2)) == StartOutcome(Started {})));
    BOOST_TEST((world_.start(order) == StartOutcome(Started {})));
    BOOST_TEST(world_.runningAtWorker().size() == 1U);
    BOOST_TEST(world_.host_.committed().milliCores() == 1000);
}

BOOST_AUTO_TEST_CASE(late_start_of_an_ended_attempt_starts_nothing)
{
    StartOrder order = startOrder(world_, "t", 1, 1000, "sleep 10");
    world_.start(order);
    world_.performAll();
    world_.pass(second);
    world_.report();
    BOOST_TEST(count<TaskFinished>() == 1U);
    BOOST_TEST((world_.start(order) == StartOutcome(Started {})));
    BOOST_TEST(!world_.hasCalls());
    // As long as the end is not acknowledged, an order with a new stamp may come as well.
    world_.pass(4 * second);
    BOOST_TEST((world_.start(startOrder(world_, "t", 1, 1000, "sleep 10")) == StartOutcome(Started {})));
    // After that no usable order for the attempt is left.
    Renewal acknowledgement = renewal(world_);
    acknowledgement.acknowledged_ = world_.events(partition).back().sequence_;
    world_.renew(acknowledgement);
    world_.pass(4 * second);
    BOOST_TEST((refusal(order) == StartRefusal::StaleStamp));
}

BOOST_AUTO_TEST_CASE(stale_stamps_are_refused)
{
    StartOrder order = startOrder(world_, "t", 1, 1000);
    world_.pass(stampLifetime + Duration(1));
    BOOST_TEST((refusal(order) == StartRefusal::StaleStamp));
    order = startOrder(world_, "t", 1, 1000);
    world_.restartAgent();
    world_.report();
    BOOST_TEST((refusal(order) == StartRefusal::StaleStamp));
    order = startOrder(world_, "t", 1, 1000);
    order.stamp_.issuedAt_ = world_.now_ + second;
    BOOST_TEST((refusal(order) == StartRefusal::StaleStamp));
}

BOOST_AUTO_TEST_CASE(orders_of_a_deposed_owner_are_refused)
{
    run("t", 1, 1000);
    Renewal later = renewal(world_);
    later.epoch_ = Epoch(5);
    BOOST_TEST(std::holds_alternative<RenewalAnswer>(world_.renew(later)));
    BOOST_TEST((refusal(startOrder(world_, "u", 1, 1000)) == StartRefusal::StaleEpoch));
    BOOST_TEST((world_.stop(stopOrder("t", 1)) == StopOutcome(StopStaleEpoch {})));
    BOOST_TEST(std::holds_alternative<RenewalStaleEpoch>(world_.renew(renewal(world_))));
    // Epochs are those of one partition.
    StartOrder other = startOrder(world_, "v", 1, 1000);
    other.partition_ = PartitionNumber(8);
    BOOST_TEST(!refusal(other).has_value());
}

BOOST_AUTO_TEST_CASE(stale_attempts_are_refused)
{
    run("t", 3, 1000);
    BOOST_TEST((refusal(startOrder(world_, "t", 2, 1000)) == StartRefusal::StaleAttempt));
    BOOST_TEST((world_.stop(stopOrder("t", 2)) == StopOutcome(StopUnknownTask {})));
    BOOST_TEST(world_.runningAtWorker().size() == 1U);
}

BOOST_AUTO_TEST_CASE(later_attempt_waits_until_the_earlier_one_has_ended)
{
    run("t", 1, 1000);
    BOOST_TEST((refusal(startOrder(world_, "t", 2, 1000)) == StartRefusal::EarlierAttemptRuns));
    world_.performAll();
    world_.report();
    BOOST_TEST(world_.runningAtWorker().empty());
    run("t", 2, 1000);
    BOOST_TEST((world_.runningAtWorker().at(0) == TaskAttempt { TaskId::of("t"), Attempt(2) }));
}

BOOST_AUTO_TEST_CASE(capacity_race_of_two_owners_has_one_winner)
{
    StartOrder first = startOrder(world_, "t", 1, 3000);
    StartOrder second = startOrder(world_, "u", 1, 3000);
    second.partition_ = PartitionNumber(8);
    BOOST_TEST(!world_.start(first).has_value());
    BOOST_TEST((refusal(second) == StartRefusal::Capacity));
    world_.performAll();
    BOOST_TEST(world_.runningAtWorker().size() == 1U);
}

BOOST_AUTO_TEST_CASE(capacity_is_free_again_only_when_the_worker_reports_the_end)
{
    run("t", 1, 4000);
    world_.stop(stopOrder("t", 1));
    BOOST_TEST((refusal(startOrder(world_, "u", 1, 4000)) == StartRefusal::Capacity));
    world_.performAll();
    BOOST_TEST((refusal(startOrder(world_, "u", 1, 4000)) == StartRefusal::Capacity));
    world_.report();
    BOOST_TEST(!refusal(startOrder(world_, "u", 1, 4000)).has_value());
}

BOOST_AUTO_TEST_CASE(stop_before_its_start_prevents_the_start)
{
    StartOrder late = startOrder(world_, "t", 1, 1000);
    BOOST_TEST((world_.stop(stopOrder("t", 1)) == StopOutcome(StopUnknownTask {})));
    BOOST_TEST((refusal(late) == StartRefusal::StaleAttempt));
    BOOST_TEST(!world_.hasCalls());
}

BOOST_AUTO_TEST_CASE(stop_during_the_launch_stops_after_it)
{
    world_.start(startOrder(world_, "t", 1, 1000));
    BOOST_TEST((world_.stop(stopOrder("t", 1)) == StopOutcome(StopAccepted {})));
    world_.performAll();
    world_.report();
    BOOST_TEST(world_.runningAtWorker().empty());
    BOOST_TEST(count<TaskStopped>() == 1U);
}

BOOST_AUTO_TEST_CASE(repeated_stop_and_checkpoint_end_the_task_once)
{
    run("t", 1, 1000, "compute 60000");
    for (int round = 0; round < 2; ++round)
        BOOST_TEST((world_.stop(stopOrder("t", 1, StopKind::Checkpoint)) == StopOutcome(StopAccepted {})));
    world_.performAll();
    world_.report();
    BOOST_TEST((world_.stop(stopOrder("t", 1, StopKind::Checkpoint)) == StopOutcome(StopUnknownTask {})));
    BOOST_TEST(count<TaskCheckpointed>() == 1U);
    BOOST_TEST(count<TaskStopped>() == 1U);
}

BOOST_AUTO_TEST_CASE(checkpoint_with_a_lost_reply_is_learned_from_the_report)
{
    run("t", 1, 1000, "compute 60000");
    world_.stop(stopOrder("t", 1, StopKind::Checkpoint));
    world_.performNext(WorkerCallFate::ReplyLost);
    world_.report();
    BOOST_TEST(count<TaskCheckpointed>() == 1U);
}

BOOST_AUTO_TEST_CASE(task_is_stopped_without_a_checkpoint_if_none_can_be_made)
{
    run("t", 1, 1000, "compute 60000");
    world_.stop(stopOrder("t", 1, StopKind::Checkpoint));
    for (int tries = 0; tries < checkpointTries; ++tries) {
        world_.performNext(WorkerCallFate::Unavailable);
        world_.pass(second);
    }
    world_.performAll();
    world_.report();
    BOOST_TEST(count<TaskCheckpointed>() == 0U);
    BOOST_TEST(count<TaskStopped>() == 1U);
}

BOOST_AUTO_TEST_CASE(lost_reply_of_a_launch_is_made_good_by_a_second_one)
{
    world_.start(startOrder(world_, "t", 1, 1000));
    world_.performNext(WorkerCallFate::ReplyLost);
    BOOST_TEST(world_.startAnswers_.empty());
    BOOST_TEST(world_.runningAtWorker().size() == 1U);
    world_.pass(second);
    world_.performAll();
    BOOST_TEST((world_.startAnswers_.at(CallNumber(1)) == StartOutcome(Started {})));
    BOOST_TEST(world_.runningAtWorker().size() == 1U);
}

BOOST_AUTO_TEST_CASE(refused_second_launch_does_not_undo_a_first_with_a_lost_reply)
{
    world_.start(startOrder(world_, "t", 1, 1000));
    world_.performNext(WorkerCallFate::ReplyLost);
    world_.pass(second);
    world_.performNext(WorkerCallFate::Unavailable);
    // The first may have taken effect, so the capacity stays taken and a later attempt waits.
    BOOST_TEST(world_.startAnswers_.empty());
    BOOST_TEST(world_.host_.committed().milliCores() == 1000);
    BOOST_TEST((refusal(startOrder(world_, "t", 2, 1000)) == StartRefusal::EarlierAttemptRuns));
}

BOOST_AUTO_TEST_CASE(unreachable_worker_refuses_and_the_attempt_may_be_repeated)
{
    world_.start(startOrder(world_, "t", 1, 1000));
    world_.performNext(WorkerCallFate::Unavailable);
    BOOST_TEST((std::get<StartRefused>(world_.startAnswers_.at(CallNumber(1))).reason_ == StartRefusal::WorkerUnavailable));
    BOOST_TEST(world_.host_.committed().milliCores() == 0);
    run("t", 1, 1000);
    BOOST_TEST(world_.runningAtWorker().size() == 1U);
}

BOOST_AUTO_TEST_CASE(command_that_the_worker_refuses_fails_the_task)
{
    world_.start(startOrder(world_, "t", 1, 1000, "dance"));
    world_.performAll();
    BOOST_TEST((world_.startAnswers_.at(CallNumber(1)) == StartOutcome(Started {})));
    BOOST_TEST(count<TaskFailed>() == 1U);
    BOOST_TEST(world_.host_.committed().milliCores() == 0);
}

BOOST_AUTO_TEST_CASE(worker_that_fails_everything_reports_failures)
{
    world_.worker_.failEverything(true);
    run("t", 1, 1000);
    run("u", 1, 1000);
    BOOST_TEST(count<TaskFailed>() == 2U);
    BOOST_TEST(world_.host_.committed().milliCores() == 0);
}

BOOST_AUTO_TEST_CASE(task_whose_lease_lapses_is_checkpointed_stopped_and_reported)
{
    run("t", 1, 1000, "compute 60000");
    for (int passed = 0; passed < 30; ++passed) {
        world_.pass(second);
        world_.performAll();
        world_.report();
    }
    BOOST_TEST(world_.runningAtWorker().empty());
    BOOST_TEST(count<TaskCheckpointed>() == 1U);
    BOOST_TEST(count<TaskLeaseLapsed>() == 1U);
    BOOST_TEST(count<TaskStopped>() == 0U);
}

BOOST_AUTO_TEST_CASE(worker_ends_a_task_at_its_lease_without_the_agent)
{
    run("t", 1, 1000);
    world_.now_ = world_.now_ + 30 * second;
    world_.worker_.advance(world_.now_);
    BOOST_TEST(world_.runningAtWorker().empty());
    world_.report();
    BOOST_TEST(count<TaskLeaseLapsed>() == 1U);
}

BOOST_AUTO_TEST_CASE(renewal_extends_from_its_stamp)
{
    run("t", 1, 1000);
    Renewal early = renewal(world_);
    world_.pass(20 * second);
    world_.renew(renewal(world_));
    world_.performAll();
    // An old renewal that arrives late shortens and lengthens nothing.
    BOOST_TEST(std::get<RenewalAnswer>(world_.renew(early)).renewed_);
    BOOST_TEST(!world_.hasCalls());
    world_.pass(25 * second);
    world_.performAll();
    world_.report();
    BOOST_TEST(world_.runningAtWorker().size() == 1U);
    Renewal foreign = renewal(world_);
    foreign.stamp_.incarnation_ = Incarnation(99);
    BOOST_TEST(!std::get<RenewalAnswer>(world_.renew(foreign)).renewed_);
}

BOOST_AUTO_TEST_CASE(events_stay_until_acknowledged)
{
    run("t", 1, 1000, "sleep 10");
    world_.pass(second);
    world_.report();
    std::vector<HostEvent> events = world_.events(partition);
    BOOST_REQUIRE_EQUAL(events.size(), 2U);
    BOOST_TEST((world_.events(partition) == events));
    Renewal order = renewal(world_);
    order.acknowledged_ = events[0].sequence_;
    BOOST_TEST(std::get<RenewalAnswer>(world_.renew(order)).events_.size() == 1U);
    BOOST_TEST(!world_.hasCalls());
    order.acknowledged_ = events[1].sequence_;
    BOOST_TEST(std::get<RenewalAnswer>(world_.renew(order)).events_.empty());
    // Only now may the worker forget the end.
    BOOST_TEST(world_.hasCalls());
}

BOOST_AUTO_TEST_CASE(running_attempts_are_listed_only_if_the_digests_differ)
{
    run("t", 1, 1000);
    run("u", 4, 1000);
    std::vector<TaskAttempt> running { { TaskId::of("u"), Attempt(4) }, { TaskId::of("t"), Attempt(1) } };
    Renewal order = renewal(world_);
    order.digest_ = digestOf(running);
    BOOST_TEST(std::get<RenewalAnswer>(world_.renew(order)).running_.empty());
    order.digest_ = digestOf({ running[0] });
    BOOST_TEST(std::get<RenewalAnswer>(world_.renew(order)).running_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(unwanted_attempts_are_stopped_and_cannot_start)
{
    run("t", 1, 1000);
    StartOrder late = startOrder(world_, "u", 1, 1000);
    Renewal order = renewal(world_);
    order.unwanted_ = { { TaskId::of("t"), Attempt(1) }, { TaskId::of("u"), Attempt(1) } };
    world_.renew(order);
    world_.performAll();
    world_.report();
    BOOST_TEST(world_.runningAtWorker().empty());
    BOOST_TEST((refusal(late) == StartRefusal::StaleAttempt));
}

BOOST_AUTO_TEST_CASE(restarted_agent_accepts_nothing_until_it_knows_its_worker)
{
    run("t", 1, 3000);
    run("u", 1, 1000, "sleep 10");
    world_.pass(second);
    world_.restartAgent();
    BOOST_TEST(!world_.host_.offer(world_.now_).accepting_);
    BOOST_TEST((refusal(startOrder(world_, "v", 1, 1000)) == StartRefusal::WorkerUnavailable));
    BOOST_TEST((world_.stop(stopOrder("t", 1)) == StopOutcome(StopNotReady {})));
    BOOST_TEST(std::holds_alternative<RenewalNotReady>(world_.renew(renewal(world_))));
    world_.report();
    BOOST_TEST(world_.host_.committed().milliCores() == 3000);
    BOOST_TEST((refusal(startOrder(world_, "v", 1, 2000)) == StartRefusal::Capacity));
    // The unacknowledged end of the earlier life is reported again, under a higher sequence.
    BOOST_TEST(count<TaskFinished>() == 1U);
    BOOST_TEST((world_.stop(stopOrder("t", 1)) == StopOutcome(StopAccepted {})));
}

BOOST_AUTO_TEST_CASE(sequences_rise_across_restarts)
{
    run("t", 1, 1000, "sleep 10");
    world_.pass(second);
    world_.report();
    Sequence before = world_.events(partition).back().sequence_;
    world_.restartAgent();
    world_.report();
    BOOST_TEST((world_.events(partition).front().sequence_ > before));
}

BOOST_AUTO_TEST_CASE(agent_that_settles_refuses_starts)
{
    HostSettings settings { WorkerName::of("w"), FailureDomainName::of("d"), RackName::of("r"), world_.capacity_, Incarnation(1), 2 * second };
    world_.host_ = Host(settings, world_.now_);
    world_.report();
    BOOST_TEST((refusal(startOrder(world_, "t", 1, 1000)) == StartRefusal::WorkerUnavailable));
    world_.pass(2 * second);
    BOOST_TEST(!refusal(startOrder(world_, "t", 1, 1000)).has_value());
}

BOOST_AUTO_TEST_CASE(tasks_of_a_restarted_worker_fail)
{
    run("t", 1, 1000);
    world_.restartWorker();
    world_.report();
    BOOST_TEST(count<TaskFailed>() == 1U);
    BOOST_TEST(world_.host_.committed().milliCores() == 0);
}

BOOST_AUTO_TEST_CASE(draining_agent_refuses_starts_and_renews)
{
    run("t", 1, 1000);
    world_.tell(DrainBegan {});
    BOOST_TEST((refusal(startOrder(world_, "u", 1, 1000)) == StartRefusal::Draining));
    BOOST_TEST(std::get<RenewalAnswer>(world_.renew(renewal(world_))).renewed_);
    BOOST_TEST(world_.runningAtWorker().size() == 1U);
}

BOOST_AUTO_TEST_CASE(pressure_is_offered)
{
    world_.tell(PressureChanged { 0.7, false });
    HostOffer offer = world_.host_.offer(world_.now_);
    BOOST_TEST(offer.pressure_ == 0.7);
    BOOST_TEST(!offer.accepting_);
}

BOOST_AUTO_TEST_SUITE_END()
