#include "Compose.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::report {

static double cores(int64_t milliCores)
{
    return static_cast<double>(milliCores) / milliCoresPerCore;
}

namespace {

    // The long-running tasks that waited in a second.
    struct WaitSum {
        int64_t tasks_ { 0 };
        int64_t longestMs_ { 0 };
        // The most frequent reason for which workers could not take the task that waited longest.
        std::string reason_;
    };

} // namespace

static WaitSum sumWaits(const SecondFigures& figures)
{
    WaitSum sum;
    for (const auto& [task, wait] : figures.waits_) {
        sum.tasks_ += wait.tasks_;
        if (wait.waitedMs_ < sum.longestMs_)
            continue;
        sum.longestMs_ = wait.waitedMs_;
        sum.reason_ = mostFrequent(wait.workers_);
    }
    return sum;
}

static std::map<int64_t, std::string> leaderEvents(const Summary& summary)
{
    std::map<int64_t, std::string> events;
    for (const TimedLeaderChange& change : summary.leaderChanges_) {
        std::string& text = events[change.atMs_ / millisecondsPerSecond];
        if (text.find(change.change_.event_) == std::string::npos)
            text += concat(text.empty() ? "" : ", ", change.change_.event_);
    }
    return events;
}

// The cells that come from the backlog's line.
static std::array<Cell, 8> backlogCells(const SecondFigures& figures)
{
    if (!figures.backlog_)
        return {};
    const Backlog& backlog = *figures.backlog_;
    return { backlog.withoutCapacity_, backlog.withInterference_, backlog.lateJobs_, backlog.worthlessJobs_, cores(backlog.assigned_), cores(backlog.atWork_), cores(backlog.spare_), cores(backlog.held_) };
}

Section composeSeconds(const Summary& summary)
{
    Table table { { "s", "capacity", "interference", "late_jobs", "worthless_jobs", "assigned", "at_work", "spare", "held", "long_running", "longest_ms", "reason", "quarantined", "unreachable", "gone", "slow_commits", "slowest_ms", "refusals", "leader" }, {} };
    Chart waiting { "tasks that wait", { { "for capacity", {} }, { "for a worker without interference", {} }, { "long-running", {} } } };
    Chart filling { "cores for filling tasks", { { "assigned", {} }, { "at work", {} }, { "spare", {} }, { "held", {} } } };
    Chart workers { "workers out of use", { { "quarantined", {} }, { "unreachable", {} }, { "gone", {} } } };
    std::map<int64_t, std::string> leaders = leaderEvents(summary);
    std::map<int64_t, WorkersOut> absences = workersOut(summary);
    int64_t begin = summary.firstMs_.value_or(0) / millisecondsPerSecond;
    for (const auto& [second, figures] : summary.seconds_) {
        int64_t since = second - begin;
        WaitSum waits = sumWaits(figures);
        const WorkersOut& out = absences.at(second);
        std::vector<Cell> row { since };
        for (const Cell& cell : backlogCells(figures))
            row.push_back(cell);
        row.insert(row.end(), { waits.tasks_, waits.longestMs_, waits.reason_, out.quarantined_, out.unreachable_, out.gone_, figures.slowCommits_, figures.slowestCommitMs_, figures.refusals_, leaders[second] });
        table.rows_.push_back(std::move(row));
        std::array<int64_t, 3> outOfUse { out.quarantined_, out.unreachable_, out.gone_ };
        for (size_t series = 0; series < outOfUse.size(); ++series)
            workers.series_[series].values_.emplace_back(since, outOfUse.at(series));
        waiting.series_[2].values_.emplace_back(since, waits.tasks_);
        if (!figures.backlog_)
            continue;
        const Backlog& backlog = *figures.backlog_;
        waiting.series_[0].values_.emplace_back(since, backlog.withoutCapacity_);
        waiting.series_[1].values_.emplace_back(since, backlog.withInterference_);
        std::array<int64_t, 4> fillingCores { backlog.assigned_, backlog.atWork_, backlog.spare_, backlog.held_ };
        for (size_t series = 0; series < fillingCores.size(); ++series)
            filling.series_[series].values_.emplace_back(since, cores(fillingCores.at(series)));
    }
    return { "seconds", "Second by second",
        { Paragraph { "Seconds from the begin of the log; those without an event of interest are left out. Tasks that wait for capacity or for a worker without interference, and cores of filling tasks, are as of the last line of the second, empty where the leader logged none. The reason is the one for which most workers cannot take the long-running task that has waited longest." },
            waiting, filling, workers, table } };
}

