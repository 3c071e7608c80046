#include "persimmondoor/rpc/Loop.h"
#include "Directory.capnp.h"
#include "OverLimitReport.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/rpc/Call.h"
#include "persimmondoor/rpc/Link.h"
#include "persimmondoor/rpc/Server.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace persimmondoor;

// An interface that answers each call at once.
class AnsweringServer final : public rpc::wire::Directory::Server {
public:
    kj::Promise<void> find(FindContext) override { return kj::READY_NOW; }
};

static uint64_t timesLogged(std::string_view event)
{
    uint64_t times = 0;
    for (const auto& [name, count] : countedEvents())
        times += name == event ? count : 0;
    return times;
}

BOOST_AUTO_TEST_SUITE(loop)

// A coroutine that still waits when the loop is destroyed holds promises, which must be destroyed before Cap'n Proto's
// loop.
BOOST_AUTO_TEST_CASE(waiting_calls_are_destroyed_before_the_loop)
{
    rpc::Loop loop;
    auto executor = loop.context().get_executor();
    auto server = rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), rpc::Interfaces());
    BOOST_REQUIRE(server.ok());
    rpc::Link link(executor, (*server)->address());
    spawn(executor, "caller", [](rpc::Link target) -> boost::asio::awaitable<void> {
        auto found = co_await target.find("missing");
        kj::Promise<int> never = kj::NEVER_DONE;
        co_await rpc::call(kj::mv(never), [](int& value) { return value; });
    }(link));
    loop.context().run_for(std::chrono::milliseconds(50));
    BOOST_TEST(rpc::bytesSent() > 0U);
}

BOOST_AUTO_TEST_CASE(lost_connection_is_unavailable_and_reopened)
{
    rpc::Loop loop;
    auto executor = loop.context().get_executor();
    Address address = (*rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), rpc::Interfaces()))->address();
    rpc::Link link(executor, address);
    absl::StatusCode refused = absl::StatusCode::kOk;
    bool isReopened = false;
    std::unique_ptr<rpc::Server> server;
    // The lambda has a name, as its coroutine refers to its captures while it runs.
    auto callTwice = [&]() -> boost::asio::awaitable<void> {
        refused = (co_await link.find("x")).status().code();
        server = *rpc::Server::listen(executor, address, rpc::Interfaces());
        isReopened = (co_await link.find("x")).ok();
        loop.context().stop();
    };
    spawn(executor, "caller", callTwice());
    loop.context().run();
    BOOST_TEST((refused == absl::StatusCode::kUnavailable));
    BOOST_TEST(isReopened);
}

// Load: many peers that stay connected and call again and again, at a server with room for six open calls.
BOOST_AUTO_TEST_CASE(peers_that_take_their_answers_are_not_closed_however_often_they_call)
{
    rpc::Loop loop;
    auto executor = loop.context().get_executor();
    rpc::Interfaces interfaces;
    interfaces.add("answering", kj::heap<AnsweringServer>());
    rpc::Limits limits;
    limits.memoryBytes_ = 64 * 1024;
    auto server = rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), std::move(interfaces), limits);
    BOOST_REQUIRE(server.ok());
    uint64_t closedBefore = timesLogged("connection.displaced");
    std::vector<rpc::Link> links;
    constexpr size_t peers = 20;
    links.reserve(peers);
    for (size_t peer = 0; peer < peers; ++peer)
        links.emplace_back(executor, (*server)->address());
    size_t answers = 0;
    auto callOften = [&]() -> boost::asio::awaitable<void> {
        for (int round = 0; round < 10; ++round) {
            for (rpc::Link& link : links) {
                auto found = co_await link.find("answering");
                if (!found.ok())
                    continue;
                auto answer = co_await rpc::call(found->castAs<rpc::wire::Directory>().findRequest().send(), [](auto&) { return true; });
                answers += answer.ok() ? 1 : 0;
            }
        }
        loop.context().stop();
    };
    spawn(executor, "caller", callOften());
    loop.context().run_for(std::chrono::seconds(20));
    BOOST_TEST(answers == 10 * links.size());
    BOOST_TEST(timesLogged("connection.displaced") == closedBefore);
}

// Guards against rates in the metrics that include the summaries in the log.
BOOST_AUTO_TEST_CASE(event_beyond_the_limits_is_counted_once)
{
    uint64_t before = timesLogged("message.not_received");
    rpc::reportOverLimit("message.not_received", "the message did not arrive in time");
    BOOST_TEST(timesLogged("message.not_received") == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()
