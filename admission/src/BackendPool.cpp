#include "BackendPool.h"

#include "persimmondoor/admission/Request.h"
#include "persimmondoor/core/Invariant.h"

#include <algorithm>

namespace persimmondoor::admission {

namespace asio = boost::asio;

// Time-out for connecting to an endpoint, which is on this host.
static constexpr Duration connectTimeout = std::chrono::milliseconds(500);

static void setRequestId(http::Request& request, const RequestId& id)
{
    std::erase_if(request.headers_, [](const HeaderField& field) { return http::findHeader({ field }, requestIdHeader).has_value(); });
    request.headers_.push_back({ std::string(requestIdHeader), id.value() });
}

static bool answersAnotherRequest(const http::ExchangeOutcome& outcome, const RequestId& id)
{
    const auto* response = std::get_if<http::Response>(&outcome);
    if (!response)
        return false;
    auto answered = http::findHeader(response->headers_, requestIdHeader);
    return answered && *answered != id.value();
}

asio::awaitable<absl::StatusOr<std::shared_ptr<http::Connection>>> BackendPool::acquire(Duration limit)
{
    while (!idle_.empty()) {
        std::shared_ptr<http::Connection> connection = std::move(idle_.back());
        idle_.pop_back();
        if (connection->isReusable())
            co_return connection;
    }
    co_return co_await http::Connection::connect(executor_, address_, std::min(limit, connectTimeout));
}

asio::awaitable<http::ExchangeOutcome> BackendPool::exchange(RequestId id, http::Request request, Duration limit)
{
    ++inUse_;
    assertInvariant(inUse_ <= connectionLimit_, "an endpoint's connections are within its limit");
    setRequestId(request, id);
    auto connection = co_await acquire(limit);
    if (!connection.ok()) {
        --inUse_;
        co_return http::ExchangeFailure { false, connection.status() };
    }
    http::ExchangeOutcome outcome = co_await (*connection)->exchange(std::move(request), limit);
    --inUse_;
    if (answersAnotherRequest(outcome, id)) {
        (*connection)->close();
        co_return http::ExchangeFailure { true, absl::DataLossError("response carries the Persimmondoor-Request-Id of another request") };
    }
    if ((*connection)->isReusable())
        idle_.push_back(*std::move(connection));
    co_return outcome;
}

} // namespace persimmondoor::admission
