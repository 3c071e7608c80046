#include "persimmondoor/http/Pool.h"

#include "persimmondoor/core/Coroutine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace persimmondoor::http {

namespace asio = boost::asio;

static constexpr Duration callLimit = std::chrono::milliseconds(100);

// A server whose open connections can go silent: they stay open, and what arrives on them is lost.
class SilenceableServer {
public:
    explicit SilenceableServer(asio::io_context& context)
        : acceptor_(context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        spawn(context.get_executor(), "accept", accept());
    }

    Address address() const { return *Address::parse("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())); }
    // Silences the connections that are open now.
    void silenceOpenConnections() { firstAnswered_ = accepted_; }
    int accepted() const { return accepted_; }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            asio::ip::tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            spawn(co_await asio::this_coro::executor, "serve", serve(std::move(socket), accepted_++));
        }
    }
    asio::awaitable<void> serve(asio::ip::tcp::socket socket, int number)
    {
        std::string input;
        boost::system::error_code error;
        for (;;) {
            size_t size = co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            input.erase(0, size);
            // Lets several exchanges overlap, so that each opens a connection of its own.
            co_await sleepFor(std::chrono::milliseconds(10));
            if (number < firstAnswered_)
                continue;
            std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    int accepted_ { 0 };
    int firstAnswered_ { 0 };
};

static asio::awaitable<void> callOnce(Pool pool, int& answered)
{
    Request request { "GET", "/", { { "Host", "h" } }, "" };
    ExchangeOutcome outcome = co_await exchange(pool, std::move(request), callLimit, Repeat::Allowed);
    answered += std::holds_alternative<Response>(outcome) ? 1 : 0;
}

static asio::awaitable<void> leaveIdleConnections(Pool pool, int count)
{
    int answered = 0;
    for (int call = 0; call < count; ++call)
        spawn(co_await asio::this_coro::executor, "call", callOnce(pool, answered));
    for (int wait = 0; wait < 1000 && answered < count; ++wait)
        co_await sleepFor(std::chrono::milliseconds(5));
}

static void run(asio::io_context& context, asio::awaitable<void> body)
{
    bool ended = false;
    asio::co_spawn(context, std::move(body), [&](const std::exception_ptr& error) {
        ended = true;
        context.stop();
        if (error)
            std::rethrow_exception(error);
    });
    context.run_for(std::chrono::seconds(20));
    BOOST_REQUIRE(ended);
}

BOOST_AUTO_TEST_SUITE(http_pool)

// Guards against a worker that is not reached until its leases have expired, as the agent tries its silent idle connections one by one.
BOOST_AUTO_TEST_CASE(one_time_out_is_enough_to_leave_silent_connections)
{
    asio::io_context context;
    SilenceableServer server(context);
    run(context, [](SilenceableServer& server, asio::any_io_executor executor) -> asio::awaitable<void> {
        Pool pool = Pool::create(executor, server.address());
        co_await leaveIdleConnections(pool, 8);
        BOOST_REQUIRE(server.accepted() == 8);
        server.silenceOpenConnections();
        int answered = 0;
        co_await callOnce(pool, answered);
        BOOST_TEST(answered == 0);
        co_await callOnce(pool, answered);
        BOOST_TEST(answered == 1);
    }(server, context.get_executor()));
}

// Guards against connections that are opened anew for each call.
BOOST_AUTO_TEST_CASE(connections_that_answer_are_kept)
{
    asio::io_context context;
    SilenceableServer server(context);
    run(context, [](SilenceableServer& server, asio::any_io_executor executor) -> asio::awaitable<void> {
        Pool pool = Pool::create(executor, server.address());
        co_await leaveIdleConnections(pool, 8);
        int answered = 0;
        for (int call = 0; call < 4; ++call)
            co_await callOnce(pool, answered);
        BOOST_TEST(answered == 4);
        BOOST_TEST(server.accepted() == 8);
    }(server, context.get_executor()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::http
