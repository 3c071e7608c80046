/// Access to the platform's worker interface through any of its implementations. All calls are idempotent and may be
/// retried; a launch is idempotent for the same attempt.
///
/// Statuses: NotFound for an unknown worker or attempt, InvalidArgument for a malformed call or answer, Unavailable if
/// the call had no effect, DeadlineExceeded if no reply came and the outcome is unknown.
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

/// Starts a task, unless its attempt was launched before.
boost::asio::awaitable<LaunchOutcome> launchTask(WorkerClient, WorkerName, Launch);

/// Extends the leases of running tasks: they expire `lease` after the call takes effect.
boost::asio::awaitable<absl::Status> extendTasks(WorkerClient, WorkerName, std::vector<TaskAttempt>, Duration lease);

/// Stops a task. After OK, reports contain the end of the task.
boost::asio::awaitable<absl::Status> stopTask(WorkerClient, WorkerName, TaskAttempt);

/// Makes a checkpoint of a running task, which continues to run.
/// \return the reference of the checkpoint.
boost::asio::awaitable<absl::StatusOr<std::string>> checkpointTask(WorkerClient, WorkerName, TaskAttempt);

/// Limits a running task to `share` of its full speed, 0 to 1.
boost::asio::awaitable<absl::Status> throttleTask(WorkerClient, WorkerName, TaskAttempt, double share);

/// Drops ended tasks from the reports.
boost::asio::awaitable<absl::Status> forgetTasks(WorkerClient, WorkerName, std::vector<TaskAttempt>);

/// Reports the tasks that changed after a revision. Without a change, waits for one as long as the query allows.
boost::asio::awaitable<absl::StatusOr<WorkerReport>> reportTasks(WorkerClient, WorkerName, ReportQuery);

/// Reports the resource usage of tasks. The usage may be out of date; `WorkerUsage` gives its age.
boost::asio::awaitable<absl::StatusOr<WorkerUsage>> reportUsage(WorkerClient, WorkerName);

} // namespace persimmondoor::store
