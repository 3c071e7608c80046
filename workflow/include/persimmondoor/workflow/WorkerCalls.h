/// Messages between a worker and the agent on its host, independent of any protocol.
///
/// \code
/// ListRequest request { fence, lastDurableEnd, leaseEndMs, std::chrono::seconds(1) };
/// StartOutcome outcome = StartRefusal::NoRoom;
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/workflow/Exchange.h"

#include <variant>
#include <vector>

namespace persimmondoor::workflow {

/// State of a worker, which the worker sends about once a second.
struct Heartbeat {
    WorkerIncarnation incarnation_;
    WorkerTraits traits_;
    /// Address at which the worker serves calls.
    Address address_;
    bool draining_ { false };
    /// Lower bound on the time until a draining worker leaves, in milliseconds.
    int64_t remainingMs_ { 0 };
    /// Number of the heartbeat within the incarnation; detects heartbeats that arrive out of order.
    uint64_t sequence_ { 0 };
    bool operator==(const Heartbeat&) const = default;
};

/// A worker of this name is shutting down. The notice does not state the incarnation, and a network partition may delay it
/// until a later incarnation runs under the same name.
struct Leaving {
    std::string name_;
    auto operator<=>(const Leaving&) const = default;
};

/// The run has started, or had been started before.
struct Started {
    auto operator<=>(const Started&) const = default;
};
/// The worker did not answer: the outcome is unknown, and the worker may carry the order out seconds later.
struct NoAnswer {
    std::string detail_;
    auto operator<=>(const NoAnswer&) const = default;
};
using StartOutcome = std::variant<Started, StartRefusal, NoAnswer>;

/// Requests the worker's lists.
struct ListRequest {
    Fence fence_;
    /// Ends up to this one are durable; the worker may remove them from its list.
    uint64_t durableEnd_ { 0 };
    /// Extends the lease of all runs to this time on the worker's clock, in milliseconds; 0 to leave the lease as it is. A
    /// lease is never shortened.
    int64_t leaseEndMs_ { 0 };
    /// How long the worker may wait for a run to end before it answers (long poll); at most 2 s.
    Duration maximumWait_ { 0 };
    auto operator<=>(const ListRequest&) const = default;
};

struct WorkerLists {
    /// The worker's clock when it answered, in milliseconds.
    int64_t workerTimeMs_ { 0 };
    /// Start of the incarnation that answered, in milliseconds since 1970 UTC; 0 if not stated.
    int64_t bornMs_ { 0 };
    std::vector<ActiveRun> active_;
    /// Ends after the last durable one, oldest first.
    std::vector<EndedRun> ended_;
    /// False if the worker may hold later ends than those that it has listed.
    bool hasAllEnds_ { true };
    bool operator==(const WorkerLists&) const = default;
};

/// Text of a refusal for log lines.
std::string_view describe(StartRefusal);

} // namespace persimmondoor::workflow
