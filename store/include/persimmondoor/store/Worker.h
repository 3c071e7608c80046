/// The platform's worker interface as plain values: launching tasks under leases, and reports of what runs.
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

/// One run of a task.
struct TaskAttempt {
    TaskId task_;
    Attempt attempt_;
    auto operator<=>(const TaskAttempt&) const = default;
};

struct Launch {
    TaskAttempt task_;
    std::string command_;
    /// Reference of the checkpoint to resume from; empty for a start from the beginning.
    std::string checkpoint_;
    Resources resources_;
    /// Bytes of the caller's, given back in every report of the task.
    std::string label_;
    /// The worker stops the task unless the lease is extended within this time.
    Duration lease_ { 0 };
    bool operator==(const Launch&) const = default;
};

/// The task runs, or ran; a repeated launch of the same attempt starts nothing.
struct Launched {
    auto operator<=>(const Launched&) const = default;
};

/// The worker will not run the task; nothing was started.
struct LaunchRefused {
    std::string detail_;
    auto operator<=>(const LaunchRefused&) const = default;
};

/// `Unavailable`: nothing was started. `ReplyLost`: it may have been; repeat the launch.
using LaunchOutcome = std::variant<Launched, LaunchRefused, Unavailable, ReplyLost>;

enum class TaskState { Running,
    Finished,
    Failed,
    Stopped,
    LeaseLapsed };

/// A worker's word on one task. An ended task is reported until it is forgotten.
struct TaskReport {
    TaskAttempt task_;
    TaskState state_ { TaskState::Running };
    Resources resources_;
    std::string label_;
    /// Latest checkpoint made by this attempt; empty if none.
    std::string checkpoint_;
    int exitCode_ { 0 };
    /// What the task gave, or why it failed.
    std::string result_;
    /// Time until a running task is stopped.
    Duration leaseLeft_ { 0 };
    bool operator==(const TaskReport&) const = default;
};

/// Number of the changes of a worker's tasks.
using WorkerRevision = Counter<struct WorkerRevisionTag>;

struct WorkerReport {
    WorkerRevision revision_;
    /// Life of the worker; a worker that was restarted has lost its tasks and numbers its changes anew.
    Incarnation incarnation_;
    /// Tasks changed after the revision asked for.
    std::vector<TaskReport> tasks_;
    bool operator==(const WorkerReport&) const = default;
};

/// What a task took from its worker.
struct TaskUsage {
    TaskAttempt task_;
    Resources used_;
    /// Share of its full speed that the task is allowed, 0 to 1.
    double throttle_ { 1.0 };
    /// Share of the work done, 0 to 1.
    double progress_ { 0.0 };
    bool operator==(const TaskUsage&) const = default;
};

/// Usage as it was `age_` before the answer.
struct WorkerUsage {
    Duration age_ { 0 };
    std::vector<TaskUsage> tasks_;
    bool operator==(const WorkerUsage&) const = default;
};

/// Which changes to report, and how long to wait for one.
struct ReportQuery {
    WorkerRevision since_;
    Duration wait_ { 0 };
    auto operator<=>(const ReportQuery&) const = default;
};

} // namespace persimmondoor::store
