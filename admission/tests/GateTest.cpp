#include "persimmondoor/admission/Gate.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::admission;

namespace {

constexpr Instant start = Instant::fromMicroseconds(0);
constexpr Duration second = std::chrono::seconds(1);

Gate oneSlot()
{
    return *Gate::create({ { EndpointName::of("e"), 1, 1 } });
}

Arrived arrival(const std::string& id, Tier tier, Duration timeLeft = second)
{
    return { RequestId::of(id), EndpointName::of("e"), tier, start + timeLeft };
}

} // namespace

BOOST_AUTO_TEST_SUITE(gate)

BOOST_AUTO_TEST_CASE(slots_are_never_exceeded_and_paying_is_served_first)
{
    GateDecision decision = decide(oneSlot(), arrival("r1", Tier::Trial), start);
    BOOST_TEST((decision.actions_ == std::vector<GateAction> { HandOver { RequestId::of("r1"), EndpointName::of("e") } }));
    decision = decide(decision.state_, arrival("r2", Tier::Trial), start);
    BOOST_TEST(decision.actions_.empty());
    decision = decide(decision.state_, arrival("r3", Tier::Paying), start);
    decision = decide(decision.state_, Finished { RequestId::of("r1") }, start);
    BOOST_TEST((decision.actions_ == std::vector<GateAction> { HandOver { RequestId::of("r3"), EndpointName::of("e") } }));
}

BOOST_AUTO_TEST_CASE(queued_request_is_refused_at_its_deadline)
{
    Gate gate = decide(oneSlot(), arrival("r1", Tier::Paying), start).state_;
    gate = decide(gate, arrival("r2", Tier::Paying), start).state_;
    GateDecision decision = decide(gate, DeadlineCheckDue {}, start + second);
    BOOST_TEST((decision.actions_ == std::vector<GateAction> { Refuse { RequestId::of("r2"), NotRunReason::Deadline }, Abandon { RequestId::of("r1") } }));
    BOOST_TEST(decide(decision.state_, DeadlineCheckDue {}, start + second).actions_.empty());
}

BOOST_AUTO_TEST_CASE(abandoned_request_keeps_its_slot_until_the_instance_is_done)
{
    Gate gate = decide(oneSlot(), arrival("r1", Tier::Paying), start).state_;
    gate = decide(gate, DeadlineCheckDue {}, start + second).state_;
    GateDecision decision = decide(gate, arrival("r2", Tier::Paying, 3 * second), start + second);
    BOOST_TEST(decision.actions_.empty());
    decision = decide(decision.state_, Finished { RequestId::of("r1") }, start + second);
    BOOST_TEST((decision.actions_ == std::vector<GateAction> { HandOver { RequestId::of("r2"), EndpointName::of("e") } }));
}

BOOST_AUTO_TEST_CASE(no_id_is_handed_over_twice_within_the_retention)
{
    Gate gate = decide(oneSlot(), arrival("r1", Tier::Paying), start).state_;
    BOOST_TEST((decide(gate, arrival("r1", Tier::Paying), start).actions_ == std::vector<GateAction> { AnswerDuplicate { RequestId::of("r1") } }));
    gate = decide(gate, Finished { RequestId::of("r1") }, start).state_;
    BOOST_TEST((decide(gate, arrival("r1", Tier::Paying), start).actions_ == std::vector<GateAction> { AnswerDuplicate { RequestId::of("r1") } }));
    gate = decide(gate, DeadlineCheckDue {}, start + finishedRetention + Duration(1)).state_;
    BOOST_TEST(gate.finished() == 0U);
}

BOOST_AUTO_TEST_CASE(request_that_never_reached_the_instance_may_be_sent_again)
{
    Gate gate = decide(oneSlot(), arrival("r1", Tier::Paying), start).state_;
    gate = decide(gate, Finished { RequestId::of("r1"), false }, start).state_;
    BOOST_TEST((decide(gate, arrival("r1", Tier::Paying), start).actions_ == std::vector<GateAction> { HandOver { RequestId::of("r1"), EndpointName::of("e") } }));
}

BOOST_AUTO_TEST_CASE(finished_ids_are_bounded)
{
    Gate gate = oneSlot();
    for (size_t index = 0; index < maximumFinishedIds + 10; ++index) {
        gate = decide(std::move(gate), arrival("r" + std::to_string(index), Tier::Paying), start).state_;
        gate = decide(std::move(gate), Finished { RequestId::of("r" + std::to_string(index)) }, start).state_;
    }
    BOOST_TEST(gate.finished() == maximumFinishedIds);
}

BOOST_AUTO_TEST_CASE(cancelled_request_leaves_the_queue)
{
    Gate gate = decide(oneSlot(), arrival("r1", Tier::Paying), start).state_;
    gate = decide(gate, arrival("r2", Tier::Paying), start).state_;
    gate = decide(gate, Cancelled { RequestId::of("r2") }, start).state_;
    BOOST_TEST((gate.load(EndpointName::of("e")) == EndpointLoad { 1, 0, 1 }));
    BOOST_TEST(decide(gate, Finished { RequestId::of("r1") }, start).actions_.empty());
}

BOOST_AUTO_TEST_CASE(request_that_would_wait_beyond_its_deadline_is_refused_on_arrival)
{
    Gate gate = decide(oneSlot(), arrival("r1", Tier::Paying), start).state_;
    gate = decide(gate, Finished { RequestId::of("r1") }, start + second).state_;
    Instant later = start + second;
    gate = decide(gate, arrival("r2", Tier::Paying, 9 * second), later).state_;
    gate = decide(gate, arrival("r3", Tier::Paying, 9 * second), later).state_;
    BOOST_TEST((decide(gate, arrival("r4", Tier::Paying, second + second), later).actions_ == std::vector<GateAction> { Refuse { RequestId::of("r4"), NotRunReason::Deadline } }));
    BOOST_TEST(decide(gate, arrival("r5", Tier::Paying, 9 * second), later).actions_.empty());
}

BOOST_AUTO_TEST_CASE(full_queue_refuses_trial_before_paying)
{
    Gate gate = decide(oneSlot(), arrival("r0", Tier::Paying), start).state_;
    for (uint32_t index = 1; index <= queuePerSlot; ++index)
        gate = decide(gate, arrival("t" + std::to_string(index), Tier::Trial), start).state_;
    GateDecision decision = decide(gate, arrival("p", Tier::Paying), start);
    BOOST_TEST((decision.actions_ == std::vector<GateAction> { Refuse { RequestId::of("t4"), NotRunReason::QueueFull } }));
}

BOOST_AUTO_TEST_CASE(drain_refuses_new_requests_and_keeps_running_ones)
{
    Gate gate = decide(oneSlot(), arrival("r1", Tier::Paying), start).state_;
    gate = decide(gate, DrainBegan {}, start).state_;
    BOOST_TEST(gate.running() == 1U);
    BOOST_TEST((decide(gate, arrival("r2", Tier::Paying), start).actions_ == std::vector<GateAction> { Refuse { RequestId::of("r2"), NotRunReason::Draining } }));
}

BOOST_AUTO_TEST_SUITE_END()
