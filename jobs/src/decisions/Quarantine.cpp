#include "persimmondoor/jobs/Quarantine.h"

#include <algorithm>

namespace persimmondoor::jobs {

std::set<WorkerName> Quarantine::avoided(Instant now) const
{
    std::set<WorkerName> result;
    for (const auto& [worker, hold] : held_) {
        if (now < hold.until_)
            result.insert(worker);
    }
    return result;
}

bool Quarantine::holds(const WorkerName& worker) const
{
    return held_.contains(worker);
}

bool Quarantine::isSuspect(const WorkerName& worker) const
{
    auto found = failedJobs_.find(worker);
    return held_.contains(worker) || (found != failedJobs_.end() && found->second.size() >= quarantineJobs);
}

Quarantine recordFailure(Quarantine quarantine, const WorkerName& worker, const JobId& job, size_t workerCount, Instant now)
{
    std::set<JobId>& failed = quarantine.failedJobs_[worker];
    if (failed.size() < quarantineJobs)
        failed.insert(job);
    auto held = quarantine.held_.find(worker);
    if (held != quarantine.held_.end()) {
        held->second.length_ = std::min(held->second.length_ * 2, maximumQuarantine);
        held->second.until_ = now + held->second.length_;
        return quarantine;
    }
    size_t most = std::max<size_t>(1, workerCount / quarantineShare);
    if (failed.size() >= quarantineJobs && quarantine.held_.size() < most)
        quarantine.held_.emplace(worker, Quarantine::Hold { now + firstQuarantine, firstQuarantine });
    return quarantine;
}

Quarantine recordSuccess(Quarantine quarantine, const WorkerName& worker)
{
    quarantine.failedJobs_.erase(worker);
    quarantine.held_.erase(worker);
    return quarantine;
}

Quarantine recordTrial(Quarantine quarantine, const WorkerName& worker, Instant now)
{
    auto held = quarantine.held_.find(worker);
    if (held != quarantine.held_.end())
        held->second.until_ = now + held->second.length_;
    return quarantine;
}

} // namespace persimmondoor::jobs
