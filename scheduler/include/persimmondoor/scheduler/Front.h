/// Serves clients through the scheduler: finds the owner of the queues, tries again while it changes, and gives up with
/// a final answer in time.
///
/// \code
/// workflow::ClientAnswer answer = co_await serveClient(scheduler, call);
/// \endcode
#pragma once

#include "persimmondoor/scheduler/SchedulerActor.h"

namespace persimmondoor::scheduler {

/// \return the owner's answer. Without an owner, NotAccepted after `leaderSearchTimeout` if nothing was handed over;
///     OutcomeUnknown shortly before the client's deadline if something was.
boost::asio::awaitable<workflow::ClientAnswer> serveClient(SchedulerActor, workflow::ClientCall);

/// How long a call waits for an owner to be found; a change of owner takes about a second.
inline constexpr Duration leaderSearchTimeout = std::chrono::milliseconds(1200);

} // namespace persimmondoor::scheduler
