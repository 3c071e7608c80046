#include "persimmondoor/core/Log.h"

#include "persimmondoor/core/Time.h"

#include "persimmondoor/core/Text.h"
#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <easylogging++.h>
#include <map>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace persimmondoor {

// Rate limit of the log: a token bucket, one token per line. Lines beyond the limit are dropped and counted. A process
// makes at most a few hundred decisions a second.
static constexpr int64_t linesPerSecond = 2000;
static constexpr int64_t burstLines = 4000;
// A pipe that is ready for writing accepts at least this many bytes without blocking (POSIX: PIPE_BUF).
static constexpr size_t atomicWriteBytes = 4096;

struct LogState {
    LogLevel level_ { LogLevel::Warning };
    std::string process_;
    std::map<std::string, uint64_t, std::less<>> events_;
    int64_t tokens_ { burstLines };
    Instant refilledAt_;
    uint64_t dropped_ { 0 };
    bool isCollecting_ { false };
    std::string collected_;
    uint64_t collectedLines_ { 0 };
};

static LogState& logState()
{
    static LogState state;
    return state;
}

// Takes one token from the bucket. Returns false if the bucket is empty.
static bool takeToken(LogState& state)
{
    Instant time = SteadyClock().read();
    int64_t refill = (time - state.refilledAt_).count() * linesPerSecond / 1'000'000;
    if (refill > 0) {
        state.tokens_ = std::min(burstLines, state.tokens_ + refill);
        state.refilledAt_ = time;
    }
    if (state.tokens_ == 0)
        return false;
    --state.tokens_;
    return true;
}

// Writes `text` if standard output accepts it at once.
static bool tryWrite(const std::string& text)
{
    pollfd output { STDOUT_FILENO, POLLOUT, 0 };
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
        return false;
    return write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size());
}

static void appendLine(LogState& state, std::string line)
{
    if (line.size() >= atomicWriteBytes)
        line.resize(atomicWriteBytes - 1);
    if (state.collected_.size() + line.size() >= atomicWriteBytes)
        flushLog();
    state.collected_ += line;
    state.collected_ += '\n';
    ++state.collectedLines_;
}

static std::string formatLine(std::string_view level, std::string_view event, std::initializer_list<LogField> fields);

namespace {

    // Writes to standard output within the rate limit and without blocking.
    class BoundedOutput final : public el::LogDispatchCallback {
    protected:
        void handle(const el::LogDispatchData* data) override
        {
            LogState& state = logState();
            if (!takeToken(state)) {
                ++state.dropped_;
                return;
            }
            if (state.dropped_ > 0) {
                appendLine(state, formatLine("warning", "log.dropped", { { "lines", std::to_string(state.dropped_) } }));
                state.dropped_ = 0;
            }
            appendLine(state, std::string(data->logMessage()->message()));
            if (!state.isCollecting_ || data->logMessage()->level() == el::Level::Error)
                flushLog();
        }
    };

} // namespace

void startLog(LogLevel level, std::string process)
{
    el::Configurations configurations;
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureAllLoggers(configurations);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<BoundedOutput>("BoundedOutput");
    logState().level_ = level;
    logState().process_ = std::move(process);
}

void collectLog()
{
    logState().isCollecting_ = true;
}

void flushLog()
{
    LogState& state = logState();
    if (state.collected_.empty())
        return;
    if (!tryWrite(state.collected_))
        state.dropped_ += state.collectedLines_;
    state.collected_.clear();
    state.collectedLines_ = 0;
}

std::vector<std::pair<std::string, uint64_t>> countedEvents()
{
    return { logState().events_.begin(), logState().events_.end() };
}

static void count(std::string_view event)
{
    auto& events = logState().events_;
    auto found = events.find(event);
    if (found == events.end())
        events.emplace(event, 1);
    else
        ++found->second;
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
    count(event);
    if (logState().level_ <= LogLevel::Debug)
        LOG(DEBUG) << formatLine("debug", event, fields);
}

void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    count(event);
    if (logState().level_ <= LogLevel::Info)
        LOG(INFO) << formatLine("info", event, fields);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    count(event);
    if (logState().level_ <= LogLevel::Warning)
        LOG(WARNING) << formatLine("warning", event, fields);
}

void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    count(event);
    LOG(ERROR) << formatLine("error", event, fields);
}

} // namespace persimmondoor
