/// Chooses the worker of a task among offers, or says why the task waits.
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

/// Stable text of a reason, as used in answers and logs.
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
    /// How many offers were refused for which reason.
    std::string detail_;
    auto operator==(const NotPlaced&) const -> bool = default;
};

using PlacementChoice = std::variant<Placed, NotPlaced>;

/// Chooses the best offer that fits `request`. In this order an offer is better that: leaves free accelerators to tasks
/// that need them; has fewer siblings in the group that a `Spread` names; has a lower pressure (in steps of a tenth);
/// is left with less room (best fit). Equal offers are told apart by `seed_`.
/// \return the site, or the most frequent reason among the offers.
PlacementChoice choosePlacement(const PlacementRequest& request, const std::vector<Offer>& offers);

/// Places all tasks of a gang or none. All `requests` must carry the same `Gang` constraint.
/// \return one choice a request, in their order: all `Placed`, or all `NotPlaced`.
std::vector<PlacementChoice> chooseGang(const std::vector<PlacementRequest>& requests, const std::vector<Offer>& offers);

/// A group of requests that is placed together: one task, or the whole gang.
using PlacementUnit = std::vector<PlacementRequest>;

struct QueuePlacement {
    std::vector<PlacementChoice> choices_;
    /// `offers` less what was placed.
    std::vector<Offer> offers_;
    /// The ledger with what was placed reserved.
    QuotaLedger quotas_;
    bool operator==(const QueuePlacement&) const = default;
};

/// Places as many units as fit, the highest priority first and in their order within a priority. Each placement takes
/// its resources from the offer and from the team's quota before the next one is looked at.
QueuePlacement placeQueue(std::vector<PlacementUnit> units, std::vector<Offer> offers, QuotaLedger quotas);

} // namespace persimmondoor::placement
