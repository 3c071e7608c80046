/// Offers of free resources by the agents of workers, and the placement requests of tasks.
///
/// \code
/// Offer offer { worker, domain, rack, capacity, free, running, pressure, true };
/// PlacementRequest request { task, team, { Tier::Paying, Urgency::Urgent }, resources };
/// request.constraint_ = Spread { GroupLevel::Domain, 1 };
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Tier.h"

#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmondoor::placement {

/// One agent's answer to a probe.
struct Offer {
    WorkerName worker_;
    FailureDomainName domain_;
    RackName rack_;
    Resources capacity_;
    Resources free_;
    /// Number of tasks that run on the worker.
    uint32_t running_ { 0 };
    /// Predicted slowdown of the latency-critical services on the worker's host as a share of the allowed slowdown, from 0
    /// to 1.
    double pressure_ { 0 };
    /// False while the agent drains or protects its latency-critical services.
    bool accepting_ { false };
    bool operator==(const Offer&) const = default;
};

/// Urgent tasks are placed before normal tasks of the same tier.
enum class Urgency { Urgent,
    Normal };

/// Sort key of the queue: paying before trial, then urgent before normal.
struct Priority {
    Tier tier_ { Tier::Trial };
    Urgency urgency_ { Urgency::Normal };
    auto operator<=>(const Priority&) const = default;
};

/// Group of workers to which a constraint applies; `Cell` comprises all workers.
enum class GroupLevel { Worker,
    Rack,
    Domain,
    Cell };

/// Returns the text of a level, which answers and logs contain.
std::string_view describe(GroupLevel level);

/// The task may run anywhere.
struct Unconstrained {
    auto operator<=>(const Unconstrained&) const = default;
};

/// At most `maximumPerGroup_` tasks of the job run in one worker, rack or domain.
struct Spread {
    GroupLevel level_ { GroupLevel::Worker };
    uint32_t maximumPerGroup_ { 1 };
    auto operator<=>(const Spread&) const = default;
};

/// Either all tasks of the job start together or none, within one worker, rack or domain, or anywhere in the cell.
struct Gang {
    GroupLevel within_ { GroupLevel::Cell };
    auto operator<=>(const Gang&) const = default;
};

using Constraint = std::variant<Unconstrained, Spread, Gang>;

/// Location at which a task runs or will run.
struct Site {
    WorkerName worker_;
    RackName rack_;
    FailureDomainName domain_;
    auto operator<=>(const Site&) const = default;
};

struct PlacementRequest {
    TaskId task_;
    TeamName team_;
    Priority priority_;
    Resources resources_;
    Constraint constraint_ { Unconstrained {} };
    /// Sites of tasks of the same job that are placed already; they count against the limit of a `Spread`.
    std::vector<Site> siblings_;
    /// Failure domains that operators took out of service.
    std::set<FailureDomainName> closedDomains_;
    /// Workers in quarantine and workers on which this task has failed before.
    std::set<WorkerName> avoidedWorkers_;
    /// Breaks ties between equal offers; the same seed gives the same choice.
    uint64_t seed_ { 0 };
    bool operator==(const PlacementRequest&) const = default;
};

} // namespace persimmondoor::placement
