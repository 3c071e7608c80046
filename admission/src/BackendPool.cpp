#include "BackendPool.h"

namespace persimmondoor::admission {

namespace asio = boost::asio;

asio::awaitable<http::ExchangeOutcome> BackendPool::exchange(http::Request request, Duration limit)
{
    std::shared_ptr<http::Connection> connection;
    while (!connection && !idle_.empty()) {
        if (idle_.back()->isReusable())
            connection = idle_.back();
        idle_.pop_back();
    }
    if (!connection) {
        auto made = co_await http::Connection::connect(executor_, address_, limit);
        if (!made.ok())
            co_return http::ExchangeFailure { false, made.status() };
        connection = *made;
    }
    http::ExchangeOutcome outcome = co_await connection->exchange(std::move(request), limit);
    if (connection->isReusable())
        idle_.push_back(std::move(connection));
    co_return outcome;
}

} // namespace persimmondoor::admission
