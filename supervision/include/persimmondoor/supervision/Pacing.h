/// How fast filling tasks may work beside long-running tasks with a bound on their tail latency: additive increase,
/// multiplicative decrease (Chiu, Jain: "Analysis of the increase and decrease algorithms for congestion avoidance",
/// 1989) on the worst ratio of tail to target, once for each reading. Images that are known to be harmless are slowed
/// down only once the others stand still.
///
/// \code
/// Paces paces = nextPaces({ 80, 100 }, 140, true);
/// \endcode
#pragma once

#include <compare>
#include <cstdint>

namespace persimmondoor::supervision {

/// Shares of their speed that filling tasks on a worker are given, in percent.
struct Paces {
    /// For images that are not known to be harmless.
    uint32_t suspect_ { 100 };
    uint32_t harmless_ { 100 };
    auto operator<=>(const Paces&) const = default;
};

/// \param paces while the tails were read.
/// \param tailPercent worst tail latency on the worker, in percent of its target; 0 if there is no target to keep.
/// \param hasSuspects a task with a suspect image is on the worker.
/// \return the paces for the next period.
Paces nextPaces(Paces paces, uint64_t tailPercent, bool hasSuspects);

} // namespace persimmondoor::supervision
