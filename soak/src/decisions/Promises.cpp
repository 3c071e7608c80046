#include "persimmondoor/soak/Promises.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <cstddef>

namespace persimmondoor::soak {

using workflow::TaskKey;

// Number of failed attempts after which a task may not be started again; that of the stand-in's configuration.
static constexpr uint32_t maximumAttempts = 2;
// In calm, no task of a job starts later than this after its cancellation was acknowledged (stated by the platform).
static constexpr Duration cancelBound = std::chrono::milliseconds(3000);
// A job is known everywhere this long after its acceptance (stated by the platform).
static constexpr Duration visibilityBound = std::chrono::milliseconds(3000);

static bool isLongRunning(const workflow::JobSpec& spec)
{
    return std::any_of(spec.steps().begin(), spec.steps().end(), [](const workflow::Step& step) { return step.longRunning_; });
}

// The done end of one member stands for those of its gang.
static bool isStepDone(const JobHistory& job, uint32_t step)
{
    const workflow::Step& known = job.spec_.steps()[step];
    auto done = std::count_if(job.tasks_.begin(), job.tasks_.end(), [&](const auto& entry) { return entry.first.step_ == step && entry.first.index_ < known.count_ && entry.second.isDone_; });
    return done >= (known.gang_ ? 1 : static_cast<std::ptrdiff_t>(known.count_));
}

static bool isDone(const JobHistory& job)
{
    for (uint32_t step = 0; step < job.spec_.steps().size(); ++step) {
        if (!isStepDone(job, step))
            return false;
    }
    return true;
}

static size_t countActive(const JobHistory& job)
{
    return static_cast<size_t>(std::count_if(job.tasks_.begin(), job.tasks_.end(), [](const auto& entry) { return !entry.second.activeOn_.empty(); }));
}

static bool isAtWork(const JobHistory& job)
{
    return countActive(job) == job.spec_.tasksPerOccurrence();
}

// Why the job is still owed something; empty if it is not.
static std::string_view debtOf(const JobHistory& job)
{
    if (job.isCancelAcknowledged_)
        return countActive(job) > 0 ? "a task of it runs on although it was cancelled" : "";
    if (!job.isAccepted_ || job.isCancelSent_)
        return "";
    if (isLongRunning(job.spec_))
        return isAtWork(job) ? "" : "it is long-running and not all of its tasks run";
    return job.lastShown_ == ShownState::Completed ? "" : "it is not shown as completed";
}

bool isSettled(const Promises& state)
{
    return std::all_of(state.jobs_.begin(), state.jobs_.end(), [](const auto& entry) { return debtOf(entry.second).empty(); });
}

namespace {

    struct EventVisitor {
        Promises& state_;
        std::vector<Violation>& violations_;
        Instant now_;

        void report(std::string promise, std::string text) const { violations_.push_back({ std::move(promise), std::move(text), now_ }); }
        TaskRecord& taskOf(const TaskKey& key) const { return state_.jobs_[key.job_].tasks_[key]; }

