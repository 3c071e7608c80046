/// An HTTP/1.1 server: reads whole requests within limits and sends the responses of a handler.
///
/// \code
/// auto server = http::Server::listen(executor, address, http::Limits {}, [](http::Request request) -> boost::asio::awaitable<http::Response> {
///     co_return http::jsonResponse(200, "{}");
/// });
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/http/Message.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace persimmondoor::http {

/// Bounds on what a client may send.
struct Limits {
    size_t headerBytes_ { 16 * 1024 };
    size_t bodyBytes_ { 4 * 1024 * 1024 };
    Duration idleTimeout_ { std::chrono::seconds(60) };
    /// Cancels the handler if the client closes the connection, or its sending side, before the response.
    bool cancelsOnDisconnect_ { false };
    bool operator==(const Limits&) const = default;
};

/// Status of a response that is not sent: the connection is closed without a response, as if the server had crashed.
inline constexpr int noAnswerStatus = 0;

using Handler = std::function<boost::asio::awaitable<Response>(Request)>;

class Server {
public:
    /// Listens on `address`; port 0 picks a free one. A malformed request is answered with 400 and an oversized one
    /// with 413, both with a JSON error, and the connection is closed.
    /// \return the server, or Unavailable with the system's error.
    static absl::StatusOr<std::unique_ptr<Server>> listen(const boost::asio::any_io_executor&, const Address&, Limits, Handler);

    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    Address address() const;
    /// Stops accepting, lets requests in flight finish and closes idle connections.
    void stopAccepting();
    /// Number of requests in flight.
    size_t inFlight() const;
    /// Closes all connections.
    void close();

private:
    struct State;
    explicit Server(std::shared_ptr<State>);
    std::shared_ptr<State> state_;
};

} // namespace persimmondoor::http
