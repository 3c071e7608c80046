/// The ways to run batch tasks beside services.
///
/// \code
/// Policy policy = *Learned::create({ .tail_ = 3, .throughput_ = 1, .evictions_ = 1 });
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

#include <absl/status/statusor.h>
#include <compare>
#include <variant>

namespace persimmondoor::colocation {

/// What a team's measures are worth to it; only their ratios count.
struct Weights {
    double tail_ { 1 };
    double throughput_ { 1 };
    double evictions_ { 1 };
    auto operator<=>(const Weights&) const = default;
};

/// No batch task runs beside a service.
struct NoColocation {
    auto operator<=>(const NoColocation&) const = default;
};

/// Batch tasks run wherever they fit.
struct Uncontrolled {
    auto operator<=>(const Uncontrolled&) const = default;
};

/// Acts when the smoothed tail crosses fixed multiples of an objective: throttles and stops placing above it, evicts
/// the task that uses most above `evictFactor_` times it, gives back below `resumeFactor_` times it.
struct FixedThreshold {
    /// Tail latency, in milliseconds.
    double objective_ { 0 };
    double evictFactor_ { 1.15 };
    double resumeFactor_ { 0.95 };
    /// Least time between two actions.
    Duration pause_ { std::chrono::seconds(10) };
    auto operator<=>(const FixedThreshold&) const = default;
};

/// Predicts the slowdown from what was learned of each pair of service and task class, and keeps it below a target.
class Learned {
public:
    /// \return the policy, or InvalidArgument if a weight is negative or all are zero.
    static absl::StatusOr<Learned> create(const Weights& weights);

    /// Slowdown that is kept: between 1.075, if only the tail counts, and 1.09.
    double target() const;
    /// Deviations of its estimate that are added to the predicted slowdown.
    double caution() const;
    /// Evictions a worker may make in an hour.
    double evictionsPerHour() const;
    const Weights& weights() const { return weights_; }
    auto operator<=>(const Learned&) const = default;

private:
    explicit Learned(const Weights& weights)
        : weights_(weights)
    {
    }

    double tailShare() const;
    Weights weights_;
};

using Policy = std::variant<NoColocation, Uncontrolled, FixedThreshold, Learned>;

} // namespace persimmondoor::colocation
