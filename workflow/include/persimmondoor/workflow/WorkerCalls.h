/// What a worker and the agent on its host tell each other, free of any protocol.
///
/// \code
/// StartOutcome outcome = Started {};
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/workflow/Exchange.h"

#include <variant>
#include <vector>

namespace persimmondoor::workflow {

/// What a worker says of itself about once a second.
struct Heartbeat {
    WorkerIncarnation incarnation_;
    WorkerTraits traits_;
    /// Where the worker takes calls.
    Address address_;
    bool draining_ { false };
    /// Least time until a draining worker leaves.
    int64_t remainingMs_ { 0 };
    /// Rises with each heartbeat of a life, to tell late ones.
    uint64_t sequence_ { 0 };
    bool operator==(const Heartbeat&) const = default;
};

/// The worker ends now.
struct Leaving {
    std::string name_;
    auto operator<=>(const Leaving&) const = default;
};

/// The run is there.
struct Started {
    auto operator<=>(const Started&) const = default;
};
/// No answer: the worker may carry the order out now or seconds later.
struct NoAnswer {
    std::string detail_;
    auto operator<=>(const NoAnswer&) const = default;
};
using StartOutcome = std::variant<Started, StartRefusal, NoAnswer>;

/// Asks for the worker's lists.
struct ListRequest {
    Fence fence_;
    /// Ends up to this one may be forgotten.
    uint64_t durableEnd_ { 0 };
    /// Extends the lease of all runs until then, on the worker's clock; 0 to leave it. It never gets shorter.
    int64_t leaseEndMs_ { 0 };
    /// How long the worker may wait for an end before it answers; at most 2 s.
    Duration maximumWait_ { 0 };
    auto operator<=>(const ListRequest&) const = default;
};

struct WorkerLists {
    /// The worker's clock when it answered, in milliseconds.
    int64_t workerTimeMs_ { 0 };
    /// Birth of the life that answered; 0 if not stated.
    int64_t bornMs_ { 0 };
    std::vector<ActiveRun> active_;
    std::vector<EndedRun> ended_;
    bool operator==(const WorkerLists&) const = default;
};

/// Text of a refusal for log lines.
std::string_view describe(StartRefusal);

} // namespace persimmondoor::workflow
