/// A job, its tasks and the phases of their lives, as immutable values.
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

/// Most tasks of one job.
inline constexpr uint32_t maximumTasks = 100'000;
/// Longest command, in bytes.
inline constexpr size_t maximumCommandBytes = 8192;
/// Longest job id, in bytes; a task's id is the job's with a number behind it.
inline constexpr size_t maximumJobIdBytes = 112;
/// Failures of one task after which it is not tried again, where the job sets no budget.
inline constexpr uint32_t defaultFailureBudget = 4;
/// Counted failures, at this many workers, after which a job none of whose tasks has finished is stopped.
inline constexpr uint32_t jobFailureLimit = 12;
inline constexpr size_t jobFailureWorkers = 3;
/// Workers remembered for the failures of a task or job.
inline constexpr size_t maximumWorkersRemembered = 8;

/// The id of a team's job: "<team>:<name>". Agents know tasks by it, so that it is unique in the cell.
/// \return the id, or InvalidArgument.
absl::StatusOr<JobId> jobId(const TeamName& team, std::string_view name);
/// \return the team of a job, or InvalidArgument for an id that `jobId` does not give.
absl::StatusOr<TeamName> teamOf(const JobId&);

/// What a client submits. Immutable once it is in the journal.
struct JobSpec {
    JobId id_;
    TeamName team_;
    placement::Priority priority_;
    std::string command_;
    uint32_t taskCount_ { 1 };
    /// Amounts for each task.
    Resources resources_;
    placement::Constraint constraint_;
    /// Failures of one task after which it has failed for good.
    uint32_t failureBudget_ { defaultFailureBudget };
    bool operator==(const JobSpec&) const = default;
};

/// Checks a submitted job.
/// \return OK, or InvalidArgument that names the field.
absl::Status checkJob(const JobSpec&);

/// A task: the job and the task's position in it.
struct TaskKey {
    JobId job_;
    uint32_t index_ { 0 };
    auto operator<=>(const TaskKey&) const = default;
};

/// The task's id as agents know it: "<job>/<index>".
TaskId taskId(const TaskKey&);
/// \return the key, or InvalidArgument for a text that `taskId` does not give.
absl::StatusOr<TaskKey> parseTaskId(const TaskId&);

/// Waits for its first attempt, or for the next one after a failure.
struct Queued {
    auto operator<=>(const Queued&) const = default;
};

/// Its attempt was stopped before its end; it waits to resume from its checkpoint.
struct Evicted {
    auto operator<=>(const Evicted&) const = default;
};

/// The attempt is in the journal; the worker has not yet said that the task runs.
struct Starting {
    placement::Site site_;
    auto operator<=>(const Starting&) const = default;
};

struct Running {
    placement::Site site_;
    auto operator<=>(const Running&) const = default;
};

/// Told to save a checkpoint and stop.
struct Checkpointing {
    placement::Site site_;
    auto operator<=>(const Checkpointing&) const = default;
};

/// Told to stop because its job was cancelled.
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

/// Can never run.
struct Unplaceable {
    std::string reason_;
    auto operator<=>(const Unplaceable&) const = default;
};

using TaskPhase = std::variant<Queued, Evicted, Starting, Running, Checkpointing, Stopping, Finished, Failed, Cancelled, Unplaceable>;

/// Stable text of a phase, as used in answers and logs.
std::string_view describe(const TaskPhase&);
/// True once the task has ended for good.
bool isEnded(const TaskPhase&);
/// Where the task's attempt is, or nothing if it has none.
const placement::Site* siteOf(const TaskPhase&);

struct Task {
    TaskPhase phase_;
    /// The newest attempt in the journal; 0 before the first.
    Attempt attempt_;
    uint32_t failures_ { 0 };
    /// Reference of the newest checkpoint; empty if there is none.
    std::string checkpoint_;
    /// Workers at which it failed, without repeats.
    std::vector<WorkerName> failedAt_;
    std::string lastError_;
    bool operator==(const Task&) const = default;
};

struct Job {
    JobSpec spec_;
    /// Position among the partition's jobs; earlier ones go first within a priority.
    Sequence order_;
    std::vector<Task> tasks_;
    bool cancelled_ { false };
    /// Tasks that have not ended.
    uint32_t liveTasks_ { 0 };
    /// Tasks that finished.
    uint32_t finishedTasks_ { 0 };
    /// Counted failures of all tasks.
    uint32_t failures_ { 0 };
    /// Workers at which tasks of the job failed, without repeats, at most `maximumWorkersRemembered`.
    std::vector<WorkerName> failedAt_;
    /// Time of submission, in milliseconds since 1970 UTC; for reports alone.
    int64_t submittedAt_ { 0 };
    /// Time at which the last task ended; 0 while one is live.
    int64_t endedAt_ { 0 };
    bool operator==(const Job&) const = default;
};

} // namespace persimmondoor::jobs
