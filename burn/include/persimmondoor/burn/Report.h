/// The report on service-level burn: decisions only, and its texts.
///
/// The burn rate of a window is the share of bad requests divided by the share that the objective allows: at 1 the
/// error budget lasts exactly as long as the objective's window. Alerts compare two windows each, by the Google SRE
/// Workbook, chapter 5, "Multiwindow, Multi-Burn-Rate Alerts", table 5-8.
///
/// \code
/// BurnReport report = makeReport(levels, minute, { "entry-2: nothing saved for 12 minutes" });
/// std::string page = htmlOf(report);
/// \endcode
#pragma once

#include "persimmondoor/burn/Levels.h"

#include <array>
#include <string>

namespace persimmondoor::burn {

/// Length of a window in minutes, and its name.
struct Window {
    std::string_view name_;
    uint64_t minutes_ { 0 };
    auto operator<=>(const Window&) const = default;
};

inline constexpr std::array<Window, 5> windows { Window { "5m", 5 }, Window { "30m", 30 }, Window { "1h", 60 }, Window { "6h", 360 }, Window { "3d", 4320 } };

enum class Alert { None,
    /// Slow: a tenth of a 30-day budget in three days.
    Ticket,
    /// Fast: 2 % of a 30-day budget in an hour, or 5 % in six hours.
    Page };

std::string_view describe(Alert);

struct WindowFigures {
    Count count_;
    double burnRate_ { 0 };
    bool operator==(const WindowFigures&) const = default;
};

/// Good share of one half hour, for plots.
struct PlotPoint {
    uint64_t halfHour_ { 0 };
    double burnRate_ { 0 };
    bool operator==(const PlotPoint&) const = default;
};

struct ServiceReport {
    ServiceLevel level_;
    std::array<WindowFigures, windows.size()> figures_;
    /// Share of the error budget of the objective's window that is left, by the kept three days or the window if it is
    /// shorter; below zero if overspent.
    double budgetLeft_ { 1 };
    Alert alert_ { Alert::None };
    std::vector<PlotPoint> plot_;
    bool operator==(const ServiceReport&) const = default;
};

struct BurnReport {
    Minute now_;
    std::vector<ServiceReport> services_;
    /// What the figures do not hold, in sentences.
    std::vector<std::string> missing_;
    bool operator==(const BurnReport&) const = default;
};

/// Paying services come first, then by team and service.
BurnReport makeReport(const Levels&, Minute now, std::vector<std::string> missing);

std::string textOf(const BurnReport&);
std::string jsonOf(const BurnReport&);
/// One page with its own style and plots; it loads nothing.
std::string htmlOf(const BurnReport&);

} // namespace persimmondoor::burn
