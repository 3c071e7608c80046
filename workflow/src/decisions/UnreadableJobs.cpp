#include "LeaderRules.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

// The step of the task, or null if it is not known.
static const Step* findStep(const UnreadableJob& job, const TaskKey& task)
{
    if (!job.spec_ || task.occurrence_ >= job.spec_->occurrences() || task.step_ >= job.spec_->steps().size())
        return nullptr;
    return &job.spec_->steps()[task.step_];
}

bool keepUnreadableRun(const DecisionContext& context, Worker& worker, const RunKey& run)
{
    auto job = context.state_.unreadableJobs_.find(run.task_.job_);
    if (job == context.state_.unreadableJobs_.end())
        return false;
    if (const Step* step = findStep(job->second, run.task_))
        reserveStoppingRun(worker, run, *step, OrderNumber());
    else
        worker.backoffUntil_ = context.now_ + context.state_.tuning_.maximumReportAge_;
    if (worker.unassignedRuns_.try_emplace(run, context.now_).second)
        context.logEvent("run.unreadable", describe(run), "the rows of its job cannot be read; the run is left alone");
    return true;
}

bool holdUnreadableEnd(const DecisionContext& context, const WorkerIncarnation& incarnation, Worker& worker, const EndedRun& end)
{
    bool isUnreadable = context.state_.unreadableJobs_.count(end.run_.task_.job_) > 0;
    if (isUnreadable) {
        worker.heldEnds_.insert(end.number_);
        context.logEvent("end.held", describe(end.run_), concat(describe(end.end_), "; the rows of its job cannot be read; worker ", incarnation.name_));
    }
    while (!worker.heldEnds_.empty() && end.number_ - *worker.heldEnds_.begin() >= context.state_.tuning_.maximumEndsAfterHeldEnd_) {
        context.logEvent("end.given_up", concat(incarnation.name_, "@", incarnation.bornMs_), concat("end ", *worker.heldEnds_.begin(), " of a job that cannot be read, after ", context.state_.tuning_.maximumEndsAfterHeldEnd_, " later ends"));
        worker.heldEnds_.erase(worker.heldEnds_.begin());
    }
    return isUnreadable;
}

} // namespace persimmondoor::workflow
