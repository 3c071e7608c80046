/// An SVG plot of tail latency against throughput.
#pragma once

#include <string>
#include <vector>

namespace persimmondoor::colocation {

struct PlotPoint {
    std::string policy_;
    double throughput_ { 0 };
    double tail_ { 0 };
};

/// Writes one point for each policy and trace, with the two bounds of the goal as lines.
void writePlot(const std::string& path, const std::vector<PlotPoint>& points, double throughputBound, double tailBound);

} // namespace persimmondoor::colocation
