/// Values of the platform's worker interface: launches of tasks under leases, and reports on tasks and their usage.
///
/// \code
/// LaunchOutcome outcome = co_await launchTask(workers, worker, { { task, attempt }, "sleep 500", "", resources, label, lease });
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/store/Table.h"

#include <string>
#include <variant>
#include <vector>

namespace persimmondoor::store {

/// One attempt to run a task.
struct TaskAttempt {
    TaskId task_;
    Attempt attempt_;
    auto operator<=>(const TaskAttempt&) const = default;
};

/// A request to start a task.
struct Launch {
    TaskAttempt task_;
    std::string command_;
    /// Reference of the checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint_;
    Resources resources_;
    /// Opaque bytes of the caller, returned in every report on the task.
    std::string label_;
    /// Duration of the lease. The worker stops the task if the lease is not extended within this time.
    Duration lease_ { 0 };
    bool operator==(const Launch&) const = default;
};

/// The task was started, now or by an earlier launch of the same attempt. A repeated launch starts nothing.
struct Launched {
    auto operator<=>(const Launched&) const = default;
};

/// The worker refused the launch; nothing was started.
struct LaunchRefused {
    std::string detail_;
    auto operator<=>(const LaunchRefused&) const = default;
};

/// `Unavailable`: nothing was started. `ReplyLost`: the task may have been started; the caller repeats the launch.
using LaunchOutcome = std::variant<Launched, LaunchRefused, Unavailable, ReplyLost>;

enum class TaskState { Running,
    Finished,
    Failed,
    Stopped,
    LeaseLapsed };

/// State of one task as its worker reports it. An ended task is reported until `forgetTasks` drops it.
struct TaskReport {
    TaskAttempt task_;
    TaskState state_ { TaskState::Running };
    Resources resources_;
    std::string label_;
    /// Latest checkpoint made by this attempt; empty if none.
    std::string checkpoint_;
    int exitCode_ { 0 };
    /// Result of the task, or the reason of its failure.
    std::string result_;
    /// Time until the lease of a running task expires.
    Duration leaseLeft_ { 0 };
    bool operator==(const TaskReport&) const = default;
};

/// Number that increases with each change of a worker's tasks.
using WorkerRevision = Counter<struct WorkerRevisionTag>;

/// Changes of a worker's tasks.
struct WorkerReport {
    WorkerRevision revision_;
    /// Incarnation of the worker. A restarted worker has lost its tasks and starts a new sequence of revisions.
    Incarnation incarnation_;
    /// Tasks changed after the revision that the query names.
    std::vector<TaskReport> tasks_;
    bool operator==(const WorkerReport&) const = default;
};

/// Resources that a task uses, and its progress.
struct TaskUsage {
    TaskAttempt task_;
    Resources used_;
    /// Share of its full speed that the task may use, 0 to 1.
    double throttle_ { 1.0 };
    /// Share of the work done, 0 to 1.
    double progress_ { 0.0 };
    bool operator==(const TaskUsage&) const = default;
};

/// Usage of a worker's tasks as measured `age_` before the answer.
struct WorkerUsage {
    Duration age_ { 0 };
    std::vector<TaskUsage> tasks_;
    bool operator==(const WorkerUsage&) const = default;
};

/// Query for the changes after `since_`. The worker answers after `wait_` at the latest if nothing changes.
struct ReportQuery {
    WorkerRevision since_;
    Duration wait_ { 0 };
    auto operator<=>(const ReportQuery&) const = default;
};

} // namespace persimmondoor::store
