/// Starts coroutines whose unexpected end must not go unnoticed: the loop of an actor, and work that owes its owner an
/// outcome.
///
/// \code
/// spawnActor(executor, "supervisor", run(state));
/// spawnWork(executor, "report", sendReport(state, report), [state] { return postFailure(state); });
/// \endcode
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace persimmondoor {

/// Exit code of a process one of whose actors has failed (EX_SOFTWARE of sysexits.h).
inline constexpr int actorFailedExitCode = 70;

/// Runs the loop of an actor. An error other than a cancelled operation is logged with `name` and ends the process with
/// `actorFailedExitCode`: the actor's state is lost, and others would wait for it in vain. The platform starts the process
/// again, which restores its state as after a crash.
void spawnActor(const boost::asio::any_io_executor& executor, std::string name, boost::asio::awaitable<void> loop);

/// Runs `body`. If an error ends it, the error is logged with `name`, unless it is a cancelled operation, and
/// `reportFailure` runs, which must give the owner of the work the outcome that `body` owes it.
void spawnWork(const boost::asio::any_io_executor& executor, std::string name, boost::asio::awaitable<void> body, std::function<boost::asio::awaitable<void>()> reportFailure);

} // namespace persimmondoor
