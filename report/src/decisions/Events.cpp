#include "persimmondoor/report/Event.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace persimmondoor::report {

int64_t TimeParts::total() const
{
    return std::accumulate(ms_.begin(), ms_.end(), int64_t(0));
}

TimeParts operator+(const TimeParts& left, const TimeParts& right)
{
    TimeParts sum;
    for (size_t cause = 0; cause < sum.ms_.size(); ++cause)
        sum.ms_.at(cause) = left.ms_.at(cause) + right.ms_.at(cause);
    return sum;
}

std::string mostFrequent(const AmountsByReason& amounts)
{
    auto found = std::max_element(amounts.begin(), amounts.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    return found == amounts.end() ? "" : found->first;
}

// What the leader calls the lack of a worker, and an obstacle that explains nothing where there are others.
static constexpr std::string_view noWorker = "no suitable worker";
static constexpr std::string_view otherService = "of another service";

std::string JobWait::mainReason() const
{
    std::string reason = mostFrequent(reasons_);
    if (reason != noWorker || workers_.empty())
        return reason;
    AmountsByReason ownWorkers = workers_;
    std::erase_if(ownWorkers, [](const auto& amount) { return amount.first == otherService; });
    return concat(reason, ": ", mostFrequent(ownWorkers.empty() ? workers_ : ownWorkers));
}

static std::optional<int64_t> numberAt(std::string_view text)
{
    int64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc())
        return std::nullopt;
    return number;
}

// The number that follows the first `words` in the text; empty if there is none.
static std::optional<int64_t> numberAfter(std::string_view text, std::string_view words)
{
    size_t found = text.find(words);
    return found == std::string_view::npos ? std::nullopt : numberAt(text.substr(found + words.size()));
}

// The text between `begin` and the next `end`, or the end of the text; empty if `begin` is not in it.
static std::string between(std::string_view text, std::string_view begin, std::string_view end)
{
    size_t found = text.find(begin);
    if (found == std::string_view::npos)
        return "";
    std::string_view rest = text.substr(found + begin.size());
    return std::string(rest.substr(0, rest.find(end)));
}

// Reads "30 draining, 2 evacuated"; parts without a number are left out.
static AmountsByReason amountsOf(std::string_view text)
{
    AmountsByReason amounts;
    while (!text.empty()) {
        size_t comma = text.find(", ");
        std::string_view part = text.substr(0, comma);
        size_t space = part.find(' ');
        std::optional<int64_t> number = numberAt(part);
        if (number && space != std::string_view::npos)
            amounts[std::string(part.substr(space + 1))] += *number;
        text = comma == std::string_view::npos ? "" : text.substr(comma + 2);
    }
    return amounts;
}

// Replaces each number by N, so that reasons which differ in numbers only add up.
static std::string withoutNumbers(std::string_view text)
{
    std::string result;
    for (char character : text) {
        if (character < '0' || character > '9')
            result += character;
        else if (result.empty() || result.back() != 'N')
            result += 'N';
    }
    return result;
}

// The name of an incarnation NAME@BIRTH.
static std::string workerName(std::string_view incarnation)
{
    return std::string(incarnation.substr(0, incarnation.find('@')));
}

static std::optional<TimeParts> partsOf(std::string_view detail)
{
    TimeParts parts;
    size_t begin = detail.find("placement ");
    if (begin == std::string_view::npos)
        return std::nullopt;
    for (size_t cause = 0; cause < causeNames.size(); ++cause) {
        std::optional<int64_t> ms = numberAfter(detail.substr(begin), concat(causeNames.at(cause), " "));
        if (!ms)
            return std::nullopt;
        parts.ms_.at(cause) = *ms;
    }
    return parts;
}

// Reads "queue NAME, 3 tasks, domain NAME" at the end of the detail.
static JobExtent extentOf(std::string_view detail)
{
    size_t begin = detail.rfind("; queue ");
    if (begin == std::string_view::npos)
        return {};
    std::string_view text = detail.substr(begin + 2);
    return { between(text, "queue ", ", "), numberAfter(text, ", ").value_or(0), between(text, ", domain ", ",") };
}

static Event parseJobEnded(const LogLine& line)
{
    std::string detail = line.field("detail");
    JobEnded job { line.field("subject"), detail.substr(0, detail.find(';')), extentOf(detail), partsOf(detail) };
    if (job.phase_ == "completed" && !job.parts_)
        return UnreadableEvent { line.event_ };
    return job;
}

static Event parseJobLate(const LogLine& line)
{
    std::string detail = line.field("detail");
    std::optional<TimeParts> parts = partsOf(detail);
    if (!parts)
        return UnreadableEvent { line.event_ };
    return JobLate { line.field("subject"), extentOf(detail), *parts };
}

static Event parseJobRefused(const LogLine& line)
{
    return Refused { RefusalKind::Job, withoutNumbers(line.field("detail")) };
}

static Event parseRunRefused(const LogLine& line)
{
    std::string detail = line.field("detail");
    size_t reason = detail.find(": ");
    return Refused { RefusalKind::Run, withoutNumbers(reason == std::string::npos ? detail : detail.substr(reason + 2)) };
}

static Event parseCallAnswered(const LogLine& line)
{
    static constexpr std::string_view refusal = "not accepted: ";
    std::string answer = line.field("answer");
    if (answer.rfind(refusal, 0) != 0)
        return OtherEvent {};
    return Refused { RefusalKind::Call, withoutNumbers(std::string_view(answer).substr(refusal.size())) };
}

