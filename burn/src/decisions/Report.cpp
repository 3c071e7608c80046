#include "persimmondoor/burn/Report.h"

#include <algorithm>

namespace persimmondoor::burn {

// Thresholds of the Google SRE Workbook, table 5-8, for a budget of 30 days.
static constexpr double fastPageRate = 14.4;
static constexpr double slowPageRate = 6;
static constexpr double ticketRate = 1;
static constexpr uint64_t maximumBudgetMinutes = 4320;

// Indexes into `windows`.
static constexpr size_t fiveMinutes = 0;
static constexpr size_t thirtyMinutes = 1;
static constexpr size_t oneHour = 2;
static constexpr size_t sixHours = 3;
static constexpr size_t threeDays = 4;

std::string_view describe(Alert alert)
{
    switch (alert) {
    case Alert::None:
        return "none";
    case Alert::Ticket:
        return "ticket";
    case Alert::Page:
        return "page";
    }
    return "unspecified";
}

static double burnRate(const Count& count, double share)
{
    if (count.total_ == 0)
        return 0;
    double badShare = static_cast<double>(count.total_ - count.good_) / static_cast<double>(count.total_);
    return badShare / (1 - share);
}

static Alert alertOf(const ServiceReport& report)
{
    auto over = [&](size_t longWindow, size_t shortWindow, double rate) {
        return report.figures_.at(longWindow).burnRate_ >= rate && report.figures_.at(shortWindow).burnRate_ >= rate;
    };
    if (over(oneHour, fiveMinutes, fastPageRate) || over(sixHours, thirtyMinutes, slowPageRate))
        return Alert::Page;
    return over(threeDays, sixHours, ticketRate) ? Alert::Ticket : Alert::None;
}

static ServiceReport reportOf(const ServiceLevel& level, const Counts& counts, Minute now)
{
    ServiceReport report;
    report.level_ = level;
    for (size_t index = 0; index < windows.size(); ++index) {
        Count count = counts.sumLast(now, windows.at(index).minutes_);
        report.figures_.at(index) = { count, burnRate(count, level.objective_.share_) };
    }
    auto windowMinutes = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::minutes>(level.objective_.window_).count());
    uint64_t countedMinutes = std::clamp<uint64_t>(windowMinutes, 1, maximumBudgetMinutes);
    // Minutes before the counted ones are assumed to have spent no budget.
    double countedShare = windowMinutes > countedMinutes ? static_cast<double>(countedMinutes) / static_cast<double>(windowMinutes) : 1;
    report.budgetLeft_ = 1 - burnRate(counts.sumLast(now, countedMinutes), level.objective_.share_) * countedShare;
    report.alert_ = alertOf(report);
    for (const auto& [halfHour, count] : counts.halfHours())
        report.plot_.push_back({ halfHour, burnRate(count, level.objective_.share_) });
    return report;
}

BurnReport makeReport(const Levels& levels, Minute now, std::vector<std::string> missing)
{
    BurnReport report { now, {}, std::move(missing) };
    for (const auto& [service, level] : levels.services()) {
        auto counts = levels.counts().find(service);
        report.services_.push_back(reportOf(level, counts == levels.counts().end() ? Counts() : counts->second, now));
    }
    std::stable_sort(report.services_.begin(), report.services_.end(), [](const ServiceReport& left, const ServiceReport& right) {
        return std::tie(left.level_.objective_.tier_, left.level_.team_) < std::tie(right.level_.objective_.tier_, right.level_.team_);
    });
    return report;
}

} // namespace persimmondoor::burn
