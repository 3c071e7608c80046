#include "persimmondoor/routing/Router.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::routing;

namespace {

constexpr Instant start = Instant::fromMicroseconds(0);

membership::WorkerUp worker(const std::string& number)
{
    return { { WorkerName::of("w" + number), FailureDomainName::of("a"), RackName::of("r"), Incarnation(1), Sequence(1), *Address::parse("127.0.0.1:1"),
        { { EndpointName::of("e" + number), ServiceName::of("s"), TeamName::of("t"), 8, 64 } }, false } };
}

Router twoWorkers()
{
    Router router = decide(Router(), ServiceDefined { ServiceName::of("s"), Tier::Paying, std::chrono::seconds(1) }, start).state_;
    router = decide(router, worker("1"), start).state_;
    return decide(router, worker("2"), start).state_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router)

BOOST_AUTO_TEST_CASE(load_spreads_over_endpoints)
{
    Router router = twoWorkers();
    for (int index = 0; index < 60; ++index)
        router = decide(router, Route { RequestId::of("r" + std::to_string(index)), ServiceName::of("s") }, start).state_;
    for (const auto& [name, candidate] : router.candidates())
        BOOST_TEST((candidate.inFlight_ >= 24 && candidate.inFlight_ <= 36));
}

BOOST_AUTO_TEST_CASE(request_without_endpoint_is_rejected)
{
    Router router = decide(twoWorkers(), membership::WorkerGone { WorkerName::of("w1") }, start).state_;
    router = decide(router, membership::WorkerGone { WorkerName::of("w2") }, start).state_;
    RouterDecision decision = decide(router, Route { RequestId::of("r"), ServiceName::of("s") }, start);
    BOOST_TEST(std::holds_alternative<Reject>(decision.actions_.at(0)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(router_failures)

namespace {

membership::WorkerUp workerIn(const std::string& number, const std::string& domain, uint64_t incarnation = 1)
{
    membership::WorkerUp up = worker(number);
    up.announcement_.domain_ = FailureDomainName::of(domain);
    up.announcement_.incarnation_ = Incarnation(incarnation);
    return up;
}

// Four failure domains with two workers each.
Router eightWorkers(Chooser chooser = LeastExpectedTime {})
{
    Router router = decide(Router(RouterOptions { 7, chooser }), ServiceDefined { ServiceName::of("s"), Tier::Paying, std::chrono::seconds(1) }, start).state_;
    for (int index = 0; index < 8; ++index)
        router = decide(router, workerIn(std::to_string(index), std::string(1, static_cast<char>('a' + index / 2))), start).state_;
    return router;
}

Route route(const std::string& id, bool idempotent = false)
{
    return { RequestId::of(id), ServiceName::of("s"), Tier::Paying, idempotent, Duration(0) };
}

Answered answer(const SendTo& sent, AnswerKind kind, NotRunReason reason = NotRunReason::Unspecified)
{
    return { sent.id_, sent.endpoint_, { 0, 0, 8 }, kind, reason };
}

SendTo sentOf(const RouterDecision& decision)
{
    return std::get<SendTo>(decision.actions_.at(0));
}

} // namespace

BOOST_AUTO_TEST_CASE(not_run_is_retried_in_another_domain)
{
    Router router = eightWorkers();
    RouterDecision decision = decide(router, route("r"), start);
    SendTo first = sentOf(decision);
    decision = decide(decision.state_, answer(first, AnswerKind::NotRun, NotRunReason::Unreachable), start);
    SendTo second = sentOf(decision);
    std::map<EndpointName, Candidate> candidates = decision.state_.candidates();
    BOOST_TEST((candidates.at(first.endpoint_).domain_ != candidates.at(second.endpoint_).domain_));
    BOOST_TEST(candidates.at(first.endpoint_).inFlight_ == 0U);
    decision = decide(decision.state_, answer(second, AnswerKind::Done), start);
    BOOST_TEST((decision.actions_ == std::vector<RouterAction> { Deliver { RequestId::of("r"), false } }));
    BOOST_TEST(decision.state_.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(unknown_is_retried_only_if_idempotent)
{
    RouterDecision decision = decide(eightWorkers(), route("r"), start);
    decision = decide(decision.state_, answer(sentOf(decision), AnswerKind::Unknown), start);
    BOOST_TEST((decision.actions_ == std::vector<RouterAction> { Deliver { RequestId::of("r"), true } }));
}

BOOST_AUTO_TEST_CASE(not_run_after_an_unknown_attempt_is_delivered_as_may_have_run)
{
    RouterDecision decision = decide(eightWorkers(), route("r", true), start);
    decision = decide(decision.state_, answer(sentOf(decision), AnswerKind::Unknown), start);
    decision = decide(decision.state_, answer(sentOf(decision), AnswerKind::NotRun, NotRunReason::QueueFull), start);
    decision = decide(decision.state_, answer(sentOf(decision), AnswerKind::NotRun, NotRunReason::QueueFull), start);
    BOOST_TEST((decision.actions_ == std::vector<RouterAction> { Deliver { RequestId::of("r"), true } }));
}

BOOST_AUTO_TEST_CASE(retries_stay_within_their_budget)
{
    Router router = eightWorkers();
    int sent = 0;
    for (int index = 0; index < 1000; ++index) {
        RouterDecision decision = decide(std::move(router), route("r" + std::to_string(index)), start);
        while (!decision.actions_.empty() && std::holds_alternative<SendTo>(decision.actions_.at(0))) {
            ++sent;
            SendTo last = sentOf(decision);
            decision = decide(std::move(decision.state_), answer(last, AnswerKind::NotRun, NotRunReason::QueueFull), start);
        }
        router = std::move(decision.state_);
    }
    BOOST_TEST(sent >= 1000);
    BOOST_TEST(sent <= 1000 + 1000 * RetryBudget::retriesPerHundredRequests / 100 + RetryBudget::maximumSavedRetries);
}

BOOST_AUTO_TEST_CASE(draining_endpoint_gets_no_requests_and_costs_no_retry_budget)
{
    Router router = eightWorkers();
    RouterDecision decision = decide(router, route("r"), start);
    SendTo first = sentOf(decision);
    decision = decide(decision.state_, answer(first, AnswerKind::NotRun, NotRunReason::Draining), start);
    BOOST_TEST(sentOf(decision).endpoint_.value() != first.endpoint_.value());
    router = decision.state_;
    for (int index = 0; index < 100; ++index) {
        decision = decide(std::move(router), route("n" + std::to_string(index)), start);
        if (const auto* sent = std::get_if<SendTo>(&decision.actions_.at(0)))
            BOOST_TEST(sent->endpoint_.value() != first.endpoint_.value());
        router = decision.state_;
    }
    router = decide(router, workerIn(first.worker_.value().substr(1), "a", 2), start).state_;
    BOOST_TEST(!router.candidates().at(first.endpoint_).isDraining_);
}

// All endpoints fail. At most half of them are ejected, so that requests are still sent.
BOOST_AUTO_TEST_CASE(at_most_half_of_the_endpoints_are_ejected)
{
    Router router = eightWorkers();
    for (int index = 0; index < 400; ++index) {
        RouterDecision decision = decide(std::move(router), route("r" + std::to_string(index)), start);
        decision = decide(std::move(decision.state_), answer(sentOf(decision), AnswerKind::Unknown), start);
        router = std::move(decision.state_);
    }
    std::map<EndpointName, Candidate> candidates = router.candidates();
    auto ejected = std::count_if(candidates.begin(), candidates.end(), [](const auto& item) { return item.second.ejectedUntil_.has_value(); });
    BOOST_TEST(ejected == 4);
}

// A whole failure domain gives no answers. After a few time-outs its endpoints get only one probe at a time.
BOOST_AUTO_TEST_CASE(silent_domain_gets_only_probes)
{
    Router router = eightWorkers();
    Instant now = start;
    int toSilent = 0;
    for (int index = 0; index < 1000; ++index) {
        RouterDecision decision = decide(std::move(router), route("r" + std::to_string(index)), now);
        SendTo sent = sentOf(decision);
        bool silent = decision.state_.candidates().at(sent.endpoint_).domain_.value() == "a";
        toSilent += silent ? 1 : 0;
        Instant end = silent ? now + std::chrono::seconds(1) : now + std::chrono::milliseconds(5);
        decision = decide(std::move(decision.state_), answer(sent, silent ? AnswerKind::Unknown : AnswerKind::Done), end);
        router = std::move(decision.state_);
        now = now + std::chrono::milliseconds(5);
    }
    // Two endpoints: each fails three times and is then probed a few times within the five seconds.
    BOOST_TEST(toSilent >= 2);
    BOOST_TEST(toSilent <= 16);
}

BOOST_AUTO_TEST_CASE(short_caller_deadline_ejects_no_endpoint)
{
    Router router = eightWorkers();
    for (int index = 0; index < 200; ++index) {
        Route request = route("r" + std::to_string(index));
        request.timeLeft_ = std::chrono::milliseconds(1);
        RouterDecision decision = decide(std::move(router), request, start);
        decision = decide(std::move(decision.state_), answer(sentOf(decision), AnswerKind::Unknown), start + std::chrono::milliseconds(1));
        router = std::move(decision.state_);
    }
    for (const auto& [name, candidate] : router.candidates())
        BOOST_TEST(!candidate.ejectedUntil_.has_value());
}

BOOST_AUTO_TEST_CASE(recovered_endpoint_is_probed_once_and_then_used)
{
    Router router = decide(Router(), ServiceDefined { ServiceName::of("s"), Tier::Paying, std::chrono::seconds(1) }, start).state_;
    router = decide(router, workerIn("1", "a"), start).state_;
    router = decide(router, workerIn("2", "b"), start).state_;
    int count = 0;
    while (!router.candidates().at(EndpointName::of("e1")).ejectedUntil_) {
        RouterDecision decision = decide(router, route("f" + std::to_string(++count)), start);
        bool fails = sentOf(decision).endpoint_.value() == "e1";
        router = decide(decision.state_, answer(sentOf(decision), fails ? AnswerKind::Unknown : AnswerKind::Done), start).state_;
    }
    Instant later = start + firstEjection;
    int probes = 0;
    std::optional<SendTo> probe;
    for (int index = 0; index < 40; ++index) {
        RouterDecision decision = decide(router, route("p" + std::to_string(index)), later);
        router = decision.state_;
        if (sentOf(decision).endpoint_.value() == "e1") {
            ++probes;
            probe = sentOf(decision);
        }
    }
    BOOST_TEST(probes == 1);
    BOOST_REQUIRE(probe.has_value());
    router = decide(router, answer(*probe, AnswerKind::Done), later).state_;
    BOOST_TEST(!router.candidates().at(EndpointName::of("e1")).ejectedUntil_.has_value());
}

BOOST_AUTO_TEST_CASE(trial_requests_reach_their_load_limit_before_paying_ones)
{
    Router router = eightWorkers();
    auto sendAll = [&](Tier tier) {
        int sent = 0;
        for (int index = 0; index < 1000; ++index) {
            Route request = route(std::string(describe(tier)) + std::to_string(index));
            request.tier_ = tier;
            RouterDecision decision = decide(std::move(router), request, start);
            sent += std::holds_alternative<SendTo>(decision.actions_.at(0)) ? 1 : 0;
            router = std::move(decision.state_);
        }
        return sent;
    };
    BOOST_TEST(sendAll(Tier::Trial) == 8 * 8 * 2);
    BOOST_TEST(sendAll(Tier::Paying) == 8 * 8 * 3);
}

// An entry that has just started knows one endpoint at first and sends it no more requests than its load limit.
BOOST_AUTO_TEST_CASE(first_endpoint_of_a_cold_entry_is_not_flooded)
{
    Router router = decide(Router(), ServiceDefined { ServiceName::of("s"), Tier::Paying, std::chrono::seconds(1) }, start).state_;
    router = decide(router, workerIn("1", "a"), start).state_;
    for (int index = 0; index < 1000; ++index)
        router = decide(std::move(router), route("r" + std::to_string(index)), start).state_;
    BOOST_TEST(router.candidates().at(EndpointName::of("e1")).inFlight_ == 40U);
}

BOOST_AUTO_TEST_CASE(cancelled_request_is_no_longer_in_flight)
{
    RouterDecision decision = decide(eightWorkers(), route("r"), start);
    SendTo sent = sentOf(decision);
    decision = decide(decision.state_, Cancelled { RequestId::of("r") }, start);
    BOOST_TEST(decision.state_.candidates().at(sent.endpoint_).inFlight_ == 0U);
    BOOST_TEST(decide(decision.state_, answer(sent, AnswerKind::Done), start).actions_.empty());
}

BOOST_AUTO_TEST_CASE(answer_of_an_earlier_incarnation_does_not_count_for_the_new_one)
{
    RouterDecision decision = decide(eightWorkers(), route("r"), start);
    SendTo sent = sentOf(decision);
    Router router = decide(decision.state_, workerIn(sent.worker_.value().substr(1), "a", 2), start).state_;
    decision = decide(router, answer(sent, AnswerKind::Unknown), start);
    BOOST_TEST(decision.state_.candidates().at(sent.endpoint_).failures_ == 0U);
    BOOST_TEST(decision.actions_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
