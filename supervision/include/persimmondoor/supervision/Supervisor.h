/// Decides what an agent does: which workers run on its host, which runs to start and stop there, how long the leases
/// of the workers last, at which pace filling (best-effort) tasks may work, and what to report to the leader. A pure
/// state machine: messages and the time come in, the new state and the actions to perform come out.
///
/// \code
/// SupervisorDecision decision = decide(std::move(state), heartbeat, now);
/// state = std::move(decision.state_);
/// for (SupervisorAction& action : decision.actions_)
///     std::visit(performer, action);
/// \endcode
#pragma once

#include "persimmondoor/workflow/Interference.h"
#include "persimmondoor/workflow/WorkerCalls.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace persimmondoor::supervision {

/// Pace of a task that is not slowed down, in percent.
inline constexpr uint32_t fullPace = 100;

/// Intervals, time-outs and limits of the agent.
struct SupervisorTuning {
    /// Longest time for which a worker holds a list request before answering, so a list is read at least this often;
    /// equal to the interval of the worker's load readings.
    Duration listWait_ { std::chrono::milliseconds(500) };
    /// Delay of the next list request while a list shows ends that are not durable yet: the worker would answer such a
    /// request immediately. The request is sent earlier when the ends become durable.
    Duration listInterval_ { std::chrono::milliseconds(100) };
    /// Interval at which workers read the load of their runs (specified by the platform).
    Duration readingInterval_ { std::chrono::milliseconds(500) };
    /// Delay before a failed call is retried.
    Duration retryInterval_ { std::chrono::milliseconds(100) };
    /// Longest lease that a worker grants (specified by the platform). Bounds the leases that a previous incarnation of
    /// the agent may have granted.
    Duration longestLease_ { std::chrono::seconds(10) };
    /// Largest clock drift of a worker, in percent (specified by the platform): its clock may run this much slower.
    int64_t clockDriftPercent_ { 2 };
    /// Allowance for the delivery of a lease, in addition to the clock drift.
    Duration leaseSlack_ { std::chrono::milliseconds(200) };
    /// A run is suspected of a crash of its worker unless the worker has answered a list request at least this long after
    /// the start was called: a task that crashes its worker does so as it starts.
    Duration crashWindow_ { std::chrono::milliseconds(100) };
    /// A worker whose host refuses connections within this time after a notice that the worker leaves has ended. Bounds how
    /// long a notice that was delayed, and concerns an earlier incarnation, can be taken for one of the present incarnation.
    Duration leaveNoticeValidity_ { std::chrono::seconds(10) };
    /// How long reports repeat that an incarnation of a worker has ended.
    Duration endedWorkerRetention_ { std::chrono::seconds(10) };
    /// Bound on the reports in flight: one that waits for orders and one that carries changes.
    uint32_t maximumReportsInFlight_ { 2 };
    /// Bound on the announced workers that have not answered yet; the one heard of least recently is dropped first.
    size_t maximumUnconfirmedWorkers_ { 16 };
    bool operator==(const SupervisorTuning&) const = default;
};

/// A start that a worker was called for and has not outlived yet.
struct RecentStart {
    Instant calledAt_;
    /// The worker has answered that it has started the run, or has listed it. Otherwise it may have crashed before the call
    /// arrived.
    bool isConfirmed_ { false };
    auto operator<=>(const RecentStart&) const = default;
};

/// A run that had just been started, as far as the agent knows, when its worker crashed.
struct CrashedRun {
    /// When the crash became known.
    Instant knownAt_;
    bool isConfirmed_ { false };
    auto operator<=>(const CrashedRun&) const = default;
};

