/// The limits of a process's servers, derived from the memory and the file descriptors that the process may use. The limits of
/// all servers of a process add up to less than the process has.
///
/// \code
/// ServerLimits limits = ServerLimits::create(256 * bytesPerMegabyte, 4096);
/// auto server = http::Server::listen(executor, address, limits.requests_, handler);
/// \endcode
#pragma once

#include "persimmondoor/http/Server.h"
#include "persimmondoor/rpc/Server.h"

namespace persimmondoor::app {

struct ServerLimits {
    /// Requests of callers, clients and workers.
    http::Limits requests_;
    /// The operators' API.
    http::Limits operators_;
    /// Metrics and readiness probes, each.
    http::Limits probes_;
    /// Connections between the processes of the system.
    rpc::Limits peers_;
    bool operator==(const ServerLimits&) const = default;

    /// \param memoryBytes memory that the process may use.
    /// \param descriptors file descriptors that the process may use.
    static ServerLimits create(uint64_t memoryBytes, size_t descriptors);
};

} // namespace persimmondoor::app
