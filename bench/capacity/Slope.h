// A cost measured at three or more sizes, with the straight line fitted to the points.
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::capacity {

struct Point {
    double size_ { 0 };
    double cost_ { 0 };
    auto operator<=>(const Point&) const = default;
};

struct Slope {
    std::string name_;
    // Unit of the sizes, such as "tasks".
    std::string sizeUnit_;
    // Unit of the costs, such as "bytes".
    std::string costUnit_;
    std::vector<Point> points_;
    double intercept_ { 0 };
    double perUnit_ { 0 };
    // Root mean square of the points' distances from the line, relative to their mean cost.
    double residual_ { 0 };
    auto operator<=>(const Slope&) const = default;
};

// Fits a line by least squares: C. F. Gauss, "Theoria combinationis observationum", 1821.
Slope fit(std::string name, std::string sizeUnit, std::string costUnit, std::vector<Point> points);

// All slopes of one run of the measurements.
using Slopes = std::vector<Slope>;

// Returns the slope named `name`, or NotFound.
absl::StatusOr<Slope> findSlope(const Slopes&, std::string_view name);

std::string toJSON(const Slopes&);
// Reads slopes written by `toJSON`. Returns InvalidArgument if the text is malformed or a recorded line is not the fit of
// its points.
absl::StatusOr<Slopes> fromJSON(const std::string& text);

} // namespace persimmondoor::capacity