/// A worker on this host.
struct LocalWorker {
    workflow::WorkerTraits traits_;
    Address address_;
    uint64_t lastHeartbeat_ { 0 };
    Instant lastHeardAt_;
    /// When the worker first answered a list request as this incarnation; empty before. Any process can send a heartbeat, only the
    /// worker can answer.
    std::optional<Instant> answeredAt_;
    /// The worker has answered, and no other one is left that it excludes. Others are not reported to the leader and get no lease.
    bool isConfirmed_ { false };
    bool draining_ { false };
    Instant leavesAt_;
    /// When the last notice that a worker of this name leaves arrived; empty if none has.
    std::optional<Instant> leaveNoticedAt_;
    /// The worker's clock as last read, and when the agent read it.
    int64_t workerTimeMs_ { 0 };
    Instant clockReadAt_;
    /// The worker's lists have been read under the current fence.
    bool isListed_ { false };
    bool isListCallInFlight_ { false };
    Instant nextListAt_;
    /// The last list request succeeded.
    bool isReachable_ { false };
    /// A list request has failed. Without a leader none is sent, so that a worker may be unreachable without it.
    bool hasListFailed_ { false };
    /// First report that contained the worker; 0 before one has.
    Sequence firstReport_;
    /// Leases granted to the worker may last until this time. The leader extends it with replies to reports that contained
    /// the worker.
    Instant leaseHorizon_;
    /// Latest lease end that any call to the worker carried.
    Instant leaseEnd_;
    std::map<workflow::RunKey, workflow::ActiveRun> active_;
    /// Runs whose start or stop the worker has confirmed, with the time of the confirmation; kept until a list shows the run
    /// or a list that was requested later arrives. Reports contain these runs as active.
    std::map<workflow::RunKey, Instant> confirmedRuns_;
    /// Runs whose start was called and that the worker has not outlived by `SupervisorTuning::crashWindow_` yet.
    std::map<workflow::RunKey, RecentStart> recentStarts_;
    std::vector<workflow::EndedRun> ended_;
    /// False if the worker may hold later ends than those in `ended_`.
    bool hasAllEnds_ { true };
    /// Refused starts that no answered report has carried yet, with the first report that carried each; 0 before it was sent.
    std::vector<std::pair<workflow::RefusedStart, Sequence>> refused_;
    uint64_t durableEnd_ { 0 };
    /// When the load of the runs is read next.
    Instant nextReadingAt_;
    /// Number and contents of the latest load reading.
    uint64_t readingNumber_ { 0 };
    workflow::LoadReading lastReading_;
    /// Utilisation that filling tasks may add to the long-running tasks, by image, according to the latest reading.
    std::vector<workflow::Headroom> headrooms_;
    /// Consecutive readings with a tail latency above its target.
    uint32_t consecutiveHighReadings_ { 0 };
    /// Paces of filling tasks by image, from 0 to 1.
    std::map<std::string, double> imagePaces_;
    /// Pace last sent to each filling task, in percent of full speed.
    std::map<workflow::RunKey, uint32_t> runPaces_;
    /// Filling tasks whose last pace the worker has not confirmed; it is sent again with the next list.
    std::set<workflow::RunKey> unconfirmedPaces_;
    bool operator==(const LocalWorker&) const = default;
};

struct SupervisorState {
    std::string name_;
    std::string domain_;
    /// Number of the session with the leader: random for each incarnation of the process, and increased when unreachable
    /// workers are removed.
    uint64_t session_ { 0 };
    SupervisorTuning tuning_;
    workflow::LeaderEpoch epoch_;
    workflow::Fence fence_;
    /// Report replies of the current epoch with this fence or a lower one are void.
    workflow::Fence voidFence_;
    Sequence sequence_;
    /// Send times of the reports that may still be answered.
    std::map<Sequence, Instant> reportsSentAt_;
    /// The latest `LocalWorker::leaseHorizon_` so far.
    Instant leaseHorizon_;
    /// All orders up to this number have completed.
    workflow::OrderNumber lastCompletedOrder_;
    /// Orders received beyond `lastCompletedOrder_`, and whether each has completed.
    std::map<workflow::OrderNumber, bool> completionByOrder_;
    /// Stops without an outcome, with the time of the next attempt.
    std::map<workflow::OrderNumber, std::pair<workflow::StopRun, Instant>> pendingStops_;
    std::map<workflow::WorkerIncarnation, LocalWorker> workers_;
    std::map<workflow::WorkerIncarnation, Instant> endedWorkers_;
    /// The first incarnation that answered at each address since this process of the agent started.
    std::map<Address, workflow::WorkerIncarnation> firstAnswers_;
    std::map<workflow::RunKey, CrashedRun> crashedRuns_;
    std::map<workflow::RunKey, workflow::RunTraits> traits_;
    /// The leader's interference estimates for the images on this host.
    workflow::Interference interference_;
    /// The services that the leader knows; empty if it has not stated them.
    std::set<std::string> services_;
    uint32_t reportsInFlight_ { 0 };
    /// The state has changed since the last report was sent.
    bool hasChanges_ { true };
    Instant nextReportAt_;
    bool operator==(const SupervisorState&) const = default;
};

