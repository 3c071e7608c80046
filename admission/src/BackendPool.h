// The connections to one endpoint: idle ones are used again, broken ones are closed.
#pragma once

#include "persimmondoor/http/Client.h"

#include <vector>

namespace persimmondoor::admission {

class BackendPool {
public:
    BackendPool(boost::asio::any_io_executor executor, Address address)
        : executor_(std::move(executor))
        , address_(std::move(address))
    {
    }

    // Sends `request` on an idle or a new connection. A failure of an idle connection that the server had closed
    // counts as handed over, since bytes may have left.
    boost::asio::awaitable<http::ExchangeOutcome> exchange(http::Request, Duration limit);

private:
    boost::asio::any_io_executor executor_;
    Address address_;
    std::vector<std::shared_ptr<http::Connection>> idle_;
};

} // namespace persimmondoor::admission
