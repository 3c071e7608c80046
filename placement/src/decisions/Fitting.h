/// Checks whether an offer fits a request, and ranks offers that do.
#pragma once

#include "persimmondoor/placement/Choice.h"

#include "persimmondoor/core/Visitor.h"
#include <map>

#include <optional>
#include <tuple>

namespace persimmondoor::placement {

/// Returns the name of the worker, rack or domain of `site`, depending on `level`; empty for the cell.
std::string_view groupName(const Site& site, GroupLevel level);

Site siteOf(const Offer& offer);

/// Counts the siblings of the request in each group of its `Spread`; empty if it has no `Spread`.
std::map<std::string_view, uint32_t> countSiblings(const PlacementRequest& request);

/// Returns the reason why the task may not run on the offering worker, regardless of free resources.
std::optional<WaitReason> refusalIgnoringResources(const PlacementRequest& request, const Offer& offer, const std::map<std::string_view, uint32_t>& siblings);

/// Returns the first resource of which `needed` exceeds `free`.
std::optional<WaitReason> missingResource(const Resources& needed, const Resources& free);

/// Sort key of offers; the smallest is the best offer. The fields are the criteria of `choosePlacement`.
using Preference = std::tuple<bool, uint32_t, int, double, uint64_t>;

Preference preferenceOf(const PlacementRequest& request, const Offer& offer, const std::map<std::string_view, uint32_t>& siblings);

/// Counts rejected offers by reason and reports the most frequent one.
class Refusals {
public:
    void add(WaitReason reason) { ++counts_[reason]; }
    NotPlaced summary(const TaskId& task) const;

private:
    std::map<WaitReason, uint32_t> counts_;
};

} // namespace persimmondoor::placement
