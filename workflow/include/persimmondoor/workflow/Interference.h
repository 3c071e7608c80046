/// What has been learnt of how much filling tasks disturb long-running tasks, and what pace keeps their tails.
///
/// A long-running task is taken for a server with one queue: its tail latency is its unloaded tail divided by the idle
/// part of its time (M/M/1; Kleinrock: "Queueing Systems", volume 1, 1975). Filling tasks add to the busy part in
/// proportion to the share of the worker's processors that they are given, by a factor that depends on the two images.
/// The factors of a long-running image are estimated together from the changes between two readings, by a Kalman filter
/// (Kalman: "A new approach to linear filtering and prediction problems", 1960).
///
/// \code
/// Interference estimates = observe(std::move(estimates), before, after);
/// std::vector<Tolerance> tolerances = tolerancesOf(estimates, before, after);
/// double pace = maximumPaces(estimates, tolerances, { { "encoder", 0.4 } }).at("encoder");
/// \endcode
#pragma once

#include "persimmondoor/workflow/Job.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace persimmondoor::workflow {

/// A long-running task with a bound on its tail latency, as one reading shows it.
struct TailReading {
    std::string image_;
    uint32_t tailMs_ { 0 };
    uint32_t targetMs_ { 0 };
    auto operator<=>(const TailReading&) const = default;
};

/// One reading of a worker.
struct LoadReading {
    std::map<RunKey, TailReading> longRunning_;
    /// Processors that filling tasks were given, as a share of the worker's, by image.
    std::map<std::string, double> filling_;
    auto operator<=>(const LoadReading&) const = default;
};

/// What is known of one long-running image.
struct Sensitivity {
    /// Lowest tail that was seen, in milliseconds; 0 before the first.
    uint32_t unloadedMs_ { 0 };
    /// Busy part that each filling image adds for the share of the worker's processors that it uses.
    std::map<std::string, double> factors_;
    /// Covariances of the factors, by pairs of filling images in their order.
    std::map<std::pair<std::string, std::string>, double> covariances_;
    auto operator<=>(const Sensitivity&) const = default;
};

struct Interference {
    /// By long-running image.
    std::map<std::string, Sensitivity> sensitivities_;
    auto operator<=>(const Interference&) const = default;
};

/// How much of a long-running task's time filling tasks may still take, all of them together; below 0 if it is over its
/// bound without any.
struct Tolerance {
    std::string image_;
    double busyPart_ { 0 };
    auto operator<=>(const Tolerance&) const = default;
};

/// Takes in two readings of one worker that follow each other.
Interference observe(Interference, const LoadReading& before, const LoadReading& after);

/// The expected factor of a pair; that of an unknown one is between the harmless and the harmful.
double interferenceFactorOf(const Interference&, const std::string& filling, const std::string& longRunning);

/// True if the pair hardly matters.
bool isHarmless(const Interference&, const std::string& filling, const std::string& longRunning);

/// What the long-running tasks of a worker bear, with allowance for a load that rises as it did between the readings.
std::vector<Tolerance> tolerancesOf(const Interference&, const LoadReading& before, const LoadReading& after);

/// \param shares of the worker's processors that the filling tasks would use at full pace, by image.
/// \return for each image the largest pace, from 0 to 1, at which all tails are kept.
std::map<std::string, double> maximumPaces(const Interference&, const std::vector<Tolerance>&, const std::map<std::string, double>& shares);

} // namespace persimmondoor::workflow
