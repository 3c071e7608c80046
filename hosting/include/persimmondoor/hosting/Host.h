/// The decisions of an agent about the tasks on its worker. The agent never commits more than the worker's capacity and
/// runs at most one attempt of a task at a time, each under a lease granted by the owner of its partition.
///
/// The ledger records the resources committed to tasks. An entry is added before the worker is asked to launch the task
/// and removed once the worker has reported its end or is known not to run it. A restarted agent rebuilds the ledger
/// from the worker's first report and accepts no order before that.
///
/// \code
/// Host host(settings, now);
/// HostDecision decision = decide(host, StartRequested { order, call }, now);
/// \endcode
#pragma once

#include "persimmondoor/hosting/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace persimmondoor::hosting {

/// Maximum number of events in one answer to a renewal.
inline constexpr size_t maximumEventsPerAnswer = 256;
/// Number of checkpoint calls to the worker before a task is stopped without a checkpoint.
inline constexpr int maximumCheckpointTries = 3;

struct HostSettings {
    WorkerName worker_;
    FailureDomainName domain_;
    RackName rack_;
    Resources capacity_;
    Incarnation incarnation_;
    /// Time after the start of the agent during which it refuses starts, as launches requested by its previous
    /// incarnation may still take effect.
    Duration startupDelay_ { std::chrono::seconds(2) };
    bool operator==(const HostSettings&) const = default;
};

/// Identifies a call to the agent until it is answered.
using CallNumber = Counter<struct CallTag>;

struct StartRequested {
    StartOrder order_;
    CallNumber call_;
    bool operator==(const StartRequested&) const = default;
};

struct StopRequested {
    StopOrder order_;
    CallNumber call_;
    bool operator==(const StopRequested&) const = default;
};

struct RenewalRequested {
    Renewal renewal_;
    CallNumber call_;
    bool operator==(const RenewalRequested&) const = default;
};

/// The worker's answer to a launch.
struct LaunchAnswered {
    TaskAttempt task_;
    store::LaunchOutcome outcome_;
    bool operator==(const LaunchAnswered&) const = default;
};

/// The worker's answer to a checkpoint. There is no reference if the call failed.
struct CheckpointAnswered {
    TaskAttempt task_;
    std::optional<std::string> reference_;
    bool operator==(const CheckpointAnswered&) const = default;
};

enum class StopAnswer { Done,
    UnknownTask,
    Failed };

/// The worker's answer to a stop. After Failed the outcome is unknown.
struct StopAnswered {
    TaskAttempt task_;
    StopAnswer answer_ { StopAnswer::Done };
    bool operator==(const StopAnswered&) const = default;
};

/// The worker's report. The first one lists all of its tasks, later ones those that changed.
struct WorkerReported {
    store::WorkerReport report_;
    bool operator==(const WorkerReported&) const = default;
};

/// The periodic check of leases and retry of failed calls is due.
struct TimePassed {
    auto operator<=>(const TimePassed&) const = default;
};

/// Starts are refused from now on; running tasks continue.
struct DrainBegan {
    auto operator<=>(const DrainBegan&) const = default;
};

/// The predicted slowdown of latency-critical work on this host as a share of the allowed slowdown, from 0 to 1, and
/// whether the host accepts more tasks.
struct PressureChanged {
    double pressure_ { 0.0 };
    bool accepting_ { true };
    auto operator<=>(const PressureChanged&) const = default;
};

using HostMessage = std::variant<StartRequested, StopRequested, RenewalRequested, LaunchAnswered, CheckpointAnswered, StopAnswered, WorkerReported, TimePassed, DrainBegan, PressureChanged>;

struct AnswerStart {
    CallNumber call_;
    StartOutcome outcome_;
    bool operator==(const AnswerStart&) const = default;
};

struct AnswerStop {
    CallNumber call_;
    StopOutcome outcome_;
    bool operator==(const AnswerStop&) const = default;
};

/// The agent has seen a later epoch of the partition.
struct RenewalStaleEpoch {
    auto operator<=>(const RenewalStaleEpoch&) const = default;
};

/// The agent has not yet received its worker's first report.
struct RenewalNotReady {
    auto operator<=>(const RenewalNotReady&) const = default;
};

using RenewalOutcome = std::variant<RenewalAnswer, RenewalStaleEpoch, RenewalNotReady>;

struct AnswerRenewal {
    CallNumber call_;
    RenewalOutcome outcome_;
    bool operator==(const AnswerRenewal&) const = default;
};

/// Asks the worker to launch a task; its answer is handled as LaunchAnswered.
struct LaunchTask {
    store::Launch launch_;
    bool operator==(const LaunchTask&) const = default;
};

