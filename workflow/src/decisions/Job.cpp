#include "persimmondoor/workflow/Job.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Worker.h"

#include <algorithm>

namespace persimmondoor::workflow {

static absl::Status checkStep(const std::vector<Step>& steps, size_t number)
{
    const Step& step = steps[number];
    if (step.count_ == 0)
        return absl::InvalidArgumentError(concat("step ", number, " has no tasks"));
    bool forward = std::any_of(step.dependencies_.begin(), step.dependencies_.end(), [&](uint32_t earlier) { return earlier >= number; });
    if (forward)
        return absl::InvalidArgumentError(concat("step ", number, " depends on itself or on a later step"));
    return absl::OkStatus();
}

absl::StatusOr<JobSpec> JobSpec::create(std::string payload, std::vector<Step> steps, Schedule schedule)
{
    if (steps.empty())
        return absl::InvalidArgumentError("a job needs at least one step, got none");
    JobSpec spec;
    uint64_t tasks = 0;
    uint64_t occurrences = std::max<uint64_t>(schedule.occurrences_, 1);
    for (size_t number = 0; number < steps.size(); ++number) {
        if (absl::Status status = checkStep(steps, number); !status.ok())
            return status;
        tasks += steps[number].count_;
        if (tasks * occurrences > maximumTasksPerJob)
            return absl::InvalidArgumentError(concat("a job has ", tasks * occurrences, " tasks or more over ", occurrences, " occurrences, at most ", maximumTasksPerJob, " are allowed"));
        spec.offsets_.push_back(static_cast<uint32_t>(tasks));
    }
    spec.payload_ = std::move(payload);
    spec.steps_ = std::move(steps);
    spec.schedule_ = schedule;
    return spec;
}

std::string describe(const TaskKey& task)
{
    return concat(task.job_.value(), "/", task.occurrence_, "/", task.step_, "/", task.index_);
}

std::string describe(const RunKey& run)
{
    return concat(describe(run.task_), "#", run.run_);
}

std::string_view describe(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::GangMemberEnded:
        return "broken";
    case RunEnd::GangTimedOut:
        return "alone";
    }
    return "unknown";
}

} // namespace persimmondoor::workflow
