#include "persimmondoor/burn/Report.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/pages/SVG.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace persimmondoor::burn {

// Size of a plot in pixels, and the lowest burn rate at which the scale of a plot ends.
static constexpr double plotWidth = 480;
static constexpr double plotHeight = 80;
static constexpr double minimumScale = 2;

using pages::escape;

// Plots the burn rate of each half hour as a line, with a dashed rule at the rate 1.
static std::string plotOf(const ServiceReport& service, Minute now)
{
    double scale = minimumScale;
    for (const PlotPoint& point : service.plot_)
        scale = std::max(scale, point.burnRate_);
    uint64_t last = now.value() / minutesPerHalfHour;
    pages::Polyline rates;
    for (const PlotPoint& point : service.plot_) {
        uint64_t age = std::min<uint64_t>(last - std::min(last, point.halfHour_), halfHoursKept - 1);
        double x = plotWidth * (1 - static_cast<double>(age) / static_cast<double>(halfHoursKept - 1));
        rates.points_.push_back({ x, plotHeight * (1 - point.burnRate_ / scale) });
    }
    double rule = plotHeight * (1 - 1 / scale);
    std::string description = absl::StrFormat("burn rate over three days, up to %.1f", scale);
    return pages::toSVG({ plotWidth, plotHeight, description, { pages::Line { { 0, rule }, { plotWidth, rule }, "rule" }, rates } });
}

static std::string rowOf(const ServiceReport& service, Minute now)
{
    const ServiceObjective& objective = service.level_.objective_;
    std::string cells;
    for (const WindowFigures& figures : service.figures_)
        cells += absl::StrFormat("<td title=\"%d of %d requests good\">%.2f</td>", figures.count_.good_, figures.count_.total_, figures.burnRate_);
    return absl::StrFormat("<tr class=\"%s\"><td>%s</td><td>%s</td><td>%s</td><td>%.3f%% within %d ms</td>%s<td>%.1f%%</td><td>%s</td><td>%s</td></tr>\n",
        toAbseil(describe(service.alert_)), toAbseil(describe(objective.tier_)), escape(service.level_.team_.value()), escape(objective.service_.value()),
        objective.share_ * 100, std::chrono::duration_cast<std::chrono::milliseconds>(objective.latency_).count(), cells, service.budgetLeft_ * 100,
        toAbseil(describe(service.alert_)), plotOf(service, now));
}

static constexpr std::string_view pageHead = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title><style>\n"
                                             "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.3em .6em;border-bottom:1px solid #ccc;"
                                             "text-align:left}tr.page td{background:#fdd}tr.ticket td{background:#ffd}svg{background:#f7f7f7}"
                                             "polyline{fill:none;stroke:#246;stroke-width:1.5}.rule{stroke:#c33;stroke-dasharray:4 3}\n</style></head><body>\n"
                                             "<h1>Service-level burn</h1>\n<p>A burn rate of 1 spends the error budget exactly within the objective's window.</p>\n";

std::string htmlOf(const BurnReport& report)
{
    std::string page = concat(pageHead, "<table><tr><th>Tier</th><th>Team</th><th>Service</th><th>Objective</th>");
    for (const Window& window : windows)
        page += concat("<th>", window.name_, "</th>");
    page += "<th>Budget left</th><th>Alert</th><th>Three days</th></tr>\n";
    for (const ServiceReport& service : report.services_)
        page += rowOf(service, report.now_);
    page += "</table>\n";
    for (const std::string& sentence : report.missing_)
        page += concat("<p>Missing: ", escape(sentence), "</p>\n");
    return page + "</body></html>\n";
}

} // namespace persimmondoor::burn
