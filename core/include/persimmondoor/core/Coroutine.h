/// Helpers for actors written as Asio coroutines.
///
/// \code
/// spawn(executor, "membership", runView(state));
/// co_await sleepFor(std::chrono::seconds(1));
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <string>

namespace persimmondoor {

/// Runs `body` on `executor` until it ends. An error other than a cancelled operation is logged with `name`.
void spawn(const boost::asio::any_io_executor& executor, std::string name, boost::asio::awaitable<void> body);

/// Waits for `duration` on the host's monotonic clock.
boost::asio::awaitable<void> sleepFor(Duration duration);

/// Runs `operation` and cancels it after `limit`.
/// \return its result, or DeadlineExceeded.
template <typename T>
boost::asio::awaitable<absl::StatusOr<T>> withTimeout(boost::asio::awaitable<absl::StatusOr<T>> operation, Duration limit)
{
    using namespace boost::asio::experimental::awaitable_operators;
    auto result = co_await (std::move(operation) || sleepFor(limit));
    if (result.index() == 0)
        co_return std::move(std::get<0>(result));
    co_return absl::DeadlineExceededError("timeout");
}

} // namespace persimmondoor
