/// Tells workers that fail everything from jobs that fail everywhere, and keeps the former out of use. A worker is put
/// into quarantine after failures of several different jobs without a success between them; after a growing wait one
/// task is tried there again. Only a share of all workers may be in quarantine, so that a common cause cannot stop all.
///
/// \code
/// Quarantine quarantine = recordFailure(Quarantine(), worker, job, workerCount, now);
/// std::set<WorkerName> avoided = quarantine.avoided(now);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Time.h"

#include <map>
#include <set>

namespace persimmondoor::jobs {

/// Different jobs that fail in a row at a worker before it is put into quarantine.
inline constexpr size_t quarantineJobs = 3;
/// First wait before a task is tried at the worker again, and the most that doubling gives.
inline constexpr Duration firstQuarantine = std::chrono::seconds(30);
inline constexpr Duration maximumQuarantine = std::chrono::minutes(30);
/// Most workers in quarantine, as a share of those known: one in this many, and at least one.
inline constexpr size_t quarantineShare = 10;

class Quarantine {
public:
    /// Workers that get no task at `now`. One whose wait is over may get one.
    std::set<WorkerName> avoided(Instant now) const;
    /// True if the worker is in quarantine, also while a task is tried there.
    bool holds(const WorkerName&) const;
    /// True if the failures of the worker speak against it and not against its tasks.
    bool isSuspect(const WorkerName&) const;
    size_t size() const { return held_.size(); }
    bool operator==(const Quarantine&) const = default;

private:
    friend Quarantine recordFailure(Quarantine, const WorkerName&, const JobId&, size_t, Instant);
    friend Quarantine recordSuccess(Quarantine, const WorkerName&);
    friend Quarantine recordTrial(Quarantine, const WorkerName&, Instant);

    struct Hold {
        Instant until_;
        Duration length_ { 0 };
        auto operator<=>(const Hold&) const = default;
    };

    std::map<WorkerName, std::set<JobId>> failedJobs_;
    std::map<WorkerName, Hold> held_;
};

/// A task of `job` failed at `worker`.
/// \param workerCount workers known, for the cap.
Quarantine recordFailure(Quarantine, const WorkerName& worker, const JobId& job, size_t workerCount, Instant now);

/// A task finished at `worker`.
Quarantine recordSuccess(Quarantine, const WorkerName& worker);

/// A task is tried at `worker`, whose wait is over; no other is until it ends or the wait has passed once more.
Quarantine recordTrial(Quarantine, const WorkerName& worker, Instant now);

} // namespace persimmondoor::jobs
