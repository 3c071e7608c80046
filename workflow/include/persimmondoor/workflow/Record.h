/// Rows of a job in the store: the record, written once, and the progress, rewritten when a decision changes it. Also the
/// row of the interference estimates.
///
/// \code
/// std::string row = encodeProgress(progress);
/// absl::StatusOr<Progress> decoded = decodeProgress(row);
/// \endcode
#pragma once

#include "persimmondoor/workflow/Catalog.h"
#include "persimmondoor/workflow/Interference.h"
#include "persimmondoor/workflow/Worker.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::workflow {

/// Largest row, before its encoding in base64, with which the store's limit of 64 KiB is kept.
inline constexpr size_t maximumRowBytes = 48'000;

enum class TaskPhase : uint8_t {
    /// Not assigned to a worker; may be started once the steps that its step depends on are done.
    Waiting,
    /// Assigned to a worker; the run may be starting, running or ending.
    Assigned,
    Done,
};

/// The latest runs of a task in series that were lost with their workers at a similar age, with none between that ended or
/// outlived that age.
struct CrashSeries {
    uint32_t count_ { 0 };
    /// Number of those that were started apart from other suspects while no worker without a suspect was lost at the same time.
    uint32_t evidence_ { 0 };
    /// Age of the last of these runs when its worker was lost, in milliseconds.
    int64_t ageMs_ { 0 };
    auto operator<=>(const CrashSeries&) const = default;
};

/// Durable state of a task, which a new leader restores.
struct TaskProgress {
    TaskPhase phase_ { TaskPhase::Waiting };
    /// Number of the newest run, 0 before the first.
    uint32_t run_ { 0 };
    /// Number of runs that failed; of a gang, at the start of its newest run, those in which any member failed.
    uint32_t failures_ { 0 };
    /// Worker of the newest run; meaningful while the task is assigned.
    WorkerIncarnation worker_;
    std::string checkpoint_;
    /// Number of the latest runs in series that were lost as their worker crashed just after their start. 0 again once a run
    /// has outlived its start.
    uint32_t crashes_ { 0 };
    CrashSeries crashSeries_ {};
    /// Number of those crashes before which the worker had not confirmed the start, so that it may not have begun the run.
    uint32_t unconfirmedCrashes_ { 0 };
    auto operator<=>(const TaskProgress&) const = default;
};

/// The mutable part of a job.
struct Progress {
    bool isCancelled_ { false };
    bool hasFailed_ { false };
    /// At least one task has been reported as running or ended.
    bool hasStarted_ { false };
    std::vector<TaskProgress> tasks_;
    bool operator==(const Progress&) const = default;
};

/// The immutable part of a job: its specification and its queue.
struct JobRecord {
    JobId id_;
    /// The queue as configured when the job was accepted; applies if the queue is removed from the configuration. Its
    /// priority applies in any case.
    Queue queue_;
    /// Time of acceptance, or of the first submission of a job that was refused and came back earlier than it was told to; in
    /// milliseconds since 1970 UTC.
    int64_t acceptedMs_ { 0 };
    JobSpec spec_;
    bool operator==(const JobRecord&) const = default;
};

std::string encodeSpec(const JobSpec&);
/// \return the spec, or InvalidArgument.
absl::StatusOr<JobSpec> decodeSpec(std::string_view);

std::string encodeRecord(const JobRecord&);
/// \return the record, or InvalidArgument.
absl::StatusOr<JobRecord> decodeRecord(std::string_view);

std::string encodeProgress(const Progress&);
/// Encodes the progress without its checkpoints if the row would be larger than `maximumBytes`: the tasks then start from their
/// beginning after a change of leader, whereas a row that the store rejects would stop all writes.
/// \return the row, which may still be too large.
std::string encodeProgressWithin(size_t maximumBytes, const Progress&);
/// \return the progress, or InvalidArgument.
absl::StatusOr<Progress> decodeProgress(std::string_view);

/// Encodes the estimates for the next leader. Covariances of different images are left out: the next leader estimates them
/// from its own readings.
std::string encodeInterference(const Interference&);
/// \return the estimates, or InvalidArgument.
absl::StatusOr<Interference> decodeInterference(std::string_view);

} // namespace persimmondoor::workflow
