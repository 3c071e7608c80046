/// Workers and agents in the leader's memory: what they have reported, and what is assigned to them.
///
/// \code
/// const Worker& worker = state.workers_.at(incarnation);
/// bool hasRoom = worker.reserved_.milliCores() < worker.traits_.capacity_.milliCores();
/// \endcode
#pragma once

#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Exchange.h"
#include "persimmondoor/workflow/Interference.h"
#include "persimmondoor/workflow/LeaseBounds.h"
#include "persimmondoor/workflow/ReservedRoom.h"
#include "persimmondoor/workflow/WorkerSpeeds.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmondoor::workflow {

/// The filling tasks of one image that are assigned to a worker.
struct FillingShare {
    uint32_t tasks_ { 0 };
    /// Cores that they ask for together, in thousandths; tasks may ask for none.
    int64_t milliCores_ { 0 };
    auto operator<=>(const FillingShare&) const = default;
};

/// A worker as the leader knows it.
struct Worker {
    std::string agent_;
    WorkerTraits traits_;
    bool draining_ { false };
    /// Earliest time at which a draining worker leaves.
    Instant leavesAt_;
    /// The agent has read the worker's lists under the fence of the current session, so that they are complete.
    bool isListed_ { false };
    /// The agent reaches the worker, according to its last report; otherwise it would refuse any start.
    bool isReachable_ { true };
    /// When an agent last reported the worker.
    Instant lastReportAt_;
    /// When its agent first began a session after that, in which the worker is missing so far; empty if it has not.
    std::optional<Instant> missingSince_;
    /// Upper bound on the expiry of the task leases granted so far.
    Instant leaseEnd_;
    LeaseGrants leaseGrants_ { LeaseGrants::Allowed };
    std::set<TaskKey> assignedTasks_;
    /// Runs that are being stopped for tasks that are done or belong to another run.
    std::map<RunKey, StoppingRun> stoppingRuns_;
    /// Demand of all assigned tasks and of the runs that are being stopped.
    Resources reserved_;
    /// Cores of the assigned filling tasks, in thousandths.
    int64_t fillingMilliCores_ { 0 };
    /// Part of them that the tasks leave unused, as their pace is reduced.
    int64_t throttledMilliCores_ { 0 };
    /// Number of the assigned long-running tasks, their demand, and their number by image.
    uint32_t longRunningCount_ { 0 };
    Resources longRunningReserved_;
    std::map<std::string, uint32_t> longRunningByImage_;
    /// Number by image of those with a target for their tail; readings are known of these alone.
    std::map<std::string, uint32_t> targetedByImage_;
    /// A task under which another worker has crashed and that was started here: no other run is started until a reading
    /// shows it.
    std::optional<TaskKey> observedTask_;
    /// Late suspects that were started here and have not outlived the age at which their workers were lost.
    std::set<TaskKey> suspects_;
    /// Since when its agent has not reached the worker; empty while it does.
    std::optional<Instant> lostAt_;
    /// Room held for long-running tasks that wait for this worker.
    std::map<TaskKey, RoomHold> holds_;
    /// Number of the newest end that was handled, and the handled ends that are not durable yet.
    uint64_t lastHandledEnd_ { 0 };
    std::set<uint64_t> nonDurableEnds_;
    /// Ends of runs whose job cannot be read. They stay on the worker's list for a leader that can read the job.
    std::set<uint64_t> heldEnds_;
    /// The agent was notified that ends up to this one are durable.
    uint64_t acknowledgedEnd_ { 0 };
    /// No runs are placed on the worker until this time, as it refused one or left its start unanswered.
    Instant backoffUntil_;
    /// Until then the worker gets a run only if no other worker has room for it, for the same reason.
    Instant lastChoiceUntil_;
    /// When room on the worker was last given back. The next round of placement offers it to the tasks that wait.
    Instant freedAt_;
    /// The assigned filling tasks, by image.
    std::map<std::string, FillingShare> fillingByImage_;
    /// Number and contents of the newest reading of the worker's load, and the headroom of its long-running tasks
    /// according to that reading.
    uint64_t readingNumber_ { 0 };
    LoadReading lastReading_;
    std::vector<Headroom> headrooms_;
    /// Number of tasks whose first failure was on this worker since a run on the worker was last done. After a quarantine
    /// one less than `Tuning::failuresBeforeQuarantine_`, so that one more failure starts the next quarantine.
    uint32_t consecutiveFailures_ { 0 };
    /// Number of quarantines since a run that was assigned after the begin of the last has proven the worker. Until one
    /// has, the worker gets one task at a time.
    uint32_t quarantineCount_ { 0 };
    Instant quarantinedAt_;
    Instant quarantinedUntil_;
    /// The task that was assigned to the worker while it was unproven, and the earliest time for the next one within a
    /// quarantine; empty if there is none.
    std::optional<TaskKey> probe_;
    std::optional<Instant> nextProbeAt_;
    /// The probe is no long-running task, which may be paused without end, and its start has been released.
    bool isProbeReplaceable_ { false };
    /// The earliest time for the next probe by a long-running task that has failed, whatever else probes the worker meanwhile;
    /// empty if there is none.
    std::optional<Instant> nextProbeOfFailedAt_;
    /// How much longer runs take here than elsewhere.
    WorkerSpeed speed_;
    /// Runs that belong to no assigned task and were ordered to stop, with the time of the order.
    std::map<RunKey, Instant> unassignedRuns_;
    bool operator==(const Worker&) const = default;
};

/// An agent as the leader knows it, with the state of its current session.
struct Agent {
    std::string domain_;
    uint64_t session_ { 0 };
    Fence fence_;
    Sequence newestReport_;
    Instant lastReportAt_;
    /// When the newest report under this fence was handled.
    Instant newestReportAt_;
    /// The agent has reported its workers under this fence. Before that, no leases are granted, as they could extend to
    /// workers that this leader does not know.
    bool hasReported_ { false };
    OrderNumber lastOrder_;
    OrderNumber lastCompletedOrder_;
    /// Orders whose outcome has not been reported, by their numbers, and how many of them concern each run.
    std::vector<Order> pendingOrders_;
    std::map<RunKey, uint32_t> pendingRuns_;
    OrderNumber lastSentOrder_;
    Instant ordersSentAt_;
    /// A reply is due before the agent's next report.
    bool isReplyDue_ { false };
    /// The workers that the agent has reported in this session.
    std::set<WorkerIncarnation> workers_;
    bool operator==(const Agent&) const = default;
};

} // namespace persimmondoor::workflow
