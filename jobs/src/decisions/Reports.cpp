#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/jobs/Owner.h"
#include "persimmondoor/jobs/Requests.h"

#include <algorithm>

namespace persimmondoor::jobs {

// FNV-1a, 64 bit (Fowler, Noll, Vo). Must not change, as it determines the partition of a job.
static uint64_t hashOf(const std::string& text, uint64_t hash = 14695981039346656037ULL)
{
    for (char letter : text)
        hash = (hash ^ static_cast<uint8_t>(letter)) * 1099511628211ULL;
    return hash;
}

PartitionNumber partitionOf(const TeamName& team, const JobId& job, uint32_t partitionCount, uint32_t partitionsPerTeam)
{
    assertInvariant(partitionCount > 0 && partitionsPerTeam > 0, "there is a partition for each job");
    uint64_t share = partitionsPerTeam == 1 ? 0 : hashOf(job.value()) % partitionsPerTeam;
    return PartitionNumber((hashOf(team.value()) + share) % partitionCount);
}

JobSummary summarize(const Job& job)
{
    std::map<std::string, uint32_t> counts;
    for (const Task& task : job.tasks_)
        ++counts[std::string(describe(task.phase_))];
    JobSummary summary { job.spec_.id_, job.spec_.team_, job.spec_.priority_, job.spec_.taskCount_, job.isCancelled_, job.submittedAt_, job.endedAt_, {} };
    for (const auto& [phase, count] : counts)
        summary.phases_.push_back({ phase, count });
    return summary;
}

static TaskView makeTaskView(const Owner& owner, const TaskKey& key, const Task& task, Instant now)
{
    const placement::Site* site = siteOf(task.phase_);
    const auto* finished = std::get_if<Finished>(&task.phase_);
    return { key.index_, std::string(describe(task.phase_)), task.attempt_, task.failures_, site ? site->worker_.value() : "", task.checkpoint_,
        finished ? finished->result_ : "", explainTask(owner, key, now) };
}

JobDetails describeJob(const Owner& owner, const Job& job, Instant now)
{
    JobDetails details { summarize(job), job.spec_.command_, {} };
    for (bool ended : { false, true }) {
        for (uint32_t index = 0; index < job.tasks_.size() && details.tasks_.size() < maximumTasksShown; ++index) {
            if (isEnded(job.tasks_[index].phase_) == ended)
                details.tasks_.push_back(makeTaskView(owner, { job.spec_.id_, index }, job.tasks_[index], now));
        }
    }
    std::sort(details.tasks_.begin(), details.tasks_.end());
    return details;
}

JobList listJobs(const Owner& owner, const std::string& team)
{
    JobList list;
    for (const auto& [id, job] : owner.ledger().jobs()) {
        if (team.empty() || job.spec_.team_.value() == team)
            list.jobs_.push_back(summarize(job));
    }
    std::sort(list.jobs_.begin(), list.jobs_.end(), [](const JobSummary& one, const JobSummary& other) { return one.submittedAt_ > other.submittedAt_; });
    if (list.jobs_.size() > maximumJobsShown)
        list.jobs_.resize(maximumJobsShown);
    return list;
}

} // namespace persimmondoor::jobs
