#include "HTTPPool.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::store {

namespace asio = boost::asio;

static absl::StatusOr<std::string> toResult(http::Response& response)
{
    if (response.status_ == 200)
        return std::move(response.body_);
    std::string detail = concat("the platform answered ", response.status_, ": ", response.body_);
    if (response.status_ == 404)
        return absl::NotFoundError(detail);
    if (response.status_ == 400 || response.status_ == 413)
        return absl::InvalidArgumentError(detail);
    if (response.status_ == 503)
        return absl::UnavailableError(detail);
    return absl::DeadlineExceededError(detail);
}

static absl::StatusOr<std::string> toResult(const http::ExchangeFailure& failure)
{
    if (!failure.handedOver_)
        return absl::UnavailableError(failure.status_.message());
    return absl::DeadlineExceededError(failure.status_.message());
}

asio::awaitable<absl::StatusOr<std::string>> fetch(HTTPPool pool, http::Request request, Duration limit)
{
    http::ExchangeOutcome outcome = co_await http::exchange(std::move(pool), std::move(request), limit, http::Repeat::Allowed);
    co_return std::visit([](auto& alternative) { return toResult(alternative); }, outcome);
}

} // namespace persimmondoor::store
