/// The report on service-level burn: its computation and its text, JSON and HTML forms.
///
/// The burn rate of a window is the share of bad requests divided by the share that the objective allows: at 1 the
/// error budget lasts exactly as long as the objective's window. Each alert needs a high rate in two windows, after the
/// Google SRE Workbook, chapter 5, "Multiwindow, Multi-Burn-Rate Alerts", table 5-8.
///
/// \code
/// BurnReport report = makeReport(levels, minute, { "entry-2 has saved no counts for 12 minutes" });
/// std::string page = htmlOf(report);
/// \endcode
#pragma once

#include "persimmondoor/burn/Levels.h"

#include <array>
#include <string>

namespace persimmondoor::burn {

/// A window over which burn rates are computed.
struct Window {
    std::string_view name_;
    uint64_t minutes_ { 0 };
    auto operator<=>(const Window&) const = default;
};

inline constexpr std::array<Window, 5> windows { Window { "5m", 5 }, Window { "30m", 30 }, Window { "1h", 60 }, Window { "6h", 360 }, Window { "3d", 4320 } };

enum class Alert { None,
    /// Slow burn: a tenth of a 30-day budget in three days.
    Ticket,
    /// Fast burn: 2 % of a 30-day budget in an hour, or 5 % in six hours.
    Page };

std::string_view describe(Alert);

struct WindowFigures {
    Count count_;
    double burnRate_ { 0 };
    bool operator==(const WindowFigures&) const = default;
};

/// Burn rate of one half hour, for plots.
struct PlotPoint {
    uint64_t halfHour_ { 0 };
    double burnRate_ { 0 };
    bool operator==(const PlotPoint&) const = default;
};

struct ServiceReport {
    ServiceLevel level_;
    std::array<WindowFigures, windows.size()> figures_;
    /// Share of the error budget of the objective's window that is left; below zero if overspent. Computed from the last
    /// three days, or from the window if that is shorter; earlier days count as untouched.
    double budgetLeft_ { 1 };
    Alert alert_ { Alert::None };
    std::vector<PlotPoint> plot_;
    bool operator==(const ServiceReport&) const = default;
};

struct BurnReport {
    Minute now_;
    std::vector<ServiceReport> services_;
    /// Counts that the report lacks, one sentence for each cause.
    std::vector<std::string> missing_;
    bool operator==(const BurnReport&) const = default;
};

/// Makes the report; paying services come first, then sorted by team and service.
BurnReport makeReport(const Levels&, Minute now, std::vector<std::string> missing);

std::string textOf(const BurnReport&);
std::string jsonOf(const BurnReport&);
/// \return one self-contained HTML page with style and plots; it loads no other resource.
std::string htmlOf(const BurnReport&);

} // namespace persimmondoor::burn
