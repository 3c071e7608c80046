// Properties of the gate over seeded random sequences of messages that are repeated, lost and reordered.
#include "persimmondoor/admission/Gate.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace persimmondoor;
using namespace persimmondoor::admission;

namespace {

constexpr uint32_t slots = 2;

// A gate, and the state that its actions imply for an observer.
struct Run {
    Gate gate_ = *Gate::create({ { EndpointName::of("a"), slots, 4 }, { EndpointName::of("b"), slots, 4 } });
    Instant now_ = Instant::fromMicroseconds(0);
    std::map<RequestId, EndpointName> running_;
    std::map<RequestId, int> handedOver_;
    std::map<RequestId, int> refused_;
    std::set<RequestId> offered_;
};

RequestId anyId()
{
    return RequestId::of("r" + std::to_string(*rc::gen::inRange(0, 60)));
}

void observe(Run& run, const std::vector<GateAction>& actions)
{
    for (const GateAction& action : actions) {
        if (const auto* handOver = std::get_if<HandOver>(&action)) {
            run.running_.emplace(handOver->id_, handOver->endpoint_);
            RC_ASSERT(++run.handedOver_[handOver->id_] == 1);
        }
        if (const auto* refuse = std::get_if<Refuse>(&action)) {
            ++run.refused_[refuse->id_];
            RC_ASSERT(!run.handedOver_.contains(refuse->id_));
        }
    }
    for (const char* endpoint : { "a", "b" }) {
        auto atEndpoint = std::count_if(run.running_.begin(), run.running_.end(), [&](const auto& item) { return item.second.value() == endpoint; });
        RC_ASSERT(atEndpoint <= slots);
    }
    RC_ASSERT(run.gate_.running() == run.running_.size());
    RC_ASSERT(run.gate_.load(EndpointName::of("a")).queued_ <= slots * queuePerSlot);
}

GateMessage anyMessage(Run& run)
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
    case 2:
    case 3:
        return Arrived { anyId(), EndpointName::of(*rc::gen::arbitrary<bool>() ? "a" : "b"), *rc::gen::arbitrary<bool>() ? Tier::Paying : Tier::Trial,
            run.now_ + Duration(*rc::gen::inRange(0, 300'000)) };
    case 4:
    case 5:
        return Finished { run.running_.empty() ? anyId() : run.running_.begin()->first };
    case 6:
        return Cancelled { anyId() };
    default:
        return DeadlineCheckDue {};
    }
}

void step(Run& run, const GateMessage& message)
{
    if (const auto* finished = std::get_if<Finished>(&message))
        run.running_.erase(finished->id_);
    GateDecision decision = decide(run.gate_, message, run.now_);
    run.gate_ = decision.state_;
    observe(run, decision.actions_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(gate_properties)

BOOST_AUTO_TEST_CASE(slots_hold_and_no_id_is_handed_over_twice)
{
    bool holds = rc::check("no endpoint exceeds its slots, no id is handed over twice, no refused request was handed over", [] {
        Run run;
        int steps = *rc::gen::inRange(1, 200);
        for (int count = 0; count < steps; ++count) {
            run.now_ = run.now_ + Duration(*rc::gen::inRange(0, 50'000));
            step(run, anyMessage(run));
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(drain_ends_with_nothing_in_flight)
{
    bool holds = rc::check("after a drain and the end of every exchange no request is in flight", [] {
        Run run;
        for (int count = 0; count < 50; ++count)
            step(run, anyMessage(run));
        run.gate_ = decide(run.gate_, DrainBegan {}, run.now_).state_;
        while (run.gate_.inFlight() > 0) {
            RC_ASSERT(!run.running_.empty());
            step(run, Finished { run.running_.begin()->first });
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
