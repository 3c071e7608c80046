// A cost against a size, measured at three sizes or more, with the straight line through the points.
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
    // What is counted along the sizes, as "tasks".
    std::string sizeUnit_;
    // What is counted along the costs, as "bytes".
    std::string costUnit_;
    std::vector<Point> points_;
    double intercept_ { 0 };
    double perUnit_ { 0 };
    // Root mean square of the points' distances from the line, relative to their mean cost.
    double residual_ { 0 };
    auto operator<=>(const Slope&) const = default;
};

// Least squares: C. F. Gauss, "Theoria combinationis observationum", 1821.
Slope fit(std::string name, std::string sizeUnit, std::string costUnit, std::vector<Point> points);

// All slopes of one measurement.
using Slopes = std::vector<Slope>;

// The slope of that name, or NotFound.
absl::StatusOr<Slope> findSlope(const Slopes&, std::string_view name);

std::string toJSON(const Slopes&);
// Reads slopes written by `toJSON`; InvalidArgument also if a line does not follow from its points.
absl::StatusOr<Slopes> fromJSON(const std::string& text);

} // namespace persimmondoor::capacity
