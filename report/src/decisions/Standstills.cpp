#include "Compose.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::report {

namespace {

    // A reason, the seconds of all jobs for it, and the number of these jobs.
    struct ReasonSum {
        int64_t seconds_ { 0 };
        int64_t jobs_ { 0 };
    };

} // namespace

// Text of the amounts, the highest first.
static std::string describeAmounts(const AmountsByReason& amounts)
{
    std::vector<std::pair<std::string, int64_t>> ordered(amounts.begin(), amounts.end());
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto& left, const auto& right) { return left.second > right.second; });
    std::string text;
    for (const auto& [reason, amount] : ordered)
        text += concat(text.empty() ? "" : ", ", amount, " ", reason);
    return text;
}

static Table composeReasons(const Summary& summary)
{
    std::map<std::string, ReasonSum> sums;
    for (const auto& [id, job] : summary.standstills_) {
        for (const auto& [reason, seconds] : job.reasons_) {
            sums[reason].seconds_ += seconds;
            ++sums[reason].jobs_;
        }
    }
    std::vector<std::pair<std::string, ReasonSum>> ordered(sums.begin(), sums.end());
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto& left, const auto& right) { return left.second.seconds_ > right.second.seconds_; });
    Table table { { "reason", "seconds", "jobs" }, {} };
    for (const auto& [reason, sum] : ordered)
        table.rows_.push_back({ reason, sum.seconds_, sum.jobs_ });
    return table;
}

Section composeStandstills(const Summary& summary, size_t maximumJobs)
{
    std::vector<std::pair<std::string, JobStandstill>> jobs(summary.standstills_.begin(), summary.standstills_.end());
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto& left, const auto& right) { return left.second.longestMs_ > right.second.longestMs_; });
    jobs.resize(std::min(jobs.size(), maximumJobs));
    Table table { { "job", "first_s", "last_s", "longest_ms", "seconds", "seconds by reason" }, {} };
    for (const auto& [id, job] : jobs)
        table.rows_.push_back({ id, secondsSinceBegin(summary, job.firstMs_), secondsSinceBegin(summary, job.lastMs_), job.longestMs_, job.seconds_, describeAmounts(job.reasons_) });
    std::string text = concat(summary.standstills_.size(), " jobs had a step in turn and for over a second no run that a worker listed; one line a second, each counted for the reason of most tasks of the step that waited longest. The leader left out ", summary.omittedStandstills_,
        " such lines at its bound. `--job ID` shows the lines of one job.");
    return { "standstills", "Jobs with nothing running", { Paragraph { text }, composeReasons(summary), table } };
}

} // namespace persimmondoor::report
