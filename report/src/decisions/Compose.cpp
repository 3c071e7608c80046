#include "Compose.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::report {

double secondsSinceBegin(const Summary& summary, int64_t timeMs)
{
    return static_cast<double>(timeMs - summary.firstMs_.value_or(timeMs)) / millisecondsPerSecond;
}

static Section composeLines(const Summary& summary)
{
    const LineCounts& lines = summary.lines_;
    double seconds = summary.firstMs_ ? secondsSinceBegin(summary, summary.lastMs_) : 0;
    Table table { { "lines", "number" },
        { { std::string("read"), lines.read_ }, { std::string("of interest here"), lines.told_ }, { std::string("skipped: no line of this system"), lines.foreign_ }, { std::string("skipped: cut or damaged"), lines.cut_ }, { std::string("skipped: event whose fields cannot be read"), lines.unreadable_ }, { std::string("dropped by their process at its rate limit"), lines.dropped_ } } };
    return { "lines", "Lines", { Paragraph { concat("The log covers ", seconds, " s. Times are those of the processes' clocks.") }, table } };
}

static std::string describeKind(RefusalKind kind)
{
    static constexpr std::array<std::string_view, 3> names { "job, by the leader", "call, by its entry", "run, by its agent" };
    return std::string(names.at(static_cast<size_t>(kind)));
}

static Section composeRefusals(const Summary& summary)
{
    Table table { { "refused", "reason", "number", "first_s", "last_s" }, {} };
    for (const auto& [refused, figures] : summary.refusals_)
        table.rows_.push_back({ describeKind(refused.kind_), refused.reason_, figures.count_, secondsSinceBegin(summary, figures.firstMs_), secondsSinceBegin(summary, figures.lastMs_) });
    return { "refusals", "Refusals", { Paragraph { "N stands for numbers in the reason. A job that the leader refuses appears as a call at the client's entry too." }, table } };
}

static Section composeLeaders(const Summary& summary)
{
    std::vector<TimedLeaderChange> changes = summary.leaderChanges_;
    std::stable_sort(changes.begin(), changes.end(), [](const auto& left, const auto& right) { return left.atMs_ < right.atMs_; });
    Table table { { "at_s", "process", "event", "epoch", "detail" }, {} };
    for (const TimedLeaderChange& change : changes)
        table.rows_.push_back({ secondsSinceBegin(summary, change.atMs_), change.process_, change.change_.event_, change.change_.epoch_, change.change_.detail_ });
    return { "leaders", "Changes of the leader", { table } };
}

static Section composeRuns(const Summary& summary)
{
    std::map<std::string, WorkerRuns> byDomain;
    std::map<std::string, int64_t> workers;
    for (const auto& [name, runs] : summary.workers_) {
        std::string domain = runs.domain_.empty() ? "(not told)" : runs.domain_;
        WorkerRuns& sum = byDomain[domain];
        ++workers[domain];
        sum.starts_ += runs.starts_;
        for (size_t outcome = 0; outcome < sum.ends_.size(); ++outcome)
            sum.ends_.at(outcome) += runs.ends_.at(outcome);
    }
    Table table { { "domain", "workers", "starts", "done", "failed", "stopped", "lost" }, {} };
    for (const auto& [domain, runs] : byDomain)
        table.rows_.push_back({ domain, workers[domain], runs.starts_, runs.ends_[0], runs.ends_[1], runs.ends_[2], runs.ends_[3] });
    return { "runs", "Runs by failure domain", { Paragraph { "In the leader's view. Stopped: by an order, at the end of its lease or with its gang. Lost: its worker vanished or no longer listed it." }, table } };
}

Document compose(const Summary& summary, size_t maximumJobs)
{
    return { { composeLines(summary), composeJobs(summary), composeSingleJobs(summary, maximumJobs), composeIdleCores(summary), composeWaits(summary), composeStandstills(summary, maximumJobs), composeRefusals(summary), composeLeaders(summary), composeRuns(summary), composeSeconds(summary) } };
}

} // namespace persimmondoor::report
