#include "DemandSurvey.h"
#include "Packing.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Urgency.h"

#include <algorithm>
#include <array>
#include <optional>

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
        context.logEvent("job.late", id.value(), concat("objective ", milliseconds(objectiveOf(job)), " ms; tasks: ", phases[0], " waiting, ", phases[1], " assigned, ", phases[2], " done; steps done: ", describe(delaysOf(job)), "; ", describeExtent(job)));
    }
}

namespace {

    // The waiting tasks of one class, and one step of them.
    struct DemandBacklog {
        const Job* job_ { nullptr };
        TaskKey key_;
        size_t tasks_ { 0 };
    };

    // What the ready jobs wait for.
    struct Backlog {
        std::array<size_t, 4> jobsByProspect_ {};
        std::map<DemandClass, DemandBacklog> demands_;
    };

    // Cores in thousandths: of filling tasks on all workers that accept runs, and held for long-running tasks.
    struct CoreUse {
        int64_t assigned_ { 0 };
        int64_t atWork_ { 0 };
        int64_t spare_ { 0 };
        int64_t held_ { 0 };
        size_t holds_ { 0 };
    };

} // namespace

// Counts the waiting tasks of the job's startable steps.
static void addJob(const LeaderState& state, const Job& job, Backlog& backlog)
{
    const std::vector<Step>& steps = job.record_.spec_.steps();
    bool isWaiting = false;
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
        isWaiting = true;
        DemandBacklog& demand = backlog.demands_.try_emplace(demandClassOf(job, key), DemandBacklog { &job, key, 0 }).first->second;
        demand.tasks_ += waiting;
    }
    if (isWaiting)
        ++backlog.jobsByProspect_.at(static_cast<size_t>(urgencyOf(state, job).prospect_));
}

// Text of the cores that the demand with the most waiting tasks leaves unused, by the reason why its tasks are not there.
static std::string describeUnusedCores(DemandSurveys& surveys, const Backlog& backlog)
{
    auto byTasks = [](const auto& left, const auto& right) { return left.second.tasks_ < right.second.tasks_; };
    const DemandBacklog& widest = std::max_element(backlog.demands_.begin(), backlog.demands_.end(), byTasks)->second;
    const auto& cores = surveys.of(*widest.job_, widest.key_).unusedMilliCores_;
    std::string text = concat("widest demand: ", widest.tasks_, " tasks, ", stepOf(*widest.job_, widest.key_).demand_.milliCores(), " thousandths of a core; cores that they leave unused: ");
    std::string_view separator;
    for (size_t obstacle = 0; obstacle < cores.size(); ++obstacle) {
        if (cores.at(obstacle) == 0)
            continue;
        text += concat(separator, cores.at(obstacle), " ", obstacle == 0 ? "with room" : describe(static_cast<WorkerObstacle>(obstacle)));
        separator = ", ";
    }
    return separator.empty() ? text + "none" : text;
}

static CoreUse sumCores(const LeaderState& state, Instant now)
{
    CoreUse sum;
    for (const auto& [incarnation, worker] : state.workers_) {
        sum.holds_ += worker.holds_.size();
        for (const auto& [task, hold] : worker.holds_)
            sum.held_ += hold.demand_.milliCores();
        if (!acceptsRuns(state, worker, now))
            continue;
        sum.assigned_ += worker.fillingMilliCores_;
        sum.spare_ += std::max<int64_t>(0, spareMilliCores(worker));
        for (const auto& [image, share] : worker.lastReading_.filling_)
            sum.atWork_ += static_cast<int64_t>(share * static_cast<double>(worker.traits_.capacity_.milliCores()));
    }
    return sum;
}

