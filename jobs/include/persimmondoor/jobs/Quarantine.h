/// Excludes faulty workers from placement. A worker at which several different jobs failed without a success in between
/// is put into quarantine; a job that fails at many workers quarantines none of them. After the quarantine time, which
/// doubles with each further failure, one task may start there again. The share of workers in quarantine is bounded, so
/// that a fault that all workers have in common cannot exclude all of them.
///
/// \code
/// Quarantine quarantine = recordFailure(Quarantine(), worker, job, workerCount, now);
/// std::set<WorkerName> avoided = quarantine.avoidedWorkers(now);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Time.h"

#include <map>
#include <set>

namespace persimmondoor::jobs {

/// Number of different jobs that fail at a worker, without a success in between, before the worker is quarantined.
inline constexpr size_t failedJobsBeforeQuarantine = 3;
/// Time until a task may start at the worker again: the first, and the maximum that doubling reaches.
inline constexpr Duration firstQuarantineTime = std::chrono::seconds(30);
inline constexpr Duration maximumQuarantineTime = std::chrono::minutes(30);
/// At most one in this many known workers is in quarantine at a time; the maximum is never below one worker.
inline constexpr size_t workersPerQuarantinedWorker = 10;

class Quarantine {
public:
    /// \return the workers that get no task at `now`. A worker whose quarantine time is over is not among them.
    std::set<WorkerName> avoidedWorkers(Instant now) const;
    /// True if the worker is in quarantine, also while a task is retried there.
    bool contains(const WorkerName&) const;
    /// True if failures at the worker are attributed to the worker and not to its tasks.
    bool isSuspect(const WorkerName&) const;
    size_t size() const { return entries_.size(); }
    bool operator==(const Quarantine&) const = default;

private:
    friend Quarantine recordFailure(Quarantine, const WorkerName&, const JobId&, size_t, Instant);
    friend Quarantine recordSuccess(Quarantine, const WorkerName&);
    friend Quarantine recordRetry(Quarantine, const WorkerName&, Instant);

    struct Entry {
        Instant until_;
        Duration duration_ { 0 };
        auto operator<=>(const Entry&) const = default;
    };

    std::map<WorkerName, std::set<JobId>> failedJobs_;
    std::map<WorkerName, Entry> entries_;
};

/// Records that a task of `job` failed at `worker`.
/// \param workerCount number of known workers, which bounds the number of workers in quarantine.
Quarantine recordFailure(Quarantine, const WorkerName& worker, const JobId& job, size_t workerCount, Instant now);

/// Records that a task finished at `worker`; ends its quarantine.
Quarantine recordSuccess(Quarantine, const WorkerName& worker);

/// Records that a task is retried at `worker` after its quarantine time. No other task starts there until this one has
/// ended or the quarantine time has passed once more. No effect for a worker that is not in quarantine.
Quarantine recordRetry(Quarantine, const WorkerName& worker, Instant now);

} // namespace persimmondoor::jobs