/// Asks the worker for a checkpoint; its answer is handled as CheckpointAnswered.
struct CheckpointTask {
    TaskAttempt task_;
    bool operator==(const CheckpointTask&) const = default;
};

/// Asks the worker to stop a task; its answer is handled as StopAnswered.
struct StopTask {
    TaskAttempt task_;
    bool operator==(const StopTask&) const = default;
};

/// Extends leases at the worker. No answer is awaited: the worker ends and reports a task whose lease is not extended.
struct ExtendTasks {
    std::vector<TaskAttempt> tasks_;
    Duration lease_ { 0 };
    bool operator==(const ExtendTasks&) const = default;
};

/// Lets the worker drop its records of ended tasks. No answer is awaited: after a restart of the agent, the worker
/// reports the tasks again that it has not dropped.
struct ForgetTasks {
    std::vector<TaskAttempt> tasks_;
    bool operator==(const ForgetTasks&) const = default;
};

using HostAction = std::variant<AnswerStart, AnswerStop, AnswerRenewal, LaunchTask, CheckpointTask, StopTask, ExtendTasks, ForgetTasks>;

enum class TaskPhase { Launching,
    Running,
    Checkpointing,
    Stopping };

/// An entry of the ledger.
struct HostedTask {
    Attempt attempt_;
    PartitionNumber partition_;
    Resources resources_ {};
    TaskPhase phase_ { TaskPhase::Launching };
    Duration lease_ { 0 };
    Instant leaseUntil_ {};
    /// The stop that was requested during the launch and follows it.
    std::optional<StopKind> stopAfterLaunch_ {};
    /// The task is stopped because its lease expires, not by an order.
    bool isExpiring_ { false };
    int checkpointTries_ { 0 };
    std::string checkpoint_ {};
    /// The launch and the calls that wait for it, until its outcome is known.
    std::optional<store::Launch> launch_ {};
    std::vector<CallNumber> callers_ {};
    /// A call to the worker has not been answered, or the worker has not yet reported the end after a completed stop.
    bool isCallInFlight_ { false };
    /// The reply to a launch was lost, so the task may be running even if later launches fail.
    bool isLaunchUncertain_ { false };
    bool operator==(const HostedTask&) const = default;
};

/// The latest attempt of a task that this agent has seen. Orders for earlier attempts are refused. A blocked attempt
/// was stopped before its start and never starts.
struct AttemptFence {
    enum class State { Open,
        Started,
        Blocked };

    Attempt attempt_;
    State state_ { State::Open };
    /// Orders that arrive later cannot start the attempt, as their stamps are too old.
    Instant keepUntil_;
    /// Number of ends of the task that its owner has not acknowledged. Until the owner has acknowledged an end, it may
    /// repeat the start with a new stamp.
    uint32_t unacknowledgedEnds_ { 0 };
    auto operator<=>(const AttemptFence&) const = default;
};

/// The state of an agent: the ledger, the fences and the events that owners have not acknowledged.
class Host {
public:
    Host(HostSettings settings, Instant now)
        : settings_(std::move(settings))
        , acceptsFrom_(now + settings_.startupDelay_)
        , lastSequence_(settings_.incarnation_.value() << sequenceBitsPerIncarnation)
    {
    }

    /// Number of low bits of a sequence that count the events of one incarnation of the agent. The bits above hold the
    /// incarnation, so sequences increase across restarts.
    static constexpr int sequenceBitsPerIncarnation = 20;

    HostOffer offer(Instant now) const;
    const Resources& committed() const { return committed_; }
    const std::map<TaskId, HostedTask>& tasks() const { return tasks_; }
    /// True once the worker has reported its tasks.
    bool hasWorkerReport() const { return hasWorkerReport_; }
    /// True if TimePassed may have an effect.
    bool needsTicks() const { return !tasks_.empty() || !fences_.empty(); }
    bool hasNoLaunchInFlight() const;
    bool operator==(const Host&) const = default;

private:
    friend struct HostRules;
    friend struct ReportRules;

    HostSettings settings_;
    Instant acceptsFrom_;
    Resources committed_;
    std::map<TaskId, HostedTask> tasks_;
    std::map<TaskId, AttemptFence> fences_;
    std::map<PartitionNumber, Epoch> epochs_;
    std::map<PartitionNumber, std::deque<HostEvent>> events_;
    Sequence lastSequence_;
    Incarnation workerIncarnation_;
    bool hasWorkerReport_ { false };
    bool isDraining_ { false };
    double pressure_ { 0.0 };
    bool accepting_ { true };
};

struct HostDecision {
    Host state_;
    std::vector<HostAction> actions_;
    bool operator==(const HostDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
HostDecision decide(Host state, const HostMessage& message, Instant now);

} // namespace persimmondoor::hosting
