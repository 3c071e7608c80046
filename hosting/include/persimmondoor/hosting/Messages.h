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

/// Age from which an agent refuses its own stamp in a start order.
inline constexpr Duration stampLifetime = std::chrono::seconds(3);

using store::TaskAttempt;

/// A reading of an agent's clock, which the holder can only give back. Not compared across agents.
struct Stamp {
    Incarnation incarnation_;
    Instant issuedAt_;
    auto operator<=>(const Stamp&) const = default;
};

/// Asks an agent what it can take.
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
    /// Disturbance of latency-critical work on this host, 0 to 1.
    double pressure_ { 0.0 };
    /// False while the agent drains, knows too little or keeps its host free.
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
    /// The agent's stamp, got before the journal transaction of this start began.
    Stamp stamp_;
    /// The task may run until this long after the stamp, unless renewed.
    Duration lease_ { 0 };
    bool operator==(const StartOrder&) const = default;
};

/// The attempt runs, or ran.
struct Started {
    auto operator<=>(const Started&) const = default;
};

enum class StartRefusal { Capacity,
    StaleStamp,
    StaleEpoch,
    StaleAttempt,
    Draining,
    WorkerUnavailable,
    /// Another attempt of the task has not ended here; it is being stopped.
    EarlierAttemptRuns };

/// Stable text of a reason, as used in logs and reports.
std::string_view describe(StartRefusal);

/// The attempt was not started. With StaleAttempt, Capacity, Draining, StaleStamp or StaleEpoch it never will be by
/// this order.
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

/// The end of the attempt will be seen as an event.
struct StopAccepted {
    auto operator<=>(const StopAccepted&) const = default;
};

/// The attempt is not here, and no late start of it will be accepted.
struct StopUnknownTask {
    auto operator<=>(const StopUnknownTask&) const = default;
};

/// The order comes from a deposed owner.
struct StopStaleEpoch {
    auto operator<=>(const StopStaleEpoch&) const = default;
};

/// The agent has not yet learned what runs on its worker; ask again.
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

/// A checkpoint was made; the task may run on.
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

/// What became of a task. Sequences rise for each agent and partition, across restarts of the agent as well. An event
/// may be given again after a restart.
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
    /// Any stamp of this agent, the latest at best: leases end `lease_` after it, so that an order that was long under
    /// way renews nothing. With a stamp of another incarnation nothing is renewed; the answer carries a usable one.
    Stamp stamp_;
    Duration lease_ { 0 };
    /// Events up to this one are recorded; the agent drops them.
    Sequence acknowledged_;
    /// Attempts that must not run any longer. They are stopped, and no late start of them is accepted.
    std::vector<TaskAttempt> unwanted_;
    /// Digest of the attempts that the owner expects to run here, without `unwanted_`.
    uint64_t digest_ { 0 };
    auto operator<=>(const Renewal&) const = default;
};

struct RenewalAnswer {
    Stamp stamp_;
    /// False if the stamp in the renewal was not of this agent's life.
    bool renewed_ { false };
    std::vector<HostEvent> events_ {};
    /// More events wait than fit in one answer.
    bool moreEvents_ { false };
    uint64_t digest_ { 0 };
    /// The attempts of the partition that run here, if the digests differ.
    std::vector<TaskAttempt> running_ {};
    bool operator==(const RenewalAnswer&) const = default;
};

/// Digest of a set of attempts, whatever their order: a sum of 64-bit FNV-1a hashes, each finalized as in SplitMix64
/// (Steele, Lea, Flood: "Fast splittable pseudorandom number generators", 2014).
uint64_t digestOf(const std::vector<TaskAttempt>&);

} // namespace persimmondoor::hosting
