#include "persimmondoor/rpc/Loop.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/rpc/Call.h"
#include "persimmondoor/rpc/Link.h"
#include "persimmondoor/rpc/Server.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;

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

BOOST_AUTO_TEST_SUITE_END()
