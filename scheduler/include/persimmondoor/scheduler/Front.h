/// Serves clients through the scheduler: finds the leader of the queues, retries while the leader changes, and returns a
/// final answer before the client's deadline.
///
/// \code
/// workflow::ClientAnswer answer = co_await serveClient(scheduler, call);
/// \endcode
#pragma once

#include "persimmondoor/scheduler/SchedulerActor.h"

namespace persimmondoor::scheduler {

/// \return the leader's answer. If no leader answers: NotAccepted after `leaderSearchTimeout` if no attempt can have taken
///     effect, else OutcomeUnknown shortly before the client's deadline.
boost::asio::awaitable<workflow::ClientAnswer> serveClient(SchedulerActor, workflow::ClientCall);

/// Longest time that a call waits for a leader to be found; a change of leader takes about a second.
inline constexpr Duration leaderSearchTimeout = std::chrono::milliseconds(1200);

} // namespace persimmondoor::scheduler
