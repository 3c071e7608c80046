/// Structured log: one JSON object per line on standard output. Writing never blocks: lines beyond the rate limit, or
/// that standard output does not accept at once, are dropped and counted, and the next line reports their number.
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

/// Parses "debug", "info", "warning" or "error".
/// \return OK with the result in `level`, or InvalidArgument that leaves `level` unchanged.
absl::Status parseLogLevel(std::string_view text, LogLevel& level);

/// Collects lines from now on and writes them together, as each write costs a system call. A line of level error is
/// written at once, with all lines before it.
void collectLog();

/// Writes the collected lines if standard output accepts them at once; otherwise drops and counts them.
void flushLog();

/// Number of times each event was logged since the start, at any level, for metrics.
std::vector<std::pair<std::string, uint64_t>> countedEvents();

void logDebug(std::string_view event, std::initializer_list<LogField> fields);
void logInfo(std::string_view event, std::initializer_list<LogField> fields);
void logWarning(std::string_view event, std::initializer_list<LogField> fields);
void logError(std::string_view event, std::initializer_list<LogField> fields);

} // namespace persimmondoor