static Event parseBacklog(const LogLine& line)
{
    std::string detail = line.field("detail");
    auto capacity = numberAfter(detail, "waiting for capacity ");
    auto interference = numberAfter(detail, "without interference ");
    auto assigned = numberAfter(detail, "in thousandths: ");
    auto atWork = numberAfter(detail, " assigned, ");
    auto spare = numberAfter(detail, " at work, ");
    if (!capacity || !interference || !assigned || !atWork || !spare)
        return UnreadableEvent { line.event_ };
    return Backlog { *capacity, *interference, numberAfter(detail, ", late ").value_or(0), numberAfter(detail, ", worthless ").value_or(0), *assigned, *atWork, *spare,
        numberAfter(detail, "held: ").value_or(0), numberAfter(detail, "rooms, ").value_or(0), numberAfter(detail, "widest demand: ").value_or(0), amountsOf(between(detail, "leave unused: ", ";")) };
}

static Event parseLongRunningWait(const LogLine& line)
{
    std::string detail = line.field("detail");
    auto waited = numberAt(detail);
    auto others = numberAfter(detail, "with ");
    if (!waited || !others)
        return UnreadableEvent { line.event_ };
    return LongRunningWait { line.field("subject"), *waited, *others + 1, amountsOf(between(detail, "workers: ", ";")) };
}

static Event parseJobWait(const LogLine& line)
{
    std::string detail = line.field("detail");
    auto waited = numberAt(detail);
    AmountsByReason reasons = amountsOf(between(detail, "reasons: ", ";"));
    if (!waited || reasons.empty())
        return UnreadableEvent { line.event_ };
    return JobWait { line.field("subject"), *waited, std::move(reasons), amountsOf(between(detail, "workers: ", ";")) };
}

static Event parseJobWaitsOmitted(const LogLine& line)
{
    auto jobs = numberAt(line.field("subject"));
    if (!jobs)
        return UnreadableEvent { line.event_ };
    return JobWaitsOmitted { *jobs };
}

static Event parseRunStart(const LogLine& line)
{
    std::string detail = line.field("detail");
    return RunStarted { workerName(between(detail, "worker ", ",")), between(detail, "domain ", ",") };
}

static std::string workerOf(const LogLine& line)
{
    return workerName(between(line.field("detail"), "; worker ", ";"));
}

static Event parseRunEnded(const LogLine& line)
{
    std::string detail = line.field("detail");
    std::string outcome = detail.substr(0, detail.find(';'));
    if (outcome == "done" || outcome == "failed")
        return RunEnded { workerOf(line), outcome == "done" ? RunOutcome::Done : RunOutcome::Failed };
    return RunEnded { workerOf(line), RunOutcome::Stopped };
}

static Event parseRunLost(const LogLine& line)
{
    return RunEnded { workerOf(line), RunOutcome::Lost };
}

template <WorkerState state>
static Event parseWorkerChange(const LogLine& line)
{
    return WorkerChanged { workerName(line.field("subject")), state, 0 };
}

static Event parseQuarantine(const LogLine& line)
{
    auto lasts = numberAfter(line.field("detail"), "for ");
    if (!lasts)
        return UnreadableEvent { line.event_ };
    return WorkerChanged { workerName(line.field("subject")), WorkerState::Quarantined, *lasts };
}

static Event parseSlowCommit(const LogLine& line)
{
    auto took = numberAt(line.field("took_ms"));
    if (!took)
        return UnreadableEvent { line.event_ };
    return SlowCommit { *took, numberAt(line.field("jobs")).value_or(0) };
}

static Event parseLeaderChange(const LogLine& line)
{
    std::string detail = line.field("reason");
    if (detail.empty() && !line.field("contact_age_ms").empty())
        detail = concat("no contact for ", line.field("contact_age_ms"), " ms, no write for ", line.field("write_age_ms"), " ms");
    if (detail.empty() && !line.field("open").empty())
        detail = concat(line.field("open"), " open jobs in ", line.field("took_ms"), " ms");
    return LeaderChanged { line.event_, line.field("epoch"), detail };
}

static Event parseDropped(const LogLine& line)
{
    auto lines = numberAt(line.field("lines"));
    if (!lines)
        return UnreadableEvent { line.event_ };
    return LinesDropped { *lines };
}

Event parseEvent(const LogLine& line)
{
    using Parser = Event (*)(const LogLine&);
    static const std::map<std::string_view, Parser> parsers {
        { "job.ended", parseJobEnded },
        { "job.late", parseJobLate },
        { "job.refused", parseJobRefused },
        { "run.refused", parseRunRefused },
        { "call.answered", parseCallAnswered },
        { "queues.backlog", parseBacklog },
        { "task.waits", parseLongRunningWait },
        { "job.waits", parseJobWait },
        { "job.waits_omitted", parseJobWaitsOmitted },
        { "run.start", parseRunStart },
        { "run.ended", parseRunEnded },
        { "run.lost", parseRunLost },
        { "worker.seen", parseWorkerChange<WorkerState::Seen> },
        { "worker.gone", parseWorkerChange<WorkerState::Gone> },
        { "worker.unreachable", parseWorkerChange<WorkerState::Unreachable> },
        { "worker.reached", parseWorkerChange<WorkerState::Reached> },
        { "worker.proven", parseWorkerChange<WorkerState::Proven> },
        { "worker.quarantined", parseQuarantine },
        { "commit.slow", parseSlowCommit },
        { "leader.claim", parseLeaderChange },
        { "leader.won", parseLeaderChange },
        { "leader.stepped_down", parseLeaderChange },
        { "leader.resigned", parseLeaderChange },
        { "queues.loaded", parseLeaderChange },
        { "log.dropped", parseDropped },
    };
    auto parser = parsers.find(line.event_);
    return parser == parsers.end() ? Event(OtherEvent {}) : parser->second(line);
}

} // namespace persimmondoor::report
