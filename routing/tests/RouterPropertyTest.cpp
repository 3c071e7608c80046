// Properties of the router over seeded random sequences of messages, with lost, repeated and reordered ones.
#include "persimmondoor/routing/Router.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace persimmondoor;
using namespace persimmondoor::routing;

namespace {

struct Model {
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

RouterMessage anyAnswer(Model& model)
{
    if (model.sent_.empty())
        return membership::WorkerGone { WorkerName::of("w1") };
    auto position = model.sent_.begin();
    std::advance(position, *rc::gen::inRange<size_t>(0, model.sent_.size()));
    AnswerKind kind = *rc::gen::element(AnswerKind::Done, AnswerKind::NotRun, AnswerKind::Unknown);
    NotRunReason reason = *rc::gen::element(NotRunReason::Unreachable, NotRunReason::QueueFull, NotRunReason::Draining, NotRunReason::Unspecified);
    return Answered { position->first, position->second.endpoint_, { 1, 1, 2 }, kind, reason };
}

RouterMessage anyMessage(Model& model)
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return anyWorker();
    case 1:
        return membership::WorkerGone { WorkerName::of("w" + std::to_string(*rc::gen::inRange(0, 5))) };
    case 2:
        return Cancelled { RequestId::of("r" + std::to_string(*rc::gen::inRange(0, model.next_ + 1))) };
    case 3:
    case 4:
    case 5: {
        Route route { RequestId::of("r" + std::to_string(model.next_++)), ServiceName::of("s"), Tier::Paying, *rc::gen::arbitrary<bool>(), Duration(0) };
        if (route.idempotent_)
            model.idempotent_.insert(route.id_);
        return route;
    }
    default:
        return anyAnswer(model);
    }
}

void step(Model& model, const RouterMessage& message)
{
    if (const auto* answered = std::get_if<Answered>(&message)) {
        model.sent_.erase(answered->id_);
        if (answered->kind_ == AnswerKind::Unknown)
            model.mayHaveRun_.insert(answered->id_);
    }
    if (const auto* cancelled = std::get_if<Cancelled>(&message))
        model.sent_.erase(cancelled->id_);
    RouterDecision decision = decide(model.router_, message, model.now_);
    model.router_ = decision.state_;
    for (const RouterAction& action : decision.actions_) {
        if (const auto* sent = std::get_if<SendTo>(&action)) {
            RC_ASSERT(model.idempotent_.contains(sent->id_) || !model.mayHaveRun_.contains(sent->id_));
            RC_ASSERT(model.sent_.emplace(sent->id_, *sent).second);
        }
        if (const auto* deliver = std::get_if<Deliver>(&action))
            RC_ASSERT(deliver->mayHaveRun_ == model.mayHaveRun_.contains(deliver->id_));
    }
    RC_ASSERT(model.router_.inFlight() == model.sent_.size());
    uint32_t inFlight = 0;
    for (const auto& [name, candidate] : model.router_.candidates())
        inFlight += candidate.inFlight_;
    RC_ASSERT(inFlight <= model.sent_.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_properties)

BOOST_AUTO_TEST_CASE(request_that_may_have_run_is_resent_only_if_idempotent)
{
    bool holds = rc::check("a request that may have run is resent only if idempotent; each request has one attempt at a time", [] {
        Model model;
        int steps = *rc::gen::inRange(1, 200);
        for (int count = 0; count < steps; ++count) {
            model.now_ = model.now_ + Duration(*rc::gen::inRange(0, 20'000));
            step(model, anyMessage(model));
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
