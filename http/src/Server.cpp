#include "persimmondoor/http/Server.h"

#include "Convert.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"

#include "persimmondoor/core/Text.h"
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <set>

namespace persimmondoor::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

// Pause after a connection that could not be accepted, so that the server does not spin while it lacks file descriptors.
static constexpr Duration acceptRetryInterval = std::chrono::milliseconds(50);

// One accepted connection.
struct Session {
    explicit Session(asio::ip::tcp::socket socket)
        : stream_(std::move(socket))
    {
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    bool isIdle_ { true };
};

struct Server::State {
    State(asio::ip::tcp::acceptor acceptor, Limits limits, Handler handler)
        : acceptor_(std::move(acceptor))
        , local_(acceptor_.local_endpoint())
        , limits_(limits)
        , handler_(std::move(handler))
    {
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint local_;
    Limits limits_;
    Handler handler_;
    std::set<std::shared_ptr<Session>> sessions_;
    size_t inFlight_ { 0 };
    bool isStopping_ { false };
};

namespace {

    asio::awaitable<bool> writeResponse(std::shared_ptr<Session> session, Response response, bool keepAlive)
    {
        BeastResponse message = toBeast(std::move(response), keepAlive);
        boost::system::error_code error;
        co_await beast::http::async_write(session->stream_, message, asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    Response responseToReadError(const boost::system::error_code& error, const Limits& limits)
    {
        if (error == beast::http::error::body_limit)
            return errorResponse(413, "too-large", concat("the body exceeds ", limits.bodyBytes_, " bytes"));
        if (error == beast::http::error::header_limit)
            return errorResponse(413, "too-large", concat("the header exceeds ", limits.headerBytes_, " bytes"));
        return errorResponse(400, "malformed-request", error.message());
    }

    bool isProtocolError(const boost::system::error_code& error)
    {
        return error && error != beast::http::error::end_of_stream && error != beast::http::error::partial_message
            && error.category() == make_error_code(beast::http::error::bad_target).category();
    }

} // namespace

// Calls the handler. An exception becomes a response with status 500.
static asio::awaitable<Response> callHandler(Handler handler, Request request)
{
    std::string error;
    try {
        co_return co_await handler(std::move(request));
    } catch (const std::exception& failure) {
        error = failure.what();
    }
    co_return errorResponse(500, "internal", error);
}

// Returns when the client has closed the connection or its sending side. Waits forever if the client sends its next
// request instead.
static asio::awaitable<void> waitForDisconnect(std::shared_ptr<Session> session)
{
    asio::ip::tcp::socket& socket = session->stream_.socket();
    boost::system::error_code error;
    co_await socket.async_wait(asio::socket_base::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error); // NOLINT(bugprone-unused-return-value)
    if (error)
        co_return;
    asio::steady_timer never(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
    co_await never.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

// Returns the response, or nothing if the client has disconnected.
template <typename State>
static asio::awaitable<std::optional<Response>> handle(std::shared_ptr<State> state, std::shared_ptr<Session> session, Request request)
{
    using namespace asio::experimental::awaitable_operators;
    if (!state->limits_.cancelsOnDisconnect_)
        co_return co_await callHandler(state->handler_, std::move(request));
    auto first = co_await (callHandler(state->handler_, std::move(request)) || waitForDisconnect(session));
    if (first.index() == 0)
        co_return std::get<0>(std::move(first));
    co_return std::nullopt;
}

// Reads one request, calls the handler and sends its response. Returns whether another request may follow.
template <typename State>
static asio::awaitable<bool> serveOne(std::shared_ptr<State> state, std::shared_ptr<Session> session)
{
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(state->limits_.bodyBytes_);
    parser.header_limit(static_cast<std::uint32_t>(state->limits_.headerBytes_));
    session->stream_.expires_after(state->limits_.idleTimeout_);
    boost::system::error_code error;
    co_await beast::http::async_read(session->stream_, session->buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
    session->stream_.expires_never();
    if (isProtocolError(error)) {
        co_await writeResponse(session, responseToReadError(error, state->limits_), false);
        co_return false;
    }
    if (error)
        co_return false;
    bool keepAlive = parser.get().keep_alive();
    session->isIdle_ = false;
    ++state->inFlight_;
    std::optional<Response> response = co_await handle(state, session, fromBeast(parser.release()));
    keepAlive = keepAlive && !state->isStopping_ && response;
    bool written = response && response->status_ != noAnswerStatus && co_await writeResponse(session, *std::move(response), keepAlive);
    --state->inFlight_;
    session->isIdle_ = true;
    co_return written&& keepAlive;
}

template <typename State>
static asio::awaitable<void> serveSession(std::shared_ptr<State> state, std::shared_ptr<Session> session)
{
    while (co_await serveOne(state, session)) {
    }
    boost::system::error_code ignored;
    session->stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored); // NOLINT(bugprone-unused-return-value)
    state->sessions_.erase(session);
}

template <typename State>
static asio::awaitable<void> acceptSessions(std::shared_ptr<State> state)
{
    while (state->acceptor_.is_open()) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket = co_await state->acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        // The client may be gone, or the process may be out of file descriptors for a while.
        if (error) {
            logWarning("connection.not_accepted", { { "reason", error.message() } });
            co_await sleepFor(acceptRetryInterval);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored); // NOLINT(bugprone-unused-return-value)
        auto session = std::make_shared<Session>(std::move(socket));
        state->sessions_.insert(session);
        spawn(state->acceptor_.get_executor(), "http session", serveSession(state, session));
    }
}

Server::Server(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

Server::~Server()
{
    close();
}

absl::StatusOr<std::unique_ptr<Server>> Server::listen(const asio::any_io_executor& executor, const Address& address, Limits limits, Handler handler)
{
    asio::ip::tcp::acceptor acceptor(executor);
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip()), address.port());
    try {
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    } catch (const boost::system::system_error& error) {
        return absl::UnavailableError(concat("cannot listen on ", address.text(), ": ", error.what()));
    }
    auto state = std::make_shared<State>(std::move(acceptor), limits, std::move(handler));
    spawn(executor, "http server", acceptSessions(state));
    return std::unique_ptr<Server>(new Server(std::move(state)));
}

Address Server::address() const
{
    return *Address::parse(concat(state_->local_.address().to_string(), ":", state_->local_.port()));
}

void Server::stopAccepting()
{
    state_->isStopping_ = true;
    boost::system::error_code ignored;
    state_->acceptor_.close(ignored); // NOLINT(bugprone-unused-return-value)
    for (const std::shared_ptr<Session>& session : state_->sessions_) {
        if (session->isIdle_)
            session->stream_.cancel();
    }
}

size_t Server::inFlight() const
{
    return state_->inFlight_;
}

void Server::close()
{
    stopAccepting();
    for (const std::shared_ptr<Session>& session : state_->sessions_)
        session->stream_.close();
}

} // namespace persimmondoor::http
