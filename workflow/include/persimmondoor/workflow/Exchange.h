/// Messages between an agent and the owner of the queues. An agent sends its whole view with each report; the owner
/// answers with orders, which the agent carries out once, by their sequence numbers.
///
/// \code
/// ReportReply reply = co_await exchange(link, report);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/workflow/Interference.h"
#include "persimmondoor/workflow/Worker.h"

#include <string>
#include <variant>
#include <vector>

namespace persimmondoor::workflow {

/// Numbers the leadership of one owner; rises with each takeover.
using LeaderEpoch = Counter<struct LeaderEpochTag>;
/// Fencing token of one session of an agent with one owner: later sessions have higher ones.
using Fence = Counter<struct FenceTag>;
/// Position of an order within a session.
using OrderNumber = Counter<struct OrderNumberTag>;

/// Why a worker did not start a run.
enum class StartRefusal : uint8_t {
    /// A higher fencing token has been seen.
    Fenced,
    /// The run is not newer than one that ended or was stopped there.
    Outdated,
    /// The order came after its lease.
    Late,
    /// The worker has no room for it.
    NoRoom,
    /// The ticket of the advice service is missing or has expired.
    NoTicket,
    /// The worker is unhealthy, leaving or gone; nothing was done.
    Unavailable,
    /// The worker could not read the order.
    Malformed,
};

struct RefusedStart {
    RunKey run_;
    StartRefusal reason_ { StartRefusal::Unavailable };
    auto operator<=>(const RefusedStart&) const = default;
};

/// One worker, as its agent sees it.
struct WorkerReport {
    WorkerIncarnation incarnation_;
    WorkerTraits traits_;
    /// The worker takes nothing new and will leave.
    bool draining_ { false };
    /// Least time until it leaves, in milliseconds.
    int64_t remainingMs_ { 0 };
    /// The agent has read the worker's list under the session's fence, so that `active_` and `ended_` are complete.
    bool isListed_ { false };
    /// Number of readings that the agent has taken of the load; `active_` shows load and pace of the newest.
    uint64_t readingNumber_ { 0 };
    std::vector<ActiveRun> active_;
    std::vector<EndedRun> ended_;
    std::vector<RefusedStart> refused_;
    bool operator==(const WorkerReport&) const = default;
};

struct AgentReport {
    std::string agent_;
    std::string domain_;
    /// Drawn anew in each life of the agent's process.
    uint64_t session_ { 0 };
    /// The leadership and fence that the agent works under; 0 before it has been given them.
    LeaderEpoch epoch_;
    Fence fence_;
    /// Numbers the reports of a session.
    Sequence sequence_;
    /// All orders up to this one have their final outcome, which the lists show.
    OrderNumber lastCompletedOrder_;
    std::vector<WorkerReport> workers_;
    /// Lives that have ended, or whose lease has expired without contact: nothing runs there any more.
    std::vector<WorkerIncarnation> endedWorkers_;
    /// False once the report has been passed on by an entry that does not own the queues; it is not passed on again.
    bool mayRelay_ { true };
    bool operator==(const AgentReport&) const = default;
};

struct StartRun {
    OrderNumber number_;
    WorkerIncarnation worker_;
    RunKey run_;
    std::string payload_;
    std::string checkpoint_;
    std::string ticket_;
    bool operator==(const StartRun&) const = default;
};

struct StopRun {
    OrderNumber number_;
    WorkerIncarnation worker_;
    RunKey run_;
    bool operator==(const StopRun&) const = default;
};

using Order = std::variant<StartRun, StopRun>;

/// Number of an order of any kind.
OrderNumber numberOf(const Order&);

/// Ends of `worker_` up to `number_` are durable and may be forgotten there.
struct DurableEnds {
    WorkerIncarnation worker_;
    uint64_t number_ { 0 };
    auto operator<=>(const DurableEnds&) const = default;
};

/// What an agent needs to know of a long-running or filling task to pace those beside it.
struct RunTraits {
    RunKey run_;
    bool isFilling_ { false };
    /// 0 if the task has no target.
    uint32_t targetTailMs_ { 0 };
    std::string image_;
    /// Processors that it asked for, in thousandths.
    int64_t milliCores_ { 0 };
    auto operator<=>(const RunTraits&) const = default;
};

/// The owner's answer to a report.
struct ReportReply {
    LeaderEpoch epoch_;
    Fence fence_;
    /// The report that was answered; its time of sending starts the lease.
    Sequence answeredReport_;
    /// For how long the agent may extend leases, from when it sent that report.
    Duration lease_ { 0 };
    std::vector<Order> orders_;
    std::vector<DurableEnds> durableEnds_;
    std::vector<RunTraits> traits_;
    /// What has been learnt of the images on the agent's workers.
    Interference interference_;
    bool operator==(const ReportReply&) const = default;
};

} // namespace persimmondoor::workflow
