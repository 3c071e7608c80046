#include "DemandSurvey.h"
#include "WaitOrder.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <tuple>

namespace persimmondoor::workflow {

namespace {

    // Why a task of a job with nothing running has no listed run.
    enum class TaskWait : uint8_t {
        NotDue,
        // The job is not among those that are placed.
        NotReady,
        // Another member of the gang has not given its last run up.
        GangMember,
        KnownWorkers,
        SilentWorkerLists,
        Observation,
        NoWorker,
        Interference,
        // Workers are suitable, but not for all members of the gang at once.
        GangRoom,
        // Workers are suitable, and the task was not placed yet.
        Placement,
        // The start is decided, and its row not durable.
        ToBeWritten,
        SilentWorker,
        UnreachableWorker,
        Stopping,
        Ordered,
        // A worker has room, but not on the rack of the task's data or of its gang.
        NearPlace,
    };
    constexpr size_t taskWaitCount = 16;

    using TasksByWait = std::array<size_t, taskWaitCount>;

    // Bound on the runs that one line names.
    constexpr size_t maximumNamedRuns = 3;

    // The step of a job whose task has waited longest.
    struct LongestStep {
        TaskKey task_;
        Instant since_;
    };

    // A job with nothing running; those that wait for their schedule alone come last.
    struct StandingJob {
        bool isUndue_ { false };
        Instant since_;
        const JobId* id_ { nullptr };

