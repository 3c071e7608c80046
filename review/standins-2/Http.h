// A small HTTP/1.1 server and client on loopback addresses, for the stand-ins of the review.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Millis = std::chrono::milliseconds;
using Request = beast::http::request<beast::http::string_body>;
using Response = beast::http::response<beast::http::string_body>;

// Time since an arbitrary start, in milliseconds.
inline int64_t steadyMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline int64_t wallMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline asio::awaitable<void> sleepFor(Millis duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

// The constructors of these types avoid aggregates in coroutines, which GCC 12 destroys twice.
struct Endpoint {
    Endpoint() = default;
    Endpoint(std::string ip, uint16_t port)
        : ip_(std::move(ip))
        , port_(port)
    {
    }

    std::string ip_;
    uint16_t port_ { 0 };

    std::string text() const { return ip_ + ":" + std::to_string(port_); }
    asio::ip::tcp::endpoint tcp() const { return { asio::ip::make_address(ip_), port_ }; }
};

// What a handler answers. A dropped request gets no response: its connection is closed.
struct Answer {
    Answer(int status, std::string body, bool isDropped = false)
        : status_(status)
        , body_(std::move(body))
        , isDropped_(isDropped)
    {
    }

    int status_ { 200 };
    std::string body_;
    bool isDropped_ { false };
};

using Handler = std::function<asio::awaitable<Answer>(const Request&)>;

class Server {
public:
    // Listens at `ip`, on a free port if `port` is 0.
    Server(asio::io_context& context, const std::string& ip, uint16_t port, Handler handler)
        : state_(std::make_shared<State>(State { asio::ip::tcp::acceptor(context, asio::ip::tcp::endpoint { asio::ip::make_address(ip), port }), std::move(handler), {} }))
        , address_(ip, state_->acceptor_.local_endpoint().port())
    {
        asio::co_spawn(context, accept(state_), asio::detached);
    }
    ~Server() { close(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    const Endpoint& address() const { return address_; }

    // Closes the listener and all connections, as a process that is killed does.
    void close()
    {
        boost::system::error_code ignored;
        state_->acceptor_.close(ignored); // NOLINT(bugprone-unused-return-value)
        for (const std::weak_ptr<beast::tcp_stream>& weak : state_->streams_) {
            if (auto stream = weak.lock())
                stream->socket().close(ignored); // NOLINT(bugprone-unused-return-value)
        }
        state_->streams_.clear();
    }

private:
    struct State {
        asio::ip::tcp::acceptor acceptor_;
        Handler handler_;
        std::vector<std::weak_ptr<beast::tcp_stream>> streams_;
    };

    static asio::awaitable<void> accept(std::shared_ptr<State> state)
    {
        for (;;) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket = co_await state->acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            boost::system::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored); // NOLINT(bugprone-unused-return-value)
            auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
            std::erase_if(state->streams_, [](const std::weak_ptr<beast::tcp_stream>& weak) { return weak.expired(); });
            state->streams_.push_back(stream);
            asio::co_spawn(state->acceptor_.get_executor(), serveConnection(stream, state->handler_), asio::detached);
        }
    }

    static asio::awaitable<void> serveConnection(std::shared_ptr<beast::tcp_stream> stream, Handler handler)
    {
        beast::flat_buffer buffer;
        for (;;) {
            beast::http::request_parser<beast::http::string_body> parser;
            parser.body_limit(64 * 1024 * 1024);
            boost::system::error_code error;
            co_await beast::http::async_read(*stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            Request request = parser.release();
            Answer answer = co_await handler(request);
            if (answer.isDropped_)
                co_return;
            Response response { static_cast<beast::http::status>(answer.status_), 11 };
            response.set(beast::http::field::content_type, "application/json");
            response.body() = std::move(answer.body_);
            response.keep_alive(request.keep_alive());
            response.prepare_payload();
            co_await beast::http::async_write(*stream, response, asio::redirect_error(asio::use_awaitable, error));
            if (error || !request.keep_alive())
                co_return;
        }
    }

    std::shared_ptr<State> state_;
    Endpoint address_;
};

// The outcome of a client's call; status 0 without an answer.
struct CallResult {
    CallResult() = default;
    CallResult(int status, std::string body)
        : status_(status)
        , body_(std::move(body))
    {
    }

    int status_ { 0 };
    std::string body_;
};

// One call on a new connection. Connecting and each transfer take at most `limit` together.
inline asio::awaitable<CallResult> call(Endpoint to, std::string method, std::string target, std::string body, Millis limit, std::string host = "", int64_t deadlineMs = 0)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(limit);
    boost::system::error_code error;
    co_await stream.async_connect(to.tcp(), asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return CallResult {};
    Request request { beast::http::string_to_verb(method), target, 11 };
    request.set(beast::http::field::host, host.empty() ? to.text() : host);
    if (!body.empty())
        request.set(beast::http::field::content_type, "application/json");
    if (deadlineMs > 0)
        request.set("Persimmondoor-Deadline-Ms", std::to_string(deadlineMs));
    request.body() = std::move(body);
    request.prepare_payload();
    co_await beast::http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return CallResult {};
    beast::flat_buffer buffer;
    beast::http::response_parser<beast::http::string_body> parser;
    parser.body_limit(64 * 1024 * 1024);
    co_await beast::http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return CallResult {};
    CallResult result(static_cast<int>(parser.get().result_int()), parser.get().body());
    co_return result;
}

} // namespace review
