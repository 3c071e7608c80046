// The gate's actor against a service instance that fails, delays or mixes up its responses.
#include "persimmondoor/admission/GateActor.h"
#include "FakeBackend.h"
#include "persimmondoor/admission/Client.h"
#include "persimmondoor/rpc/Loop.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::admission;
using namespace persimmondoor::admission::testing;
namespace asio = boost::asio;

namespace {

constexpr Duration requestTimeout = std::chrono::seconds(2);

ServiceRequest request(const std::string& id, Duration timeLeft = requestTimeout)
{
    return { RequestId::of(id), ServiceName::of("s"), EndpointName::of("e"), Tier::Paying, false, timeLeft, "POST", "/", {}, "" };
}

struct Fixture {
    rpc::Loop loop_;
    asio::any_io_executor executor_ = loop_.context().get_executor();
    FakeBackend backend_ { executor_ };
    GateActor gate_ = makeGate(2, 2);

    GateActor makeGate(uint32_t slots, uint32_t connections) const
    {
        return *GateActor::create(executor_, SteadyClock(), { { { EndpointName::of("e"), slots, connections }, backend_.address() } });
    }

    static asio::awaitable<void> store(GateActor gate, ServiceRequest request, std::shared_ptr<std::vector<RequestOutcome>> outcomes)
    {
        ServiceAnswer answer = co_await gate.serve(std::move(request));
        outcomes->push_back(answer.outcome_);
    }

    // Serves the requests one after another and returns their outcomes.
    std::vector<RequestOutcome> serveInOrder(std::vector<ServiceRequest> requests)
    {
        auto outcomes = std::make_shared<std::vector<RequestOutcome>>();
        auto body = [](GateActor gate, std::vector<ServiceRequest> all, std::shared_ptr<std::vector<RequestOutcome>> results, rpc::Loop* loop) -> asio::awaitable<void> {
            for (ServiceRequest& one : all)
                co_await store(gate, std::move(one), results);
            loop->context().stop();
        };
        spawn(executor_, "requests", body(gate_, std::move(requests), outcomes, &loop_));
        run();
        return *outcomes;
    }

    void run()
    {
        loop_.context().restart();
        loop_.context().run();
    }

    void runFor(std::chrono::milliseconds time)
    {
        loop_.context().restart();
        loop_.context().run_for(time);
    }

