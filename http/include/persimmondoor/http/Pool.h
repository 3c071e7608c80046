/// A pool of reusable connections to one server. A handle: copies share the connections.
///
/// \code
/// http::Pool pool = http::Pool::create(executor, address);
/// http::ExchangeOutcome outcome = co_await http::exchange(pool, request, std::chrono::seconds(1), http::Repeat::Allowed);
/// \endcode
#pragma once

#include "persimmondoor/http/Client.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace persimmondoor::http {

/// Time-out of opening a connection.
inline constexpr Duration poolConnectTimeout = std::chrono::milliseconds(500);

/// Keeps at most `idleConnectionLimit` idle connections and reuses one only within 30 s of its last exchange, half the
/// time after which servers close idle connections. A connection whose exchange failed is closed. If the exchange on a reused
/// connection timed out, all idle connections are closed with it.
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

/// Whether a request may be repeated on a new connection if a reused connection turns out to be closed.
enum class Repeat { Never,
    Allowed };

/// The first exchange on each new connection, by which the client verifies that it has reached the intended process: a
/// connection ends with the process at its other end, so that later requests on it reach the same process or none.
struct Handshake {
    Request request_;
    /// \return OK, or why the connection must not be used.
    std::function<absl::Status(const Response&)> verify_;
};

/// Sends `request` on an idle or a new connection. The exchange takes at most `limit` after the connection is open.
/// \param handshake precedes the request on a new connection, within a time of its own of at most `limit`. If it fails, nothing
///     of the request is sent, and the failure has the status of the handshake.
boost::asio::awaitable<ExchangeOutcome> exchange(Pool, Request, Duration limit, Repeat, std::optional<Handshake> handshake = std::nullopt);

} // namespace persimmondoor::http