void reportBacklog(const DecisionContext& context, DemandSurveys& surveys)
{
    LeaderState& state = context.state_;
    if (context.now_ < state.nextBacklogReportAt_ || state.readyJobs_.empty())
        return;
    Backlog backlog;
    for (const JobId& id : state.readyJobs_)
        addJob(state, state.jobs_.at(id), backlog);
    if (backlog.demands_.empty())
        return;
    state.nextBacklogReportAt_ = context.now_ + state.tuning_.backlogReportInterval_;
    size_t withoutCapacity = 0;
    size_t withInterference = 0;
    size_t notCompared = 0;
    for (const auto& [demandClass, demand] : backlog.demands_) {
        if (!surveys.hasRoom()) {
            notCompared += demand.tasks_;
            continue;
        }
        bool isCapacity = surveys.of(*demand.job_, demand.key_).suitableWorkers() == 0;
        (isCapacity ? withoutCapacity : withInterference) += demand.tasks_;
    }
    CoreUse cores = sumCores(state, context.now_);
    auto jobsOf = [&](Prospect prospect) { return backlog.jobsByProspect_.at(static_cast<size_t>(prospect)); };
    size_t onTime = jobsOf(Prospect::OnTime) + jobsOf(Prospect::Yielding);
    context.logEvent("queues.backlog", concat(onTime + jobsOf(Prospect::Late) + jobsOf(Prospect::Worthless), " jobs"),
        concat("on time ", onTime, ", late ", jobsOf(Prospect::Late), ", worthless ", jobsOf(Prospect::Worthless), "; tasks waiting for capacity ", withoutCapacity, ", for a worker without interference ", withInterference, notCompared > 0 ? concat(", not compared with the workers ", notCompared) : std::string(), "; filling cores, in thousandths: ", cores.assigned_, " assigned, ", cores.atWork_, " at work, ", cores.spare_, " spare; held: ", cores.holds_, " rooms, ", cores.held_, " thousandths of a core; ", describeUnusedCores(surveys, backlog)));
}

// The waiting tasks of a long-running step.
struct WaitingTasks {
    size_t count_ { 0 };
    std::optional<TaskKey> longest_;
    Duration longestWait_ { 0 };
};

static WaitingTasks waitingTasksOf(const Job& job, uint32_t occurrence, uint32_t stepNumber, Instant now)
{
    WaitingTasks waiting;
    const Step& step = job.record_.spec_.steps()[stepNumber];
    for (uint32_t index = 0; index < step.count_; ++index) {
        TaskKey key { job.record_.id_, occurrence, stepNumber, index };
        std::optional<Instant> since = waitingSince(job, key);
        if (!since)
            continue;
        ++waiting.count_;
        if (!waiting.longest_ || now - *since > waiting.longestWait_) {
            waiting.longest_ = key;
            waiting.longestWait_ = now - *since;
        }
    }
    return waiting;
}

// Text of how many workers cannot take the task, by reason, and of the most that one of them has free.
static std::string describeWorkers(const DemandSurvey& survey, const Step& step)
{
    const Resources& demand = step.demand_;
    return concat(describeObstacles(survey), "; demand ", demand.milliCores(), " thousandths of a core, ", demand.memoryBytes(), " bytes; most free among those without the cores ", survey.mostFreeMilliCores_, ", without the memory ", survey.mostFreeMemoryBytes_);
}

static std::string describe(const LongRunningRoom& room)
{
    return concat("free in sum ", room.freeMilliCores_, ", most on one worker ", room.largestFreeMilliCores_, "; packed anew, ", room.placeableTasks_, " of ", room.waitingTasks_, " waiting long-running tasks would fit");
}

