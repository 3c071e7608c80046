/// Estimates how much filling tasks slow down long-running tasks, and the pace of the filling tasks at which the tail
/// latencies stay below their targets.
///
/// A long-running task is modelled as a server with one queue: its tail latency is its unloaded tail latency divided by
/// one minus its utilisation (M/M/1; Kleinrock: "Queueing Systems", volume 1, 1975). Filling tasks add to the utilisation
/// in proportion to the share of the worker's processors that they use; the factor depends on the pair of images. The
/// factors of one long-running image are estimated together from the changes between two readings, by a Kalman filter
/// (Kalman: "A new approach to linear filtering and prediction problems", 1960).
///
/// \code
/// Interference estimates;
/// estimates = observe(std::move(estimates), before, after);
/// std::vector<Headroom> headrooms = headroomsOf(estimates, before, after);
/// double pace = maximumPaces(estimates, headrooms, { { "encoder", 0.4 } }).at("encoder");
/// \endcode
#pragma once

#include "persimmondoor/workflow/Job.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmondoor::workflow {

/// Tail latency of a long-running task in one reading, and its bound.
struct TailReading {
    std::string image_;
    uint32_t tailMs_ { 0 };
    uint32_t targetMs_ { 0 };
    auto operator<=>(const TailReading&) const = default;
};

/// One reading of a worker's load.
struct LoadReading {
    std::map<RunKey, TailReading> longRunning_;
    /// Share of the worker's processors that filling tasks used, by image.
    std::map<std::string, double> filling_;
    auto operator<=>(const LoadReading&) const = default;
};

/// Sensitivity of one long-running image to filling images.
struct Sensitivity {
    /// Lowest tail latency observed, in milliseconds; 0 before the first reading.
    uint32_t unloadedMs_ { 0 };
    /// Utilisation that each filling image adds, per share of the worker's processors that it uses.
    std::map<std::string, double> factors_;
    /// Covariances of the factors: a symmetric matrix by rows, whose rows and columns have the order of `factors_`. Empty if
    /// none are known, which counts as zeros.
    std::vector<double> covariances_;
    auto operator<=>(const Sensitivity&) const = default;
};

/// Interference estimates of all pairs of images.
struct Interference {
    /// By long-running image.
    std::map<std::string, Sensitivity> sensitivities_;
    auto operator<=>(const Interference&) const = default;
};

/// Utilisation that all filling tasks together may add to the long-running tasks of one image; negative if one of these
/// tasks would exceed the limit on its tail latency even without filling tasks.
struct Headroom {
    std::string image_;
    double utilisation_ { 0 };
    auto operator<=>(const Headroom&) const = default;
};

/// Variance of the factor at the given position of `factors_`; 0 if it is not known.
double varianceOf(const Sensitivity&, size_t position);

/// Updates the estimates with two consecutive readings of one worker.
/// \return the updated estimates.
Interference observe(Interference, const LoadReading& before, const LoadReading& after);

/// The estimated factor of a pair of images; for a pair without readings a value between harmless and harmful.
double interferenceFactorOf(const Interference&, const std::string& filling, const std::string& longRunning);

/// True if the filling image adds so little utilisation to the long-running image that tasks of the filling image are not
/// slowed down beside it.
bool isHarmless(const Interference&, const std::string& filling, const std::string& longRunning);

/// Computes the headroom of a worker's long-running tasks. A rise of their own load between the two readings is assumed to
/// continue.
/// \return the smallest headroom among the tasks of each long-running image, in ascending order of the images.
std::vector<Headroom> headroomsOf(const Interference&, const LoadReading& before, const LoadReading& after);

/// Adds a long-running image on the worker with a headroom of 0, unless a reading of the image is already known.
void addImageWithoutReading(std::vector<Headroom>&, const std::string& longRunning);

/// \param shares the shares of the worker's processors that the filling tasks would use at full pace, by image.
/// \return for each image the largest pace, from 0 to 1, at which all tail latencies stay below their targets.
std::map<std::string, double> maximumPaces(const Interference&, const std::vector<Headroom>&, const std::map<std::string, double>& shares);

} // namespace persimmondoor::workflow
