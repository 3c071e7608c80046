/// One HTTP/1.1 connection to a server, one exchange at a time.
///
/// \code
/// auto connection = co_await http::Connection::connect(executor, address, std::chrono::milliseconds(200));
/// http::ExchangeOutcome outcome = co_await (*connection)->exchange(request, std::chrono::seconds(1));
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/http/Message.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <variant>

namespace persimmondoor::http {

/// The exchange failed. If `handedOver_` is false, no byte of the request was sent.
struct ExchangeFailure {
    bool handedOver_ { false };
    absl::Status status_;
};

using ExchangeOutcome = std::variant<Response, ExchangeFailure>;

/// True if a connection was not opened because no process listens at the address.
/// \param status the error of `Connection::connect` or of an exchange.
bool isConnectionRefused(const absl::Status& status);

class Connection {
public:
    /// \return the connection, or Unavailable or DeadlineExceeded.
    static boost::asio::awaitable<absl::StatusOr<std::shared_ptr<Connection>>> connect(boost::asio::any_io_executor, Address, Duration limit);

    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Sends `request` and reads the whole response, with a body of at most 64 MiB. After a failure or a time-out the
    /// connection is closed, so that a late response is never read as that of a later request. A response without a
    /// length is a failure, as its end cannot be distinguished from a lost connection.
    boost::asio::awaitable<ExchangeOutcome> exchange(Request, Duration limit);

    /// True if another exchange may follow: the peer has neither closed the connection nor sent more than the response.
    bool isReusable() const;
    /// Closes the connection; an exchange in flight fails.
    void close();

private:
    struct State;
    explicit Connection(std::unique_ptr<State>);
    std::unique_ptr<State> state_;
};

/// Connects, exchanges once and closes.
boost::asio::awaitable<ExchangeOutcome> exchangeOnce(boost::asio::any_io_executor, Address, Request, Duration limit);

} // namespace persimmondoor::http
