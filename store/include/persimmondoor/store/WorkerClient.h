/// Access to the platform's worker interface through any of its implementations. Every call but a launch is
/// idempotent and may simply be repeated; a launch is so for the same attempt.
///
/// Statuses: NotFound for an unknown worker or attempt, Unavailable if nothing was done, DeadlineExceeded if no reply
/// came, which leaves it open.
///
/// \code
/// absl::StatusOr<WorkerReport> report = co_await reportTasks(workers, worker, { since, std::chrono::seconds(20) });
/// \endcode
#pragma once

#include "persimmondoor/store/HTTPPlatform.h"
#include "persimmondoor/store/MemoryWorkers.h"

#include <variant>

namespace persimmondoor::store {

using WorkerClient = std::variant<MemoryWorkers, HTTPWorkers>;

boost::asio::awaitable<LaunchOutcome> launchTask(WorkerClient, WorkerName, Launch);

/// Sets the leases of running tasks to end `lease` after the call takes effect.
boost::asio::awaitable<absl::Status> extendTasks(WorkerClient, WorkerName, std::vector<TaskAttempt>, Duration lease);

/// Ends a task. Its end is in the reports once this has returned OK.
boost::asio::awaitable<absl::Status> stopTask(WorkerClient, WorkerName, TaskAttempt);

/// Makes a checkpoint of a running task, which runs on.
/// \return its reference.
boost::asio::awaitable<absl::StatusOr<std::string>> checkpointTask(WorkerClient, WorkerName, TaskAttempt);

/// Limits a running task to `share` of its full speed, 0 to 1.
boost::asio::awaitable<absl::Status> throttleTask(WorkerClient, WorkerName, TaskAttempt, double share);

/// Drops ended tasks from the reports.
boost::asio::awaitable<absl::Status> forgetTasks(WorkerClient, WorkerName, std::vector<TaskAttempt>);

/// Reports the tasks changed after a revision, waiting for a change if there is none.
boost::asio::awaitable<absl::StatusOr<WorkerReport>> reportTasks(WorkerClient, WorkerName, ReportQuery);

/// Reports what tasks use, with a lag.
boost::asio::awaitable<absl::StatusOr<WorkerUsage>> reportUsage(WorkerClient, WorkerName);

} // namespace persimmondoor::store
