/// Protects the latency-critical services of one worker from the batch tasks that run beside them: throttles tasks,
/// stops accepting tasks, and as the last resort checkpoints and evicts a task. A pure state machine.
///
/// \code
/// Guard guard = *Guard::create({ cores, { service }, policy });
/// GuardDecision decision = decide(guard, TailMeasured { service, measuredAt, tail, cores }, now);
/// guard = std::move(decision.state_);
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
    /// Estimated run time; zero if unknown.
    Duration runTime_ { 0 };
    bool canCheckpoint_ { true };
    auto operator<=>(const TaskStarted&) const = default;
};

/// A task has ended, by itself or because it was stopped.
struct TaskEnded {
    TaskId task_;
    auto operator<=>(const TaskEnded&) const = default;
};

/// A task has written a checkpoint and continues.
struct TaskCheckpointed {
    TaskId task_;
    auto operator<=>(const TaskCheckpointed&) const = default;
};

/// Load of a service's instance on this worker. Available without delay, as the agent forwards its requests.
struct LoadSampled {
    ServiceName service_;
    /// Requests in progress and waiting, as a multiple of the slots of the instance.
    double load_ { 0 };
    auto operator<=>(const LoadSampled&) const = default;
};

/// Processors that a task used.
struct TaskUse {
    TaskId task_;
    double cores_ { 0 };
    auto operator<=>(const TaskUse&) const = default;
};

/// Usage of the tasks at an earlier time.
struct UsageSampled {
    Instant measuredAt_;
    std::vector<TaskUse> uses_;
    bool operator==(const UsageSampled&) const = default;
};

/// An ordered eviction has failed; the task continues to run.
struct EvictionFailed {
    TaskId task_;
    auto operator<=>(const EvictionFailed&) const = default;
};

/// A tail latency measurement of a service, which arrives with a delay.
struct TailMeasured {
    ServiceName service_;
    Instant measuredAt_;
    /// Tail latency, in milliseconds.
    double tail_ { 0 };
    /// Processors that the service used.
    double cores_ { 0 };
    auto operator<=>(const TailMeasured&) const = default;
};

/// The model that is trained centrally from the observations of all workers; replaces the local one. While none
/// arrives, the guard continues to train its own.
struct ModelPublished {
    ServiceName service_;
    SlowdownModel model_;
    bool operator==(const ModelPublished&) const = default;
};

using GuardMessage = std::variant<TaskStarted, TaskEnded, TaskCheckpointed, LoadSampled, UsageSampled, TailMeasured, ModelPublished, EvictionFailed>;

/// Why the guard acted.
enum class Cause { LoadRose,
    TaskArrived,
    Measurement,
    Recovery };

/// The stable text of a cause.
std::string_view describe(Cause cause);

/// The figures of one task that were compared when the action was chosen.
struct ComparedTask {
    TaskId task_;
    TaskClassName class_;
    /// Slowdown of the service if the task's class used all processors.
    Estimate harm_;
    double shareBefore_ { 1 };
    double shareAfter_ { 1 };
    /// Work that an eviction would lose; zero if no eviction was considered.
    Duration lostWork_ { 0 };
    auto operator<=>(const ComparedTask&) const = default;
};

/// Why an action was taken.
struct Explanation {
    Instant at_;
    Cause cause_ { Cause::Measurement };
    ServiceName service_;
    Instant measuredAt_;
    double measuredTail_ { 0 };
    double load_ { 0 };
    /// Load plus the forecast rise.
    double loadAhead_ { 0 };
    /// Estimated tail latency of the service without batch tasks, in milliseconds.
    double baseline_ { 0 };
    Estimate slowdown_;
    /// Upper bound on the slowdown, or on the tail latency in milliseconds for a fixed threshold.
    double target_ { 0 };
    std::vector<ComparedTask> compared_;
    bool operator==(const Explanation&) const = default;
};