Section composeWaits(const Summary& summary)
{
    struct StepWait {
        int64_t firstSecond_ { 0 };
        int64_t seconds_ { 0 };
        int64_t mostTasks_ { 0 };
        int64_t longestMs_ { 0 };
        AmountsByReason workers_;
    };
    std::map<std::string, StepWait> steps;
    for (const auto& [second, figures] : summary.seconds_) {
        for (const auto& [task, wait] : figures.waits_) {
            StepWait& step = steps.try_emplace(task.substr(0, task.rfind('/')), StepWait { second, 0, 0, 0, {} }).first->second;
            ++step.seconds_;
            step.mostTasks_ = std::max(step.mostTasks_, wait.tasks_);
            if (wait.waitedMs_ < step.longestMs_)
                continue;
            step.longestMs_ = wait.waitedMs_;
            step.workers_ = wait.workers_;
        }
    }
    Table table { { "step", "since_s", "seconds", "most_tasks", "longest_ms", "workers that cannot take it" }, {} };
    int64_t begin = summary.firstMs_.value_or(0) / millisecondsPerSecond;
    for (const auto& [name, step] : steps) {
        std::string reasons;
        for (const auto& [reason, count] : step.workers_)
            reasons += concat(reasons.empty() ? "" : ", ", count, " ", reason);
        table.rows_.push_back({ name, step.firstSecond_ - begin, step.seconds_, step.mostTasks_, step.longestMs_, reasons });
    }
    return { "waits", "Long-running tasks that waited over a second", { Paragraph { "One row a step: the second of the first line, the number of seconds with a line, and the reasons when a task had waited longest." }, table } };
}

Section composeIdleCores(const Summary& summary)
{
    AmountsByReason milliCoreSeconds;
    int64_t seconds = 0;
    int64_t spare = 0;
    int64_t unusedAssigned = 0;
    int64_t held = 0;
    int64_t withoutCapacity = 0;
    int64_t withInterference = 0;
    for (const auto& [second, figures] : summary.seconds_) {
        if (!figures.backlog_)
            continue;
        const Backlog& backlog = *figures.backlog_;
        ++seconds;
        withoutCapacity += backlog.withoutCapacity_;
        withInterference += backlog.withInterference_;
        spare += backlog.spare_;
        unusedAssigned += std::max<int64_t>(0, backlog.assigned_ - backlog.atWork_);
        held += backlog.held_;
        for (const auto& [reason, milliCores] : backlog.unused_)
            milliCoreSeconds[reason] += milliCores;
    }
    int64_t divisor = std::max<int64_t>(seconds, 1);
    Table means { { "figure", "mean" }, { { std::string("seconds with a backlog"), static_cast<double>(seconds) }, { std::string("tasks waiting for capacity"), static_cast<double>(withoutCapacity) / static_cast<double>(divisor) }, { std::string("tasks waiting for a worker without interference"), static_cast<double>(withInterference) / static_cast<double>(divisor) }, { std::string("cores spare for filling tasks"), cores(spare / divisor) }, { std::string("cores assigned to filling tasks and not at work"), cores(unusedAssigned / divisor) }, { std::string("cores held for long-running tasks"), cores(held / divisor) } } };
    Table reasons { { "reason", "mean_cores" }, {} };
    for (const auto& [reason, milliCores] : milliCoreSeconds)
        reasons.rows_.push_back({ reason, cores(milliCores / divisor) });
    return { "idle", "What stands idle beside a backlog",
        { Paragraph { "Means over the seconds with a backlog. The second table tells the cores that the demand with the most waiting tasks left unused, by the reason that its tasks were not there; `with room`: they would disturb long-running tasks there, or wait for the next round of placement." }, means, reasons } };
}

} // namespace persimmondoor::report
