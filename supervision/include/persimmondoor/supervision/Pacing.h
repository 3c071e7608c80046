/// How fast filling tasks may work beside long-running tasks with a bound on their tail latency: additive increase,
/// multiplicative decrease (Chiu, Jain: "Analysis of the increase and decrease algorithms for congestion avoidance",
/// 1989) on the worst ratio of tail to target, once for each reading.
///
/// \code
/// uint32_t pace = nextPace(80, { { 5, 4 } });
/// \endcode
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace persimmondoor::supervision {

/// Tail latency of one long-running task and its target, in milliseconds.
struct TailReading {
    uint32_t tailMs_ { 0 };
    uint32_t targetMs_ { 0 };
    auto operator<=>(const TailReading&) const = default;
};

/// Pace of filling tasks on a worker with no reading yet that has a target to keep, in percent.
inline constexpr uint32_t firstPace = 60;

/// \param pace of the filling tasks while the readings were taken, 0 to 100.
/// \return the pace for the next period, 0 to 100; 100 if there is no target to keep.
uint32_t nextPace(uint32_t pace, const std::vector<TailReading>& readings);

} // namespace persimmondoor::supervision
