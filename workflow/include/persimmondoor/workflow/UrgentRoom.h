/// Room for work with an objective where a service is short of it. A service is in a rush while such work waits for more room
/// than becomes free in time; long-running tasks of the same or a lower priority then come after it, and few of them are
/// stopped for it.
///
/// \code
/// ServiceRoom room = nextRoom(Calm {}, demand, tuning, now);
/// if (const auto* rush = std::get_if<Rush>(&room))
///     logBegin(rush->queue_);
/// \endcode
#pragma once

#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Job.h"
#include "persimmondoor/workflow/Tuning.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace persimmondoor::workflow {

/// The work with an objective that waits for room on the workers of one service, and the room that it can count on.
struct UrgentDemand {
    /// Waiting tasks that can still be of value, and their demand.
    size_t tasks_ { 0 };
    Resources demand_;
    /// Demand of those among them that can still be on time.
    Resources onTimeDemand_;
    /// Free now, where a waiting task could use it.
    Resources free_;
    /// Becomes free within `Tuning::rushHorizon_`, by the ends of short runs and by stops that are ordered.
    Resources expected_;
    /// The highest priority (lowest number) of the waiting tasks.
    uint32_t priority_ { 0 };
    /// The queue with the largest waiting demand.
    std::string queue_;
    /// Dominant share of each waiting queue, in thousandths of the service's capacity (Ghodsi et al.: "Dominant resource
    /// fairness", 2011).
    std::map<std::string, int64_t> shares_;
    bool operator==(const UrgentDemand&) const = default;

    /// True if the waiting tasks need more than is free or expected.
    bool isShort() const;
    /// What the tasks that can be on time need beyond that.
    Resources shortfall() const;
};

/// The service has room for its urgent work.
struct Calm {
    auto operator<=>(const Calm&) const = default;
};
/// It has been short of room for less than `Tuning::rushAfter_`.
struct Short {
    Instant since_;
    auto operator<=>(const Short&) const = default;
};
/// Urgent work goes before long-running tasks of the same or a lower priority.
struct Rush {
    Instant since_;
    Instant lastShortAt_;
    /// The highest priority (lowest number) of the work that was short of room.
    uint32_t priority_ { 0 };
    /// The queue with the largest waiting demand.
    std::string queue_;
    /// As in the last demand; empty unless several queues wait.
    std::map<std::string, int64_t> shares_;
    bool operator==(const Rush&) const = default;
};
/// The last rush reached `Tuning::maximumRush_`: long-running tasks have their turn.
struct RushPause {
    Instant until_;
    auto operator<=>(const RushPause&) const = default;
};
using ServiceRoom = std::variant<Calm, Short, Rush, RushPause>;

/// What the leader remembers of rushes. Not stored: a new leader sees the demand anew.
struct UrgentRoom {
    /// By service; services that are calm are left out.
    std::map<std::string, ServiceRoom> services_;
    /// Long-running tasks that were stopped to make room, and when; kept for `Tuning::minimumTimeBetweenStops_`, and for as long as
    /// they wait.
    std::map<TaskKey, Instant> stoppedAt_;
    /// When the next line on a remaining shortfall may be logged, by service; services that are calm are left out.
    std::map<std::string, Instant> nextReportAt_;
    bool operator==(const UrgentRoom&) const = default;

    /// The rush of the service, or null if there is none.
    const Rush* rushOf(const std::string& service) const;
};

/// The state of the service after a look at its demand.
ServiceRoom nextRoom(const ServiceRoom&, const UrgentDemand&, const Tuning&, Instant now);

} // namespace persimmondoor::workflow
