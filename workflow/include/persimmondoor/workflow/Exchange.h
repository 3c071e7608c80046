/// Messages between agents and the leader of the queues. An agent sends the complete state of its workers with each
/// report; the leader's reply contains orders. The agent carries out each order once and recognises repeated orders by
/// their numbers.
///
/// \code
/// absl::StatusOr<ExchangeAnswer> answer = co_await exchangeAt(link, report, std::chrono::seconds(2));
/// if (answer.ok() && answer->reply_)
///     handle(*answer->reply_);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/workflow/Interference.h"
#include "persimmondoor/workflow/Worker.h"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace persimmondoor::workflow {

/// Number of one leadership; rises with each takeover.
using LeaderEpoch = Counter<struct LeaderEpochTag>;
/// Fencing token of one session of an agent with one leader; later sessions have higher tokens.
using Fence = Counter<struct FenceTag>;
/// Position of an order within a session.
using OrderNumber = Counter<struct OrderNumberTag>;

/// Why a worker did not start a run.
enum class StartRefusal : uint8_t {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run is not newer than a run of the same task that has ended or was stopped on the worker.
    StaleRun,
    /// The lease of the order had expired when the order arrived, or the leader has granted the agent no lease that it could
    /// pass on.
    OrderExpired,
    /// The free capacity of the worker is too small for the run.
    NoRoom,
    /// The ticket of the advice service is missing or has expired.
    NoTicket,
    /// The worker is unhealthy, leaving or unreachable; nothing was done.
    Unavailable,
    /// The worker could not decode the order.
    Malformed,
};

struct RefusedStart {
    RunKey run_;
    StartRefusal reason_ { StartRefusal::Unavailable };
    auto operator<=>(const RefusedStart&) const = default;
};

/// State of one worker in an agent's report.
struct WorkerReport {
    WorkerIncarnation incarnation_;
    WorkerTraits traits_;
    /// The worker accepts no new runs and will leave.
    bool draining_ { false };
    /// Lower bound on the time until a draining worker leaves, in milliseconds.
    int64_t remainingMs_ { 0 };
    /// The agent has read the worker's lists under the session's fence, so that `active_` is complete, and `ended_` too if
    /// `hasAllEnds_`.
    bool isListed_ { false };
    /// The agent's last list request to the worker succeeded. While it has not, `active_` and `ended_` are the last known
    /// ones, and the agent starts nothing on the worker.
    bool isReachable_ { true };
    /// Number of the newest load reading; `active_` contains the load and pace of that reading.
    uint64_t readingNumber_ { 0 };
    std::vector<ActiveRun> active_;
    std::vector<EndedRun> ended_;
    std::vector<RefusedStart> refused_;
    /// False if the worker may hold later ends than those in `ended_`. A run that is in neither list may then have ended, also as
    /// done.
    bool hasAllEnds_ { true };
    bool operator==(const WorkerReport&) const = default;
};

/// Bound on the completed orders that a report names one by one.
inline constexpr size_t maximumCompletedOrders = 128;

struct AgentReport {
    std::string agent_;
    std::string domain_;
    /// Identifies one session of the agent: a random number when its process starts, incremented whenever the agent removes
    /// a worker. The leader issues a new fence for a new session, which invalidates the orders in flight.
    uint64_t session_ { 0 };
    /// Epoch and fence that the agent works under; 0 before the first reply of a leader.
    LeaderEpoch epoch_;
    Fence fence_;
    /// Number of the report within the session.
    Sequence sequence_;
    /// The outcome of all orders up to this one is final and contained in the lists.
    OrderNumber lastCompletedOrder_;
    std::vector<WorkerReport> workers_;
    /// Incarnations that have ended, or whose lease expired without contact: no runs are left on them.
    std::vector<WorkerIncarnation> endedWorkers_;
    /// False once an entry that is not the leader has relayed the report; a report is relayed at most once.
    bool mayRelay_ { true };
    /// Runs that had just been started when their worker crashed: one of them may have caused the crash.
    std::vector<RunKey> crashedRuns_;
    /// Orders beyond `lastCompletedOrder_` whose outcome is final and contained in the lists, as an earlier one is still open: the
    /// lowest ones, up to `maximumCompletedOrders`. Agents of an earlier version report none.
    std::set<OrderNumber> completedOrders_ {};
    /// Those of `crashedRuns_` whose start the worker had not confirmed: it may have crashed before the order arrived. Agents of an
    /// earlier version report none.
    std::set<RunKey> unconfirmedStarts_ {};
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

/// Number of an order, whatever its type.
OrderNumber numberOf(const Order&);
/// The run that an order starts or stops.
const RunKey& runOf(const Order&);

/// The ends of `worker_` up to `number_` are durable; the worker may remove them from its list.
struct DurableEnds {
    WorkerIncarnation worker_;
    uint64_t number_ { 0 };
    auto operator<=>(const DurableEnds&) const = default;
};

/// Properties of a run that is a filling run or has a bound on its tail latency. From them the agent computes the pace of
/// the filling tasks on its worker.
struct RunTraits {
    RunKey run_;
    bool isFilling_ { false };
    /// Bound on the tail latency, in milliseconds; 0 if the task has none.
    uint32_t targetTailMs_ { 0 };
    std::string image_;
    /// Demand for processors, in thousandths of a core.
    int64_t milliCores_ { 0 };
    auto operator<=>(const RunTraits&) const = default;
};

/// The leader's reply to a report.
struct ReportReply {
    LeaderEpoch epoch_;
    Fence fence_;
    /// The report that is answered; the lease starts when that report was sent.
    Sequence answeredReport_;
    /// How long the agent may extend task leases, counted from when it sent that report; 0 for not at all.
    Duration lease_ { 0 };
    std::vector<Order> orders_;
    std::vector<DurableEnds> durableEnds_;
    std::vector<RunTraits> traits_;
    /// Interference estimates for the images on the agent's workers.
    Interference interference_;
    /// Names of the services that the configuration contains. Empty without a configuration; leaders of an earlier version state
    /// none.
    std::set<std::string> services_ {};
    bool operator==(const ReportReply&) const = default;
};

} // namespace persimmondoor::workflow