/// Limits the task to this share of the processors that it would use without a limit.
struct SetShare {
    TaskId task_;
    double share_ { 1 };
    Explanation explanation_;
    bool operator==(const SetShare&) const = default;
};

/// Starts or stops accepting batch tasks.
struct SetAccepting {
    bool accepting_ { true };
    Explanation explanation_;
    bool operator==(const SetAccepting&) const = default;
};

/// Checkpoints and stops the task; the process that owns its job starts it elsewhere.
struct Evict {
    TaskId task_;
    Explanation explanation_;
    bool operator==(const Evict&) const = default;
};

/// Publishes an observation for the central training of the service's model. `ColocationActor` ignores this action.
struct PublishObservation {
    ServiceName service_;
    Observation observation_;
    bool operator==(const PublishObservation&) const = default;
};

using GuardAction = std::variant<SetShare, SetAccepting, Evict, PublishObservation>;

/// A task that runs on this worker.
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
    bool isEvicting_ { false };
    bool operator==(const GuardedTask&) const = default;
};

/// What ran beside a service at one time; matched with a tail measurement that arrives later.
struct ContextSample {
    Instant at_;
    double load_ { 0 };
    double saturation_ { 0 };
    std::vector<Exposure> exposures_;
    bool operator==(const ContextSample&) const = default;
};

struct GuardedService {
    SlowdownModel model_;
    LoadForecast forecast_;
    double load_ { 0 };
    /// Load without its usual short fluctuations; a rise beyond them shows immediately.
    double steadyLoad_ { 0 };
    /// Processors used by the service at load 1.
    double coresPerLoad_ { 0 };
    double smoothedTail_ { 0 };
    double lastTail_ { 0 };
    Instant measuredAt_;
    std::deque<ContextSample> history_;
    bool operator==(const GuardedService&) const = default;
};

/// The last corrective action.
struct Correction {
    Instant at_;
    /// Highest load of any service at that time.
    double load_ { 0 };
    auto operator<=>(const Correction&) const = default;
};

struct GuardSettings {
    /// Processors of the worker.
    double cores_ { 0 };
    std::vector<ServiceName> services_;
    Policy policy_ { NoColocation {} };
    /// Number of instances of each service in all failure domains, and in the domain that has most of them.
    uint32_t instances_ { 1 };
    uint32_t largestDomain_ { 1 };
    bool operator==(const GuardSettings&) const = default;
};

class Guard {
public:
    /// \return the guard, or InvalidArgument if `cores_` is not positive or a service is named twice.
    static absl::StatusOr<Guard> create(const GuardSettings& settings);

    /// Whether a task of this class may start on this worker now. Used for the agent's answer to a probe or a start.
    bool admits(const TaskClassName& taskClass, Tier tier, double cores) const;
    bool accepting() const { return accepting_; }
    /// Predicted slowdown as a part of the allowed one, 0 to 1. With a policy other than `Learned`: 0 while tasks are
    /// accepted, else 1.
    double pressure() const;
    /// Share of `task`; 1 if the task is unknown.
    double share(const TaskId& task) const;
    /// True if the task's share has not changed since `at`, or if the task is unknown.
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
    bool hasNewTask_ { false };
    std::optional<Correction> lastCorrection_;
    std::optional<Instant> sharesRaisedAt_;
    /// Since when the slowdown would exceed the target even with every task at its minimum share.
    std::optional<Instant> targetExceededSince_;
    /// Longest recent delay between a measurement and its arrival.
    Duration measurementLag_ { std::chrono::seconds(5) };
    /// Evictions that may be made now; replenished over time up to 1.
    double evictionBudget_ { 1 };
    Instant evictionBudgetUpdatedAt_;
};

struct GuardDecision {
    Guard state_;
    std::vector<GuardAction> actions_;
    bool operator==(const GuardDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
GuardDecision decide(Guard state, const GuardMessage& message, Instant now);

} // namespace persimmondoor::colocation