    EndpointLoad load()
    {
        EndpointLoad result;
        auto body = [](GateActor gate, EndpointLoad* into, rpc::Loop* loop) -> asio::awaitable<void> {
            *into = co_await gate.load(EndpointName::of("e"));
            loop->context().stop();
        };
        spawn(executor_, "load", body(gate_, &result, &loop_));
        run();
        return result;
    }
};

std::string bodyOf(const RequestOutcome& outcome)
{
    const auto* done = std::get_if<Done>(&outcome);
    return done ? done->body_ : std::string("no answer");
}

bool isUnknown(const RequestOutcome& outcome)
{
    return std::holds_alternative<Unknown>(outcome);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(gate_actor, Fixture)

BOOST_AUTO_TEST_CASE(complete_answer_is_done)
{
    std::vector<RequestOutcome> outcomes = serveInOrder({ request("r1"), request("r2") });
    BOOST_TEST(bodyOf(outcomes.at(0)) == "plain");
    BOOST_TEST(bodyOf(outcomes.at(1)) == "plain");
    BOOST_TEST(backend_.connections() == 1);
}

BOOST_AUTO_TEST_CASE(closed_early_truncated_garbage_and_endless_answers_are_unknown)
{
    backend_.script({ Close {}, Send { "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort", Duration(0), true }, Send { "nonsense\r\n\r\n" },
        Send { "HTTP/1.1 200 OK\r\n\r\nends with the connection", Duration(0), true } });
    std::vector<RequestOutcome> outcomes = serveInOrder({ request("r1"), request("r2"), request("r3"), request("r4"), request("r5") });
    for (size_t index = 0; index < 4; ++index)
        BOOST_TEST(isUnknown(outcomes.at(index)), "request " << index + 1);
    BOOST_TEST(bodyOf(outcomes.at(4)) == "plain");
    BOOST_TEST(backend_.requests() == 5);
}

BOOST_AUTO_TEST_CASE(late_answer_is_not_attributed_to_the_next_request)
{
    backend_.script({ Send { okAnswer("late"), std::chrono::milliseconds(150) }, Send { okAnswer("second") } });
    std::vector<RequestOutcome> outcomes = serveInOrder({ request("r1", std::chrono::milliseconds(50)), request("r2") });
    BOOST_TEST(isUnknown(outcomes.at(0)));
    BOOST_TEST(bodyOf(outcomes.at(1)) == "second");
}

// The instance responds twice to the first request; the second copy must not become the response to the second
// request.
BOOST_AUTO_TEST_CASE(stray_answer_on_an_idle_connection_closes_the_connection)
{
    backend_.script({ Send { okAnswer("first") + okAnswer("stray") }, Send { okAnswer("second") } });
    std::vector<RequestOutcome> outcomes = serveInOrder({ request("r1"), request("r2") });
    BOOST_TEST(bodyOf(outcomes.at(0)) == "first");
    BOOST_TEST(bodyOf(outcomes.at(1)) == "second");
}

BOOST_AUTO_TEST_CASE(answer_with_the_id_of_another_request_is_unknown)
{
    backend_.script({ Send { okAnswer("crossed", "Persimmondoor-Request-Id: r2\r\n") }, Send { okAnswer("own", "Persimmondoor-Request-Id: r2\r\n") } });
    std::vector<RequestOutcome> outcomes = serveInOrder({ request("r1"), request("r2") });
    BOOST_TEST(isUnknown(outcomes.at(0)));
    BOOST_TEST(bodyOf(outcomes.at(1)) == "own");
}

BOOST_AUTO_TEST_CASE(connection_closed_while_idle_is_replaced)
{
    backend_.script({ Send { okAnswer("first"), Duration(0), true } });
    BOOST_TEST(bodyOf(serveInOrder({ request("r1") }).at(0)) == "first");
    runFor(std::chrono::milliseconds(20));
    BOOST_TEST(bodyOf(serveInOrder({ request("r2") }).at(0)) == "plain");
}

BOOST_AUTO_TEST_CASE(refused_connection_is_not_run)
{
    Address closed;
    {
        FakeBackend closedBackend(executor_);
        closed = closedBackend.address();
    }
    gate_ = *GateActor::create(executor_, SteadyClock(), { { { EndpointName::of("e"), 1, 1 }, closed.withPort(1) } });
    std::vector<RequestOutcome> outcomes = serveInOrder({ request("r1"), request("r1") });
    for (const RequestOutcome& outcome : outcomes)
        BOOST_TEST((std::get<NotRun>(outcome).reason_ == NotRunReason::Unreachable));
}

BOOST_AUTO_TEST_CASE(oversized_answer_is_unknown_and_never_truncated)
{
    backend_.script({ Send { okAnswer(std::string(maximumAnswerBytes, 'x')) }, Send { okAnswer(std::string(maximumAnswerBytes + 1, 'x')) } });
    std::vector<RequestOutcome> outcomes = serveInOrder({ request("r1"), request("r2") });
    BOOST_TEST(bodyOf(outcomes.at(0)).size() == maximumAnswerBytes);
    BOOST_TEST(isUnknown(outcomes.at(1)));
}

BOOST_AUTO_TEST_CASE(repeated_id_is_handed_over_once)
{
    std::vector<RequestOutcome> outcomes = serveInOrder({ request("r1"), request("r1") });
    BOOST_TEST(bodyOf(outcomes.at(0)) == "plain");
    BOOST_TEST(isUnknown(outcomes.at(1)));
    BOOST_TEST(backend_.requests() == 1);
}

// While all 64 connections hang, the 65th request is refused at its deadline and no 65th connection is opened.
BOOST_AUTO_TEST_CASE(exhausted_connections_refuse_as_not_run)
{
    gate_ = makeGate(64, 64);
    backend_.script(std::deque<Behaviour>(64, Hang {}));
    auto hanging = std::make_shared<std::vector<RequestOutcome>>();
    for (int index = 0; index < 64; ++index)
        spawn(executor_, "hanging", store(gate_, request("h" + std::to_string(index)), hanging));
    std::vector<RequestOutcome> outcomes = serveInOrder({ request("r", std::chrono::milliseconds(300)) });
    BOOST_TEST((std::get<NotRun>(outcomes.at(0)).reason_ == NotRunReason::Deadline));
    BOOST_TEST(backend_.requests() == 64);
    BOOST_TEST(backend_.mostConnections() == 64);
}

BOOST_AUTO_TEST_CASE(full_mailbox_drops_no_exchange_result)
{
    auto outcomes = std::make_shared<std::vector<RequestOutcome>>();
    spawn(executor_, "first", store(gate_, request("first"), outcomes));
    // More messages than the mailbox holds, posted before the actor runs again.
    for (int index = 0; index < 6000; ++index)
        spawn(executor_, "flood", store(gate_, request("f" + std::to_string(index)), outcomes));
    while (outcomes->size() < 6001)
        runFor(std::chrono::milliseconds(10));
    BOOST_TEST((load() == EndpointLoad { 0, 0, 2 }));
    auto done = std::count_if(outcomes->begin(), outcomes->end(), [](const RequestOutcome& outcome) { return std::holds_alternative<Done>(outcome); });
    BOOST_TEST(done == backend_.requests());
    BOOST_TEST(done >= 1);
}

BOOST_AUTO_TEST_CASE(cancelled_request_leaves_the_queue)
{
    gate_ = makeGate(1, 1);
    backend_.script({ Send { okAnswer("slow"), std::chrono::milliseconds(100) } });
    auto outcomes = std::make_shared<std::vector<RequestOutcome>>();
    spawn(executor_, "first", store(gate_, request("r1"), outcomes));
    asio::cancellation_signal signal;
    asio::co_spawn(executor_, store(gate_, request("r2"), outcomes), asio::bind_cancellation_slot(signal.slot(), [](const std::exception_ptr&) {}));
    runFor(std::chrono::milliseconds(30));
    BOOST_TEST((load() == EndpointLoad { 1, 1, 1 }));
    signal.emit(asio::cancellation_type::terminal);
    runFor(std::chrono::milliseconds(10));
    BOOST_TEST((load() == EndpointLoad { 1, 0, 1 }));
    runFor(std::chrono::milliseconds(200));
    BOOST_TEST(backend_.requests() == 1);
    BOOST_TEST((load() == EndpointLoad { 0, 0, 1 }));
}

BOOST_AUTO_TEST_CASE(drain_waits_for_running_requests_and_counts_unfinished_ones)
{
    backend_.script({ Send { okAnswer("slow"), std::chrono::milliseconds(60) }, Hang {} });
    auto outcomes = std::make_shared<std::vector<RequestOutcome>>();
    auto unfinished = std::make_shared<std::vector<size_t>>();
    auto drainInto = [](GateActor gate, Duration limit, std::shared_ptr<std::vector<size_t>> into) -> asio::awaitable<void> { into->push_back(co_await gate.drain(limit)); };
    spawn(executor_, "first", store(gate_, request("r1"), outcomes));
    runFor(std::chrono::milliseconds(20));
    spawn(executor_, "drain", drainInto(gate_, requestTimeout, unfinished));
    runFor(std::chrono::milliseconds(200));
    BOOST_TEST(bodyOf(outcomes->at(0)) == "slow");
    BOOST_TEST((*unfinished == std::vector<size_t> { 0 }));
    gate_ = makeGate(2, 2);
    spawn(executor_, "second", store(gate_, request("r2"), outcomes));
    runFor(std::chrono::milliseconds(20));
    spawn(executor_, "drain", drainInto(gate_, std::chrono::milliseconds(50), unfinished));
    runFor(std::chrono::milliseconds(200));
    BOOST_TEST((*unfinished == std::vector<size_t> { 0, 1 }));
}

BOOST_AUTO_TEST_SUITE_END()
