#include "persimmondoor/jobs/Quarantine.h"

#include <algorithm>

namespace persimmondoor::jobs {

std::set<WorkerName> Quarantine::avoidedWorkers(Instant now) const
{
    std::set<WorkerName> result;
    for (const auto& [worker, entry] : entries_) {
        if (now < entry.until_)
            result.insert(worker);
    }
    return result;
}

bool Quarantine::contains(const WorkerName& worker) const
{
    return entries_.contains(worker);
}

bool Quarantine::isSuspect(const WorkerName& worker) const
{
    auto found = failedJobs_.find(worker);
    return entries_.contains(worker) || (found != failedJobs_.end() && found->second.size() >= failedJobsBeforeQuarantine);
}

Quarantine recordFailure(Quarantine quarantine, const WorkerName& worker, const JobId& job, size_t workerCount, Instant now)
{
    std::set<JobId>& failed = quarantine.failedJobs_[worker];
    if (failed.size() < failedJobsBeforeQuarantine)
        failed.insert(job);
    auto entry = quarantine.entries_.find(worker);
    if (entry != quarantine.entries_.end()) {
        entry->second.duration_ = std::min(entry->second.duration_ * 2, maximumQuarantineTime);
        entry->second.until_ = now + entry->second.duration_;
        return quarantine;
    }
    size_t maximumSize = std::max<size_t>(1, workerCount / workersPerQuarantinedWorker);
    if (failed.size() >= failedJobsBeforeQuarantine && quarantine.entries_.size() < maximumSize)
        quarantine.entries_.emplace(worker, Quarantine::Entry { now + firstQuarantineTime, firstQuarantineTime });
    return quarantine;
}

Quarantine recordSuccess(Quarantine quarantine, const WorkerName& worker)
{
    quarantine.failedJobs_.erase(worker);
    quarantine.entries_.erase(worker);
    return quarantine;
}

Quarantine recordRetry(Quarantine quarantine, const WorkerName& worker, Instant now)
{
    auto entry = quarantine.entries_.find(worker);
    if (entry != quarantine.entries_.end())
        entry->second.until_ = now + entry->second.duration_;
    return quarantine;
}

} // namespace persimmondoor::jobs
