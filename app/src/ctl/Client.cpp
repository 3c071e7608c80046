#include "Client.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/http/Client.h"

#include <boost/asio/this_coro.hpp>

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;

static constexpr Duration exchangeTimeout = std::chrono::seconds(15);

asio::awaitable<Answer> Client::exchangeWith(Address entry, http::Request request) const
{
    if (!token_.empty())
        request.headers_.push_back(HeaderField { "Authorization", concat("Bearer ", token_) });
    request.headers_.push_back(HeaderField { "Host", entry.text() });
    std::string text = entry.text();
    http::ExchangeOutcome outcome = co_await http::exchangeOnce(co_await asio::this_coro::executor, std::move(entry), std::move(request), exchangeTimeout);
    if (auto* response = std::get_if<http::Response>(&outcome))
        co_return std::move(*response);
    const auto& failure = std::get<http::ExchangeFailure>(outcome);
    std::string detail = concat(text, ": ", std::string(failure.status_.message()));
    if (failure.handedOver_)
        co_return absl::AbortedError(detail);
    co_return absl::UnavailableError(detail);
}

asio::awaitable<Answer> Client::exchange(http::Request request, bool isRepeatable) const
{
    Client self = *this;
    std::string failures;
    for (const Address& entry : self.entries_) {
        Answer answer = co_await self.exchangeWith(entry, request);
        if (answer.ok() || (!isRepeatable && answer.status().code() == absl::StatusCode::kAborted))
            co_return answer;
        failures = concat(failures, failures.empty() ? "" : "; ", std::string(answer.status().message()));
    }
    co_return absl::UnavailableError(failures);
}

asio::awaitable<Answer> Client::get(std::string target) const
{
    http::Request request;
    request.target_ = std::move(target);
    co_return co_await exchange(std::move(request), true);
}

asio::awaitable<Answer> Client::send(std::string method, std::string target, std::string body) const
{
    http::Request request;
    request.method_ = std::move(method);
    request.target_ = std::move(target);
    request.headers_.push_back(HeaderField { "Content-Type", "application/json" });
    request.body_ = std::move(body);
    co_return co_await exchange(std::move(request), false);
}

} // namespace persimmondoor::app::ctl
