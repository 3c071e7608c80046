#include "persimmondoor/report/Story.h"

#include "Compose.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::report {

// True for the job itself and for its tasks and runs: job/occurrence/step/index#run.
static bool concernsJob(const LogLine& line, const std::string& job)
{
    std::string subject = line.field("subject");
    return subject.substr(0, subject.find('/')) == job;
}

Story add(Story story, const ReadLine& line)
{
    const auto* own = std::get_if<LogLine>(&line);
    if (own && concernsJob(*own, story.job_))
        story.lines_.push_back(*own);
    return story;
}

// The reason of a line that tells why the job has nothing running; empty for other lines.
static std::string reasonOf(const LogLine& line)
{
    Event event = parseEvent(line);
    const auto* wait = std::get_if<JobWait>(&event);
    return wait ? wait->mainReason() : "";
}

Document compose(const Story& story)
{
    std::vector<LogLine> lines = story.lines_;
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine& left, const LogLine& right) { return std::tie(left.timeMs_, left.process_, left.event_) < std::tie(right.timeMs_, right.process_, right.event_); });
    Table table { { "at_s", "process", "event", "subject", "reason", "detail" }, {} };
    for (const LogLine& line : lines) {
        double at = static_cast<double>(line.timeMs_ - lines.front().timeMs_) / millisecondsPerSecond;
        table.rows_.push_back({ at, line.process_, line.event_, line.field("subject"), reasonOf(line), line.field("detail") });
    }
    std::string begin = lines.empty() ? "" : concat(" Seconds from its first line, at ", lines.front().timeMs_, " ms since 1970 UTC.");
    return { { { "job", concat("Job ", story.job_), { Paragraph { concat(lines.size(), " lines on the job and its runs.", begin) }, table } } } };
}

} // namespace persimmondoor::report
