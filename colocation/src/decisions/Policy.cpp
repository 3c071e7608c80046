#include "persimmondoor/colocation/Policy.h"

namespace persimmondoor::colocation {

static constexpr double maximumTarget = 1.09;
static constexpr double targetRange = 0.015;
static constexpr double minimumUncertaintyFactor = 0;
static constexpr double uncertaintyFactorRange = 0.1;
static constexpr double maximumEvictionsPerHour = 6;

absl::StatusOr<Learned> Learned::create(const Weights& weights)
{
    bool valid = weights.tail_ >= 0 && weights.throughput_ >= 0 && weights.evictions_ >= 0;
    if (!valid || weights.tail_ + weights.throughput_ + weights.evictions_ <= 0)
        return absl::InvalidArgumentError("weights must not be negative, and at least one must be positive");
    return Learned(weights);
}

double Learned::tailShare() const
{
    return weights_.tail_ / (weights_.tail_ + weights_.throughput_ + weights_.evictions_);
}

double Learned::target() const
{
    return maximumTarget - targetRange * tailShare();
}

double Learned::uncertaintyFactor() const
{
    return minimumUncertaintyFactor + uncertaintyFactorRange * tailShare();
}

double Learned::evictionsPerHour() const
{
    double sum = weights_.tail_ + weights_.throughput_ + weights_.evictions_;
    return maximumEvictionsPerHour * (1 - weights_.evictions_ / sum);
}

} // namespace persimmondoor::colocation
