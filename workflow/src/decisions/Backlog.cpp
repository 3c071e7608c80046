#include "LeaderRules.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Urgency.h"

#include <algorithm>
#include <array>

namespace persimmondoor::workflow {

// True if the job has one objective that it has missed.
static bool hasMissedObjective(const LeaderState& state, const Job& job)
{
    const JobSpec& spec = job.record_.spec_;
    return !isLongRunning(spec) && !spec.isTimed() && state.wallMs_ > job.record_.acceptedMs_ + milliseconds(objectiveOf(job));
}

void reportLateJobs(const DecisionContext& context)
{
    for (const JobId& id : context.state_.openJobs_) {
        Job& job = context.state_.jobs_.at(id);
        if (job.isReportedLate_ || job.isCancelled_ || job.hasFailed_ || !hasMissedObjective(context.state_, job))
            continue;
        job.isReportedLate_ = true;
        std::array<size_t, 3> phases {};
        for (const Task& task : job.tasks_)
            ++phases.at(static_cast<size_t>(task.progress_.phase_));
        context.logEvent("job.late", id.value(), concat("objective ", milliseconds(objectiveOf(job)), " ms; tasks: ", phases[0], " waiting, ", phases[1], " assigned, ", phases[2], " done; steps done: ", describe(delaysOf(job))));
    }
}

namespace {

    // What the ready jobs wait for.
    struct Backlog {
        std::array<size_t, 3> jobsByProspect_ {};
        size_t tasksWithoutCapacity_ { 0 };
        size_t tasksWithInterference_ { 0 };
    };

    // Cores of all workers that accept runs, in thousandths.
    struct FillingCores {
        int64_t assigned_ { 0 };
        int64_t atWork_ { 0 };
        int64_t spare_ { 0 };
    };

} // namespace

// Counts the waiting tasks of the job's startable steps. All tasks of a step face the same obstacle.
static void addJob(const LeaderState& state, const Job& job, Instant now, Backlog& backlog)
{
    const std::vector<Step>& steps = job.record_.spec_.steps();
    size_t waitingBefore = backlog.tasksWithoutCapacity_ + backlog.tasksWithInterference_;
    for (size_t index = 0; index < job.unfinishedTasks_.size(); ++index) {
        auto occurrence = static_cast<uint32_t>(index / steps.size());
        auto step = static_cast<uint32_t>(index % steps.size());
        if (job.unfinishedTasks_[index] == 0 || !isStartable(state, job, occurrence, steps[step]))
            continue;
        TaskKey key { job.record_.id_, occurrence, step, 0 };
        auto first = job.tasks_.begin() + taskNumber(job, key);
        auto waiting = static_cast<size_t>(std::count_if(first, first + steps[step].count_, [](const Task& task) { return task.progress_.phase_ == TaskPhase::Waiting; }));
        if (waiting == 0)
            continue;
        bool isCapacity = placementObstacle(state, job, key, now) == PlacementObstacle::Capacity;
        (isCapacity ? backlog.tasksWithoutCapacity_ : backlog.tasksWithInterference_) += waiting;
    }
    if (backlog.tasksWithoutCapacity_ + backlog.tasksWithInterference_ > waitingBefore)
        ++backlog.jobsByProspect_.at(static_cast<size_t>(urgencyOf(state, job).prospect_));
}

static FillingCores sumFillingCores(const LeaderState& state, Instant now)
{
    FillingCores sum;
    for (const auto& [incarnation, worker] : state.workers_) {
        if (!acceptsRuns(state, worker, now))
            continue;
        sum.assigned_ += worker.fillingMilliCores_;
        sum.spare_ += std::max<int64_t>(0, spareMilliCores(worker));
        for (const auto& [image, share] : worker.lastReading_.filling_)
            sum.atWork_ += static_cast<int64_t>(share * static_cast<double>(worker.traits_.capacity_.milliCores()));
    }
    return sum;
}

void reportBacklog(const DecisionContext& context)
{
    LeaderState& state = context.state_;
    if (context.now_ < state.nextBacklogReportAt_ || state.readyJobs_.empty())
        return;
    Backlog backlog;
    for (const JobId& id : state.readyJobs_)
        addJob(state, state.jobs_.at(id), context.now_, backlog);
    if (backlog.tasksWithoutCapacity_ + backlog.tasksWithInterference_ == 0)
        return;
    state.nextBacklogReportAt_ = context.now_ + state.tuning_.backlogReportInterval_;
    FillingCores cores = sumFillingCores(state, context.now_);
    const auto& jobs = backlog.jobsByProspect_;
    context.logEvent("queues.backlog", concat(jobs[0] + jobs[1] + jobs[2], " jobs"),
        concat("on time ", jobs[0], ", late ", jobs[1], ", worthless ", jobs[2], "; tasks waiting for capacity ", backlog.tasksWithoutCapacity_, ", for a worker without interference ", backlog.tasksWithInterference_, "; filling cores, in thousandths: ", cores.assigned_, " assigned, ", cores.atWork_, " at work, ", cores.spare_, " spare"));
}

} // namespace persimmondoor::workflow
