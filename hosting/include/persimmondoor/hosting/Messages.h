/// Messages between the owner of a job partition and the agent of a worker.
///
/// \code
/// StartOutcome outcome = *co_await startTask(link, { .task_ = task, .attempt_ = Attempt(1), .stamp_ = offer.stamp_ });
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Tier.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/store/Worker.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmondoor::hosting {

/// Maximum age of the stamp in a start order; the agent refuses an older one.
inline constexpr Duration stampLifetime = std::chrono::seconds(3);

using store::TaskAttempt;

/// A reading of an agent's clock. Other processes only return it to the agent; stamps of different agents are not
/// comparable.
struct Stamp {
    Incarnation incarnation_;
    Instant issuedAt_;
    auto operator<=>(const Stamp&) const = default;
};

/// Asks an agent for an offer of its free resources.
struct ProbeOrder {
    TeamName team_;
    Resources wanted_;
    bool operator==(const ProbeOrder&) const = default;
};

struct HostOffer {
    WorkerName worker_;
    FailureDomainName domain_;
    RackName rack_;
    Stamp stamp_;
    Resources capacity_;
    Resources free_;
    uint32_t running_ { 0 };
    /// Predicted slowdown of latency-critical work on this host as a share of the allowed slowdown, from 0 to 1.
    double pressure_ { 0.0 };
    /// False while the agent starts up, drains or protects latency-critical work on its host.
    bool accepting_ { false };
    bool operator==(const HostOffer&) const = default;
};

struct StartOrder {
    TaskId task_;
    Attempt attempt_;
    PartitionNumber partition_;
    Epoch epoch_;
    TeamName team_;
    Tier tier_ { Tier::Trial };
    Resources resources_;
    std::string command_;
    std::string checkpoint_;
    /// A stamp of the agent, obtained before the journal transaction of this start began.
    Stamp stamp_;
    /// The task's lease expires this long after the stamp unless renewed.
    Duration lease_ { 0 };
    bool operator==(const StartOrder&) const = default;
};

/// The attempt is running or has ended.
struct Started {
    auto operator<=>(const Started&) const = default;
};

enum class StartRefusal { Capacity,
    StaleStamp,
    StaleEpoch,
    StaleAttempt,
    Draining,
    WorkerUnavailable,
    /// An earlier attempt of the task still runs on this worker and is being stopped.
    EarlierAttemptRuns };

/// The stable text of a reason, as used in logs and reports.
std::string_view describe(StartRefusal);

/// The attempt was not started. After StaleAttempt, Capacity, Draining, StaleStamp or StaleEpoch this order will not
/// start it later either.
struct StartRefused {
    StartRefusal reason_ { StartRefusal::Capacity };
    std::string detail_;
    auto operator<=>(const StartRefused&) const = default;
};

using StartOutcome = std::variant<Started, StartRefused>;

enum class StopKind { Stop,
    Checkpoint };

struct StopOrder {
    TaskId task_;
    Attempt attempt_;
    PartitionNumber partition_;
    Epoch epoch_;
    StopKind kind_ { StopKind::Stop };
    auto operator<=>(const StopOrder&) const = default;
};

/// The attempt is being stopped; its end follows as an event.
struct StopAccepted {
    auto operator<=>(const StopAccepted&) const = default;
};

/// The attempt does not run on this worker, and start orders for it that arrive later are refused.
struct StopUnknownTask {
    auto operator<=>(const StopUnknownTask&) const = default;
};

/// The agent has seen a later epoch of the partition.
struct StopStaleEpoch {
    auto operator<=>(const StopStaleEpoch&) const = default;
};

/// The agent has not yet received its worker's first report; the caller retries.
struct StopNotReady {
    auto operator<=>(const StopNotReady&) const = default;
};

using StopOutcome = std::variant<StopAccepted, StopUnknownTask, StopStaleEpoch, StopNotReady>;

struct TaskStarted {
    auto operator<=>(const TaskStarted&) const = default;
};

struct TaskFinished {
    int exitCode_ { 0 };
    std::string result_;
    auto operator<=>(const TaskFinished&) const = default;
};

struct TaskFailed {
    std::string reason_;
    auto operator<=>(const TaskFailed&) const = default;
};

/// A checkpoint was saved; the task may continue to run.
struct TaskCheckpointed {
    std::string reference_;
    auto operator<=>(const TaskCheckpointed&) const = default;
};

struct TaskStopped {
    auto operator<=>(const TaskStopped&) const = default;
};

struct TaskLeaseLapsed {
    auto operator<=>(const TaskLeaseLapsed&) const = default;
};

using TaskEvent = std::variant<TaskStarted, TaskFinished, TaskFailed, TaskCheckpointed, TaskStopped, TaskLeaseLapsed>;

/// True for the last event of an attempt.
bool endsAttempt(const TaskEvent&);

/// A change of a task's state. Sequences increase for each agent and partition, also across restarts of the agent. An
/// event may be reported again after a restart, with a new sequence.
struct HostEvent {
    Sequence sequence_;
    TaskAttempt task_;
    TaskEvent event_;
    auto operator<=>(const HostEvent&) const = default;
};

/// Renews the leases of all tasks of a partition on one worker.
struct Renewal {
    PartitionNumber partition_;
    Epoch epoch_;
    /// A stamp of this agent, preferably the latest. Leases expire `lease_` after the stamp, so that the delay of a renewal
    /// adds no time. With a stamp of another incarnation nothing is renewed; the answer carries a usable stamp.
    Stamp stamp_;
    Duration lease_ { 0 };
    /// The owner has recorded all events up to this one; the agent drops them.
    Sequence acknowledged_;
    /// Attempts that must no longer run. They are stopped, and start orders for them that arrive later are refused.
    std::vector<TaskAttempt> unwanted_;
    /// Digest of the attempts that the owner expects to run on this worker, without `unwanted_`.
    uint64_t digest_ { 0 };
    auto operator<=>(const Renewal&) const = default;
};

struct RenewalAnswer {
    Stamp stamp_;
    /// False if the stamp in the renewal was not issued by this incarnation of the agent or lies in the future.
    bool renewed_ { false };
    std::vector<HostEvent> events_ {};
    /// Further events did not fit in this answer.
    bool moreEvents_ { false };
    uint64_t digest_ { 0 };
    /// The attempts of the partition that run on this worker, if the digests differ.
    std::vector<TaskAttempt> running_ {};
    bool operator==(const RenewalAnswer&) const = default;
};

/// Digest of a set of attempts, independent of order: a sum of 64-bit FNV-1a hashes, each finalized as in SplitMix64
/// (Steele, Lea, Flood: "Fast splittable pseudorandom number generators", 2014).
uint64_t digestOf(const std::vector<TaskAttempt>&);

} // namespace persimmondoor::hosting
