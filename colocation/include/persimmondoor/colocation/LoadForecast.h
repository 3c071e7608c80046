/// Learns how much a service's load may rise before the agent can react, so that as much room is kept for it.
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
    /// Time in which the agent reacts to a rise.
    static constexpr Duration horizon = std::chrono::seconds(3);
    /// Rises are counted in steps of 0.02, up to 0.62.
    static constexpr size_t steps = 32;
    static constexpr double stepSize = 0.02;
    /// Share of rises that the room covers.
    static constexpr double coveredQuantile = 0.98;
    /// Share of the weight that is kept with each horizon: rises of about the last ten minutes count.
    static constexpr double retention = 0.995;

    /// Adds the load seen now; one rise is counted for each horizon.
    void observe(double load, Instant now);
    /// Rise within the horizon that is not exceeded in the covered share of cases.
    double rise() const;
    auto operator<=>(const LoadForecast&) const = default;

private:
    std::array<double, steps> rises_ {};
    double startLoad_ { 0 };
    double highestLoad_ { 0 };
    Instant startedAt_;
    bool started_ { false };
};

/// Load that each instance takes over if the failure domain with the most instances is lost.
/// \param load load of an instance now.
/// \param instances instances of the service in all domains.
/// \param largestDomain instances in the domain with the most.
/// \return the added load; zero if there is no other domain.
double lossLoad(double load, uint32_t instances, uint32_t largestDomain);

} // namespace persimmondoor::colocation
