// Runs a coroutine to completion in a test.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>

namespace persimmondoor {

// Runs `context` until `body` has ended and returns its result. Other work of the context stays pending.
template <typename T>
T runIn(boost::asio::io_context& context, boost::asio::awaitable<T> body)
{
    std::optional<T> result;
    std::exception_ptr failure;
    boost::asio::co_spawn(context, std::move(body), [&](std::exception_ptr error, T value) {
        failure = error;
        result = std::move(value);
    });
    context.restart();
    while (!result && context.run_one() > 0) { }
    if (failure)
        std::rethrow_exception(failure);
    return *std::move(result);
}

} // namespace persimmondoor
