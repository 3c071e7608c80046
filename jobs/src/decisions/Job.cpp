#include "persimmondoor/jobs/Job.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

#include <charconv>

namespace persimmondoor::jobs {

absl::Status checkJob(const JobSpec& spec)
{
    if (spec.id_.empty() || spec.id_.value().size() > maximumJobIdBytes || spec.id_.value().find('/') != std::string::npos)
        return absl::InvalidArgumentError(concat("id: must be 1 to ", maximumJobIdBytes, " bytes long, without '/'"));
    if (spec.team_.empty() || spec.team_.value().find_first_of("/:") != std::string::npos)
        return absl::InvalidArgumentError("team: must not be empty and must not contain '/' or ':'");
    if (!spec.id_.value().starts_with(spec.team_.value() + ":"))
        return absl::InvalidArgumentError("id: must start with the team's name followed by ':'");
    if (spec.command_.empty() || spec.command_.size() > maximumCommandBytes)
        return absl::InvalidArgumentError(concat("command: must be 1 to ", maximumCommandBytes, " bytes long"));
    if (spec.taskCount_ == 0 || spec.taskCount_ > maximumTasks)
        return absl::InvalidArgumentError(concat("tasks: must be 1 to ", maximumTasks));
    if (spec.failureBudget_ == 0)
        return absl::InvalidArgumentError("failure_budget: must be at least 1");
    if (spec.resources_ == Resources())
        return absl::InvalidArgumentError("resources: a task must request processors, memory or accelerators");
    return absl::OkStatus();
}

absl::StatusOr<JobId> jobId(const TeamName& team, std::string_view name)
{
    return JobId::create(concat(team.value(), ":", name));
}

absl::StatusOr<TeamName> teamOf(const JobId& id)
{
    size_t colon = id.value().find(':');
    if (colon == std::string::npos)
        return absl::InvalidArgumentError("a job id must have the form TEAM:NAME");
    return TeamName::create(id.value().substr(0, colon));
}

TaskId taskId(const TaskKey& key)
{
    return TaskId::of(concat(key.job_.value(), "/", key.index_));
}

absl::StatusOr<TaskKey> parseTaskId(const TaskId& id)
{
    const std::string& text = id.value();
    size_t slash = text.rfind('/');
    uint32_t index = 0;
    const char* end = text.data() + text.size();
    if (slash == std::string::npos || slash == 0 || std::from_chars(text.data() + slash + 1, end, index).ptr != end || slash + 1 == text.size())
        return absl::InvalidArgumentError(concat("a task id must have the form JOB/INDEX, not ", text));
    return TaskKey { JobId::of(text.substr(0, slash)), index };
}

std::string_view describe(const TaskPhase& phase)
{
    return std::visit(Visitor {
                          [](const Queued&) { return "queued"; },
                          [](const Evicted&) { return "evicted"; },
                          [](const Starting&) { return "starting"; },
                          [](const Running&) { return "running"; },
                          [](const Checkpointing&) { return "checkpointing"; },
                          [](const Stopping&) { return "stopping"; },
                          [](const Finished&) { return "finished"; },
                          [](const Failed&) { return "failed"; },
                          [](const Cancelled&) { return "cancelled"; },
                          [](const Unplaceable&) { return "unplaceable"; },
                      },
        phase);
}

bool isEnded(const TaskPhase& phase)
{
    return std::holds_alternative<Finished>(phase) || std::holds_alternative<Failed>(phase) || std::holds_alternative<Cancelled>(phase)
        || std::holds_alternative<Unplaceable>(phase);
}

const placement::Site* siteOf(const TaskPhase& phase)
{
    return std::visit([]<typename Phase>(const Phase& alternative) -> const placement::Site* {
        if constexpr (requires { alternative.site_; })
            return &alternative.site_;
        else
            return nullptr;
    },
        phase);
}

} // namespace persimmondoor::jobs
