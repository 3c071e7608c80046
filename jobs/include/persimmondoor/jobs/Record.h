/// The records of a partition's journal. Each record is a transition of jobs or tasks. A record that does not match the
/// current state (a stale attempt, a second end of an attempt) has no effect, so a repeated record is harmless.
///
/// \code
/// std::vector<Record> records { TaskAssigned { key, Attempt(1), site }, TaskFinished { key, Attempt(1), 0, "done", now } };
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

/// A new attempt at a worker. No other record permits a start.
struct TaskAssigned {
    TaskKey task_;
    Attempt attempt_;
    placement::Site site_;
    auto operator<=>(const TaskAssigned&) const = default;
};

/// A checkpoint of a running attempt that the next attempt can resume from.
struct CheckpointSaved {
    TaskKey task_;
    Attempt attempt_;
    std::string reference_;
    auto operator<=>(const CheckpointSaved&) const = default;
};

/// Why an attempt ended without a result. Stored by its numeric value.
enum class ReleaseCause { NeverStarted,
    Stopped,
    LeaseLapsed };

/// The attempt has certainly ended, without a result; the task may be assigned a new attempt.
struct TaskReleased {
    TaskKey task_;
    Attempt attempt_;
    ReleaseCause cause_ { ReleaseCause::Stopped };
    /// The newest checkpoint; if empty, the task keeps its earlier one.
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
    /// Whether the failure counts against the task's failure budget. False if the worker is presumed to be the cause.
    bool isCounted_ { true };
    int64_t at_ { 0 };
    auto operator<=>(const TaskFailed&) const = default;
};

/// The job's tasks can never run. Ends the tasks that have no attempt.
struct JobUnplaceable {
    JobId job_;
    std::string reason_;
    int64_t at_ { 0 };
    auto operator<=>(const JobUnplaceable&) const = default;
};

/// The retention period of an ended job is over, or there are too many ended jobs; removes the job.
struct JobExpired {
    JobId job_;
    auto operator<=>(const JobExpired&) const = default;
};

using Record = std::variant<JobSubmitted, JobCancelled, TaskAssigned, CheckpointSaved, TaskReleased, TaskFinished, TaskFailed, JobUnplaceable, JobExpired>;

} // namespace persimmondoor::jobs
