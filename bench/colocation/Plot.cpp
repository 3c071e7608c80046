#include "Plot.h"

#include "persimmondoor/pages/SVG.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <fstream>

namespace persimmondoor::colocation {

static constexpr double width = 640;
static constexpr double height = 420;
static constexpr double margin = 60;
static constexpr double highestThroughput = 1.1;
static constexpr double highestTail = 2.5;

static double xOf(double throughput)
{
    return margin + throughput / highestThroughput * (width - 2 * margin);
}

static double yOf(double tail)
{
    return height - margin - (std::min(tail, highestTail) - 1) / (highestTail - 1) * (height - 2 * margin);
}

static std::string textOf(double number)
{
    return absl::StrFormat("%g", number);
}

static std::vector<pages::Shape> axes(double throughputBound, double tailBound)
{
    std::vector<pages::Shape> shapes { pages::Rectangle { { 0, 0 }, width, height, "page" }, pages::Rectangle { { margin, margin }, width - 2 * margin, height - 2 * margin, "frame" } };
    shapes.push_back(pages::Line { { xOf(throughputBound), margin }, { xOf(throughputBound), height - margin }, "bound" });
    shapes.push_back(pages::Line { { margin, yOf(tailBound) }, { width - margin, yOf(tailBound) }, "bound" });
    for (double tick = 0; tick <= highestThroughput; tick += 0.25)
        shapes.push_back(pages::Label { { xOf(tick), height - margin + 18 }, textOf(tick), "middle" });
    for (double tick = 1; tick <= highestTail; tick += 0.25)
        shapes.push_back(pages::Label { { margin - 8, yOf(tick) + 4 }, textOf(tick), "end" });
    shapes.push_back(pages::Label { { width / 2, height - 16 }, "batch throughput / no control", "middle" });
    shapes.push_back(pages::Label { { margin, margin - 12 }, "p99 / no colocation", "middle" });
    return shapes;
}

static constexpr std::string_view styles = "text{font-family:sans-serif;font-size:12px}.page{fill:white}.frame{fill:none;stroke:black}.bound{stroke:gray;stroke-dasharray:4}"
                                           ".middle{text-anchor:middle}.end{text-anchor:end}.no-colocation{fill:gray}.no-control{fill:red}.fixed-threshold{fill:orange}.learned{fill:green}";

// The class in the style sheet that gives the policy its colour.
static std::string classOf(std::string policy)
{
    std::replace(policy.begin(), policy.end(), ' ', '-');
    return policy;
}

void writePlot(const std::string& path, const std::vector<PlotPoint>& points, double throughputBound, double tailBound)
{
    std::vector<pages::Shape> shapes = axes(throughputBound, tailBound);
    for (const PlotPoint& point : points)
        shapes.push_back(pages::Circle { { xOf(point.throughput_), yOf(point.tail_) }, 4, classOf(point.policy_) });
    double line = margin + 16;
    for (const char* policy : { "fixed threshold", "learned", "no colocation", "no control" }) {
        shapes.push_back(pages::Circle { { margin + 14, line - 4 }, 4, classOf(policy) });
        shapes.push_back(pages::Label { { margin + 24, line }, policy, "" });
        line += 16;
    }
    std::ofstream(path) << pages::toSVG({ width, height, "tail latency against throughput", std::move(shapes), std::string(styles) }) << "\n";
}

} // namespace persimmondoor::colocation
