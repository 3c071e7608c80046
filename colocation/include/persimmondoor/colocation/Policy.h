/// Policies for running batch tasks beside services.
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

/// Relative importance of a team's objectives; only the ratios count.
struct Weights {
    double tail_ { 1 };
    double throughput_ { 1 };
    double evictions_ { 1 };
    auto operator<=>(const Weights&) const = default;
};

/// Runs no batch task beside a service.
struct NoColocation {
    auto operator<=>(const NoColocation&) const = default;
};

/// Runs batch tasks wherever they fit.
struct Uncontrolled {
    auto operator<=>(const Uncontrolled&) const = default;
};

/// Acts when the smoothed tail latency crosses fixed multiples of an objective, on one task at a time: above the
/// objective, stops accepting tasks and halves the share of the unthrottled task that uses most processors; above
/// `evictFactor_` times the objective, evicts the task that uses most processors instead; below `resumeFactor_` times the
/// objective, accepts tasks again and removes the limit of one task.
struct FixedThreshold {
    /// Tail latency, in milliseconds.
    double objective_ { 0 };
    double evictFactor_ { 1.15 };
    double resumeFactor_ { 0.95 };
    /// Minimum time between two actions.
    Duration actionInterval_ { std::chrono::seconds(10) };
    auto operator<=>(const FixedThreshold&) const = default;
};

/// Predicts the slowdown from estimates for each pair of service and task class, and keeps it below a target.
class Learned {
public:
    /// \return the policy, or InvalidArgument if a weight is negative or all are zero.
    static absl::StatusOr<Learned> create(const Weights& weights);

    /// Upper bound on the slowdown: from 1.075, if only the tail latency counts, to 1.09.
    double target() const;
    /// Number of standard deviations of the estimate that are added to the predicted slowdown.
    double uncertaintyFactor() const;
    /// Evictions that a worker may make per hour.
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