// Logs the task of the step whose assigned run has been absent from its worker's reports for longest.
// \return true if there is one.
static bool reportUnseenRuns(const DecisionContext& context, const Job& job, uint32_t occurrence, uint32_t stepNumber)
{
    const LeaderState& state = context.state_;
    size_t count = 0;
    std::optional<TaskKey> longest;
    Duration longestAbsence(0);
    for (uint32_t index = 0; index < job.record_.spec_.steps()[stepNumber].count_; ++index) {
        TaskKey key { job.record_.id_, occurrence, stepNumber, index };
        const Task& task = job.tasks_[taskNumber(job, key)];
        auto worker = state.workers_.find(task.progress_.worker_);
        if (task.progress_.phase_ != TaskPhase::Assigned || worker == state.workers_.end())
            continue;
        Duration absence = context.now_ - (task.isOnWorker_ ? worker->second.lastReportAt_ : task.times_.assignedAt_);
        if (absence < state.tuning_.reportWaitAfter_)
            continue;
        ++count;
        if (!longest || absence > longestAbsence) {
            longest = key;
            longestAbsence = absence;
        }
    }
    if (!longest)
        return false;
    const Task& task = job.tasks_[taskNumber(job, *longest)];
    const Worker& worker = state.workers_.at(task.progress_.worker_);
    context.logEvent("run.unseen", describe(RunKey { *longest, task.progress_.run_ }), concat(milliseconds(longestAbsence), " ms, with ", count - 1, " others of its step; worker ", task.progress_.worker_.name_, ", ", task.isStartReleased_ ? "ordered" : "to be written", task.isStopping_ ? ", being stopped" : "", "; the worker's last report is ", milliseconds(context.now_ - worker.lastReportAt_), " ms old, its leases end in ", milliseconds(worker.leaseEnd_ - context.now_), " ms"));
    return true;
}

// Text of the work that the long-running job has to let pass; empty if there is none.
static std::string describeYield(const LeaderState& state, const Job& job, Instant now)
{
    const Rush* rush = state.urgentRoom_.rushOf(job.queue_.service_);
    if (!yieldsTo(rush, job.record_.queue_))
        return {};
    return concat("; behind queue ", rush->queue_, ", which has been short of room for ", milliseconds(now - rush->since_), " ms");
}

void reportWaitingLongRunningTasks(const DecisionContext& context)
{
    LeaderState& state = context.state_;
    if (context.now_ < state.nextWaitReportAt_)
        return;
    state.nextWaitReportAt_ = context.now_ + state.tuning_.waitReportInterval_;
    size_t reported = 0;
    size_t omitted = 0;
    std::map<std::string, LongRunningRoom> roomByService;
    for (const JobId& id : state.openJobs_) {
        const Job& job = state.jobs_.at(id);
        const std::vector<Step>& steps = job.record_.spec_.steps();
        if (job.isCancelled_ || job.hasFailed_)
            continue;
        for (size_t number = 0; number < job.unfinishedTasks_.size(); ++number) {
            auto step = static_cast<uint32_t>(number % steps.size());
            if (!steps[step].longRunning_)
                continue;
            auto occurrence = static_cast<uint32_t>(number / steps.size());
            if (reported < state.tuning_.maximumReportedJobs_ && reportUnseenRuns(context, job, occurrence, step))
                ++reported;
            WaitingTasks waiting = waitingTasksOf(job, occurrence, step, context.now_);
            if (!waiting.longest_ || waiting.longestWait_ < state.tuning_.reportWaitAfter_)
                continue;
            if (reported++ >= state.tuning_.maximumReportedJobs_) {
                ++omitted;
                continue;
            }
            bool isReady = state.readyJobs_.count(id) > 0;
            const std::string& service = job.queue_.service_;
            if (roomByService.count(service) == 0)
                roomByService[service] = roomForLongRunningTasks(state, service, context.now_);
            context.logEvent("task.waits", describe(*waiting.longest_), concat(milliseconds(waiting.longestWait_), " ms, with ", waiting.count_ - 1, " others of its step; job ", isReady ? "ready" : "not ready", ", priority ", job.record_.queue_.priority_, "; workers: ", describeWorkers(surveyWorkers(state, job, *waiting.longest_, context.now_), steps[step]), "; ", describe(roomByService[service]), describeYield(state, job, context.now_)));
        }
    }
    if (omitted > 0)
        context.logEvent("task.waits_omitted", concat(omitted, " steps"), concat("beside ", state.tuning_.maximumReportedJobs_, " that are logged"));
}

} // namespace persimmondoor::workflow
