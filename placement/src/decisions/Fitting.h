/// Whether and how well an offer suits a request.
#pragma once

#include "persimmondoor/placement/Choice.h"

#include "persimmondoor/core/Visitor.h"
#include <map>

#include <optional>
#include <tuple>

namespace persimmondoor::placement {

/// Name of the worker, rack or domain of `site` at `level`; empty for the cell.
std::string_view groupName(const Site& site, GroupLevel level);

Site siteOf(const Offer& offer);

/// Number of the request's siblings in each group of its `Spread`; empty without one.
std::map<std::string_view, uint32_t> countSiblings(const PlacementRequest& request);

/// Why the offer can't take the task, leaving resources aside.
std::optional<WaitReason> refusalBesidesResources(const PlacementRequest& request, const Offer& offer, const std::map<std::string_view, uint32_t>& siblings);

/// The first part of `needed` that `free` doesn't hold.
std::optional<WaitReason> missingResource(const Resources& needed, const Resources& free);

/// Order of preference; the smallest is best.
using Preference = std::tuple<bool, uint32_t, int, double, uint64_t>;

Preference preferenceOf(const PlacementRequest& request, const Offer& offer, const std::map<std::string_view, uint32_t>& siblings);

/// Counts refusals, to name the most frequent reason.
class Refusals {
public:
    void add(WaitReason reason) { ++counts_[reason]; }
    NotPlaced summary(const TaskId& task) const;

private:
    std::map<WaitReason, uint32_t> counts_;
};

} // namespace persimmondoor::placement