/// The leader answered a report.
struct ReportAnswered {
    workflow::ReportReply reply_;
    bool operator==(const ReportAnswered&) const = default;
};
/// A report was not answered, or the answer carried no reply of the leader.
struct ReportFailed {
    auto operator<=>(const ReportFailed&) const = default;
};
struct ListArrived {
    workflow::WorkerIncarnation worker_;
    workflow::Fence fence_;
    Instant askedAt_;
    workflow::WorkerLists lists_;
    bool operator==(const ListArrived&) const = default;
};
struct ListFailed {
    workflow::WorkerIncarnation worker_;
    /// Another worker answers at the address.
    bool isOtherWorker_ { false };
    /// The host refused the connection, as no process listens at the address.
    bool isRefused_ { false };
    /// For the log.
    std::string reason_ {};
    auto operator<=>(const ListFailed&) const = default;
};
struct StartCompleted {
    workflow::Fence fence_;
    workflow::StartRun order_;
    workflow::StartOutcome outcome_;
    bool operator==(const StartCompleted&) const = default;
};
struct StopCompleted {
    workflow::Fence fence_;
    workflow::OrderNumber order_;
    bool isStopped_ { false };
    auto operator<=>(const StopCompleted&) const = default;
};
/// The worker did not confirm a pace; it may have it nevertheless.
struct PaceFailed {
    workflow::WorkerIncarnation worker_;
    workflow::RunKey run_;
    auto operator<=>(const PaceFailed&) const = default;
};
struct SupervisorTick {
    auto operator<=>(const SupervisorTick&) const = default;
};

using SupervisorMessage = std::variant<workflow::Heartbeat, workflow::Leaving, ReportAnswered, ReportFailed, ListArrived, ListFailed, StartCompleted, StopCompleted, PaceFailed, SupervisorTick>;

struct CallStart {
    workflow::StartRun order_;
    workflow::Fence fence_;
    /// By the worker's clock.
    int64_t leaseEndMs_ { 0 };
    bool operator==(const CallStart&) const = default;
};
struct CallStop {
    workflow::StopRun order_;
    workflow::Fence fence_;
    bool operator==(const CallStop&) const = default;
};
struct CallList {
    workflow::WorkerIncarnation worker_;
    workflow::ListRequest request_;
    auto operator<=>(const CallList&) const = default;
};
struct CallPace {
    workflow::WorkerIncarnation worker_;
    workflow::RunKey run_;
    workflow::Fence fence_;
    uint32_t pacePercent_ { 100 };
    auto operator<=>(const CallPace&) const = default;
};
struct SendReport {
    workflow::AgentReport report_;
    bool operator==(const SendReport&) const = default;
};
/// Adds an incarnation of a worker; calls to it are sent to `address_`.
struct AddWorker {
    workflow::WorkerIncarnation worker_;
    Address address_;
    auto operator<=>(const AddWorker&) const = default;
};
struct RemoveWorker {
    workflow::WorkerIncarnation worker_;
    auto operator<=>(const RemoveWorker&) const = default;
};
/// A log event of a decision.
struct SupervisorLogEvent {
    std::string event_;
    std::string subject_;
    std::string detail_;
    auto operator<=>(const SupervisorLogEvent&) const = default;
};

using SupervisorAction = std::variant<CallStart, CallStop, CallList, CallPace, SendReport, AddWorker, RemoveWorker, SupervisorLogEvent>;

struct SupervisorDecision {
    SupervisorState state_;
    std::vector<SupervisorAction> actions_;
    bool operator==(const SupervisorDecision&) const = default;
};

SupervisorDecision decide(SupervisorState, const SupervisorMessage&, Instant now);

} // namespace persimmondoor::supervision
