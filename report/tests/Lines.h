// Lines of a log, for tests.
#pragma once

#include "persimmondoor/core/Text.h"
#include "persimmondoor/report/Summary.h"

namespace persimmondoor::report {

inline std::string lineOf(int64_t timeMs, std::string_view event, std::string_view subject, std::string_view detail)
{
    return concat("{\"time_ms\":", timeMs, ",\"level\":\"info\",\"process\":\"entry-1\",\"event\":\"", event, "\",\"subject\":\"", subject, "\",\"detail\":\"", detail, "\"}");
}

inline Event eventOf(std::string_view event, std::string_view subject, std::string_view detail)
{
    return parseEvent(std::get<LogLine>(parseLine(lineOf(1000, event, subject, detail))));
}

inline Summary summaryOf(const std::vector<std::string>& lines)
{
    Summary summary;
    for (const std::string& line : lines)
        summary = add(std::move(summary), parseLine(line));
    return summary;
}

} // namespace persimmondoor::report
