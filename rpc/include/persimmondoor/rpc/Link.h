/// A connection to another process that is opened on first use and reopened after it was lost. A handle: copies
/// share the connection.
///
/// \code
/// rpc::Link link(executor, address);
/// absl::StatusOr<capnp::Capability::Client> found = co_await link.find("admission");
/// auto admission = found->castAs<wire::Admission>();
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Time.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <capnp/capability.h>
#include <cstdint>
#include <memory>
#include <string>

namespace persimmondoor::rpc {

/// Time-out of opening a connection.
inline constexpr Duration connectTimeout = std::chrono::milliseconds(500);

class Link {
public:
    Link(const boost::asio::any_io_executor&, Address);

    /// Connects if necessary and returns the interface of that name. If the peer lacks it, the interface's calls fail.
    /// \return the interface, or Unavailable or DeadlineExceeded if there is no connection; nothing was sent then.
    boost::asio::awaitable<absl::StatusOr<capnp::Capability::Client>> find(std::string name) const;

    const Address& address() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Bytes sent by this thread's connections, for measurements.
uint64_t bytesSent();
/// Bytes received by this thread's connections, for measurements.
uint64_t bytesReceived();

} // namespace persimmondoor::rpc
