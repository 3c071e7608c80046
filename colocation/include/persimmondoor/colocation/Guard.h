/// Protects the latency-critical services of one worker from the batch tasks that run beside them: throttles tasks,
/// stops placing, and as the last resort checkpoints and moves a task.
///
/// \code
/// Guard guard = *Guard::create({ cores, { service }, policy });
/// GuardDecision decision = decide(guard, Measured { service, measuredAt, tail, cores }, now);
/// \endcode
#pragma once

#include "persimmondoor/colocation/LoadForecast.h"
#include "persimmondoor/colocation/Policy.h"
#include "persimmondoor/colocation/SlowdownModel.h"
#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Tier.h"

#include <deque>
#include <optional>
#include <string_view>

namespace persimmondoor::colocation {

/// A batch task started on this worker.
struct TaskStarted {
    TaskId task_;
    TaskClassName class_;
    Tier tier_ { Tier::Trial };
    /// Processors reserved for it.
    double cores_ { 0 };
    /// Estimated run time; zero if not known.
    Duration runTime_ { 0 };
    bool canCheckpoint_ { true };
    auto operator<=>(const TaskStarted&) const = default;
};

/// A task has ended, by itself or by order.
struct TaskEnded {
    TaskId task_;
    auto operator<=>(const TaskEnded&) const = default;
};

/// A task has written a checkpoint and goes on.
struct TaskCheckpointed {
    TaskId task_;
    auto operator<=>(const TaskCheckpointed&) const = default;
};

/// Load of a service's instance here; known at once, as the agent hands over its requests.
struct LoadSeen {
    ServiceName service_;
    /// Requests in progress and waiting, by the slots of the instance.
    double load_ { 0 };
    auto operator<=>(const LoadSeen&) const = default;
};

/// Processors that a task used.
struct TaskUse {
    TaskId task_;
    double cores_ { 0 };
    auto operator<=>(const TaskUse&) const = default;
};

/// What tasks used at a time that has passed.
struct UsageSeen {
    Instant measuredAt_;
    std::vector<TaskUse> uses_;
    bool operator==(const UsageSeen&) const = default;
};

/// An eviction that was ordered did not come about; the task runs on.
struct EvictionFailed {
    TaskId task_;
    auto operator<=>(const EvictionFailed&) const = default;
};

/// A measurement of a service, which comes with a lag.
struct Measured {
    ServiceName service_;
    Instant measuredAt_;
    /// Tail latency, in milliseconds.
    double tail_ { 0 };
    /// Processors that the service used.
    double cores_ { 0 };
    auto operator<=>(const Measured&) const = default;
};

/// The owner's model, learned from the observations of all workers, replaces the one here. While none come, the guard
/// goes on with its own.
struct ModelPublished {
    ServiceName service_;
    SlowdownModel model_;
    bool operator==(const ModelPublished&) const = default;
};

using GuardMessage = std::variant<TaskStarted, TaskEnded, TaskCheckpointed, LoadSeen, UsageSeen, Measured, ModelPublished, EvictionFailed>;

/// What made the guard act.
enum class Cause { LoadRose,
    TaskArrived,
    Measurement,
    Recovery };

/// Stable text of a cause.
std::string_view describe(Cause cause);

/// What was compared for one task.
struct Compared {
    TaskId task_;
    TaskClassName class_;
    /// Slowdown of the service if the class had all processors.
    Estimate harm_;
    double shareBefore_ { 1 };
    double shareAfter_ { 1 };
    /// Work that an eviction would lose; zero if none was weighed.
    Duration lostWork_ { 0 };
    auto operator<=>(const Compared&) const = default;
};

/// Why an action was taken.
struct Explanation {
    Instant at_;
    Cause cause_ { Cause::Measurement };
    ServiceName service_;
    Instant measuredAt_;
    double measuredTail_ { 0 };
    double load_ { 0 };
    /// Load with the room kept for a rise.
    double loadAhead_ { 0 };
    /// Estimated tail of the service alone, in milliseconds.
    double baseline_ { 0 };
    Estimate slowdown_;
    /// Slowdown, or for a fixed threshold tail in milliseconds, that must not be exceeded.
    double target_ { 0 };
    std::vector<Compared> compared_;
    bool operator==(const Explanation&) const = default;
};

/// Let the task use at most this share of the processors that it would use.
struct SetShare {
    TaskId task_;
    double share_ { 1 };
    Explanation explanation_;
    bool operator==(const SetShare&) const = default;
};

/// Start or stop accepting batch tasks.
struct SetAccepting {
    bool accepting_ { true };
    Explanation explanation_;
    bool operator==(const SetAccepting&) const = default;
};

/// Checkpoint the task and stop it; its owner starts it elsewhere.
struct Evict {
    TaskId task_;
    Explanation explanation_;
    bool operator==(const Evict&) const = default;
};

/// Tell the owner of the service's model.
struct Observed {
    ServiceName service_;
    Observation observation_;
    bool operator==(const Observed&) const = default;
};

using GuardAction = std::variant<SetShare, SetAccepting, Evict, Observed>;

/// A task that runs here.
struct GuardedTask {
    TaskClassName class_;
    Tier tier_ { Tier::Trial };
    /// Processors that it uses when not throttled.
    double fullUse_ { 0 };
    double share_ { 1 };
    Instant startedAt_;
    Instant checkpointedAt_;
    Instant shareChangedAt_;
    Duration runTime_ { 0 };
    bool canCheckpoint_ { true };
    bool evicting_ { false };
    bool operator==(const GuardedTask&) const = default;
};

/// What ran beside a service at a time, to be matched with a measurement that comes later.
struct Moment {
    Instant at_;
    double load_ { 0 };
    double saturation_ { 0 };
    std::vector<Exposure> exposures_;
    bool operator==(const Moment&) const = default;
};

struct GuardedService {
    SlowdownModel model_;
    LoadForecast forecast_;
    double load_ { 0 };
    /// Load without its usual short swings; a rise beyond them shows at once.
    double steadyLoad_ { 0 };
    /// Processors used at load 1.
    double coresPerLoad_ { 0 };
    double smoothedTail_ { 0 };
    double lastTail_ { 0 };
    Instant measuredAt_;
    std::deque<Moment> history_;
    bool operator==(const GuardedService&) const = default;
};

/// The last corrective action.
struct Correction {
    Instant at_;
    /// Highest load of any service by then.
    double load_ { 0 };
    auto operator<=>(const Correction&) const = default;
};

struct GuardSettings {
    /// Processors of the worker.
    double cores_ { 0 };
    std::vector<ServiceName> services_;
    Policy policy_ { NoColocation {} };
    /// Instances of each service in all failure domains, and in the domain with the most.
    uint32_t instances_ { 1 };
    uint32_t largestDomain_ { 1 };
    bool operator==(const GuardSettings&) const = default;
};

class Guard {
public:
    /// \return the guard, or InvalidArgument without processors or for a service named twice.
    static absl::StatusOr<Guard> create(const GuardSettings& settings);

