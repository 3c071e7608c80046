/// Learns how much tasks of each class slow a service down, for each band of the service's load, from lagging and noisy
/// measurements of its tail latency.
///
/// \code
/// SlowdownModel model = SlowdownModel::create();
/// model.observe({ measuredAt, load, saturation, exposures, tail });
/// Prediction now = model.predict(load, saturation, exposures);
/// \endcode
///
/// Within a band the tail is taken as linear in the exposures, and estimated by a Kalman filter whose parameters drift
/// (Kalman 1960): the drift is the forgetting, the filter's covariance is the uncertainty, and what several classes did
/// together is shared among them by what they did apart.
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/placement/Estimates.h"

#include <array>
#include <map>
#include <vector>

namespace persimmondoor::colocation {

using placement::TaskClassName;

/// Share of the worker's processors that tasks of one class use, 0 to 1.
struct Exposure {
    TaskClassName class_;
    double share_ { 0 };
    auto operator<=>(const Exposure&) const = default;
};

/// One measurement of a service on one worker, with what ran beside it at that time.
struct Observation {
    Instant measuredAt_;
    /// Requests in progress by the slots of the instance; above 1 when requests wait.
    double load_ { 0 };
    /// Processors in use by those of the worker.
    double saturation_ { 0 };
    std::vector<Exposure> exposures_;
    /// Tail latency, in milliseconds.
    double tail_ { 0 };
    bool operator==(const Observation&) const = default;
};

/// A value with the standard deviation of its estimate.
struct Estimate {
    double mean_ { 0 };
    double deviation_ { 0 };
    auto operator<=>(const Estimate&) const = default;
};

/// Bands of a service's load; the last has no upper bound.
inline constexpr std::array<double, 3> loadBandBounds { 0.35, 0.6, 0.85 };
inline constexpr size_t loadBands = loadBandBounds.size() + 1;

/// \return 0 to `loadBands` - 1.
size_t loadBandOf(double load);

class SlowdownModel {
public:
    /// Classes told apart; when one more is seen, the one not seen for longest is forgotten.
    static constexpr size_t maximumClasses = 13;
    /// Saturation slows a service down by an amount that is taken as linear above each knee.
    static constexpr std::array<double, 2> saturationKnees { 0.7, 0.85 };
    /// Baseline, load within the band, saturation, classes.
    static constexpr size_t features = maximumClasses + 2 + saturationKnees.size();
    /// Slowdown by a class never seen if it had all processors of the worker: mean and deviation.
    static constexpr Estimate unseenHarm { 0.4, 0.5 };

    static SlowdownModel create() { return {}; }

    /// Learns from one measurement; a tail that is not positive teaches nothing.
    void observe(const Observation& observation);

    /// Tail by that of the service alone at the same load: 1 is no slowdown.
    Estimate slowdown(double load, double saturation, const std::vector<Exposure>& exposures) const;

    /// Slowdown added by `taskClass` if it had all processors of the worker.
    Estimate harm(const TaskClassName& taskClass, double load) const;

    using KneeEstimates = std::array<Estimate, saturationKnees.size()>;
    /// Slowdown added by each share of saturation above each knee.
    KneeEstimates saturationHarms(double load) const;
    /// Slowdown added by `saturation`, with `caution` deviations on top.
    static double saturationSlowdown(const KneeEstimates& harms, double saturation, double caution);

    /// Tail of the service alone at `load`, in milliseconds; zero before the first measurement.
    double baseline(double load) const;

    uint64_t observations() const { return observations_; }
    bool operator==(const SlowdownModel&) const = default;

private:
    using Vector = std::array<double, features>;
    struct Band {
        Vector means_ {};
        std::array<Vector, features> covariance_ {};
        uint64_t observations_ { 0 };
        Instant updatedAt_;
        bool operator==(const Band&) const = default;
    };
    struct Slot {
        size_t index_ { 0 };
        Instant seenAt_;
        bool operator==(const Slot&) const = default;
    };

    Band priorBand() const;
    Band startBand(size_t band) const;
    const Band* nearestBand(double load) const;
    double baselineOf(size_t band, double load) const;
    Estimate coefficient(size_t index, double load) const;
    void drift(Band& band, Instant at);
    void update(Band& band, const Vector& input, double relativeTail);
    size_t claimSlot(const TaskClassName& taskClass, Instant at);
    void resetSlot(size_t index);
    Vector inputOf(double load, double saturation, const std::vector<Exposure>& exposures) const;

    std::array<Band, loadBands> bands_ {};
    std::map<TaskClassName, Slot> slots_;
    /// First tail measured; all tails are divided by it.
    double scale_ { 0 };
    /// Variance of a measurement by the square of its mean.
    double noise_ { 0.04 };
    uint64_t observations_ { 0 };
};

} // namespace persimmondoor::colocation
