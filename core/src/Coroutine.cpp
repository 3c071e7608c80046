#include "persimmondoor/core/Coroutine.h"

#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/channel_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <cstdlib>

namespace persimmondoor {

namespace asio = boost::asio;

static bool isCancellation(const boost::system::error_code& code)
{
    return code == asio::error::operation_aborted || code == asio::experimental::error::channel_cancelled
        || code == asio::experimental::error::channel_closed;
}

// Logs the error that has ended a coroutine.
// \return false if there is none, or if its operation was cancelled.
static bool hasFailed(const std::string& name, const std::exception_ptr& error)
{
    if (!error)
        return false;
    std::string reason = "unknown exception";
    try {
        std::rethrow_exception(error);
    } catch (const boost::system::system_error& failure) {
        if (isCancellation(failure.code()))
            return false;
        reason = failure.what();
    } catch (const std::exception& failure) {
        reason = failure.what();
    } catch (...) { // NOLINT(bugprone-empty-catch): the reason says so
    }
    logError("actor.failed", { { "actor", name }, { "error", reason } });
    return true;
}

void spawn(const asio::any_io_executor& executor, std::string name, asio::awaitable<void> body)
{
    asio::co_spawn(executor, std::move(body), [name = std::move(name)](const std::exception_ptr& error) { hasFailed(name, error); });
}

void spawnActor(const asio::any_io_executor& executor, std::string name, asio::awaitable<void> loop)
{
    asio::co_spawn(executor, std::move(loop), [name = std::move(name)](const std::exception_ptr& error) {
        if (!hasFailed(name, error))
            return;
        // Destructors could wait for the actor, so that none is run.
        flushLog();
        std::_Exit(actorFailedExitCode);
    });
}

void spawnWork(const asio::any_io_executor& executor, std::string name, asio::awaitable<void> body, std::function<asio::awaitable<void>()> reportFailure)
{
    asio::co_spawn(executor, std::move(body), [executor, name = std::move(name), reportFailure = std::move(reportFailure)](const std::exception_ptr& error) {
        hasFailed(name, error);
        // Work whose operation was cancelled owes its outcome too.
        if (error)
            spawn(executor, name, reportFailure());
    });
}

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace persimmondoor
