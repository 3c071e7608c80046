#include "persimmondoor/http/Pool.h"

namespace persimmondoor::http {

namespace asio = boost::asio;

// Servers close connections after a longer idle time, so a connection that may be about to close is not reused.
static constexpr Duration maximumIdleTime = std::chrono::seconds(30);

struct Pool::Shared {
    struct Idle {
        std::shared_ptr<Connection> connection_;
        Instant since_;
    };

    boost::asio::any_io_executor executor_;
    Address address_;
    std::vector<Idle> idle_;
};

Pool Pool::create(const asio::any_io_executor& executor, const Address& address)
{
    return Pool(std::make_shared<Shared>(Shared { executor, address, {} }));
}

const Address& Pool::address() const
{
    return shared_->address_;
}

static std::shared_ptr<Connection> acquireIdle(Pool::Shared& pool)
{
    Instant oldest = now(SteadyClock()) - maximumIdleTime;
    while (!pool.idle_.empty()) {
        Pool::Shared::Idle idle = std::move(pool.idle_.back());
        pool.idle_.pop_back();
        if (idle.connection_->isReusable() && idle.since_ >= oldest)
            return idle.connection_;
    }
    return nullptr;
}

static void release(Pool::Shared& pool, std::shared_ptr<Connection> connection)
{
    if (connection->isReusable() && pool.idle_.size() < Pool::idleConnectionLimit)
        pool.idle_.push_back({ std::move(connection), now(SteadyClock()) });
}

static asio::awaitable<absl::Status> performHandshake(std::shared_ptr<Connection> connection, Handshake handshake, Duration limit)
{
    ExchangeOutcome outcome = co_await connection->exchange(std::move(handshake.request_), limit);
    if (const auto* failure = std::get_if<ExchangeFailure>(&outcome))
        co_return failure->status_;
    absl::Status status = handshake.verify_(std::get<Response>(outcome));
    if (status.ok() && !connection->isReusable())
        co_return absl::UnavailableError("the server closed the connection after the handshake");
    co_return status;
}

static asio::awaitable<ExchangeOutcome> exchangeOnNew(std::shared_ptr<Pool::Shared> pool, Request request, Duration limit, std::optional<Handshake> handshake)
{
    auto made = co_await Connection::connect(pool->executor_, pool->address_, poolConnectTimeout);
    if (!made.ok())
        co_return ExchangeFailure { false, made.status() };
    if (handshake) {
        absl::Status status = co_await performHandshake(*made, *std::move(handshake), limit);
        if (!status.ok())
            co_return ExchangeFailure { false, std::move(status) };
    }
    ExchangeOutcome outcome = co_await (*made)->exchange(std::move(request), limit);
    release(*pool, *made);
    co_return outcome;
}

// Returns whether the exchange failed because the connection was closed, rather than by a time-out.
static bool isClosedConnection(const ExchangeOutcome& outcome)
{
    const auto* failure = std::get_if<ExchangeFailure>(&outcome);
    return failure && absl::IsUnavailable(failure->status_);
}

// Returns whether the exchange timed out although its connection was open.
static bool isTimeout(const ExchangeOutcome& outcome)
{
    const auto* failure = std::get_if<ExchangeFailure>(&outcome);
    return failure && absl::IsDeadlineExceeded(failure->status_);
}

asio::awaitable<ExchangeOutcome> exchange(Pool pool, Request request, Duration limit, Repeat repeat, std::optional<Handshake> handshake)
{
    const std::shared_ptr<Pool::Shared>& shared = pool.handle();
    std::shared_ptr<Connection> connection = acquireIdle(*shared);
    if (!connection)
        co_return co_await exchangeOnNew(shared, std::move(request), limit, std::move(handshake));
    ExchangeOutcome outcome = co_await connection->exchange(request, limit);
    if (repeat == Repeat::Allowed && isClosedConnection(outcome))
        co_return co_await exchangeOnNew(shared, std::move(request), limit, std::move(handshake));
    // What silences one open connection, such as a middlebox that has lost its state, silences the others as well, and each would
    // cost a time-out of its own.
    if (isTimeout(outcome))
        shared->idle_.clear();
    release(*shared, std::move(connection));
    co_return outcome;
}

} // namespace persimmondoor::http
