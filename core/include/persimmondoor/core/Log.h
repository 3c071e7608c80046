/// Structured log: one JSON object a line on standard output. Writing never blocks: lines beyond the rate, or that
/// standard output does not take at once, are dropped, counted, and reported with the next line.
///
/// \code
/// logInfo("endpoint.announced", { { "worker", worker.value() }, { "domain", domain.value() } });
/// \endcode
#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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

/// From now on lines are collected and written together, as each write costs a system call. Lines of level error are
/// written at once, with all before them.
void collectLog();

/// Writes the collected lines, if standard output takes them at once; otherwise they are dropped and counted.
void flushLog();

/// How often each event was logged since the start, whatever the level; for metrics.
std::vector<std::pair<std::string, uint64_t>> countedEvents();

void logDebug(std::string_view event, std::initializer_list<LogField> fields);
void logInfo(std::string_view event, std::initializer_list<LogField> fields);
void logWarning(std::string_view event, std::initializer_list<LogField> fields);
void logError(std::string_view event, std::initializer_list<LogField> fields);

} // namespace persimmondoor
