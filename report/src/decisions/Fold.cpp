#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/report/Summary.h"

#include <algorithm>
#include <set>

namespace persimmondoor::report {

static constexpr int64_t millisecondsPerSecond = 1000;

static int64_t secondOf(int64_t timeMs)
{
    return timeMs / millisecondsPerSecond;
}

namespace {

    // Adds an event to the summary.
    class EventFolder {
    public:
        EventFolder(Summary& summary, const LogLine& line)
            : summary_(summary)
            , line_(line)
        {
        }

        void operator()(const OtherEvent&) const { }
        void operator()(const UnreadableEvent&) const { ++summary_.lines_.unreadable_; }
        void operator()(const LinesDropped& dropped) const { summary_.lines_.dropped_ += dropped.lines_; }
        void operator()(const JobEnded& job) const
        {
            ++summary_.jobsByPhase_[job.phase_];
            if (job.parts_)
                summary_.jobs_.push_back({ line_.timeMs_, job });
        }
        void operator()(const JobLate& job) const { ++summary_.lateJobs_[job.extent_.queue_]; }
        void operator()(const Refused& refused) const
        {
            ++second().refusals_;
            RefusalFigures& figures = summary_.refusals_[refused];
            figures.firstMs_ = figures.count_ == 0 ? line_.timeMs_ : std::min(figures.firstMs_, line_.timeMs_);
            figures.lastMs_ = std::max(figures.lastMs_, line_.timeMs_);
            ++figures.count_;
        }
        void operator()(const Backlog& backlog) const
        {
            SecondFigures& figures = second();
            if (figures.backlog_ && line_.timeMs_ < figures.backlogAtMs_)
                return;
            figures.backlog_ = backlog;
            figures.backlogAtMs_ = line_.timeMs_;
        }
        void operator()(const LongRunningWait& wait) const { second().waits_.insert_or_assign(wait.task_, wait); }
        void operator()(const JobWait& wait) const
        {
            JobStandstill& job = summary_.standstills_[wait.id_];
            job.firstMs_ = job.seconds_ == 0 ? line_.timeMs_ : std::min(job.firstMs_, line_.timeMs_);
            job.lastMs_ = std::max(job.lastMs_, line_.timeMs_);
            job.longestMs_ = std::max(job.longestMs_, wait.waitedMs_);
            ++job.seconds_;
            ++job.reasons_[wait.mainReason()];
        }
        void operator()(const JobWaitsOmitted& omitted) const { summary_.omittedStandstills_ += omitted.jobs_; }
        void operator()(const RunStarted& run) const
        {
            WorkerRuns& worker = summary_.workers_[run.worker_];
            worker.domain_ = run.domain_;
            ++worker.starts_;
        }
        void operator()(const RunEnded& run) const { ++summary_.workers_[run.worker_].ends_.at(static_cast<size_t>(run.outcome_)); }
        void operator()(const WorkerChanged& change) const
        {
            second();
            summary_.workerChanges_.push_back({ line_.timeMs_, change });
        }
        void operator()(const SlowCommit& commit) const
        {
            SecondFigures& figures = second();
            ++figures.slowCommits_;
            figures.slowestCommitMs_ = std::max(figures.slowestCommitMs_, commit.tookMs_);
        }
        void operator()(const LeaderChanged& change) const
        {
            second();
            summary_.leaderChanges_.push_back({ line_.timeMs_, line_.process_, change });
        }

    private:
        SecondFigures& second() const { return summary_.seconds_[secondOf(line_.timeMs_)]; }

        Summary& summary_;
        const LogLine& line_;
    };

} // namespace

static void addLine(Summary& summary, const LogLine& line)
{
    summary.firstMs_ = std::min(summary.firstMs_.value_or(line.timeMs_), line.timeMs_);
    summary.lastMs_ = std::max(summary.lastMs_, line.timeMs_);
    Event event = parseEvent(line);
    if (!std::holds_alternative<OtherEvent>(event))
        ++summary.lines_.told_;
    std::visit(EventFolder(summary, line), event);
}

Summary add(Summary summary, const ReadLine& line)
{
    ++summary.lines_.read_;
    std::visit(Visitor { [&](const ForeignLine&) { ++summary.lines_.foreign_; }, [&](const CutLine&) { ++summary.lines_.cut_; }, [&](const LogLine& own) { addLine(summary, own); } }, line);
    return summary;
}

namespace {

    // The workers that are out of use at a time.
    struct Absences {
        std::map<std::string, int64_t> quarantinedUntilMs_;
        std::set<std::string> unreachable_;
        std::set<std::string> gone_;

        void apply(const TimedWorkerChange& timed)
        {
            const std::string& worker = timed.change_.worker_;
            switch (timed.change_.state_) {
            case WorkerState::Seen:
                gone_.erase(worker);
                break;
            case WorkerState::Gone:
                gone_.insert(worker);
                unreachable_.erase(worker);
                quarantinedUntilMs_.erase(worker);
                break;
            case WorkerState::Unreachable:
                unreachable_.insert(worker);
                break;
            case WorkerState::Reached:
                unreachable_.erase(worker);
                break;
            case WorkerState::Quarantined:
                quarantinedUntilMs_[worker] = timed.atMs_ + timed.change_.lastsMs_;
                break;
            case WorkerState::Proven:
                quarantinedUntilMs_.erase(worker);
                break;
            }
        }

        WorkersOut countAt(int64_t timeMs) const
        {
            auto quarantined = std::count_if(quarantinedUntilMs_.begin(), quarantinedUntilMs_.end(), [&](const auto& entry) { return entry.second > timeMs; });
            return { quarantined, static_cast<int64_t>(unreachable_.size()), static_cast<int64_t>(gone_.size()) };
        }
    };

} // namespace

std::map<int64_t, WorkersOut> workersOut(const Summary& summary)
{
    std::vector<TimedWorkerChange> changes = summary.workerChanges_;
    std::stable_sort(changes.begin(), changes.end(), [](const auto& left, const auto& right) { return left.atMs_ < right.atMs_; });
    std::vector<int64_t> loads;
    for (const TimedLeaderChange& change : summary.leaderChanges_) {
        if (change.change_.event_ == "queues.loaded")
            loads.push_back(change.atMs_);
    }
    std::sort(loads.begin(), loads.end());
    Absences absences;
    auto change = changes.begin();
    auto load = loads.begin();
    auto applyUntil = [&](int64_t timeMs) {
        for (; change != changes.end() && change->atMs_ < timeMs; ++change)
            absences.apply(*change);
    };
    std::map<int64_t, WorkersOut> result;
    for (const auto& [second, figures] : summary.seconds_) {
        int64_t endMs = (second + 1) * millisecondsPerSecond;
        for (; load != loads.end() && *load < endMs; ++load) {
            applyUntil(*load);
            absences.quarantinedUntilMs_.clear();
        }
        applyUntil(endMs);
        result[second] = absences.countAt(endMs);
    }
    return result;
}

} // namespace persimmondoor::report
