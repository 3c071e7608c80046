#include "persimmondoor/http/Server.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace persimmondoor::http {

namespace asio = boost::asio;

// Lowers the limit of this process's file descriptors so far that none can be opened, until destroyed.
class NoFileDescriptors {
public:
    NoFileDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &former_);
        int next = dup(STDIN_FILENO);
        close(next);
        rlimit lowered { static_cast<rlim_t>(next), former_.rlim_max };
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~NoFileDescriptors() { setrlimit(RLIMIT_NOFILE, &former_); }
    NoFileDescriptors(const NoFileDescriptors&) = delete;
    NoFileDescriptors& operator=(const NoFileDescriptors&) = delete;

private:
    rlimit former_ {};
};

// Connects while the process has no file descriptor for the server's side, and returns what the server answers afterwards.
static asio::awaitable<std::string> connectWithoutDescriptors(Address address)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor, asio::ip::tcp::v4());
    {
        NoFileDescriptors none;
        co_await socket.async_connect({ asio::ip::make_address(address.ip()), address.port() }, asio::use_awaitable);
        co_await sleepFor(std::chrono::milliseconds(100));
    }
    std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    std::string answer;
    boost::system::error_code error;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n", asio::redirect_error(asio::use_awaitable, error));
    co_return answer;
}

// Sends `request` on a new connection and returns what the server sends until it closes.
static asio::awaitable<std::string> exchangeText(Address address, std::string request)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor, asio::ip::tcp::v4());
    co_await socket.async_connect({ asio::ip::make_address(address.ip()), address.port() }, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
    std::string answer;
    boost::system::error_code error;
    co_await asio::async_read(socket, asio::dynamic_buffer(answer), asio::redirect_error(asio::use_awaitable, error));
    co_return answer;
}

BOOST_AUTO_TEST_SUITE(http_server)

// Guards against connections that stay counted after an error of the process, until none is accepted any more.
BOOST_AUTO_TEST_CASE(response_that_cannot_be_encoded_leaves_no_connection_behind)
{
    asio::io_context context;
    Limits limits;
    limits.connections_ = 1;
    auto handler = [](Request request) -> asio::awaitable<Response> {
        if (request.target_ == "/")
            co_return Response { 200, {}, "" };
        // A field name that exceeds what the encoder accepts.
        co_return Response { 200, { { std::string(100'000, 'a'), "b" } }, "" };
    };
    auto server = Server::listen(context.get_executor(), *Address::parse("127.0.0.1:0"), limits, handler);
    BOOST_REQUIRE(server.ok());
    std::string answer;
    auto run = [&]() -> asio::awaitable<void> {
        (void)co_await exchangeText((*server)->address(), "GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
        BOOST_TEST((*server)->inFlight() == 0U);
        answer = co_await exchangeText((*server)->address(), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    };
    asio::co_spawn(context, run(), [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(std::chrono::seconds(5));
    BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 200");
}

// Guards against a process that accepts no connection any more after one could not be accepted.
BOOST_AUTO_TEST_CASE(server_accepts_again_once_there_are_file_descriptors)
{
    asio::io_context context;
    auto server = Server::listen(context.get_executor(), *Address::parse("127.0.0.1:0"), {}, [](Request) -> asio::awaitable<Response> { co_return Response { 200, {}, "" }; });
    BOOST_REQUIRE(server.ok());
    std::string answer;
    asio::co_spawn(context, connectWithoutDescriptors((*server)->address()), [&](const std::exception_ptr& error, std::string text) {
        answer = error ? "no connection" : std::move(text);
        context.stop();
    });
    context.run_for(std::chrono::seconds(5));
    BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 200");
}

// Guards against clients that cannot tell a body that came too slowly from a process that has ended. 503 would promise that no
// earlier attempt runs.
BOOST_AUTO_TEST_CASE(body_that_stops_is_answered_with_408_and_header_that_stops_is_not)
{
    asio::io_context context;
    Limits limits;
    limits.requestTimeout_ = std::chrono::milliseconds(50);
    auto server = Server::listen(context.get_executor(), *Address::parse("127.0.0.1:0"), limits, [](Request) -> asio::awaitable<Response> { co_return Response { 200, {}, "" }; });
    BOOST_REQUIRE(server.ok());
    std::string toBody;
    std::string toHeader = "no connection";
    auto run = [&]() -> asio::awaitable<void> {
        toBody = co_await exchangeText((*server)->address(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
        toHeader = co_await exchangeText((*server)->address(), "POST / HTTP/1.1\r\nHost: h\r\n");
    };
    asio::co_spawn(context, run(), [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(std::chrono::seconds(5));
    BOOST_TEST(toBody.substr(0, 12) == "HTTP/1.1 408");
    BOOST_TEST(toHeader.empty());
}

// Guards against a process that was held up itself and tells its client that a body, which waits to be read, did not arrive.
BOOST_AUTO_TEST_CASE(body_that_arrives_while_the_process_is_held_up_is_served)
{
    asio::io_context context;
    Limits limits;
    limits.requestTimeout_ = std::chrono::milliseconds(500);
    const std::string body(48 * 1024, 'a');
    auto server = Server::listen(context.get_executor(), *Address::parse("127.0.0.1:0"), limits, [&](Request request) -> asio::awaitable<Response> { co_return Response { request.body_ == body ? 200 : 500, {}, "" }; });
    BOOST_REQUIRE(server.ok());
    std::string answer;
    auto run = [&]() -> asio::awaitable<void> {
        Address address = (*server)->address();
        asio::ip::tcp::socket socket(context);
        co_await socket.async_connect({ asio::ip::make_address(address.ip()), address.port() }, asio::use_awaitable);
        std::string header = concat("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: ", body.size(), "\r\n\r\n");
        co_await asio::async_write(socket, asio::buffer(header), asio::use_awaitable);
        co_await sleepFor(std::chrono::milliseconds(20));
        // Client and server share the thread, which does nothing else until the time of the request has passed.
        asio::write(socket, asio::buffer(body));
        std::this_thread::sleep_for(limits.requestTimeout_);
        boost::system::error_code error;
        co_await asio::async_read(socket, asio::dynamic_buffer(answer), asio::redirect_error(asio::use_awaitable, error));
    };
    asio::co_spawn(context, run(), [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(std::chrono::seconds(5));
    BOOST_TEST(answer.substr(0, 12) == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::http
