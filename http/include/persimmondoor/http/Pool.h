/// Connections to one server that are used again. A handle: copies share the connections.
///
/// \code
/// http::Pool pool = http::Pool::create(executor, address);
/// http::ExchangeOutcome outcome = co_await http::exchange(pool, request, std::chrono::seconds(1), http::Repeat::Allowed);
/// \endcode
#pragma once

#include "persimmondoor/http/Client.h"

#include <memory>
#include <vector>

namespace persimmondoor::http {

/// Longest wait for a connection to be made.
inline constexpr Duration poolConnectTimeout = std::chrono::milliseconds(500);

/// Keeps at most `idleConnectionLimit` idle connections, each for at most 30 s, half the time after which servers
/// close them. A connection that failed or timed out is closed.
class Pool {
public:
    static constexpr size_t idleConnectionLimit = 24;

    static Pool create(const boost::asio::any_io_executor&, const Address&);

    const Address& address() const;

    struct Shared;
    const std::shared_ptr<Shared>& handle() const { return shared_; }
    bool operator==(const Pool&) const = default;

private:
    explicit Pool(std::shared_ptr<Shared> shared)
        : shared_(std::move(shared))
    {
    }

    std::shared_ptr<Shared> shared_;
};

/// Whether a call may be sent again when a connection that was used before fails under it.
enum class Repeat { Never,
    Allowed };

/// Sends `request` on an idle or a new connection and waits for at most `limit` after it was handed over.
boost::asio::awaitable<ExchangeOutcome> exchange(Pool, Request, Duration limit, Repeat);

} // namespace persimmondoor::http
