#include "persimmondoor/http/Server.h"

#include "Convert.h"
#include "Decoder.h"
#include "ReadMessage.h"
#include "decisions/ConnectionLedger.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/EventSummary.h"
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
#include <boost/beast/http/write.hpp>
#include <map>
#include <optional>

namespace persimmondoor::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

// Pause after a connection that could not be accepted, so that the server does not spin while it lacks file descriptors.
static constexpr Duration acceptRetryInterval = std::chrono::milliseconds(50);
// An idle connection keeps no larger buffer.
static constexpr size_t idleBufferBytes = 4096;

// One accepted connection.
struct Session {
    Session(ConnectionNumber number, asio::ip::tcp::socket socket)
        : number_(number)
        , stream_(std::move(socket))
    {
    }

    ConnectionNumber number_;
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
        , ledger_(limits.connections_, limits.memoryBytes_)
    {
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint local_;
    Limits limits_;
    Handler handler_;
    std::map<ConnectionNumber, std::shared_ptr<Session>> sessions_;
    ConnectionLedger ledger_;
    ConnectionNumber lastNumber_ { 0 };
    EventSummary overLimit_;
    size_t inFlight_ { 0 };
    bool isStopping_ { false };
};

template <typename State>
static std::string addressText(const State& state)
{
    return concat(state.local_.address().to_string(), ":", state.local_.port());
}

// Counts an event over the limits, and logs a summary now and then.
template <typename State>
static void reportOverLimit(State& state, std::string_view event, std::string detail)
{
    logDebug(event, { { "address", addressText(state) }, { "reason", detail } });
    if (auto events = state.overLimit_.add(now(SteadyClock())))
        logWarning("connections.over_limit", { { "address", addressText(state) }, { "events", std::to_string(*events) }, { "last", std::string(event) }, { "reason", std::move(detail) }, { "connections", std::to_string(state.sessions_.size()) }, { "held_bytes", std::to_string(state.ledger_.heldBytes()) } });
}

template <typename State>
static void closeSession(State& state, ConnectionNumber number)
{
    state.ledger_.close(number);
    auto found = state.sessions_.find(number);
    if (found == state.sessions_.end())
        return;
    found->second->stream_.close();
    state.sessions_.erase(found);
}

// Closes a session at the end of its coroutine, also if that ends with an exception.
template <typename State>
class OpenSession {
public:
    OpenSession(std::shared_ptr<State> state, ConnectionNumber number)
        : state_(std::move(state))
        , number_(number)
    {
    }
    ~OpenSession() { closeSession(*state_, number_); }
    OpenSession(const OpenSession&) = delete;
    OpenSession& operator=(const OpenSession&) = delete;

private:
    std::shared_ptr<State> state_;
    ConnectionNumber number_;
};

// Counts a request from its last byte to the end of its response, or to an exception.
template <typename State>
class RequestInFlight {
public:
    RequestInFlight(std::shared_ptr<State> state, std::shared_ptr<Session> session)
        : state_(std::move(state))
        , session_(std::move(session))
    {
        session_->isIdle_ = false;
        ++state_->inFlight_;
        state_->ledger_.serve(session_->number_);
    }
    ~RequestInFlight()
    {
        --state_->inFlight_;
        session_->isIdle_ = true;
    }
    RequestInFlight(const RequestInFlight&) = delete;
    RequestInFlight& operator=(const RequestInFlight&) = delete;

private:
    std::shared_ptr<State> state_;
    std::shared_ptr<Session> session_;
};

// Closes connections until `ask` finds room. Returns whether there is room now.
template <typename State, typename Ask>
static bool makeRoom(State& state, Ask ask)
{
    for (;;) {
        Room room = ask(state.ledger_);
        const auto* full = std::get_if<RoomAfterClosing>(&room);
        if (!full)
            return std::holds_alternative<RoomAvailable>(room);
        reportOverLimit(state, "connection.displaced", "its client was awaited longest");
        closeSession(state, full->connection_);
    }
}

template <typename State>
static bool holdBytes(State& state, ConnectionNumber number, size_t bytes)
{
    bool hasRoom = makeRoom(state, [&](const ConnectionLedger& ledger) { return ledger.roomToHold(number, bytes); });
    if (hasRoom)
        state.ledger_.hold(number, bytes);
    return hasRoom;
}

// Sends a response. The client has `responseTimeout_` to take it.
template <typename State>
static asio::awaitable<bool> writeResponse(std::shared_ptr<State> state, std::shared_ptr<Session> session, Response response, bool keepAlive)
{
    // A response that is ready is sent even if there is no room for it.
    state->ledger_.awaitClient(session->number_);
    if (!holdBytes(*state, session->number_, response.body_.size()))
        state->ledger_.hold(session->number_, response.body_.size());
    BeastResponse message = toBeast(std::move(response), keepAlive);
    boost::system::error_code error;
    session->stream_.expires_after(state->limits_.responseTimeout_);
    co_await beast::http::async_write(session->stream_, message, asio::redirect_error(asio::use_awaitable, error));
    session->stream_.expires_never();
    state->ledger_.hold(session->number_, 0);
    if (error == beast::error::timeout)
        reportOverLimit(*state, "response.not_taken", "the client did not read its response in time");
    co_return !error;
}

static Response responseToReadError(const boost::system::error_code& error, const Limits& limits, bool isHeaderComplete)
{
    if (error == beast::http::error::body_limit)
        return errorResponse(413, "too-large", concat("the body exceeds ", limits.bodyBytes_, " bytes"));
    if (error == beast::http::error::header_limit || (error == beast::http::error::buffer_overflow && !isHeaderComplete))
        return errorResponse(431, "too-large", concat("the header exceeds ", limits.headerBytes_, " bytes or ", limits.headerLines_, " lines"));
    if (error == beast::http::error::buffer_overflow)
        return errorResponse(413, "too-large", concat("the framing of the body, with extensions and trailers, exceeds ", limits.headerBytes_, " bytes and six for each byte of the body"));
    return errorResponse(400, "malformed-request", error.message());
}

static bool isProtocolError(const boost::system::error_code& error)
{
    return error && error != beast::http::error::end_of_stream && error != beast::http::error::partial_message
        && error.category() == make_error_code(beast::http::error::bad_target).category();
}

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

// Answers a request that could not be read, if the client can be answered. Nothing of the request was run.
template <typename State>
static asio::awaitable<void> refuse(std::shared_ptr<State> state, std::shared_ptr<Session> session, boost::system::error_code error, bool isHeaderComplete)
{
    if (isProtocolError(error)) {
        Response response = responseToReadError(error, state->limits_, isHeaderComplete);
        if (response.status_ != 400)
            reportOverLimit(*state, "request.too_large", response.body_);
        co_await writeResponse(state, session, std::move(response), false);
    } else if (error == asio::error::no_buffer_space) {
        // Without an answer, which would promise something about earlier attempts of the same request.
        reportOverLimit(*state, "request.no_memory", "no memory is left for the request");
    } else if (error == beast::error::timeout && isHeaderComplete) {
        // Promises nothing about earlier attempts, unlike 503.
        reportOverLimit(*state, "request.timed_out", "the body did not arrive in time");
        co_await writeResponse(state, session, errorResponse(408, "timeout", "the body did not arrive in time"), false);
    } else if (error == beast::error::timeout) {
        logDebug("connection.timed_out", { { "address", addressText(*state) } });
    }
}

// Reads one request, calls the handler and sends its response. Returns whether another request may follow.
template <typename State>
static asio::awaitable<bool> serveOne(std::shared_ptr<State> state, std::shared_ptr<Session> session)
{
    const Limits& limits = state->limits_;
    RequestDecoder decoder({ limits.headerBytes_, limits.headerLines_, limits.bodyBytes_ });
    state->ledger_.awaitClient(session->number_);
    // Named, as the compiler destroys converted temporaries of a co_await expression twice.
    std::optional<ReadTimes> times = ReadTimes { limits.idleTimeout_, limits.requestTimeout_ };
    Admission admission = [state, number = session->number_](size_t bytes) { return holdBytes(*state, number, bytes); };
    boost::system::error_code error = co_await readMessage(&session->stream_, &session->buffer_, &decoder, times, admission);
    session->stream_.expires_never();
    if (error) {
        // Frees what has arrived, which the ledger no longer counts.
        (void)decoder.release();
        co_await refuse(state, session, error, decoder.is_header_done());
        co_return false;
    }
    bool keepAlive = decoder.keep_alive();
    bool written = false;
    {
        RequestInFlight<State> inFlight(state, session);
        std::optional<Response> response = co_await handle(state, session, decoder.release());
        keepAlive = keepAlive && !state->isStopping_ && response;
        written = response && response->status_ != noAnswerStatus && co_await writeResponse(state, session, *std::move(response), keepAlive);
    }
    if (session->buffer_.size() == 0 && session->buffer_.capacity() > idleBufferBytes)
        session->buffer_.shrink_to_fit();
    co_return written&& keepAlive;
}

template <typename State>
static asio::awaitable<void> serveSession(std::shared_ptr<State> state, std::shared_ptr<Session> session)
{
    OpenSession<State> open(state, session->number_);
    while (co_await serveOne(state, session)) {
    }
    boost::system::error_code ignored;
    session->stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored); // NOLINT(bugprone-unused-return-value)
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
        if (!makeRoom(*state, [](const ConnectionLedger& ledger) { return ledger.roomForConnection(); })) {
            reportOverLimit(*state, "connection.refused", "all connections are serving requests");
            continue;
        }
        auto session = std::make_shared<Session>(++state->lastNumber_, std::move(socket));
        state->ledger_.open(session->number_);
        state->sessions_.emplace(session->number_, session);
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
    return *Address::parse(addressText(*state_));
}

void Server::stopAccepting()
{
    state_->isStopping_ = true;
    boost::system::error_code ignored;
    state_->acceptor_.close(ignored); // NOLINT(bugprone-unused-return-value)
    for (const auto& [number, session] : state_->sessions_) {
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
    for (const auto& [number, session] : state_->sessions_)
        session->stream_.close();
}

} // namespace persimmondoor::http
