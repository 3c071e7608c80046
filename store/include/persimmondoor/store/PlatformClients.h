/// Clients of the three services of the platform: table, objects and workers.
///
/// \code
/// PlatformClients platform = connectPlatform(executor, site.platform_);
/// auto rows = co_await read(platform.table_, { "partition/7" });
/// \endcode
#pragma once

#include "persimmondoor/store/ObjectClient.h"
#include "persimmondoor/store/TableClient.h"
#include "persimmondoor/store/WorkerClient.h"

namespace persimmondoor::store {

struct PlatformClients {
    TableClient table_;
    ObjectClient objects_;
    WorkerClient workers_;
    bool operator==(const PlatformClients&) const = default;
};

/// \return clients over HTTP that share their connections. Connections are opened on first use.
inline PlatformClients connectPlatform(const boost::asio::any_io_executor& executor, const Address& address)
{
    HTTPPool pool = HTTPPool::create(executor, address);
    return { HTTPTable(pool), HTTPObjects(pool), HTTPWorkers(pool) };
}

} // namespace persimmondoor::store
