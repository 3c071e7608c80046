#include "Plot.h"

#include <algorithm>
#include <fstream>
#include <map>

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

static void writeAxes(std::ofstream& file, double throughputBound, double tailBound)
{
    file << "<rect x='" << margin << "' y='" << margin << "' width='" << width - 2 * margin << "' height='" << height - 2 * margin << "' fill='none' stroke='black'/>\n";
    file << "<line x1='" << xOf(throughputBound) << "' x2='" << xOf(throughputBound) << "' y1='" << margin << "' y2='" << height - margin
         << "' stroke='gray' stroke-dasharray='4'/>\n";
    file << "<line y1='" << yOf(tailBound) << "' y2='" << yOf(tailBound) << "' x1='" << margin << "' x2='" << width - margin << "' stroke='gray' stroke-dasharray='4'/>\n";
    for (double tick = 0; tick <= highestThroughput; tick += 0.25)
        file << "<text x='" << xOf(tick) << "' y='" << height - margin + 18 << "' text-anchor='middle'>" << tick << "</text>\n";
    for (double tick = 1; tick <= highestTail; tick += 0.25)
        file << "<text x='" << margin - 8 << "' y='" << yOf(tick) + 4 << "' text-anchor='end'>" << tick << "</text>\n";
    file << "<text x='" << width / 2 << "' y='" << height - 16 << "' text-anchor='middle'>batch throughput / no control</text>\n";
    file << "<text transform='translate(16," << height / 2 << ") rotate(-90)' text-anchor='middle'>p99 / no colocation</text>\n";
}

void writePlot(const std::string& path, const std::vector<PlotPoint>& points, double throughputBound, double tailBound)
{
    static const std::map<std::string, std::string> colours { { "no colocation", "gray" }, { "no control", "red" }, { "fixed threshold", "orange" }, { "learned", "green" } };
    std::ofstream file(path);
    file << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height << "' font-family='sans-serif' font-size='12'>\n";
    file << "<rect width='100%' height='100%' fill='white'/>\n";
    writeAxes(file, throughputBound, tailBound);
    for (const PlotPoint& point : points)
        file << "<circle cx='" << xOf(point.throughput_) << "' cy='" << yOf(point.tail_) << "' r='4' fill='" << colours.at(point.policy_) << "'/>\n";
    double line = margin + 16;
    for (const auto& [policy, colour] : colours) {
        file << "<circle cx='" << margin + 14 << "' cy='" << line - 4 << "' r='4' fill='" << colour << "'/><text x='" << margin + 24 << "' y='" << line << "'>" << policy << "</text>\n";
        line += 16;
    }
    file << "</svg>\n";
}

} // namespace persimmondoor::colocation
