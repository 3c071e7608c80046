// Connection pool of one endpoint: idle connections are reused, broken ones are closed.
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/http/Client.h"

#include <vector>

namespace persimmondoor::admission {

class BackendPool {
public:
    BackendPool(boost::asio::any_io_executor executor, Address address, uint32_t connectionLimit)
        : executor_(std::move(executor))
        , address_(std::move(address))
        , connectionLimit_(connectionLimit)
    {
    }

    // Sends `request` on an idle or a new connection, with its id in the header field `requestIdHeader`. A response that
    // carries the id of another request is a failure. The caller runs at most `connectionLimit` exchanges at once.
    boost::asio::awaitable<http::ExchangeOutcome> exchange(RequestId id, http::Request request, Duration limit);

private:
    // Returns an idle connection that is still usable, or a new one.
    boost::asio::awaitable<absl::StatusOr<std::shared_ptr<http::Connection>>> acquire(Duration limit);

    boost::asio::any_io_executor executor_;
    Address address_;
    uint32_t connectionLimit_;
    uint32_t inUse_ { 0 };
    std::vector<std::shared_ptr<http::Connection>> idle_;
};

} // namespace persimmondoor::admission
