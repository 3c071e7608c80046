// Properties of the router over seeded sequences of messages, with lost, repeated and reordered ones.
#include "persimmondoor/routing/Router.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace persimmondoor;
using namespace persimmondoor::routing;

namespace {

struct Run {
    Router router_ = decide(Router(), ServiceDefined { ServiceName::of("s"), Tier::Paying, std::chrono::milliseconds(200) }, Instant()).state_;
    Instant now_;
    std::map<RequestId, SendTo> sent_;
    std::set<RequestId> idempotent_;
    std::set<RequestId> mayHaveRun_;
    int next_ { 0 };
};

membership::WorkerUp anyWorker()
{
    std::string number = std::to_string(*rc::gen::inRange(0, 5));
    return { { WorkerName::of("w" + number), FailureDomainName::of("d" + number), RackName::of("r"), Incarnation(static_cast<uint64_t>(*rc::gen::inRange(1, 4))), Sequence(1),
        *Address::parse("127.0.0.1:1"), { { EndpointName::of("e" + number), ServiceName::of("s"), TeamName::of("t"), 2, 4 } }, false } };
}

RouterMessage anyAnswer(Run& run)
{
    if (run.sent_.empty())
        return membership::WorkerGone { WorkerName::of("w1") };
    auto position = run.sent_.begin();
    std::advance(position, *rc::gen::inRange<size_t>(0, run.sent_.size()));
    AnswerKind kind = *rc::gen::element(AnswerKind::Done, AnswerKind::NotRun, AnswerKind::Unknown);
    NotRunReason reason = *rc::gen::element(NotRunReason::Unreachable, NotRunReason::QueueFull, NotRunReason::Draining, NotRunReason::Unspecified);
    return Answered { position->first, position->second.endpoint_, { 1, 1, 2 }, kind, reason };
}

RouterMessage anyMessage(Run& run)
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return anyWorker();
    case 1:
        return membership::WorkerGone { WorkerName::of("w" + std::to_string(*rc::gen::inRange(0, 5))) };
    case 2:
        return Forgotten { RequestId::of("r" + std::to_string(*rc::gen::inRange(0, run.next_ + 1))) };
    case 3:
    case 4:
    case 5: {
        Route route { RequestId::of("r" + std::to_string(run.next_++)), ServiceName::of("s"), Tier::Paying, *rc::gen::arbitrary<bool>(), Duration(0) };
        if (route.idempotent_)
            run.idempotent_.insert(route.id_);
        return route;
    }
    default:
        return anyAnswer(run);
    }
}

void step(Run& run, const RouterMessage& message)
{
    if (const auto* answered = std::get_if<Answered>(&message)) {
        run.sent_.erase(answered->id_);
        if (answered->kind_ == AnswerKind::Unknown)
            run.mayHaveRun_.insert(answered->id_);
    }
    if (const auto* forgotten = std::get_if<Forgotten>(&message))
        run.sent_.erase(forgotten->id_);
    RouterDecision decision = decide(run.router_, message, run.now_);
    run.router_ = decision.state_;
    for (const RouterAction& action : decision.actions_) {
        if (const auto* sent = std::get_if<SendTo>(&action)) {
            RC_ASSERT(run.idempotent_.contains(sent->id_) || !run.mayHaveRun_.contains(sent->id_));
            RC_ASSERT(run.sent_.emplace(sent->id_, *sent).second);
        }
        if (const auto* deliver = std::get_if<Deliver>(&action))
            RC_ASSERT(deliver->mayHaveRun_ == run.mayHaveRun_.contains(deliver->id_));
    }
    RC_ASSERT(run.router_.inFlight() == run.sent_.size());
    uint32_t inFlight = 0;
    for (const auto& [name, candidate] : run.router_.candidates())
        inFlight += candidate.inFlight_;
    RC_ASSERT(inFlight <= run.sent_.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_properties)

BOOST_AUTO_TEST_CASE(what_may_have_run_is_not_sent_again)
{
    bool holds = rc::check("what may have run is sent again only if idempotent; each request has one attempt at a time", [] {
        Run run;
        int steps = *rc::gen::inRange(1, 200);
        for (int count = 0; count < steps; ++count) {
            run.now_ = run.now_ + Duration(*rc::gen::inRange(0, 20'000));
            step(run, anyMessage(run));
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
