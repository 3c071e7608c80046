/// Estimates how much a service's load may rise before the agent can react, so that this much headroom is reserved.
///
/// \code
/// LoadForecast forecast;
/// forecast.observe(load, now);
/// double peak = load + forecast.rise();
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

#include <array>
#include <compare>

namespace persimmondoor::colocation {

class LoadForecast {
public:
    /// Time within which the agent reacts to a rise.
    static constexpr Duration horizon = std::chrono::seconds(3);
    /// The histogram of rises has bins of 0.02, up to 0.62.
    static constexpr size_t steps = 32;
    static constexpr double stepSize = 0.02;
    /// Share of rises that the headroom covers.
    static constexpr double coveredQuantile = 0.98;
    /// Factor by which older rises are discounted per horizon: about the last ten minutes count.
    static constexpr double retention = 0.995;

    /// Adds a sample of the load; one rise is counted per horizon.
    void observe(double load, Instant now);
    /// Rise of the load within the horizon at the covered quantile, rounded down to a bin of the histogram; zero before the
    /// first rise was counted.
    double rise() const;
    auto operator<=>(const LoadForecast&) const = default;

private:
    std::array<double, steps> rises_ {};
    double startLoad_ { 0 };
    double highestLoad_ { 0 };
    Instant startedAt_;
    bool started_ { false };
};

/// Load that moves to each remaining instance if the failure domain with the most instances is lost.
/// \param load current load of an instance.
/// \param instances instances of the service in all domains.
/// \param largestDomain instances in the domain that has most of them.
/// \return the additional load; zero if there is no other domain.
double domainLossLoad(double load, uint32_t instances, uint32_t largestDomain);

} // namespace persimmondoor::colocation
