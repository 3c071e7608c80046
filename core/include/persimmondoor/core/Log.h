/// Structured log: one JSON object a line on the standard error stream.
///
/// \code
/// logInfo("endpoint.announced", { { "worker", worker.value() }, { "domain", domain.value() } });
/// \endcode
#pragma once

#include <absl/status/status.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace persimmondoor {

enum class LogLevel { Debug,
    Info,
    Warning,
    Error };

/// One field of a log line.
struct LogField {
    std::string_view name_;
    std::string value_;
    bool operator==(const LogField&) const = default;
};

/// Starts the log. Lines below `level` are dropped.
void startLog(LogLevel level, std::string process);

/// Reads "debug", "info", "warning" or "error".
/// \return the level, or InvalidArgument.
absl::Status parseLogLevel(std::string_view text, LogLevel& level);

void logDebug(std::string_view event, std::initializer_list<LogField> fields);
void logInfo(std::string_view event, std::initializer_list<LogField> fields);
void logWarning(std::string_view event, std::initializer_list<LogField> fields);
void logError(std::string_view event, std::initializer_list<LogField> fields);

} // namespace persimmondoor
