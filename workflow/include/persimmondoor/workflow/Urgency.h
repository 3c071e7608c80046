/// The order in which jobs are served: by priority; within a priority, jobs that can still meet their objective, then
/// jobs that can only be late, then jobs without any remaining value. Within a priority, work that can no longer be on
/// time thus never delays work that can. Among equals, started jobs come first, by earliest deadline (Liu, Layland:
/// "Scheduling algorithms for multiprogramming in a hard-real-time environment", 1973), then jobs that have not
/// started, by latest deadline: under overload, started jobs are then completed in time, instead of all jobs being
/// late. Jobs without remaining value are served in the order of acceptance. Jobs with long-running tasks have no
/// objective and count as on time; while their service is in a rush (`UrgentRoom`), they come after the jobs that can be of
/// value, and among several waiting queues the one with the smaller dominant share comes first.
///
/// \code
/// std::vector<Urgency> urgencies { urgencyOf(state, first), urgencyOf(state, second) };
/// std::sort(urgencies.begin(), urgencies.end()); // the job to serve first comes first
/// \endcode
#pragma once

#include "persimmondoor/workflow/Leader.h"

#include <compare>

namespace persimmondoor::workflow {

/// The best outcome that a job can have if it is served next.
enum class Prospect : uint8_t {
    OnTime,
    Late,
    /// Jobs with long-running tasks while urgent work of their service is short of room.
    Yielding,
    Worthless,
};

struct Urgency {
    /// Priority of the queue when the job was accepted.
    uint32_t priority_ { 0 };
    Prospect prospect_ { Prospect::OnTime };
    /// In a rush for which several queues wait, the dominant share of the job's queue, in thousandths; 0 otherwise.
    int64_t queueShare_ { 0 };
    bool hasNotStarted_ { false };
    /// Rank among jobs that are otherwise equal; lower ranks come first. In milliseconds since 1970 UTC: the deadline of a
    /// started job, the negated deadline of one that has not started, and for a worthless one the acceptance time, or the
    /// first due time if the job has a schedule.
    int64_t deadlineRank_ { 0 };
    JobId job_;
    auto operator<=>(const Urgency&) const = default;
};

/// A job that ends within this multiple of its objective keeps a part of its value (stated by the platform).
inline constexpr int64_t lateFactor = 3;

/// Time from the acceptance of a job, or from the due time of an occurrence, within which it is on time.
Duration objectiveOf(const Job&);

/// Declared run time of the longest chain of dependent steps of one occurrence.
Duration longestChainOf(const Job&);

/// True if a step of the job is long-running; the job then has no objective.
bool isLongRunning(const JobSpec&);

/// True if long-running tasks of the queue, as it was when their job was accepted, come after the work that is short of room.
/// \param rush the rush of their service; null for none.
bool yieldsTo(const Rush* rush, const Queue& longRunning);

/// Computes the urgency of a job from the time of day in the state.
Urgency urgencyOf(const LeaderState&, const Job&);

} // namespace persimmondoor::workflow