    /// Whether a task of this class may start here now; pure, for the agent's answer to a probe or a start.
    bool admits(const TaskClassName& taskClass, Tier tier, double cores) const;
    bool accepting() const { return accepting_; }
    /// Predicted slowdown by the one allowed, 0 to 1.
    double pressure() const;
    /// Share at which `task` runs; 1 if it is not known.
    double share(const TaskId& task) const;
    /// True if the task's share has not changed since `at`.
    bool shareChangedBefore(const TaskId& task, Instant at) const;
    size_t tasks() const { return tasks_.size(); }
    bool operator==(const Guard&) const = default;

private:
    friend struct GuardRules;
    friend struct LearnedRules;
    friend struct FixedRules;

    GuardSettings settings_;
    std::map<ServiceName, GuardedService> services_;
    std::map<TaskId, GuardedTask> tasks_;
    bool accepting_ { true };
    bool arrived_ { false };
    std::optional<Correction> correction_;
    std::optional<Instant> relaxedAt_;
    std::optional<Instant> exceededSince_;
    /// Longest recent time between a measurement and its arrival.
    Duration lag_ { std::chrono::seconds(5) };
    /// Evictions that may be made now; grows with time.
    double evictionBudget_ { 1 };
    Instant budgetAt_;
};

struct GuardDecision {
    Guard state_;
    std::vector<GuardAction> actions_;
    bool operator==(const GuardDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
GuardDecision decide(Guard state, const GuardMessage& message, Instant now);

} // namespace persimmondoor::colocation
