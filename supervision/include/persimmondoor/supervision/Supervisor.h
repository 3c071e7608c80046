/// Decisions of the agent: which workers live on its host, what runs there, how long their leases may last, and what
/// is reported to the owner of the queues. Pure: messages and time come in, calls to make go out.
///
/// \code
/// SupervisorDecision decision = decide(std::move(state), heartbeat, now);
/// \endcode
#pragma once

#include "persimmondoor/workflow/Interference.h"
#include "persimmondoor/workflow/WorkerCalls.h"

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace persimmondoor::supervision {

/// Pace of a task that works at its own speed, in percent.
inline constexpr uint32_t fullPace = 100;

/// Times of the agent.
struct SupervisorTuning {
    /// A worker's list is asked for again at least this often; half a period of its readings of load.
    Duration listWait_ { std::chrono::milliseconds(500) };
    /// A list that shows ends which are not durable yet would be answered at once; it is asked for again when they are,
    /// or after this time.
    Duration listInterval_ { std::chrono::milliseconds(100) };
    /// Workers read the load of their runs anew this often (stated by the platform).
    Duration readingInterval_ { std::chrono::milliseconds(500) };
    /// A call that failed is made again after this time.
    Duration retryInterval_ { std::chrono::milliseconds(100) };
    /// Longest lease that a worker grants (stated by the platform): what an earlier life of the agent may have given.
    Duration longestLease_ { std::chrono::seconds(10) };
    /// A worker's clock may run this share slow, in percent (stated by the platform).
    int64_t clockDriftPercent_ { 2 };
    /// Allowance for the delivery of a lease, on top of the drift.
    Duration leaseSlack_ { std::chrono::milliseconds(200) };
    /// How long the end of a worker's life is repeated in reports.
    Duration endedWorkerRetention_ { std::chrono::seconds(10) };
    /// Reports under way at once: one that waits for orders, and one with news.
    uint32_t maximumReportsInFlight_ { 2 };
    bool operator==(const SupervisorTuning&) const = default;
};

/// A worker on this host.
struct LocalWorker {
    workflow::WorkerTraits traits_;
    Address address_;
    uint64_t lastHeartbeat_ { 0 };
    bool draining_ { false };
    Instant leavesAt_;
    /// Its clock, and when it was read here.
    int64_t workerTimeMs_ { 0 };
    Instant clockReadAt_;
    /// Its lists have been read under the present fence.
    bool isListed_ { false };
    /// A call for its lists is under way.
    bool isListCallInFlight_ { false };
    Instant nextListAt_;
    /// The last call for its lists succeeded.
    bool isReachable_ { false };
    /// Latest end of lease that any call to it named.
    Instant leaseEnd_;
    std::map<workflow::RunKey, workflow::ActiveRun> active_;
    /// Runs that the worker confirmed and that no list has shown yet, with the time of the confirmation.
    std::map<workflow::RunKey, Instant> confirmedRuns_;
    std::vector<workflow::EndedRun> ended_;
    std::vector<workflow::RefusedStart> refused_;
    uint64_t durableEnd_ { 0 };
    /// When the load of its runs is read again.
    Instant nextReadingAt_;
    /// Number and contents of the newest reading of its load.
    uint64_t readingNumber_ { 0 };
    workflow::LoadReading lastReading_;
    /// What its long-running tasks bear according to it.
    std::vector<workflow::Headroom> tolerances_;
    /// Readings in a row with a tail over its target.
    uint32_t consecutiveHighReadings_ { 0 };
    /// Paces of filling tasks by image, from 0 to 1.
    std::map<std::string, double> imagePaces_;
    /// What each filling task was told last, in percent of its speed.
    std::map<workflow::RunKey, uint32_t> runPaces_;
    bool operator==(const LocalWorker&) const = default;
};

struct SupervisorState {
    std::string name_;
    std::string domain_;
    uint64_t session_ { 0 };
    SupervisorTuning tuning_;
    workflow::LeaderEpoch epoch_;
    workflow::Fence fence_;
    /// Directives of the present epoch with this fence or a lower one are void.
    workflow::Fence voidFence_;
    Sequence sequence_;
    /// When each report that may still be answered was sent.
    std::map<Sequence, Instant> reportsSentAt_;
    /// Leases may last until then.
    Instant leaseHorizon_;
    /// All orders up to this one are settled.
    workflow::OrderNumber lastCompletedOrder_;
    /// Orders taken beyond it, and whether each is settled.
    std::map<workflow::OrderNumber, bool> completionByOrder_;
    /// Stops that have no outcome yet, with the time of the next try.
    std::map<workflow::OrderNumber, std::pair<workflow::StopRun, Instant>> pendingStops_;
    std::map<workflow::WorkerIncarnation, LocalWorker> workers_;
    std::map<workflow::WorkerIncarnation, Instant> endedWorkers_;
    std::map<workflow::RunKey, workflow::RunTraits> traits_;
    /// What the owner has learnt of the images here.
    workflow::Interference interference_;
    uint32_t reportsInFlight_ { 0 };
    /// Something has changed since the last report.
    bool hasChanges_ { true };
    Instant nextReportAt_;
    bool operator==(const SupervisorState&) const = default;
};

/// The owner's answer to a report.
struct ReportAnswered {
    workflow::ReportReply reply_;
    bool operator==(const ReportAnswered&) const = default;
};
/// A report has no answer, or one without a directive.
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
    /// Another worker answers at that address.
    bool isOtherWorker_ { false };
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
struct SupervisorTick {
    auto operator<=>(const SupervisorTick&) const = default;
};

using SupervisorMessage = std::variant<workflow::Heartbeat, workflow::Leaving, ReportAnswered, ReportFailed, ListArrived, ListFailed, StartCompleted, StopCompleted, SupervisorTick>;

struct CallStart {
    workflow::StartRun order_;
    workflow::Fence fence_;
    /// On the worker's clock.
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
/// A new life of a worker; calls to it go to this address.
struct AddWorker {
    workflow::WorkerIncarnation worker_;
    Address address_;
    auto operator<=>(const AddWorker&) const = default;
};
struct RemoveWorker {
    workflow::WorkerIncarnation worker_;
    auto operator<=>(const RemoveWorker&) const = default;
};
/// A decision for the log.
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
