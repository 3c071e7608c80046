/// Chooses a worker for a task among offers, or gives the reason why the task has to wait.
///
/// \code
/// PlacementChoice choice = choosePlacement(request, offers);
/// std::visit(Visitor { [](const Placed& placed) {}, [](const NotPlaced& notPlaced) {} }, choice);
/// \endcode
#pragma once

#include "persimmondoor/placement/Offer.h"
#include "persimmondoor/placement/Quota.h"

#include <string>

namespace persimmondoor::placement {

enum class WaitReason { NoOffers,
    DomainClosed,
    WorkerAvoided,
    NotAccepting,
    Processors,
    Memory,
    Accelerators,
    SpreadLimit,
    GangIncomplete,
    QuotaExceeded,
    MayNotPreempt,
    NeverFits };

/// Returns the text of a reason, which answers and logs contain.
std::string_view describe(WaitReason reason);

struct Placed {
    TaskId task_;
    Site site_;
    Resources resources_;
    auto operator==(const Placed&) const -> bool = default;
};

struct NotPlaced {
    TaskId task_;
    WaitReason reason_ { WaitReason::NoOffers };
    /// Number of offers rejected for each reason, or the bound that was exceeded.
    std::string detail_;
    auto operator==(const NotPlaced&) const -> bool = default;
};

using PlacementChoice = std::variant<Placed, NotPlaced>;

/// Chooses the best offer that fits `request`. Offers are compared by these criteria, the most important first:
/// 1. The worker has no free accelerators that the task would block without using them.
/// 2. Fewer siblings run in the group of the `Spread`.
/// 3. The pressure is lower, in steps of a tenth.
/// 4. A smaller share of the worker stays free (best fit).
/// `seed_` breaks ties.
/// \return the site, or the most frequent reason for which offers were rejected.
PlacementChoice choosePlacement(const PlacementRequest& request, const std::vector<Offer>& offers);

/// Places all tasks of a gang or none. All `requests` must carry the same `Gang` constraint.
/// \return one choice per request, in the order of `requests`: either all `Placed` or all `NotPlaced`.
std::vector<PlacementChoice> chooseGang(const std::vector<PlacementRequest>& requests, const std::vector<Offer>& offers);

/// Requests that form one entry of the queue: all tasks of a gang, or tasks that are placed independently of each other.
using PlacementUnit = std::vector<PlacementRequest>;

struct QueuePlacement {
    std::vector<PlacementChoice> choices_;
    /// The offers, reduced by the resources of the placed tasks.
    std::vector<Offer> offers_;
    /// The ledger, including reservations for the placed tasks.
    QuotaLedger quotas_;
    bool operator==(const QueuePlacement&) const = default;
};

/// Places as many units as fit, in order of priority and, within a priority, in the order of `units`. Each placement
/// reduces the offer and reserves quota of the team before the next unit is considered.
QueuePlacement placeQueue(std::vector<PlacementUnit> units, std::vector<Offer> offers, QuotaLedger quotas);

} // namespace persimmondoor::placement
