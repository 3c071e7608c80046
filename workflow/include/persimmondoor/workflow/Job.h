/// A job of a queue: steps of tasks that depend on each other. Plain values, independent of their encoding.
///
/// \code
/// absl::StatusOr<JobSpec> spec = JobSpec::create("payload", { step }, Schedule {});
/// TaskKey firstTask { JobId::of("00000000000000aa"), 0, 0, 0 };
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Time.h"

#include <absl/status/statusor.h>
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmondoor::workflow {

/// Bound on the tasks of one job, over all steps and occurrences. The progress of a job is one row of the store, which
/// holds at most 64 KiB; a task takes at most about 60 bytes of it.
inline constexpr uint32_t maximumTasksPerJob = 1000;

/// One step of a job: `count_` identical tasks.
struct Step {
    uint32_t count_ { 1 };
    Resources demand_;
    /// The submitter's rough estimate of one task's run time.
    Duration estimate_ { 0 };
    /// Numbers of the earlier steps that must be done before this one starts.
    std::vector<uint32_t> dependencies_;
    /// The tasks are gang-scheduled: all of them start together and end together.
    bool gang_ { false };
    /// The tasks write checkpoints.
    bool savesProgress_ { false };
    /// The tasks run slower if they are spread across racks.
    bool rackSensitive_ { false };
    /// Several copies of a task may run in parallel.
    bool speculative_ { false };
    /// The tasks run until the job is cancelled and are restarted whenever a run ends.
    bool longRunning_ { false };
    /// Filling tasks: best-effort tasks that use only processor time that other tasks leave unused. Their cores are not
    /// counted against a worker's capacity.
    bool isFilling_ { false };
    /// Label that the worker must have; empty for any worker.
    std::string requiredLabel_;
    /// Rack that holds the tasks' data; empty if there is none.
    std::string dataRack_;
    /// Bound on the tasks of this step and occurrence on one worker; 0 for none.
    uint32_t maxPerWorker_ { 0 };
    /// Number of tasks of a long-running step that planned maintenance may interrupt at once; 0 if not stated.
    uint32_t mayMiss_ { 0 };
    /// Bound on the tail latency of a long-running task, in milliseconds; 0 for none.
    uint32_t targetTailMs_ { 0 };
    /// The image that the tasks run; tasks of one image are assumed to cause the same load and interference.
    std::string image_;
    bool operator==(const Step&) const = default;
};

/// Times at which the steps run. A job with 0 occurrences runs once, immediately.
struct Schedule {
    uint32_t occurrences_ { 0 };
    /// Due time of the first occurrence, in milliseconds since 1970 UTC.
    int64_t firstDueMs_ { 0 };
    int64_t periodMs_ { 0 };
    bool operator==(const Schedule&) const = default;
};

/// The specification that a client submits; immutable once the job is accepted.
class JobSpec {
public:
    JobSpec() = default;

    /// Checks that there is at least one step, that each step has tasks and depends on earlier steps only, and that the
    /// job has at most `maximumTasksPerJob` tasks.
    /// \return the spec, or InvalidArgument with the step or the bound at fault.
    static absl::StatusOr<JobSpec> create(std::string payload, std::vector<Step> steps, Schedule schedule);

    const std::string& payload() const { return payload_; }
    const std::vector<Step>& steps() const { return steps_; }
    const Schedule& schedule() const { return schedule_; }
    /// Number of times the steps run, at least 1.
    uint32_t occurrences() const { return schedule_.occurrences_ > 0 ? schedule_.occurrences_ : 1; }
    /// Number of tasks of one occurrence.
    uint32_t tasksPerOccurrence() const { return offsets_.empty() ? 0 : offsets_.back(); }
    /// Number of the first task of `step` within its occurrence.
    uint32_t offset(uint32_t step) const { return step == 0 ? 0 : offsets_[step - 1]; }
    /// Number of the step that a task belongs to.
    /// \param task number of the task within its occurrence, less than `tasksPerOccurrence`.
    uint32_t stepAt(uint32_t task) const { return static_cast<uint32_t>(std::upper_bound(offsets_.begin(), offsets_.end(), task) - offsets_.begin()); }
    /// True if the job has a schedule.
    bool isTimed() const { return schedule_.occurrences_ > 0; }
    bool operator==(const JobSpec&) const = default;

private:
    std::string payload_;
    std::vector<Step> steps_;
    Schedule schedule_;
    // offsets_[i] is the number of tasks of steps 0 to i.
    std::vector<uint32_t> offsets_;
};

/// Identifies one task of a job.
struct TaskKey {
    JobId job_;
    uint32_t occurrence_ { 0 };
    uint32_t step_ { 0 };
    uint32_t index_ { 0 };
    auto operator<=>(const TaskKey&) const = default;
};

/// Identifies one run of a task. The runs of a task are numbered from 1; the number is the task's fencing token.
struct RunKey {
    TaskKey task_;
    uint32_t run_ { 0 };
    auto operator<=>(const RunKey&) const = default;
};

/// Text of a task for log lines: job/occurrence/step/index.
std::string describe(const TaskKey&);
/// Text of a run for log lines: the task's text and "#" with the run.
std::string describe(const RunKey&);

} // namespace persimmondoor::workflow
