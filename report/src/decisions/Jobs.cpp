#include "Compose.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::report {

static constexpr std::string_view notTold = "(not told)";

namespace {

    // Completed jobs added up.
    struct JobSum {
        int64_t jobs_ { 0 };
        int64_t tasks_ { 0 };
        TimeParts parts_;

        void add(const JobEnded& job)
        {
            ++jobs_;
            tasks_ += job.extent_.tasks_;
            parts_ = parts_ + *job.parts_;
        }
    };

} // namespace

static std::vector<std::string> columnsWith(std::vector<std::string> columns)
{
    for (std::string_view cause : causeNames)
        columns.push_back(concat(cause, "_ms"));
    return columns;
}

static std::vector<Cell> rowOf(const std::string& group, const std::string& value, const JobSum& sum)
{
    std::vector<Cell> row { group, value, sum.jobs_, sum.tasks_ };
    int64_t jobs = std::max<int64_t>(sum.jobs_, 1);
    row.emplace_back(sum.parts_.total() / jobs);
    for (int64_t ms : sum.parts_.ms_)
        row.emplace_back(ms / jobs);
    return row;
}

static std::string nameOr(const std::string& name)
{
    return name.empty() ? std::string(notTold) : name;
}

// The upper bounds of the quarters of the jobs, ordered by their number of tasks.
static std::array<int64_t, 4> quartilesOf(const std::vector<TimedJob>& jobs)
{
    std::vector<int64_t> sizes;
    sizes.reserve(jobs.size());
    for (const TimedJob& timed : jobs)
        sizes.push_back(timed.job_.extent_.tasks_);
    std::sort(sizes.begin(), sizes.end());
    std::array<int64_t, 4> bounds {};
    for (size_t quarter = 0; quarter < bounds.size() && !sizes.empty(); ++quarter)
        bounds.at(quarter) = sizes[(sizes.size() * (quarter + 1) + 3) / 4 - 1];
    return bounds;
}

// Text of the sizes of a quarter, such as "4 to 9 tasks".
static std::string describeQuarter(const std::array<int64_t, 4>& bounds, size_t quarter, int64_t smallest)
{
    int64_t from = quarter == 0 ? smallest : bounds.at(quarter - 1) + 1;
    return from == bounds.at(quarter) ? concat(from, " tasks") : concat(from, " to ", bounds.at(quarter), " tasks");
}

Section composeJobs(const Summary& summary)
{
    JobSum all;
    std::map<std::string, JobSum> byQueue;
    std::map<size_t, JobSum> byQuarter;
    std::map<std::string, JobSum> byDomain;
    std::array<int64_t, 4> bounds = quartilesOf(summary.jobs_);
    int64_t smallest = bounds.back();
    for (const TimedJob& timed : summary.jobs_) {
        const JobExtent& extent = timed.job_.extent_;
        smallest = std::min(smallest, extent.tasks_);
        auto quarter = static_cast<size_t>(std::lower_bound(bounds.begin(), bounds.end(), extent.tasks_) - bounds.begin());
        all.add(timed.job_);
        byQueue[nameOr(extent.queue_)].add(timed.job_);
        byQuarter[quarter].add(timed.job_);
        byDomain[nameOr(extent.domain_)].add(timed.job_);
    }
    Table table { columnsWith({ "by", "value", "jobs", "tasks", "mean_ms" }), { rowOf("all", "", all) } };
    for (const auto& [queue, sum] : byQueue)
        table.rows_.push_back(rowOf("queue", queue, sum));
    for (const auto& [quarter, sum] : byQuarter)
        table.rows_.push_back(rowOf("size", describeQuarter(bounds, quarter, smallest), sum));
    for (const auto& [domain, sum] : byDomain)
        table.rows_.push_back(rowOf("domain", domain, sum));
    Table phases { { "outcome", "jobs" }, {} };
    for (const auto& [phase, count] : summary.jobsByPhase_)
        phases.rows_.push_back({ phase, count });
    Table late { { "queue", "late_jobs" }, {} };
    for (const auto& [queue, count] : summary.lateJobs_)
        late.rows_.push_back({ nameOr(queue), count });
    return { "jobs", "Where the time of completed jobs went",
        { Paragraph { "Means per job, along the chain of steps that determined its end. Sizes are the quarters of the jobs by their number of tasks; the failure domain is that in which the last task was done." }, table, phases, late } };
}

Section composeSingleJobs(const Summary& summary, size_t maximumJobs)
{
    std::vector<TimedJob> jobs = summary.jobs_;
    auto waited = [](const TimedJob& timed) { return timed.job_.parts_->total() - timed.job_.parts_->of(Cause::Work); };
    std::sort(jobs.begin(), jobs.end(), [&](const TimedJob& left, const TimedJob& right) { return std::pair(waited(right), left) < std::pair(waited(left), right); });
    jobs.resize(std::min(jobs.size(), maximumJobs));
    Table table { columnsWith({ "at_s", "job", "queue", "tasks", "domain", "total_ms" }), {} };
    for (const TimedJob& timed : jobs) {
        const JobExtent& extent = timed.job_.extent_;
        std::vector<Cell> row { secondsSinceBegin(summary, timed.atMs_), timed.job_.id_, nameOr(extent.queue_), extent.tasks_, nameOr(extent.domain_), timed.job_.parts_->total() };
        for (int64_t ms : timed.job_.parts_->ms_)
            row.emplace_back(ms);
        table.rows_.push_back(std::move(row));
    }
    return { "single_jobs", "Completed jobs that waited longest", { table } };
}

} // namespace persimmondoor::report
