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

/// Bounds on what the clients of one server may send and hold. The defaults serve every request that a client within the
/// platform's limits sends.
struct Limits {
    /// Bytes of a header, and of the framing of a chunked body (chunk sizes, extensions and trailers) in addition to what a body
    /// in chunks of one byte takes.
    size_t headerBytes_ { 16 * 1024 };
    /// Number of lines of a header.
    size_t headerLines_ { 100 };
    size_t bodyBytes_ { 4 * 1024 * 1024 };
    /// Number of open connections. One more closes the connection whose client has been awaited longest; if all
    /// connections are serving requests, it is closed itself.
    size_t connections_ { 1024 };
    /// Bytes of all requests that are being received or served, and of all responses that are being sent.
    size_t memoryBytes_ { 32 * 1024 * 1024 };
    /// Longest wait for the first byte of a request.
    Duration idleTimeout_ { std::chrono::seconds(60) };
    /// Longest time from the first byte of a request to its last.
    Duration requestTimeout_ { std::chrono::seconds(20) };
    /// Longest time for a client to take a response.
    Duration responseTimeout_ { std::chrono::seconds(30) };
    /// Cancels the handler if the client closes the connection, or its sending side, before the response.
    bool cancelsOnDisconnect_ { false };
    bool operator==(const Limits&) const = default;
};

/// Status of a response that is not sent: the connection is closed without a response, as if the server had crashed.
inline constexpr int noAnswerStatus = 0;

using Handler = std::function<boost::asio::awaitable<Response>(Request)>;

class Server {
public:
    /// Listens on `address`; port 0 picks a free one. A malformed request is answered with 400, an oversized
    /// header with 431, an oversized body or framing with 413 and a body that does not arrive in time with 408, all with a JSON
    /// error, and the connection is closed. A connection whose client exceeds another time, or for which there is no memory, is
    /// closed without an answer.
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
