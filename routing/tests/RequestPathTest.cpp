// The request path from an entry's HTTP front end through agents to service instances, with agents and instances that
// fail.
#include "../../admission/tests/FakeBackend.h"
#include "persimmondoor/admission/GateActor.h"
#include "persimmondoor/http/Client.h"
#include "persimmondoor/http/Server.h"
#include "persimmondoor/routing/EndpointsRoute.h"
#include "persimmondoor/routing/HTTPFront.h"
#include "persimmondoor/rpc/Loop.h"
#include "persimmondoor/rpc/Server.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::routing;
using namespace persimmondoor::admission::testing;
namespace asio = boost::asio;

namespace {

// An agent with one endpoint, which belongs to one service instance.
struct Worker {
    Worker(const asio::any_io_executor& executor, const std::string& number, uint32_t slots)
        : name_(WorkerName::of("w" + number))
        , endpoint_(EndpointName::of("e" + number))
        , backend_(executor)
        , gate_(*admission::GateActor::create(executor, SteadyClock(), { { { endpoint_, slots, slots }, backend_.address() } }))
    {
        rpc::Interfaces interfaces;
        admission::offerAdmission(interfaces, executor, gate_);
        server_ = *rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), std::move(interfaces));
        address_ = server_->address();
    }

    membership::WorkerUp up(const std::string& domain, uint32_t slots) const
    {
        return { { name_, FailureDomainName::of(domain), RackName::of("r"), Incarnation(1), Sequence(1), address_,
            { { endpoint_, ServiceName::of("s"), TeamName::of("t"), slots, slots } }, false } };
    }

    WorkerName name_;
    EndpointName endpoint_;
    FakeBackend backend_;
    admission::GateActor gate_;
    std::unique_ptr<rpc::Server> server_;
    Address address_;
};

struct Fixture {
    Fixture()
        : router_(executor_, SteadyClock(), RouterOptions { 3, LeastOfTwo {} })
    {
        router_.tryUpdate(ServiceDefined { ServiceName::of("s"), Tier::Paying, std::chrono::seconds(2) });
        http::Limits limits;
        limits.cancelsOnDisconnect_ = true;
        front_ = *http::Server::listen(executor_, *Address::parse("127.0.0.1:0"), limits, makeHTTPFront(ProcessName::of("entry"), router_));
    }

    Worker& addWorker(uint32_t slots = 2)
    {
        std::string number = std::to_string(workers_.size());
        workers_.push_back(std::make_unique<Worker>(executor_, number, slots));
        router_.tryUpdate(workers_.back()->up("d" + number, slots));
        return *workers_.back();
    }

    static asio::awaitable<void> exchange(asio::any_io_executor executor, Address address, http::Request request, std::shared_ptr<std::vector<http::ExchangeOutcome>> results)
    {
        results->push_back(co_await http::exchangeOnce(executor, address, std::move(request), std::chrono::seconds(5)));
    }

    // Sends the request through the HTTP front end and returns the answer.
    http::Response call(http::Request request)
    {
        auto outcomes = std::make_shared<std::vector<http::ExchangeOutcome>>();
        spawn(executor_, "caller", exchange(executor_, front_->address(), std::move(request), outcomes));
        runUntil([&] { return !outcomes->empty(); });
        BOOST_REQUIRE(std::holds_alternative<http::Response>(outcomes->at(0)));
        return std::get<http::Response>(outcomes->at(0));
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        for (int iteration = 0; iteration < 1000 && !condition(); ++iteration)
            runFor(std::chrono::milliseconds(5));
        BOOST_TEST(condition());
    }

    void runFor(std::chrono::milliseconds time)
    {
        loop_.context().restart();
        loop_.context().run_for(time);
    }

    std::map<EndpointName, Candidate> endpoints()
    {
        auto result = std::make_shared<std::optional<std::map<EndpointName, Candidate>>>();
        auto ask = [](RouterActor router, std::shared_ptr<std::optional<std::map<EndpointName, Candidate>>> results) -> asio::awaitable<void> { *results = co_await router.endpoints(); };
        spawn(executor_, "ask", ask(router_, result));
        runUntil([&] { return result->has_value(); });
        return **result;
    }

