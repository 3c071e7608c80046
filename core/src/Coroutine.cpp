#include "persimmondoor/core/Coroutine.h"

#include "persimmondoor/core/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/channel_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

namespace persimmondoor {

namespace asio = boost::asio;

static bool isCancellation(const boost::system::error_code& code)
{
    return code == asio::error::operation_aborted || code == asio::experimental::error::channel_cancelled
        || code == asio::experimental::error::channel_closed;
}

static void reportEnd(const std::string& name, const std::exception_ptr& error)
{
    if (!error)
        return;
    try {
        std::rethrow_exception(error);
    } catch (const boost::system::system_error& failure) {
        if (!isCancellation(failure.code()))
            logError("actor.failed", { { "actor", name }, { "error", failure.what() } });
    } catch (const std::exception& failure) {
        logError("actor.failed", { { "actor", name }, { "error", failure.what() } });
    }
}

void spawn(const asio::any_io_executor& executor, std::string name, asio::awaitable<void> body)
{
    asio::co_spawn(executor, std::move(body), [name = std::move(name)](const std::exception_ptr& error) { reportEnd(name, error); });
}

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace persimmondoor
