#include "AdmissionSurvey.h"

#include "SlowWorkers.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Urgency.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <unordered_map>

namespace persimmondoor::workflow {

// Work is kept in core-seconds, demands in thousandths of a core.
static double cores(int64_t milliCores)
{
    return static_cast<double>(milliCores) / 1000;
}

static double coreSeconds(const Step& step, Duration held)
{
    return cores(step.demand_.milliCores()) * std::chrono::duration<double>(held).count();
}

// Filling tasks hold no capacity, and long-running tasks give none back.
static bool holdsRoomForAWhile(const Step& step)
{
    return !step.isFilling_ && !step.longRunning_;
}

static bool isAssessed(const Job& job)
{
    const JobSpec& spec = job.record_.spec_;
    return !spec.isTimed() && std::all_of(spec.steps().begin(), spec.steps().end(), holdsRoomForAWhile);
}

void observeCompletedRun(const DecisionContext& context, const Job& job, const TaskKey& key, const Task& task, const Worker& worker)
{
    const Step& step = stepOf(job, key);
    if (!holdsRoomForAWhile(step))
        return;
    JobAdmission& admission = context.state_.admission_;
    Duration held = context.now_ - task.times_.assignedAt_;
    DrainMeter& drained = admission.services_[job.queue_.service_].drained_;
    drained = addDrained(drained, coreSeconds(step, held), context.state_.tuning_.drainWindow_, context.now_);
    // Of a run that a predecessor assigned, the beginning is not known.
    bool isWhole = task.times_.releasedAt_.has_value();
    if (isWhole && task.times_.slowed_ == Duration(0) && !isUnproven(worker) && worker.consecutiveFailures_ == 0 && !isSlowAmongOthers(context.state_, worker, context.now_))
        admission.runTimes_ = observeRun(std::move(admission.runTimes_), job.queue_.name_, step.estimate_, held);
}

void forgetRemovedQueues(LeaderState& state)
{
    std::set<std::string> queues;
    std::set<std::string> services;
    for (const Queue& queue : state.catalog_.queues_) {
        queues.insert(queue.name_);
        services.insert(queue.service_);
    }
    std::erase_if(state.admission_.runTimes_.byQueue_, [&](const auto& entry) { return queues.count(entry.first) == 0; });
    std::erase_if(state.admission_.services_, [&](const auto& entry) { return services.count(entry.first) == 0; });
}

static DueWork placeOf(const Job& job)
{
    const JobSpec& spec = job.record_.spec_;
    int64_t beginMs = spec.isTimed() ? spec.schedule().firstDueMs_ : job.record_.acceptedMs_;
    return { job.queue_.priority_, beginMs + milliseconds(objectiveOf(job)) * lateFactor };
}

// Expected work of one task of each step, in core-seconds.
static std::vector<double> workOfTasks(const LeaderState& state, const Job& job)
{
    std::vector<double> work;
    for (const Step& step : job.record_.spec_.steps())
        work.push_back(coreSeconds(step, state.admission_.runTimes_.expect(job.queue_.name_, step.estimate_)));
    return work;
}

// Numbers of assigned tasks of each step, over all occurrences.
using AssignedTasks = std::unordered_map<const Job*, std::vector<uint32_t>>;

static AssignedTasks countAssignedTasks(const LeaderState& state)
{
    AssignedTasks assigned;
    for (const auto& [incarnation, worker] : state.workers_) {
        const Job* job = nullptr;
        std::vector<uint32_t>* counts = nullptr;
        for (const TaskKey& key : worker.assignedTasks_) {
            // The tasks are in the order of their jobs.
            if (!job || job->record_.id_ != key.job_) {
                job = &state.jobs_.at(key.job_);
                counts = &assigned[job];
                counts->resize(job->record_.spec_.steps().size());
            }
            if (job->tasks_[taskNumber(*job, key)].progress_.phase_ == TaskPhase::Assigned)
                ++(*counts)[key.step_];
        }
    }
    return assigned;
}

// Unfinished tasks of the step. Later occurrences count once they are due.
static uint32_t countUnfinished(const LeaderState& state, const Job& job, size_t step)
{
    const size_t steps = job.record_.spec_.steps().size();
    uint32_t unfinished = 0;
    for (uint32_t occurrence = 0; occurrence < job.record_.spec_.occurrences() && isDue(state, job, occurrence); ++occurrence)
        unfinished += job.unfinishedTasks_[occurrence * steps + step];
    return unfinished;
}

// Adds the short tasks of the job without visiting each.
static void addJob(const LeaderState& state, const Job& job, const AssignedTasks& assignedTasks, ServiceLoad& load)
{
    const std::vector<Step>& steps = job.record_.spec_.steps();
    const std::vector<double> work = workOfTasks(state, job);
    auto counted = assignedTasks.find(&job);
    bool hasValue = !job.isCancelled_ && !job.hasFailed_ && urgencyOf(state, job).prospect_ != Prospect::Worthless;
    double waiting = 0;
    for (size_t step = 0; step < steps.size(); ++step) {
        if (!holdsRoomForAWhile(steps[step]))
            continue;
        uint32_t assigned = counted == assignedTasks.end() ? 0 : counted->second[step];
        load.heldCores_ += assigned * cores(steps[step].demand_.milliCores());
        uint32_t unfinished = hasValue ? countUnfinished(state, job, step) : 0;
        waiting += (unfinished - std::min(unfinished, assigned)) * work[step];
    }
    if (waiting > 0)
        load.waiting_[placeOf(job)] += waiting;
}

static ServiceLoad surveyLoad(const LeaderState& state, const std::string& service, Instant now)
{
    ServiceLoad load;
    const AssignedTasks assigned = countAssignedTasks(state);
    for (const JobId& id : state.openJobs_) {
        const Job& job = state.jobs_.at(id);
        if (job.queue_.service_ == service)
            addJob(state, job, assigned, load);
    }
    for (const auto& [incarnation, worker] : state.workers_) {
        if (worker.traits_.service_ == service && acceptsRuns(state, worker, now))
            load.freeCores_ += cores(std::max<int64_t>(0, freeMilliCores(worker)));
    }
    return load;
}

static AdmissionForecast forecastOf(const LeaderState& state, const Job& job, const ServiceAdmission& service, Instant now)
{
    AdmissionForecast forecast;
    forecast.workAhead_ = service.load_->workAhead(placeOf(job));
    const std::vector<Step>& steps = job.record_.spec_.steps();
    const std::vector<double> work = workOfTasks(state, job);
    for (size_t number = 0; number < steps.size(); ++number)
        forecast.ownWork_ += steps[number].count_ * work[number];
    double observed = drainedCores(service.drained_, state.tuning_.drainWindow_, now);
    forecast.cores_ = std::max(observed, service.load_->heldCores_ + service.load_->freeCores_);
    forecast.chain_ = state.admission_.runTimes_.expect(job.queue_.name_, longestChainOf(job));
    forecast.objective_ = objectiveOf(job);
    return forecast;
}

static void updateLoad(const DecisionContext& context, const std::string& name, ServiceAdmission& service)
{
    const Tuning& tuning = context.state_.tuning_;
    const Duration interval = std::max(tuning.surveyInterval_, tuning.surveyIntervalPerJob_ * static_cast<int64_t>(context.state_.openJobs_.size()));
    if (service.load_ && context.now_ - service.surveyedAt_ < interval)
        return;
    service.load_ = surveyLoad(context.state_, name, context.now_);
    service.surveyedAt_ = context.now_;
}

// The refusal of the job that is still in force: one that comes back early keeps its turn and its age.
static const RefusedJob* refusalInForce(const LeaderState& state, const JobId& id, Instant now)
{
    auto known = state.admission_.refused_.find(id);
    return known != state.admission_.refused_.end() && now < known->second.returnAt_ ? &known->second : nullptr;
}

static void rememberRefusal(LeaderState& state, const JobId& id, const RefusedJob& refusal, Instant now)
{
    auto& refused = state.admission_.refused_;
    if (refused.size() >= state.tuning_.maximumRefusedJobs_)
        std::erase_if(refused, [&](const auto& entry) { return now - entry.second.returnAt_ > state.tuning_.maximumReturnAfter_; });
    if (refused.size() < state.tuning_.maximumRefusedJobs_ || refused.count(id) > 0)
        refused[id] = refusal;
}

static NotAccepted refuse(const DecisionContext& context, const Job& job, const AdmissionForecast& forecast, const Hopeless& hopeless, ServiceAdmission& service)
{
    LeaderState& state = context.state_;
    const JobId& id = job.record_.id_;
    Duration retryAfter(0);
    if (const RefusedJob* earlier = refusalInForce(state, id, context.now_)) {
        retryAfter = std::max(earlier->returnAt_ - context.now_, state.tuning_.retryAfter_);
    } else {
        std::tie(service.returns_, retryAfter) = bookReturn(service.returns_, forecast, hopeless, state.tuning_, context.now_);
        rememberRefusal(state, id, { context.now_, job.record_.acceptedMs_, context.now_ + retryAfter }, context.now_);
    }
    context.logEvent("job.refused", id.value(), concat("expected to end after ", milliseconds(hopeless.expectedEnd_), " ms, with an objective of ", milliseconds(forecast.objective_), " ms; ", static_cast<int64_t>(forecast.workAhead_), " core-seconds ahead, own ", static_cast<int64_t>(forecast.ownWork_), ", ", static_cast<int64_t>(forecast.cores_), " cores; retry after ", milliseconds(retryAfter), " ms; first submitted ", milliseconds(forecast.age_), " ms ago; queue ", job.queue_.name_));
    return NotAccepted { "the job cannot be finished in time", retryAfter };
}

// With little work at hand, or while workers may still return after a takeover, a job is not refused.
static bool isAssessable(const LeaderState& state, const Job& job, Instant now)
{
    return isAssessed(job) && !state.readyJobs_.empty() && state.admission_.runTimes_.isKnown(job.queue_.name_) && !isAwaitingWorkers(state, now);
}

// Bound on the steps that are compared with all workers; a job is not refused for a later one.
static constexpr size_t maximumCheckedSteps = 32;

// True if the last round of placement has left room for the tasks that the job begins with. The work ahead, which may be bound
// to other workers, then does not delay them. Room that was freed since is for those that wait.
static bool canBeginNow(const LeaderState& state, const Job& job, Instant now)
{
    const std::vector<Step>& steps = job.record_.spec_.steps();
    size_t count = std::min(steps.size(), maximumCheckedSteps);
    for (uint32_t number = 0; number < count; ++number) {
        const TaskKey first { job.record_.id_, 0, number, 0 };
        auto hasRoom = [&](const auto& entry) { return entry.second.freedAt_ <= state.lastPlacementAt_ && obstacleAt(state, job, first, entry.second, now) == WorkerObstacle::None; };
        if (steps[number].dependencies_.empty() && std::none_of(state.workers_.begin(), state.workers_.end(), hasRoom))
            return false;
    }
    return true;
}

static std::optional<NotAccepted> assess(const DecisionContext& context, const Job& job, Duration age)
{
    LeaderState& state = context.state_;
    ServiceAdmission& service = state.admission_.services_[job.queue_.service_];
    updateLoad(context, job.queue_.service_, service);
    AdmissionForecast forecast = forecastOf(state, job, service, context.now_);
    forecast.age_ = age;
    AdmissionVerdict verdict = assessAdmission(forecast, state.tuning_);
    const auto* hopeless = std::get_if<Hopeless>(&verdict);
    if (hopeless && !canBeginNow(state, job, context.now_))
        return refuse(context, job, forecast, *hopeless, service);
    service.load_->waiting_[placeOf(job)] += forecast.ownWork_;
    return std::nullopt;
}

std::optional<NotAccepted> refuseHopelessJob(const DecisionContext& context, Job& job)
{
    LeaderState& state = context.state_;
    Duration age(0);
    if (const RefusedJob* earlier = refusalInForce(state, job.record_.id_, context.now_)) {
        age = context.now_ - earlier->refusedAt_;
        job.record_.acceptedMs_ = earlier->submittedMs_;
    }
    std::optional<NotAccepted> refusal = isAssessable(state, job, context.now_) ? assess(context, job, age) : std::nullopt;
    if (!refusal)
        state.admission_.refused_.erase(job.record_.id_);
    return refusal;
}

} // namespace persimmondoor::workflow