    rpc::Loop loop_;
    asio::any_io_executor executor_ = loop_.context().get_executor();
    RouterActor router_;
    std::unique_ptr<http::Server> front_;
    std::vector<std::unique_ptr<Worker>> workers_;
};

http::Request post(const std::string& deadlineMilliseconds = "2000")
{
    return { "POST", "/services/s/run", { { std::string(deadlineHeader), deadlineMilliseconds } }, "body" };
}

std::string outcomeOf(const http::Response& response)
{
    return http::findHeader(response.headers_, outcomeHeader).value_or("none");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_path, Fixture)

BOOST_AUTO_TEST_CASE(complete_answer_is_returned_with_its_outcome)
{
    addWorker();
    http::Response response = call(post());
    BOOST_TEST(response.status_ == 200);
    BOOST_TEST(response.body_ == "plain");
    BOOST_TEST(outcomeOf(response) == "done");
}

BOOST_AUTO_TEST_CASE(agent_dead_before_hand_over_is_not_run_and_retried_elsewhere)
{
    Worker& dead = addWorker();
    dead.server_->close();
    http::Response alone = call(post());
    BOOST_TEST(alone.status_ == 503);
    BOOST_TEST(outcomeOf(alone) == "not-run");
    BOOST_TEST(http::findHeader(alone.headers_, reasonHeader).value_or("") == "unreachable");
    addWorker();
    for (int index = 0; index < 6; ++index)
        BOOST_TEST(outcomeOf(call(post())) == "done");
    BOOST_TEST(dead.backend_.requests() == 0);
}

// The agent crashes while the instance runs the request: the request may have run, so a non-idempotent one is not resent.
BOOST_AUTO_TEST_CASE(agent_dead_during_the_exchange_is_unknown)
{
    Worker& dying = addWorker();
    dying.backend_.script({ Hang {} });
    auto outcomes = std::make_shared<std::vector<http::ExchangeOutcome>>();
    spawn(executor_, "caller", exchange(executor_, front_->address(), post(), outcomes));
    runUntil([&] { return dying.backend_.requests() == 1; });
    Worker& other = addWorker();
    dying.server_->close();
    runUntil([&] { return !outcomes->empty(); });
    auto response = std::get<http::Response>(outcomes->at(0));
    BOOST_TEST(response.status_ == 504);
    BOOST_TEST(outcomeOf(response) == "unknown");
    BOOST_TEST(other.backend_.requests() == 0);
}

BOOST_AUTO_TEST_CASE(idempotent_request_is_retried_when_its_agent_dies)
{
    Worker& dying = addWorker();
    dying.backend_.script({ Hang {} });
    auto outcomes = std::make_shared<std::vector<http::ExchangeOutcome>>();
    http::Request request = post();
    request.method_ = "GET";
    spawn(executor_, "caller", exchange(executor_, front_->address(), request, outcomes));
    runUntil([&] { return dying.backend_.requests() == 1; });
    Worker& other = addWorker();
    dying.server_->close();
    runUntil([&] { return !outcomes->empty(); });
    BOOST_TEST(outcomeOf(std::get<http::Response>(outcomes->at(0))) == "done");
    BOOST_TEST(other.backend_.requests() == 1);
}

// The agent crashes after the answer: no request stays in flight and none is resent.
BOOST_AUTO_TEST_CASE(agent_dead_after_the_answer_changes_nothing)
{
    Worker& worker = addWorker();
    BOOST_TEST(outcomeOf(call(post())) == "done");
    worker.server_->close();
    BOOST_TEST(endpoints().at(worker.endpoint_).inFlight_ == 0U);
    BOOST_TEST(worker.backend_.requests() == 1);
}

BOOST_AUTO_TEST_CASE(hanging_instance_is_unknown_at_the_deadline)
{
    addWorker().backend_.script({ Hang {} });
    http::Response response = call(post("100"));
    BOOST_TEST(response.status_ == 504);
    BOOST_TEST(outcomeOf(response) == "unknown");
}

