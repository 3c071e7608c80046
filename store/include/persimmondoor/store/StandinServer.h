/// Serves the stand-ins of the platform over HTTP and JSON, as the platform's own services would be met, with paths
/// for drills: `GET` and `PUT /standin/faults`, and `GET /standin/counts`.
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

/// Largest request that the stand-ins take, in bytes.
inline constexpr size_t standinBodyBytes = size_t(64) * 1024 * 1024;

struct PlatformStandins {
    MemoryTable table_;
    MemoryObjects objects_;
    MemoryWorkers workers_;
    bool operator==(const PlatformStandins&) const = default;

    static PlatformStandins create(Clock clock);
};

/// \return the server, or Unavailable if `address` can't be listened on.
absl::StatusOr<std::unique_ptr<http::Server>> serveStandins(const boost::asio::any_io_executor&, const Address& address, const PlatformStandins&);

} // namespace persimmondoor::store
