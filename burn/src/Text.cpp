#include "persimmondoor/burn/Report.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/str_format.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::burn {

namespace json = boost::json;

static double percentOf(double share)
{
    return share * 100;
}

static int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string textOf(const BurnReport& report)
{
    std::string text = absl::StrFormat("%-8s%-16s%-20s%-24s%8s%8s%8s%8s%8s%12s  %s\n", "TIER", "TEAM", "SERVICE", "OBJECTIVE", "5m", "30m", "1h", "6h", "3d",
        "BUDGET LEFT", "ALERT");
    for (const ServiceReport& service : report.services_) {
        const ServiceObjective& objective = service.level_.objective_;
        std::string objectiveText = absl::StrFormat("%.3f%% within %d ms", percentOf(objective.share_), millisecondsOf(objective.latency_));
        text += absl::StrFormat("%-8s%-16s%-20s%-24s", toAbseil(describe(objective.tier_)), service.level_.team_.value(), objective.service_.value(), objectiveText);
        for (const WindowFigures& figures : service.figures_)
            text += absl::StrFormat("%8.2f", figures.burnRate_);
        text += absl::StrFormat("%11.1f%%  %s\n", percentOf(service.budgetLeft_), toAbseil(describe(service.alert_)));
    }
    for (const std::string& sentence : report.missing_)
        text += concat("missing: ", sentence, "\n");
    return text;
}

static json::object windowDocument(const Window& window, const WindowFigures& figures)
{
    json::object item;
    item["window"] = window.name_;
    item["requests"] = figures.count_.total_;
    item["good"] = figures.count_.good_;
    item["burn_rate"] = figures.burnRate_;
    return item;
}

static json::object serviceDocument(const ServiceReport& service)
{
    const ServiceObjective& objective = service.level_.objective_;
    json::array list;
    for (size_t index = 0; index < windows.size(); ++index)
        list.push_back(windowDocument(windows.at(index), service.figures_.at(index)));
    json::object item;
    item["team"] = service.level_.team_.value();
    item["service"] = objective.service_.value();
    item["tier"] = describe(objective.tier_);
    item["share"] = objective.share_;
    item["latency_ms"] = millisecondsOf(objective.latency_);
    item["window_hours"] = std::chrono::duration_cast<std::chrono::hours>(objective.window_).count();
    item["windows"] = std::move(list);
    item["budget_left"] = service.budgetLeft_;
    item["alert"] = describe(service.alert_);
    return item;
}

std::string jsonOf(const BurnReport& report)
{
    json::array services;
    for (const ServiceReport& service : report.services_)
        services.push_back(serviceDocument(service));
    json::array missing;
    for (const std::string& sentence : report.missing_)
        missing.push_back(json::value(sentence));
    json::object document;
    document["minute"] = report.now_.value();
    document["services"] = std::move(services);
    document["missing"] = std::move(missing);
    return json::serialize(document) + "\n";
}

} // namespace persimmondoor::burn
