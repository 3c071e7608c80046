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

BOOST_AUTO_TEST_CASE(slots_are_never_exceeded_and_paying_goes_first)
{
    GateDecision decision = decide(oneSlot(), arrival("r1", Tier::Trial), start);
    BOOST_TEST((decision.actions_ == std::vector<GateAction> { HandOver { RequestId::of("r1"), EndpointName::of("e") } }));
    decision = decide(decision.state_, arrival("r2", Tier::Trial), start);
    BOOST_TEST(decision.actions_.empty());
    decision = decide(decision.state_, arrival("r3", Tier::Paying), start);
    decision = decide(decision.state_, Finished { RequestId::of("r1") }, start);
    BOOST_TEST((decision.actions_ == std::vector<GateAction> { HandOver { RequestId::of("r3"), EndpointName::of("e") } }));
}

BOOST_AUTO_TEST_CASE(late_request_is_refused_while_it_waits)
{
    Gate gate = decide(oneSlot(), arrival("r1", Tier::Paying), start).state_;
    gate = decide(gate, arrival("r2", Tier::Paying), start).state_;
    GateDecision decision = decide(gate, DeadlinesChecked {}, start + second);
    BOOST_TEST((decision.actions_ == std::vector<GateAction> { Refuse { RequestId::of("r2"), NotRunReason::Deadline } }));
}

BOOST_AUTO_TEST_CASE(full_queue_refuses_trial_before_paying)
{
    Gate gate = decide(oneSlot(), arrival("r0", Tier::Paying), start).state_;
    for (uint32_t index = 1; index <= queuePerSlot; ++index)
        gate = decide(gate, arrival("t" + std::to_string(index), Tier::Trial), start).state_;
    GateDecision decision = decide(gate, arrival("p", Tier::Paying), start);
    BOOST_TEST((decision.actions_ == std::vector<GateAction> { Refuse { RequestId::of("t4"), NotRunReason::QueueFull } }));
}

BOOST_AUTO_TEST_CASE(drain_refuses_new_and_keeps_what_runs)
{
    Gate gate = decide(oneSlot(), arrival("r1", Tier::Paying), start).state_;
    gate = decide(gate, DrainBegan {}, start).state_;
    BOOST_TEST(gate.running() == 1U);
    BOOST_TEST((decide(gate, arrival("r2", Tier::Paying), start).actions_ == std::vector<GateAction> { Refuse { RequestId::of("r2"), NotRunReason::Draining } }));
}

BOOST_AUTO_TEST_SUITE_END()