        bool operator<(const StandingJob& other) const { return std::tie(isUndue_, since_, *id_) < std::tie(other.isUndue_, other.since_, *other.id_); }
    };

} // namespace

static std::string_view describe(TaskWait wait)
{
    static constexpr std::array<std::string_view, taskWaitCount> texts { "not due by the leader's clock", "job not in the ready set", "another member of the gang still assigned", "known workers after a takeover",
        "lists of a silent worker", "observation of suspects", "no suitable worker", "no worker without interference", "room for the whole gang", "a round of placement", "start to be written",
        "run on a silent worker", "run on an unreachable worker", "run being stopped", "start ordered", "a near place" };
    return texts.at(static_cast<size_t>(wait));
}

static bool isAssigned(const Task& task)
{
    return task.progress_.phase_ == TaskPhase::Assigned;
}

// True if no agent has reported the worker for so long that its lists say nothing about now.
static bool isSilent(const LeaderState& state, const Worker& worker, Instant now)
{
    return now - worker.lastReportAt_ >= state.tuning_.reportWaitAfter_;
}

// When a worker that its agent reaches last listed a run of the job; empty if none lists one.
static std::optional<Instant> lastListedAt(const LeaderState& state, const Job& job, Instant now)
{
    std::optional<Instant> last;
    for (const Task& task : job.tasks_) {
        if (!isAssigned(task) || !task.isOnWorker_)
            continue;
        auto worker = state.workers_.find(task.progress_.worker_);
        if (worker == state.workers_.end() || !worker->second.isReachable_)
            continue;
        last = std::max(last.value_or(worker->second.lastReportAt_), worker->second.lastReportAt_);
        if (!isSilent(state, worker->second, now))
            return last;
    }
    return last;
}

static int64_t dueInMs(const LeaderState& state, const Job& job, uint32_t occurrence)
{
    const Schedule& schedule = job.record_.spec_.schedule();
    return schedule.firstDueMs_ + int64_t(occurrence) * schedule.periodMs_ - state.wallMs_;
}

// Calls `visit` with each unfinished step whose dependencies are done in an occurrence that is due, or in the next one if none
// is and it is due soon.
// \return true if the steps are due.
template <typename Visit>
static bool visitStepsInTurn(const LeaderState& state, const Job& job, Visit visit)
{
    bool hasDue = false;
    const std::vector<Step>& steps = job.record_.spec_.steps();
    for (uint32_t occurrence = 0; occurrence < job.record_.spec_.occurrences(); ++occurrence) {
        bool isOccurrenceDue = isDue(state, job, occurrence);
        if (!isOccurrenceDue && (hasDue || dueInMs(state, job, occurrence) > milliseconds(state.tuning_.reportUndueWithin_)))
            break;
        for (uint32_t step = 0; step < steps.size(); ++step) {
            if (job.unfinishedTasks_[occurrence * steps.size() + step] == 0 || !areDependenciesDone(job, occurrence, steps[step]))
                continue;
            visit(occurrence, step);
            hasDue = hasDue || isOccurrenceDue;
        }
        if (!isOccurrenceDue)
            break;
    }
    return hasDue;
}

static std::optional<Standstill> standstillOf(const LeaderState& state, const Job& job, Instant now)
{
    if (job.isCancelled_ || job.hasFailed_)
        return std::nullopt;
    std::optional<Instant> listedAt = lastListedAt(state, job, now);
    if (listedAt && now - *listedAt < state.tuning_.reportWaitAfter_)
        return std::nullopt;
    bool hasStep = false;
    bool isStepDue = visitStepsInTurn(state, job, [&](uint32_t, uint32_t) { hasStep = true; });
    if (!hasStep)
        return std::nullopt;
    bool isSame = job.standstill_ && job.standstill_->isDue_ == isStepDue;
    return isSame ? job.standstill_ : Standstill { listedAt.value_or(now), isStepDue };
}

void updateStandstills(const DecisionContext& context)
{
    for (const JobId& id : context.state_.openJobs_) {
        Job& job = context.state_.jobs_.at(id);
        job.standstill_ = standstillOf(context.state_, job, context.now_);
    }
}

// Since when the task has had no listed run.
static Instant withoutRunSince(const Job& job, const TaskKey& key)
{
    const Task& task = job.tasks_[taskNumber(job, key)];
    Instant begin = job.standstill_->since_;
    if (isAssigned(task) && task.isOnWorker_)
        return begin;
    const StepTimes& times = job.stepTimes_[key.occurrence_ * job.record_.spec_.steps().size() + key.step_];
    return task.withoutRunSince_.value_or(times.startableSince_.value_or(begin));
}

static LongestStep longestStepOf(const LeaderState& state, const Job& job)
{
    std::optional<LongestStep> longest;
    visitStepsInTurn(state, job, [&](uint32_t occurrence, uint32_t step) {
        for (uint32_t index = 0; index < job.record_.spec_.steps()[step].count_; ++index) {
            TaskKey key { job.record_.id_, occurrence, step, index };
            if (job.tasks_[taskNumber(job, key)].progress_.phase_ == TaskPhase::Done)
                continue;
            Instant since = withoutRunSince(job, key);
            if (!longest || since < longest->since_)
                longest = LongestStep { key, since };
        }
    });
    return *longest;
}

static TaskWait waitOfAssigned(const LeaderState& state, const Task& task, Instant now)
{
    if (!task.isStartReleased_)
        return TaskWait::ToBeWritten;
    auto worker = state.workers_.find(task.progress_.worker_);
    if (worker == state.workers_.end() || isSilent(state, worker->second, now))
        return TaskWait::SilentWorker;
    if (!worker->second.isReachable_)
        return TaskWait::UnreachableWorker;
    return task.isStopping_ ? TaskWait::Stopping : TaskWait::Ordered;
}

// The first reason for which `startReadyTasks` seeks no worker for the waiting task; empty if it does.
static std::optional<TaskWait> waitBeforeSearch(const LeaderState& state, const Job& job, const TaskKey& key, bool hasAssignedSibling, Instant now)
{
    const Step& step = stepOf(job, key);
    if (step.gang_ && hasAssignedSibling)
        return TaskWait::GangMember;
    if (state.readyJobs_.count(key.job_) == 0)
        return TaskWait::NotReady;
    if (nearWaitOf(state, step, key, now))
        return TaskWait::NearPlace;
    if (step.gang_)
        return std::nullopt;
    if ((step.longRunning_ || step.isFilling_) && isAwaitingWorkers(state, now))
        return TaskWait::KnownWorkers;
    if (mayHaveEnded(state, job.tasks_[taskNumber(job, key)], now))
        return TaskWait::SilentWorkerLists;
    if (mustAwaitObservation(state, job, key, now))
        return TaskWait::Observation;
    return std::nullopt;
}

// Why the search for a worker finds none for the tasks of the step.
static TaskWait waitForWorker(const LeaderState& state, const Job& job, const TaskKey& key, DemandSurveys& surveys, Instant now)
{
    const DemandSurvey& survey = surveys.of(job, key);
    if (survey.suitableWorkers() == 0)
        return TaskWait::NoWorker;
    if (survey.suitableWorkers() == survey.leftOutForInterference_ && idleTimeOf(state, job, now) <= state.tuning_.ignoreInterferenceAfter_)
        return TaskWait::Interference;
    return stepOf(job, key).gang_ ? TaskWait::GangRoom : TaskWait::Placement;
}

// The unfinished tasks of the step of `first`, by reason.
static TasksByWait countWaits(const LeaderState& state, const Job& job, const TaskKey& first, DemandSurveys& surveys, Instant now)
{
    TasksByWait waits {};
    const Step& step = stepOf(job, first);
    auto begin = job.tasks_.begin() + taskNumber(job, { first.job_, first.occurrence_, first.step_, 0 });
    bool hasAssigned = std::any_of(begin, begin + step.count_, isAssigned);
    std::optional<TaskWait> forWorker;
    for (uint32_t index = 0; index < step.count_; ++index) {
        TaskKey key { first.job_, first.occurrence_, first.step_, index };
        const Task& task = job.tasks_[taskNumber(job, key)];
        if (task.progress_.phase_ == TaskPhase::Done)
            continue;
        std::optional<TaskWait> wait;
        if (isAssigned(task))
            wait = waitOfAssigned(state, task, now);
        else
            wait = job.standstill_->isDue_ ? waitBeforeSearch(state, job, key, hasAssigned, now) : TaskWait::NotDue;
        if (!wait && !forWorker)
            forWorker = waitForWorker(state, job, key, surveys, now);
        ++waits.at(static_cast<size_t>(wait ? *wait : *forWorker));
    }
    return waits;
}

static std::string describe(const TasksByWait& waits)
{
    std::string text;
    for (size_t wait = 0; wait < waits.size(); ++wait) {
        if (waits.at(wait) > 0)
            text += concat(text.empty() ? "" : ", ", waits.at(wait), " ", describe(static_cast<TaskWait>(wait)));
    }
    return text;
}

static std::string describe(const CapacityUse& use)
{
    return concat("cores ", use.coresPercent(), ", memory ", use.memoryPercent());
}

static std::string describe(const DemandSurvey& survey, const Resources& demand)
{
    return concat("workers: ", describeObstacles(survey), "; left out for interference ", survey.leftOutForInterference_, "; demand ", demand.milliCores(), " thousandths of a core, ", demand.memoryBytes(), " bytes, ", demand.accelerators(),
        " accelerators; free in sum ", survey.freeMilliCores_, " thousandths of a core, ", survey.freeMemoryBytes_, " bytes; filling cores, in thousandths: ", survey.fillingMilliCores_, " assigned, ", survey.throttledMilliCores_, " paused, ", survey.spareMilliCores_, " spare; taken without filling cores, in percent: ", describe(survey.use_.open_), " of the open workers, ", describe(survey.use_.up_), " of those that are up");
}

// Text of an assigned run that no worker lists.
static std::string describeUnlistedRun(const LeaderState& state, const TaskKey& key, const Task& task, Instant now)
{
    std::string text = concat(key.occurrence_, "/", key.step_, "/", key.index_, "#", task.progress_.run_, " ", describe(waitOfAssigned(state, task, now)), ", worker ", task.progress_.worker_.name_);
    auto worker = state.workers_.find(task.progress_.worker_);
    if (worker == state.workers_.end())
        return text + ", which is unknown";
    std::string_view reach = worker->second.agent_.empty() ? ", not reported to this leader" : (worker->second.isReachable_ ? "" : ", unreachable");
    return concat(text, reach, worker->second.agent_.empty() ? std::string() : concat(", last report ", milliseconds(now - worker->second.lastReportAt_), " ms old"), ", leases end in ", milliseconds(worker->second.leaseEnd_ - now), " ms");
}

static std::string describeUnlistedRuns(const LeaderState& state, const Job& job, Instant now)
{
    std::string text;
    size_t count = 0;
    for (uint32_t number = 0; number < job.tasks_.size(); ++number) {
        const Task& task = job.tasks_[number];
        if (isAssigned(task) && ++count <= maximumNamedRuns)
            text += concat(text.empty() ? "" : " | ", describeUnlistedRun(state, keyOf(job, number), task, now));
    }
    return count == 0 ? "" : concat("; unlisted runs: ", count, ": ", text);
}

static std::string describeWait(const LeaderState& state, const Job& job, DemandSurveys& surveys, const WaitOrder& order, Instant now)
{
    LongestStep longest = longestStepOf(state, job);
    const TaskKey& key = longest.task_;
    const Step& step = stepOf(job, key);
    auto begin = job.tasks_.begin() + taskNumber(job, { key.job_, key.occurrence_, key.step_, 0 });
    auto waiting = std::count_if(begin, begin + step.count_, [](const Task& task) { return task.progress_.phase_ == TaskPhase::Waiting; });
    std::string text = concat(milliseconds(now - job.standstill_->since_), " ms; step ", key.occurrence_, "/", key.step_, " for ", milliseconds(now - longest.since_), " ms, ", waiting, " of ", step.count_, " tasks waiting; reasons: ",
        describe(countWaits(state, job, key, surveys, now)), "; job ", state.readyJobs_.count(key.job_) > 0 ? "ready" : "not ready", ", priority ", job.record_.queue_.priority_);
    if (!job.standstill_->isDue_)
        text += concat("; due in ", dueInMs(state, job, key.occurrence_), " ms");
    else if (waiting > 0)
        text += concat("; ", describe(surveys.of(job, key), step.demand_), state.readyJobs_.count(key.job_) > 0 ? describe(order.aheadOf(job), now) : "");
    if (const NearWait* wait = nearWaitOf(state, step, key, now))
        text += concat("; waits for a near place until ", milliseconds(wait->until_ - now), " ms from now");
    if (const std::optional<Instant>& since = job.tasks_[taskNumber(job, key)].onlySlowSince_)
        text += concat("; for ", milliseconds(now - *since), " ms only slow workers have had room, if any");
    return text + describeUnlistedRuns(state, job, now);
}

void reportWaitingJobs(const DecisionContext& context, DemandSurveys& surveys)
{
    LeaderState& state = context.state_;
    if (context.now_ < state.nextJobWaitReportAt_)
        return;
    std::vector<StandingJob> jobs;
    for (const JobId& id : state.openJobs_) {
        const std::optional<Standstill>& standstill = state.jobs_.at(id).standstill_;
        if (standstill && context.now_ - standstill->since_ > state.tuning_.reportJobWaitAfter_)
            jobs.push_back({ !standstill->isDue_, standstill->since_, &id });
    }
    if (jobs.empty())
        return;
    state.nextJobWaitReportAt_ = context.now_ + state.tuning_.waitReportInterval_;
    size_t reported = std::min(jobs.size(), state.tuning_.maximumReportedJobs_);
    // The first that is left out is in its place too.
    std::partial_sort(jobs.begin(), jobs.begin() + static_cast<std::ptrdiff_t>(std::min(jobs.size(), reported + 1)), jobs.end());
    const WaitOrder order(state);
    for (size_t number = 0; number < reported; ++number)
        context.logEvent("job.waits", jobs[number].id_->value(), describeWait(state, state.jobs_.at(*jobs[number].id_), surveys, order, context.now_));
    if (reported < jobs.size())
        context.logEvent("job.waits_omitted", concat(jobs.size() - reported, " jobs"), concat("the longest of them has had nothing running for ", milliseconds(context.now_ - jobs[reported].since_), " ms"));
}

} // namespace persimmondoor::workflow
