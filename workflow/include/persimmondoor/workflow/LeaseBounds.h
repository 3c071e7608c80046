/// Upper bounds on the expiry of task leases. A leader stores them for its successor, which starts a task of a worker that no
/// agent reports once its bound has passed: earlier, the task may still run there.
///
/// \code
/// LeaseBounds bounds { now + std::chrono::seconds(8), { { lostWorker, now + std::chrono::seconds(2) } } };
/// Instant leaseEnd = leaseEndOf(bounds, worker);
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Tuning.h"
#include "persimmondoor/workflow/Worker.h"

#include <cstdint>
#include <map>

namespace persimmondoor::workflow {

/// Times are by the clock of the process that holds the value.
struct LeaseBounds {
    /// No lease of any worker lasts longer.
    Instant latest_;
    /// Earlier bounds of workers that no agent reports. These workers get no lease until the store no longer names them.
    std::map<WorkerIncarnation, Instant> silentWorkers_;
    bool operator==(const LeaseBounds&) const = default;
};

/// The bound on the expiry of the leases of `worker`.
Instant leaseEndOf(const LeaseBounds&, const WorkerIncarnation& worker);

/// Bound on the expiry of all leases that a leader grants until its next write is durable.
/// \param writeSentAt when the leader sends the write that stores the bound.
Instant leaseBoundAfterWrite(const Tuning&, Instant writeSentAt);

/// Bounds after a leader that has stored none.
/// \param grantPeriod how long after its last write that leader granted leases.
/// \param now a time at which that leader could write no more.
LeaseBounds boundsWithoutRecord(const Tuning&, Duration grantPeriod, Instant now);

/// Whether replies may grant a worker a lease.
enum class LeaseGrants : uint8_t {
    Allowed,
    /// No agent reports the worker, and the store may name a bound on its leases.
    Suspended,
    /// The worker is reported again, and the store may still name the bound.
    Requested,
};

} // namespace persimmondoor::workflow
