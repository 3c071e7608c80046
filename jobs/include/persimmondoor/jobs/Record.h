/// The records of a partition's journal. Each is a transition of jobs or tasks; a record that does not fit the state
/// that it meets (a stale attempt, a second end) changes nothing, so that duplicates are harmless.
///
/// \code
/// std::vector<Record> records { TaskAssigned { key, Attempt(1), site }, TaskEnded { key, Attempt(1), Finished { 0, "" } } };
/// \endcode
#pragma once

#include "persimmondoor/jobs/Job.h"

namespace persimmondoor::jobs {

struct JobSubmitted {
    JobSpec spec_;
    /// Milliseconds since 1970 UTC.
    int64_t at_ { 0 };
    bool operator==(const JobSubmitted&) const = default;
};

struct JobCancelled {
    JobId job_;
    int64_t at_ { 0 };
    auto operator<=>(const JobCancelled&) const = default;
};

/// A new attempt at a worker. The only record that permits a start.
struct TaskAssigned {
    TaskKey task_;
    Attempt attempt_;
    placement::Site site_;
    auto operator<=>(const TaskAssigned&) const = default;
};

struct CheckpointSaved {
    TaskKey task_;
    Attempt attempt_;
    std::string reference_;
    auto operator<=>(const CheckpointSaved&) const = default;
};

/// Why an attempt ended without a result.
enum class ReleaseCause { NeverStarted,
    Stopped,
    LeaseLapsed };

/// The attempt is over for certain, and without a result; the task may get a new one.
struct TaskReleased {
    TaskKey task_;
    Attempt attempt_;
    ReleaseCause cause_ { ReleaseCause::Stopped };
    /// Newest checkpoint; empty keeps the one known before.
    std::string checkpoint_;
    int64_t at_ { 0 };
    auto operator<=>(const TaskReleased&) const = default;
};

struct TaskFinished {
    TaskKey task_;
    Attempt attempt_;
    int32_t exitCode_ { 0 };
    std::string result_;
    int64_t at_ { 0 };
    auto operator<=>(const TaskFinished&) const = default;
};

struct TaskFailed {
    TaskKey task_;
    Attempt attempt_;
    std::string reason_;
    /// Counts against the task's budget. False where the worker is at fault.
    bool counted_ { true };
    int64_t at_ { 0 };
    auto operator<=>(const TaskFailed&) const = default;
};

/// No worker can ever run the job's tasks; ends those that wait.
struct JobUnplaceable {
    JobId job_;
    std::string reason_;
    int64_t at_ { 0 };
    auto operator<=>(const JobUnplaceable&) const = default;
};

/// The job's retention period is over.
struct JobExpired {
    JobId job_;
    auto operator<=>(const JobExpired&) const = default;
};

using Record = std::variant<JobSubmitted, JobCancelled, TaskAssigned, CheckpointSaved, TaskReleased, TaskFinished, TaskFailed, JobUnplaceable, JobExpired>;

} // namespace persimmondoor::jobs