BOOST_AUTO_TEST_CASE(disconnected_caller_releases_what_its_request_held)
{
    Worker& worker = addWorker(1);
    worker.backend_.script({ Send { okAnswer("slow"), std::chrono::milliseconds(150) } });
    auto outcomes = std::make_shared<std::vector<http::ExchangeOutcome>>();
    spawn(executor_, "first", exchange(executor_, front_->address(), post(), outcomes));
    runUntil([&] { return worker.backend_.requests() == 1; });
    // Waits in the agent's queue and disconnects after 40 ms.
    auto disconnectEarly = [](asio::any_io_executor executor, Address address, http::Request request) -> asio::awaitable<void> {
        co_await http::exchangeOnce(executor, address, std::move(request), std::chrono::milliseconds(40));
    };
    spawn(executor_, "second", disconnectEarly(executor_, front_->address(), post()));
    runUntil([&] { return front_->inFlight() == 2; });
    runUntil([&] { return front_->inFlight() == 1; });
    BOOST_TEST(endpoints().at(worker.endpoint_).inFlight_ == 1U);
    runUntil([&] { return !outcomes->empty(); });
    BOOST_TEST(outcomeOf(std::get<http::Response>(outcomes->at(0))) == "done");
    BOOST_TEST(outcomeOf(call(post())) == "done");
    BOOST_TEST(worker.backend_.requests() == 2);
}

BOOST_AUTO_TEST_CASE(drain_of_one_endpoint_loses_no_request)
{
    Worker& leaving = addWorker();
    Worker& staying = addWorker();
    auto outcomes = std::make_shared<std::vector<http::ExchangeOutcome>>();
    for (int index = 0; index < 4; ++index) {
        leaving.backend_.script(std::deque<Behaviour>(4, Send { okAnswer("slow"), std::chrono::milliseconds(50) }));
        spawn(executor_, "caller", exchange(executor_, front_->address(), post(), outcomes));
    }
    runFor(std::chrono::milliseconds(20));
    auto left = std::make_shared<std::vector<size_t>>();
    auto drain = [](admission::GateActor gate, std::shared_ptr<std::vector<size_t>> results) -> asio::awaitable<void> { results->push_back(co_await gate.drain(std::chrono::seconds(5))); };
    spawn(executor_, "drain", drain(leaving.gate_, left));
    runFor(std::chrono::milliseconds(10));
    for (int index = 0; index < 40; ++index)
        BOOST_TEST(outcomeOf(call(post())) == "done");
    runUntil([&] { return outcomes->size() == 4 && left->size() == 1; });
    for (const http::ExchangeOutcome& outcome : *outcomes)
        BOOST_TEST(outcomeOf(std::get<http::Response>(outcome)) == "done");
    BOOST_TEST(left->at(0) == 0U);
    BOOST_TEST(leaving.backend_.requests() + staying.backend_.requests() == 44);
}

BOOST_AUTO_TEST_CASE(malformed_headers_are_refused_with_a_reason)
{
    addWorker();
    for (const HeaderField& field : { HeaderField { std::string(deadlineHeader), "soon" }, HeaderField { std::string(idempotentHeader), "maybe" }, HeaderField { std::string(tierHeader), "gold" } }) {
        http::Response response = call({ "POST", "/services/s/run", { field }, "" });
        BOOST_TEST(response.status_ == 400);
        BOOST_TEST(outcomeOf(response) == "not-run");
    }
}

BOOST_AUTO_TEST_CASE(operators_see_the_endpoints)
{
    addWorker();
    http::Routes routes;
    offerEndpoints(routes, router_);
    auto server = *http::Server::listen(executor_, *Address::parse("127.0.0.1:0"), {}, routes.handler());
    auto outcomes = std::make_shared<std::vector<http::ExchangeOutcome>>();
    spawn(executor_, "operator", exchange(executor_, server->address(), { "GET", "/v1/endpoints?service=s", {}, "" }, outcomes));
    runUntil([&] { return !outcomes->empty(); });
    BOOST_TEST(std::get<http::Response>(outcomes->at(0)).body_.find("\"endpoint\":\"e0\",\"worker\":\"w0\",\"domain\":\"d0\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
