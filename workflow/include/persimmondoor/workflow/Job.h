/// A job of a queue: steps of tasks that depend on each other. Plain values; nothing here knows how a job is encoded.
///
/// \code
/// absl::StatusOr<JobSpec> spec = JobSpec::create("payload", { step }, Schedule {});
/// TaskKey first { job, 0, 0, 0 };
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Time.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmondoor::workflow {

/// Most tasks of one job, over all steps and occurrences. The progress of a job is one row of the store, at most
/// 64 KiB; a task takes at most about 60 bytes there.
inline constexpr uint32_t maximumTasksPerJob = 1000;

/// One step: `count_` tasks that run alike.
struct Step {
    uint32_t count_ { 1 };
    Resources demand_;
    /// The submitter's rough guess of one task's run time.
    Duration estimate_ { 0 };
    /// Numbers of earlier steps that must be done first.
    std::vector<uint32_t> dependencies_;
    /// All tasks start together and end together.
    bool gang_ { false };
    /// The tasks write checkpoints.
    bool savesProgress_ { false };
    /// A gang that runs slower across racks.
    bool rackSensitive_ { false };
    /// Copies of a task may run in parallel.
    bool speculative_ { false };
    /// The tasks run until the job is cancelled and are restarted however they end.
    bool longRunning_ { false };
    /// The tasks take only processor time that others leave unused; their cores are not counted.
    bool isFilling_ { false };
    /// Label that the worker must carry; empty for any.
    std::string requiredLabel_;
    /// Rack that holds the data; empty for none.
    std::string dataRack_;
    /// Most tasks of this step and occurrence on one worker; 0 for no bound.
    uint32_t maxPerWorker_ { 0 };
    /// Tasks of a long-running step that planned work may keep away at once; 0 if not stated.
    uint32_t mayMiss_ { 0 };
    /// Bound on the tail latency of a long-running task, in milliseconds; 0 for none.
    uint32_t targetTailMs_ { 0 };
    /// What the tasks run; tasks of one image behave alike.
    std::string image_;
    bool operator==(const Step&) const = default;
};

/// Times at which the steps run. A job without occurrences runs once, at once.
struct Schedule {
    uint32_t occurrences_ { 0 };
    /// Due time of the first occurrence, in milliseconds since 1970 UTC.
    int64_t firstDueMs_ { 0 };
    int64_t periodMs_ { 0 };
    bool operator==(const Schedule&) const = default;
};

/// What a client asked for; never changes after it was accepted.
class JobSpec {
public:
    JobSpec() = default;

    /// Checks the steps: at least one, none empty, dependences on earlier steps only, at most `maximumTasksPerJob` tasks.
    /// \return the spec, or InvalidArgument that names the step.
    static absl::StatusOr<JobSpec> create(std::string payload, std::vector<Step> steps, Schedule schedule);

    const std::string& payload() const { return payload_; }
    const std::vector<Step>& steps() const { return steps_; }
    const Schedule& schedule() const { return schedule_; }
    /// Number of times the steps run, at least 1.
    uint32_t occurrences() const { return schedule_.occurrences_ > 0 ? schedule_.occurrences_ : 1; }
    /// Tasks of one occurrence.
    uint32_t tasksPerOccurrence() const { return offsets_.empty() ? 0 : offsets_.back(); }
    /// Number of the first task of `step` within its occurrence.
    uint32_t offset(uint32_t step) const { return step == 0 ? 0 : offsets_[step - 1]; }
    /// True if the steps run at stated times.
    bool isTimed() const { return schedule_.occurrences_ > 0; }
    bool operator==(const JobSpec&) const = default;

private:
    std::string payload_;
    std::vector<Step> steps_;
    Schedule schedule_;
    // offsets_[i]: tasks of steps 0 to i.
    std::vector<uint32_t> offsets_;
};

/// Names one task of a job.
struct TaskKey {
    JobId job_;
    uint32_t occurrence_ { 0 };
    uint32_t step_ { 0 };
    uint32_t index_ { 0 };
    auto operator<=>(const TaskKey&) const = default;
};

/// One start of a task. Runs of a task are numbered from 1 and serve as its fencing token.
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
