#include "persimmondoor/http/Client.h"

#include "Convert.h"
#include "Decoder.h"
#include "ReadMessage.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

namespace persimmondoor::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

// Bounds on a response.
static constexpr MessageLimits responseLimits { 16 * 1024, 100, 64 * 1024 * 1024 };

struct Connection::State {
    explicit State(const asio::any_io_executor& executor)
        : stream_(executor)
    {
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    bool isReusable_ { true };
};

// Marks the status of a refused connection.
static constexpr char refusedPayload[] = "persimmondoor/connection-refused";

static absl::Status describe(std::string_view step, const boost::system::error_code& error)
{
    if (error == beast::error::timeout)
        return absl::DeadlineExceededError(concat(step, ": timeout"));
    absl::Status status = absl::UnavailableError(concat(step, ": ", error.message()));
    if (error == asio::error::connection_refused)
        status.SetPayload(refusedPayload, absl::Cord());
    return status;
}

bool isConnectionRefused(const absl::Status& status)
{
    return status.GetPayload(refusedPayload).has_value();
}

Connection::Connection(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

Connection::~Connection() = default;

asio::awaitable<absl::StatusOr<std::shared_ptr<Connection>>> Connection::connect(asio::any_io_executor executor, Address address, Duration limit)
{
    auto state = std::make_unique<State>(executor);
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip()), address.port());
    boost::system::error_code error;
    state->stream_.expires_after(limit);
    co_await state->stream_.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return describe(concat("connect to ", address.text()), error);
    state->stream_.socket().set_option(asio::ip::tcp::no_delay(true));
    co_return std::shared_ptr<Connection>(new Connection(std::move(state)));
}

asio::awaitable<ExchangeOutcome> Connection::exchange(Request request, Duration limit)
{
    bool isHead = request.method_ == "HEAD";
    BeastRequest message = toBeast(std::move(request));
    state_->isReusable_ = false;
    state_->stream_.expires_after(limit);
    boost::system::error_code error;
    size_t written = co_await beast::http::async_write(state_->stream_, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        close();
        co_return ExchangeFailure { written > 0, describe("write", error) };
    }
    ResponseDecoder decoder(responseLimits);
    decoder.skip(isHead);
    // The time-out of the exchange holds, and its caller has room for one response.
    std::optional<ReadTimes> times;
    Admission admission;
    error = co_await readMessage(&state_->stream_, &state_->buffer_, &decoder, times, admission);
    if (error) {
        close();
        co_return ExchangeFailure { true, decoder.isWithoutLength() ? absl::DataLossError("the response states no length") : describe("read", error) };
    }
    // Bytes beyond the response belong to no request, so the connection is not reused.
    state_->isReusable_ = decoder.keep_alive() && state_->buffer_.size() == 0;
    state_->stream_.expires_never();
    if (!state_->isReusable_)
        close();
    co_return decoder.release();
}

// Returns whether the peer has closed the connection or sent bytes that belong to no request.
static bool hasUnexpectedInput(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error); // NOLINT(bugprone-unused-return-value)
    return error != asio::error::would_block;
}

bool Connection::isReusable() const
{
    return state_->isReusable_ && !hasUnexpectedInput(state_->stream_.socket());
}

void Connection::close()
{
    state_->isReusable_ = false;
    state_->stream_.close();
}

asio::awaitable<ExchangeOutcome> exchangeOnce(asio::any_io_executor executor, Address address, Request request, Duration limit)
{
    auto connection = co_await Connection::connect(executor, std::move(address), limit);
    if (!connection.ok())
        co_return ExchangeFailure { false, connection.status() };
    co_return co_await (*connection)->exchange(std::move(request), limit);
}

} // namespace persimmondoor::http
