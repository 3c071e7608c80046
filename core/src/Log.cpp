#include "persimmondoor/core/Log.h"

#include "persimmondoor/core/Time.h"

#include "persimmondoor/core/Text.h"
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace persimmondoor {

struct LogState {
    LogLevel level_ { LogLevel::Warning };
    std::string process_;
};

static LogState& logState()
{
    static LogState state;
    return state;
}

void startLog(LogLevel level, std::string process)
{
    el::Configurations configurations;
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configurations);
    logState() = { level, std::move(process) };
}

absl::Status parseLogLevel(std::string_view text, LogLevel& level)
{
    if (text == "debug")
        level = LogLevel::Debug;
    else if (text == "info")
        level = LogLevel::Info;
    else if (text == "warning")
        level = LogLevel::Warning;
    else if (text == "error")
        level = LogLevel::Error;
    else
        return absl::InvalidArgumentError(concat("'", text, "' is not a log level; use debug, info, warning or error"));
    return absl::OkStatus();
}

static std::string formatLine(std::string_view level, std::string_view event, std::initializer_list<LogField> fields)
{
    boost::json::object line;
    line["time_ms"] = wallMilliseconds();
    line["level"] = level;
    line["process"] = logState().process_;
    line["event"] = event;
    for (const LogField& field : fields)
        line[field.name_] = field.value_;
    return boost::json::serialize(line);
}

void logDebug(std::string_view event, std::initializer_list<LogField> fields)
{
    if (logState().level_ <= LogLevel::Debug)
        LOG(DEBUG) << formatLine("debug", event, fields);
}

void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    if (logState().level_ <= LogLevel::Info)
        LOG(INFO) << formatLine("info", event, fields);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    if (logState().level_ <= LogLevel::Warning)
        LOG(WARNING) << formatLine("warning", event, fields);
}

void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(ERROR) << formatLine("error", event, fields);
}

} // namespace persimmondoor
