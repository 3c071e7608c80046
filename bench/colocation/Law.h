/// How much tasks disturb a service in the traces. The parameters are drawn from the trace's seed and are known to the
/// driver only.
///
/// tail = solo(load) x (1 + sum over classes of k(class) x share x (0.3 + 0.7 load^2) + contention(saturation))
/// solo(load) = base / (1 - 0.35 load)
/// contention(s) = 4 max(0, s - 0.75)^2 + 6 max(0, s - 1)
///
/// share: processors used by the class, by those of the worker. saturation: processors wanted by all, by those of the
/// worker. k of quiet classes is 0.02 to 0.25, of noisy ones 1.8 and 3.6, each times a log-normal factor.
#pragma once

#include "Random.h"

#include <array>
#include <cstddef>

namespace persimmondoor::colocation {

inline constexpr size_t quietClasses = 6;
inline constexpr size_t noisyClasses = 2;
inline constexpr size_t taskClasses = quietClasses + noisyClasses;

class Law {
public:
    static Law create(uint64_t seed);
    /// Tail of the service alone, in milliseconds.
    double solo(double load) const;
    /// \param shares processors used by each class, by those of the worker.
    double tail(double load, double saturation, const std::array<double, taskClasses>& shares) const;
    /// Slowdown added by each share of the class at `load`.
    double harm(size_t taskClass, double load) const { return harms_[taskClass] * loadFactor(load); }
    static double loadFactor(double load) { return 0.3 + 0.7 * load * load; }
    /// Classes in the order of their harm are not in the order of their numbers.
    bool isNoisy(size_t taskClass) const { return harms_[taskClass] >= noisyHarm; }

private:
    static constexpr double noisyHarm = 0.6;
    std::array<double, taskClasses> harms_ {};
};

} // namespace persimmondoor::colocation