        void operator()(const JobSubmitted& event) const { state_.jobs_[event.job_].spec_ = event.spec_; }
        void operator()(const JobAccepted& event) const
        {
            JobHistory& job = state_.jobs_[event.job_];
            if (!job.isAccepted_)
                job.acceptedAt_ = now_;
            job.isAccepted_ = true;
        }
        void operator()(const JobRefused& event) const
        {
            JobHistory& job = state_.jobs_[event.job_];
            job.isRefused_ = true;
            if (job.hasBegun_)
                report("not run", concat("job ", event.job_.value(), " was refused and a task of it has begun"));
        }
        void operator()(const CancelSent& event) const { state_.jobs_[event.job_].isCancelSent_ = true; }
        void operator()(const CancelAcknowledged& event) const
        {
            JobHistory& job = state_.jobs_[event.job_];
            job.isCancelAcknowledged_ = true;
            job.cancelledAt_ = now_;
        }
        void operator()(const StateShown& event) const
        {
            JobHistory& job = state_.jobs_[event.job_];
            if (event.state_ != ShownState::Absent)
                job.lastShown_ = event.state_;
            if (event.state_ == ShownState::Completed && !isDone(job))
                report("state", concat("job ", event.job_.value(), " is shown as completed and not all of its tasks are done"));
            if (event.state_ == ShownState::Failed)
                report("state", concat("job ", event.job_.value(), " is shown as failed, and no task of it fails twice"));
            bool isOwed = job.isAccepted_ && !job.isCancelSent_ && now_ - job.acceptedAt_ > visibilityBound;
            if (event.state_ == ShownState::Absent && isOwed && state_.isCalm_)
                report("accepted", concat("job ", event.job_.value(), " was accepted and is not known any more"));
        }
        void operator()(const RunBegan& event) const
        {
            const TaskKey& key = event.run_.task_;
            auto found = state_.jobs_.find(key.job_);
            if (found == state_.jobs_.end() || event.payload_ != found->second.spec_.payload())
                return report("asked", concat("run ", describe(event.run_), " began, which no client asked for in this form"));
            JobHistory& job = found->second;
            job.hasBegun_ = true;
            checkBegin(job, event);
            TaskRecord& task = job.tasks_[key];
            if (!task.activeOn_.empty())
                report("once", concat("run ", describe(event.run_), " began on ", event.worker_, " while the task runs on ", *task.activeOn_.begin()));
            if (task.isDoneAcknowledged_)
                report("once", concat("run ", describe(event.run_), " began after the task's end was acknowledged"));
            if (task.acknowledgedFailures_ >= maximumAttempts)
                report("attempts", concat("run ", describe(event.run_), " began after ", task.acknowledgedFailures_, " failed attempts"));
            task.hasBegunAfterDone_ = task.hasBegunAfterDone_ || task.isDoneBinding_;
            task.activeOn_.insert(event.worker_);
        }
        void checkBegin(const JobHistory& job, const RunBegan& event) const
        {
            for (uint32_t earlier : job.spec_.steps()[event.run_.task_.step_].dependencies_) {
                if (!isStepDone(job, earlier))
                    report("order", concat("run ", describe(event.run_), " began before step ", earlier, " was done"));
            }
            if (job.isRefused_)
                report("not run", concat("run ", describe(event.run_), " began although each attempt of its client was refused"));
            if (job.isCancelAcknowledged_ && state_.isCalm_ && now_ - job.cancelledAt_ > cancelBound)
                report("asked", concat("run ", describe(event.run_), " began after the job was cancelled"));
        }
        void operator()(const RunEnded& event) const
        {
            TaskRecord& task = taskOf(event.run_.task_);
            task.activeOn_.erase(event.worker_);
            if (event.how_ != RunEnd::Done || task.isDoneBinding_)
                return;
            task.isDone_ = true;
            task.isDoneBinding_ = true;
            task.hasBegunAfterDone_ = false;
            task.doneRun_ = event.run_.run_;
            task.doneOn_ = event.worker_;
        }
        void operator()(const EndAcknowledged& event) const
        {
            TaskRecord& task = taskOf(event.run_.task_);
            if (event.how_ == RunEnd::Failed)
                ++task.acknowledgedFailures_;
            if (event.how_ != RunEnd::Done || !task.isDoneBinding_ || event.run_.run_ != task.doneRun_)
                return;
            task.isDoneAcknowledged_ = true;
            if (task.hasBegunAfterDone_)
                report("once", concat("task ", describe(event.run_.task_), " was started again after it was done, and its end was acknowledged"));
        }
        void operator()(const LeaseLapsed& event) const
        {
            for (auto& [id, job] : state_.jobs_) {
                for (auto& [key, task] : job.tasks_) {
                    // The task may have to run again, but counts as done for what depends on it.
                    if (task.isDone_ && !task.isDoneAcknowledged_ && task.doneOn_ == event.worker_)
                        task.isDoneBinding_ = false;
                }
            }
        }
        void operator()(const CapacityExceeded& event) const { report("capacity", concat("run ", describe(event.run_), " brought worker ", event.worker_, " over its capacity")); }
        void operator()(const ProcessEnded& event) const { report("lives", concat(event.name_, " ended by itself: ", event.how_)); }
        void operator()(const CalmBegan&) const { state_.isCalm_ = true; }
        void operator()(const RunOver&) const
        {
            for (const auto& [id, job] : state_.jobs_) {
                std::string_view debt = debtOf(job);
                if (!debt.empty())
                    report("accepted", concat("job ", id.value(), ": ", debt));
            }
        }
    };

} // namespace

Observation observe(Promises state, const Event& event, Instant now)
{
    Observation seen { std::move(state), {} };
    std::visit(EventVisitor { seen.state_, seen.violations_, now }, event);
    return seen;
}

} // namespace persimmondoor::soak
