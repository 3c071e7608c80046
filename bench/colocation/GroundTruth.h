/// The true interference of batch tasks with a service in the traces. The parameters are drawn from the trace's seed
/// and are known to the driver only.
///
/// tail = baseTail(load) x (1 + sum over classes of k(class) x share x (0.3 + 0.7 load^2) + contention(saturation))
/// baseTail(load) = base / (1 - 0.35 load)
/// contention(s) = 4 max(0, s - 0.75)^2 + 6 max(0, s - 1)
///
/// share: processors used by the class, relative to those of the worker. saturation: processors demanded by all,
/// relative to those of the worker. k is 0.02 to 0.25 for quiet classes, and 1.8 and 3.6 for noisy ones, each times a
/// log-normal factor.
#pragma once

#include "Random.h"

#include <array>
#include <cstddef>

namespace persimmondoor::colocation {

inline constexpr size_t quietClasses = 6;
inline constexpr size_t noisyClasses = 2;
inline constexpr size_t taskClasses = quietClasses + noisyClasses;

class GroundTruth {
public:
    static GroundTruth create(uint64_t seed);
    /// Tail latency of the service alone, in milliseconds.
    double baseTail(double load) const;
    /// \param shares processors used by each class, relative to those of the worker.
    double tail(double load, double saturation, const std::array<double, taskClasses>& shares) const;
    /// Slowdown added by the class per unit of its share at `load`.
    double harm(size_t taskClass, double load) const { return harms_[taskClass] * loadFactor(load); }
    static double loadFactor(double load) { return 0.3 + 0.7 * load * load; }
    /// Classes are shuffled, so the number of a class does not reveal its harm.
    bool isNoisy(size_t taskClass) const { return harms_[taskClass] >= noisyHarm; }

private:
    static constexpr double noisyHarm = 0.6;
    std::array<double, taskClasses> harms_ {};
};

} // namespace persimmondoor::colocation
