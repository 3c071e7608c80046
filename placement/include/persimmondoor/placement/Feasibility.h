/// Finds jobs whose tasks cannot run even if all other work in the cell stops.
///
/// \code
/// WorkerShapes shapes; shapes.add(domain, capacity);
/// std::optional<NotPlaced> never = findUnplaceable(request, 1, shapes, quotas);
/// \endcode
#pragma once

#include "persimmondoor/placement/Choice.h"

#include <map>
#include <optional>

namespace persimmondoor::placement {

/// Upper bound of the distinct capacities stored per failure domain.
inline constexpr size_t maximumShapes = 32;

/// Capacities of the largest workers of each failure domain: those that do not fit in any other capacity of the domain.
class WorkerShapes {
public:
    /// Adds the capacity of a worker, unless it fits in a stored capacity of the domain or `maximumShapes` are stored.
    void add(const FailureDomainName& domain, const Resources& capacity);

    /// True if `resources` fit in at least one stored capacity, and thus on a known worker while that worker is empty.
    bool anyHolds(const Resources& resources) const;
    bool empty() const { return shapes_.empty(); }
    size_t domainCount() const { return shapes_.size(); }
    /// Returns the largest amount of each resource among all workers; no single worker needs to have all of them.
    Resources largest() const;
    bool operator==(const WorkerShapes&) const = default;

private:
    std::map<FailureDomainName, std::vector<Resources>> shapes_;
};

/// Checks whether a job's tasks can never run: a single task exceeds every worker or the team's quota, all tasks of a
/// gang together exceed the quota, a spread over failure domains needs more domains than exist, or a spread allows no task
/// in any group.
/// \param request one of the job's tasks.
/// \param tasks number of equal tasks of the job.
/// \return the reason; nothing if none of these applies, or while no worker is known.
std::optional<NotPlaced> findUnplaceable(const PlacementRequest& request, uint32_t tasks, const WorkerShapes& shapes, const QuotaLedger& quotas);

} // namespace persimmondoor::placement
