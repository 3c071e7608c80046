/// Decides what an agent lets run on its worker: never beyond the worker's capacity, one attempt of a task at a time,
/// each under a lease of its partition's owner.
///
/// The ledger is what the agent has promised: an entry is made before the worker is asked to launch, and goes only when
/// the worker has reported the end. After a restart it is read from the worker before anything is accepted.
///
/// \code
/// Host host(settings, now);
/// HostDecision decision = decide(host, StartAsked { order, call }, now);
/// \endcode
#pragma once

#include "persimmondoor/hosting/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace persimmondoor::hosting {

/// Events in one answer to a renewal, at most.
inline constexpr size_t eventsPerAnswer = 256;
/// Tries of a checkpoint before a task is stopped without one.
inline constexpr int checkpointTries = 3;

struct HostSettings {
    WorkerName worker_;
    FailureDomainName domain_;
    RackName rack_;
    Resources capacity_;
    Incarnation incarnation_;
    /// Time after the start of the agent in which launches of its earlier life may still take effect; nothing is
    /// accepted until then.
    Duration settleTime_ { std::chrono::seconds(2) };
    bool operator==(const HostSettings&) const = default;
};

/// Number by which a caller is answered.
using CallNumber = Counter<struct CallTag>;

struct StartAsked {
    StartOrder order_;
    CallNumber call_;
    bool operator==(const StartAsked&) const = default;
};

struct StopAsked {
    StopOrder order_;
    CallNumber call_;
    bool operator==(const StopAsked&) const = default;
};

struct RenewalAsked {
    Renewal renewal_;
    CallNumber call_;
    bool operator==(const RenewalAsked&) const = default;
};

/// The worker's answer to a launch.
struct LaunchEnded {
    TaskAttempt task_;
    store::LaunchOutcome outcome_;
    bool operator==(const LaunchEnded&) const = default;
};

/// The worker's answer to a checkpoint; no reference if it failed.
struct CheckpointEnded {
    TaskAttempt task_;
    std::optional<std::string> reference_;
    bool operator==(const CheckpointEnded&) const = default;
};

enum class StopAnswer { Done,
    UnknownTask,
    Failed };

/// The worker's answer to a stop.
struct StopEnded {
    TaskAttempt task_;
    StopAnswer answer_ { StopAnswer::Done };
    bool operator==(const StopEnded&) const = default;
};

/// The worker reported what changed, or at first all that it has.
struct Reported {
    store::WorkerReport report_;
    bool operator==(const Reported&) const = default;
};

/// Time to check leases and to try again what failed.
struct TimePassed {
    auto operator<=>(const TimePassed&) const = default;
};

/// From now on no start is accepted; what runs goes on.
struct DrainBegan {
    auto operator<=>(const DrainBegan&) const = default;
};

/// How disturbed latency-critical work on this host is, and whether it may take more tasks.
struct PressureChanged {
    double pressure_ { 0.0 };
    bool accepting_ { true };
    auto operator<=>(const PressureChanged&) const = default;
};

using HostMessage = std::variant<StartAsked, StopAsked, RenewalAsked, LaunchEnded, CheckpointEnded, StopEnded, Reported, TimePassed, DrainBegan, PressureChanged>;

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

/// A later owner of the partition is known.
struct RenewalStaleEpoch {
    auto operator<=>(const RenewalStaleEpoch&) const = default;
};

/// The agent has not yet learned what runs on its worker.
struct RenewalNotReady {
    auto operator<=>(const RenewalNotReady&) const = default;
};

using RenewalOutcome = std::variant<RenewalAnswer, RenewalStaleEpoch, RenewalNotReady>;

struct AnswerRenewal {
    CallNumber call_;
    RenewalOutcome outcome_;
    bool operator==(const AnswerRenewal&) const = default;
};

/// Ask the worker to launch; answer with LaunchEnded.
struct LaunchTask {
    store::Launch launch_;
    bool operator==(const LaunchTask&) const = default;
};

/// Ask the worker for a checkpoint; answer with CheckpointEnded.
struct CheckpointTask {
    TaskAttempt task_;
    bool operator==(const CheckpointTask&) const = default;
};

/// Ask the worker to stop a task; answer with StopEnded.
struct StopTask {
    TaskAttempt task_;
    bool operator==(const StopTask&) const = default;
};

/// Extend leases at the worker. No answer: what is not extended lapses there and is reported.
struct ExtendTasks {
    std::vector<TaskAttempt> tasks_;
    Duration lease_ { 0 };
    bool operator==(const ExtendTasks&) const = default;
};

/// Let the worker drop ended tasks. No answer: what is not dropped is reported again after a restart.
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
    /// The stop that follows the launch.
    std::optional<StopKind> stopAfterLaunch_ {};
    /// Stopped because its lease ends, not by an order.
    bool isExpiring_ { false };
    int checkpointTries_ { 0 };
    std::string checkpoint_ {};
    /// The launch, while its outcome is not known, and the callers who wait for it.
    std::optional<store::Launch> launch_ {};
    std::vector<CallNumber> callers_ {};
    /// An answer of the worker is awaited.
    bool isCallInFlight_ { false };
    /// The reply to a launch was lost, so the task may run, whatever later launches say.
    bool isLaunchUncertain_ { false };
    bool operator==(const HostedTask&) const = default;
};

/// The latest attempt of a task seen here.
struct AttemptFence {
    enum class Past { Open,
        Started,
        NeverStart };

    Attempt attempt_;
    Past past_ { Past::Open };
    /// No order that arrives later can start the attempt, as its stamp is too old.
    Instant keepUntil_;
    /// Ends of the task that its owner has not yet recorded. Until then it may repeat a start with a new stamp.
    uint32_t unacknowledgedEnds_ { 0 };
    auto operator<=>(const AttemptFence&) const = default;
};

class Host {
public:
    Host(HostSettings settings, Instant now)
        : settings_(std::move(settings))
        , acceptsFrom_(now + settings_.settleTime_)
        , lastSequence_(settings_.incarnation_.value() << sequenceBitsPerIncarnation)
    {
    }

    /// Events of a later life of the agent have higher sequences: a life numbers its events in this many bits.
    static constexpr int sequenceBitsPerIncarnation = 20;

    HostOffer offer(Instant now) const;
    const Resources& committed() const { return committed_; }
    const std::map<TaskId, HostedTask>& tasks() const { return tasks_; }
    /// True once the worker has reported what it runs.
    bool isKnown() const { return hasWorkerReport_; }
    /// True if there is something that time may change.
    bool needsTime() const { return !tasks_.empty() || !fences_.empty(); }
    /// True if no launch is under way.
    bool isQuiet() const;
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
    bool draining_ { false };
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
