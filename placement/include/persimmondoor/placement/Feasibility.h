/// Finds tasks that can never run, whatever else stops.
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

/// Most distinct capacities remembered a failure domain.
inline constexpr size_t maximumShapes = 32;

/// The largest workers of each failure domain: capacities that no other one of the domain exceeds in every part.
class WorkerShapes {
public:
    /// Adds a worker's capacity; keeps it only if no known one of the domain contains it.
    void add(const FailureDomainName& domain, const Resources& capacity);

    /// True if at least one known worker, when empty, holds `resources`.
    bool anyHolds(const Resources& resources) const;
    bool empty() const { return shapes_.empty(); }
    size_t domains() const { return shapes_.size(); }
    /// Largest amount of each part among all workers; a single worker may not have them all.
    Resources largest() const;
    bool operator==(const WorkerShapes&) const = default;

private:
    std::map<FailureDomainName, std::vector<Resources>> shapes_;
};

/// Says why a job's tasks can never run: one is larger than any worker or than the team's quota, the gang as a whole
/// exceeds the quota, or a spread over domains asks for more domains than there are.
/// \param request one of the job's tasks.
/// \param tasks number of equal tasks of the job.
/// \return nothing while the job may run some day, or while no worker is known.
std::optional<NotPlaced> findUnplaceable(const PlacementRequest& request, uint32_t tasks, const WorkerShapes& shapes, const QuotaLedger& quotas);

} // namespace persimmondoor::placement
