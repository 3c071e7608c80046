/// Serves the stand-ins of the platform over HTTP and JSON, under the same paths as the platform's own services. Tests
/// and drills read the injected faults with `GET /standin/faults`, set them with `PUT /standin/faults`, and read the
/// counters of the table with `GET /standin/counts`.
///
/// \code
/// PlatformStandins standins = PlatformStandins::create(SteadyClock());
/// auto server = serveStandins(executor, site.platform_, standins);
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/http/Server.h"
#include "persimmondoor/store/MemoryObjects.h"
#include "persimmondoor/store/MemoryTable.h"
#include "persimmondoor/store/MemoryWorkers.h"

#include <memory>

namespace persimmondoor::store {

/// Largest request body that the stand-ins accept, in bytes.
inline constexpr size_t standinBodyBytes = size_t(64) * 1024 * 1024;

/// The stand-ins of the platform's three services.
struct PlatformStandins {
    MemoryTable table_;
    MemoryObjects objects_;
    MemoryWorkers workers_;
    bool operator==(const PlatformStandins&) const = default;

    static PlatformStandins create(Clock clock);
};

/// Starts a server of the stand-ins at `address`.
/// \return the server, or Unavailable if it cannot listen on `address`.
absl::StatusOr<std::unique_ptr<http::Server>> serveStandins(const boost::asio::any_io_executor&, const Address& address, const PlatformStandins&);

} // namespace persimmondoor::store
