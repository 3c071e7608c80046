/// Accepts connections of other processes and serves named interfaces on them.
///
/// \code
/// rpc::Interfaces interfaces;
/// interfaces.add("admission", kj::heap<AdmissionServer>(gate));
/// absl::StatusOr<std::unique_ptr<rpc::Server>> server = rpc::Server::listen(executor, address, std::move(interfaces));
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <capnp/capability.h>
#include <map>
#include <memory>
#include <string>

namespace persimmondoor::rpc {

/// The interfaces that a process serves.
class Interfaces {
public:
    void add(std::string name, capnp::Capability::Client client) { clients_.insert_or_assign(std::move(name), kj::mv(client)); }
    /// \return the interface, or a broken capability whose error names the missing interface.
    capnp::Capability::Client find(const std::string& name) const;

private:
    mutable std::map<std::string, capnp::Capability::Client> clients_;
};

/// Bounds on what the peers of one server may send and hold.
struct Limits {
    /// Size of one message. Also bounds the calls of one connection that have no answer yet.
    size_t messageBytes_ { 16 * 1024 * 1024 };
    /// Number of open connections, at least 1. One more closes the one whose last message is the oldest, one without any
    /// message first.
    size_t connections_ { 1024 };
    /// Bytes of all larger messages that are being received. One that finds no room closes the connection of one that is at
    /// least as large, or else its own. Also bounds what is held for calls, until they are answered and finished, and for answers
    /// that are being sent; beyond it the connection that holds most is closed.
    size_t memoryBytes_ { 32 * 1024 * 1024 };
    bool operator==(const Limits&) const = default;
};

class Server {
public:
    /// Listens on `address`; port 0 picks a free one. A connection whose peer exceeds the limits is closed; the calls in
    /// flight on it fail with an unknown outcome.
    /// \return the server, or Unavailable with the system's error.
    static absl::StatusOr<std::unique_ptr<Server>> listen(const boost::asio::any_io_executor&, const Address&, Interfaces, Limits = {});

    virtual ~Server() noexcept(false) = default;
    /// Where the server listens.
    virtual Address address() const = 0;
    /// Stops accepting and closes all connections.
    virtual void close() = 0;
};

} // namespace persimmondoor::rpc
