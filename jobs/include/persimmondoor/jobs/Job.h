/// A job, its tasks and the phases of a task, as immutable values.
///
/// \code
/// absl::Status status = checkJob(spec);
/// std::string_view phase = describe(task.phase_); // "queued", "running", ...
/// \endcode
#pragma once

#include "persimmondoor/placement/Offer.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmondoor::jobs {

/// Maximum number of tasks of one job.
inline constexpr uint32_t maximumTasks = 100'000;
/// Maximum length of a command, in bytes.
inline constexpr size_t maximumCommandBytes = 8192;
/// Maximum length of a job id, in bytes. A task id is longer, as it is the job id followed by a number.
inline constexpr size_t maximumJobIdBytes = 112;
/// Failures of one task after which it is not retried, for jobs that set no budget.
inline constexpr uint32_t defaultFailureBudget = 4;
/// The waiting tasks of a job without a finished task are failed after this many counted failures, if these occurred at
/// `jobFailureWorkers` different workers or more.
inline constexpr uint32_t jobFailureLimit = 12;
inline constexpr size_t jobFailureWorkers = 3;
/// Maximum number of workers that are recorded for the failures of a task or a job.
inline constexpr size_t maximumFailedAtWorkers = 8;

/// The id of a team's job: "<team>:<name>". Unique in the cell, as agents identify tasks by it.
/// \return the id, or InvalidArgument.
absl::StatusOr<JobId> jobId(const TeamName& team, std::string_view name);
/// \return the team of a job, or InvalidArgument for an id that is not of the form that `jobId` returns.
absl::StatusOr<TeamName> teamOf(const JobId&);

/// A job as a client submits it. Immutable once it is in the journal.
struct JobSpec {
    JobId id_;
    TeamName team_;
    placement::Priority priority_;
    std::string command_;
    uint32_t taskCount_ { 1 };
    /// Resources of each task.
    Resources resources_;
    placement::Constraint constraint_;
    /// Failures of one task after which it is not retried.
    uint32_t failureBudget_ { defaultFailureBudget };
    bool operator==(const JobSpec&) const = default;
};

/// Checks a submitted job.
/// \return OK, or InvalidArgument that names the field.
absl::Status checkJob(const JobSpec&);

/// Identifies a task by its job and its position in the job.
struct TaskKey {
    JobId job_;
    uint32_t index_ { 0 };
    auto operator<=>(const TaskKey&) const = default;
};

/// The id by which agents identify the task: "<job>/<index>".
TaskId taskId(const TaskKey&);
/// \return the key, or InvalidArgument for an id that is not of the form that `taskId` returns.
absl::StatusOr<TaskKey> parseTaskId(const TaskId&);

/// The task waits for its first attempt, or for the next one after a failure.
struct Queued {
    auto operator<=>(const Queued&) const = default;
};

/// The task's attempt was stopped before it finished; the task waits to resume from its checkpoint.
struct Evicted {
    auto operator<=>(const Evicted&) const = default;
};

/// The attempt is in the journal; the worker has not yet reported that the task runs.
struct Starting {
    placement::Site site_;
    auto operator<=>(const Starting&) const = default;
};

struct Running {
    placement::Site site_;
    auto operator<=>(const Running&) const = default;
};

/// The agent was ordered to save a checkpoint of the task and to stop it.
struct Checkpointing {
    placement::Site site_;
    auto operator<=>(const Checkpointing&) const = default;
};

/// The agent was ordered to stop the task because its job was cancelled.
struct Stopping {
    placement::Site site_;
    auto operator<=>(const Stopping&) const = default;
};

struct Finished {
    int32_t exitCode_ { 0 };
    std::string result_;
    auto operator<=>(const Finished&) const = default;
};

struct Failed {
    std::string reason_;
    auto operator<=>(const Failed&) const = default;
};

struct Cancelled {
    auto operator<=>(const Cancelled&) const = default;
};

/// The task can never run, for a reason that `placement::findUnplaceable` found.
struct Unplaceable {
    std::string reason_;
    auto operator<=>(const Unplaceable&) const = default;
};

using TaskPhase = std::variant<Queued, Evicted, Starting, Running, Checkpointing, Stopping, Finished, Failed, Cancelled, Unplaceable>;

/// The name of a phase, as used in answers and logs. Stable across versions.
std::string_view describe(const TaskPhase&);
/// True if the phase is final: the task gets no further attempt.
bool isEnded(const TaskPhase&);
/// \return where the task's attempt is, or null if the task has none.
const placement::Site* siteOf(const TaskPhase&);

struct Task {
    TaskPhase phase_;
    /// The newest durable attempt; 0 before the first.
    Attempt attempt_;
    uint32_t failures_ { 0 };
    /// Reference of the newest checkpoint; empty if there is none.
    std::string checkpoint_;
    /// Different workers at which the task failed, at most `maximumFailedAtWorkers`.
    std::vector<WorkerName> failedAt_;
    std::string lastError_;
    bool operator==(const Task&) const = default;
};

struct Job {
    JobSpec spec_;
    /// Counts the submissions of the partition. Within a priority, jobs with lower numbers start first.
    Sequence submissionNumber_;
    std::vector<Task> tasks_;
    bool isCancelled_ { false };
    /// Tasks that have not ended.
    uint32_t liveTasks_ { 0 };
    /// Tasks that finished.
    uint32_t finishedTasks_ { 0 };
    /// Counted failures of all tasks.
    uint32_t failures_ { 0 };
    /// Different workers at which tasks of the job failed, at most `maximumFailedAtWorkers`.
    std::vector<WorkerName> failedAt_;
    /// Time of submission, in milliseconds since 1970 UTC; used in answers only.
    int64_t submittedAt_ { 0 };
    /// Time at which the last task ended, in milliseconds since 1970 UTC; 0 while a task is live.
    int64_t endedAt_ { 0 };
    bool operator==(const Job&) const = default;
};

} // namespace persimmondoor::jobs
