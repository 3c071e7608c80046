// The connections to one endpoint: idle ones are used again, broken ones are closed.
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/http/Client.h"

#include <vector>

namespace persimmondoor::admission {

class BackendPool {
public:
    BackendPool(boost::asio::any_io_executor executor, Address address, uint32_t connections)
        : executor_(std::move(executor))
        , address_(std::move(address))
        , connections_(connections)
    {
    }

    // Sends `request` on an idle or a new connection, with its id as a header field. An answer that carries the id of
    // another request is a failure. The caller keeps at most `connections` exchanges at once.
    boost::asio::awaitable<http::ExchangeOutcome> exchange(RequestId id, http::Request request, Duration limit);

private:
    boost::asio::awaitable<absl::StatusOr<std::shared_ptr<http::Connection>>> take(Duration limit);

    boost::asio::any_io_executor executor_;
    Address address_;
    uint32_t connections_;
    uint32_t inUse_ { 0 };
    std::vector<std::shared_ptr<http::Connection>> idle_;
};

} // namespace persimmondoor::admission
