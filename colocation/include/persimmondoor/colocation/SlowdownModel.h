/// Estimates how much tasks of each class slow a service down, for each band of the service's load, from delayed and
/// noisy measurements of its tail latency.
///
/// \code
/// SlowdownModel model = SlowdownModel::create();
/// model.observe({ measuredAt, load, saturation, exposures, tail });
/// Estimate slowdown = model.slowdown(load, saturation, exposures);
/// \endcode
///
/// Within a band the tail latency is modelled as linear in the exposures and estimated by a Kalman filter with drifting
/// parameters (Kalman 1960): the drift discounts old measurements, and the covariance of the filter is the uncertainty.
/// The effect of classes that ran at the same time is attributed to each of them by the measurements in which they ran
/// apart.
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/placement/Estimates.h"

#include <array>
#include <map>
#include <vector>

namespace persimmondoor::colocation {

using placement::TaskClassName;

/// Share of the worker's processors that the tasks of one class use, 0 to 1.
struct Exposure {
    TaskClassName class_;
    double share_ { 0 };
    auto operator<=>(const Exposure&) const = default;
};

/// One measurement of a service on one worker, with the tasks that ran beside it at that time.
struct Observation {
    Instant measuredAt_;
    /// Requests in progress as a multiple of the slots of the instance; above 1 when requests wait.
    double load_ { 0 };
    /// Processors in use as a multiple of those of the worker.
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

/// Upper bounds of the bands of a service's load; the last band is unbounded.
inline constexpr std::array<double, 3> loadBandBounds { 0.35, 0.6, 0.85 };
inline constexpr size_t loadBands = loadBandBounds.size() + 1;

/// \return 0 to `loadBands` - 1.
size_t loadBandOf(double load);

class SlowdownModel {
public:
    /// Number of classes that are modelled; one more class replaces the one that was not observed for the longest time.
    static constexpr size_t maximumClasses = 13;
    /// Saturation adds a slowdown that is modelled as linear above each of these knees.
    static constexpr std::array<double, 2> saturationKnees { 0.7, 0.85 };
    /// Features of the model: baseline, load within the band, one for each saturation knee, one for each class.
    static constexpr size_t features = maximumClasses + 2 + saturationKnees.size();
    /// Prior of the slowdown that an unknown class would add if it used all processors of the worker.
    static constexpr Estimate priorHarm { 0.4, 0.5 };

    static SlowdownModel create() { return {}; }

    /// Updates the model with one measurement; ignored if the tail latency is not positive.
    void observe(const Observation& observation);

    /// Ratio of the tail latency to that of the service alone at the same load: 1 is no slowdown.
    Estimate slowdown(double load, double saturation, const std::vector<Exposure>& exposures) const;

    /// Slowdown that `taskClass` would add if it used all processors of the worker.
    Estimate harm(const TaskClassName& taskClass, double load) const;

    using KneeEstimates = std::array<Estimate, saturationKnees.size()>;
    /// Slowdown added per unit of saturation above each knee.
    KneeEstimates saturationHarms(double load) const;
    /// Slowdown added by `saturation`, with `uncertaintyFactor` standard deviations on top.
    static double saturationSlowdown(const KneeEstimates& harms, double saturation, double uncertaintyFactor);

    /// Tail latency of the service alone at `load`, in milliseconds; zero before the first measurement.
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
        Instant observedAt_;
        bool operator==(const Slot&) const = default;
    };

    Band priorBand() const;
    Band initialBand(size_t band) const;
    const Band* nearestBand(double load) const;
    double baselineOf(size_t band, double load) const;
    Estimate coefficient(size_t index, double load) const;
    void drift(Band& band, Instant at);
    void update(Band& band, const Vector& input, double relativeTail);
    size_t assignSlot(const TaskClassName& taskClass, Instant at);
    void resetSlot(size_t index);
    Vector inputOf(double load, double saturation, const std::vector<Exposure>& exposures) const;

    std::array<Band, loadBands> bands_ {};
    std::map<TaskClassName, Slot> slots_;
    /// First measured tail latency; all tail latencies are divided by it.
    double scale_ { 0 };
    /// Variance of a measurement relative to the square of its mean.
    double noise_ { 0.04 };
    uint64_t observations_ { 0 };
};

} // namespace persimmondoor::colocation
