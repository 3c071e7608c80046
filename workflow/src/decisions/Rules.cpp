#include "LeaderRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <utility>

namespace persimmondoor::workflow {

uint32_t taskNumber(const Job& job, const TaskKey& task)
{
    const JobSpec& spec = job.record_.spec_;
    return task.occurrence_ * spec.tasksPerOccurrence() + spec.offset(task.step_) + task.index_;
}

TaskKey keyOf(const Job& job, uint32_t taskNumber)
{
    const JobSpec& spec = job.record_.spec_;
    uint32_t occurrence = taskNumber / spec.tasksPerOccurrence();
    uint32_t within = taskNumber % spec.tasksPerOccurrence();
    uint32_t step = spec.stepAt(within);
    return { job.record_.id_, occurrence, step, within - spec.offset(step) };
}

const Step& stepOf(const Job& job, const TaskKey& task)
{
    return job.record_.spec_.steps()[task.step_];
}

uint32_t& unfinishedTasksOf(Job& job, const TaskKey& task)
{
    return job.unfinishedTasks_[task.occurrence_ * job.record_.spec_.steps().size() + task.step_];
}

Task* findTask(LeaderState& state, const TaskKey& task)
{
    auto job = state.jobs_.find(task.job_);
    if (job == state.jobs_.end())
        return nullptr;
    const JobSpec& spec = job->second.record_.spec_;
    if (task.occurrence_ >= spec.occurrences() || task.step_ >= spec.steps().size() || task.index_ >= spec.steps()[task.step_].count_)
        return nullptr;
    return &job->second.tasks_[taskNumber(job->second, task)];
}

void applyCatalog(const Catalog& catalog, Job& job)
{
    const Queue* current = catalog.findExact(job.record_.queue_.host_, job.record_.queue_.prefix_);
    job.queue_ = current ? *current : job.record_.queue_;
}

bool hasAssignedTasks(const Job& job)
{
    return std::any_of(job.tasks_.begin(), job.tasks_.end(), [](const Task& task) { return task.progress_.phase_ == TaskPhase::Assigned; });
}

// True if the task has a run that is about to start or may go on, as far as the leader can tell.
static bool mayBeAtWork(const LeaderState& state, const Task& task, Instant now)
{
    if (task.progress_.phase_ != TaskPhase::Assigned)
        return false;
    auto found = state.workers_.find(task.progress_.worker_);
    if (found == state.workers_.end())
        return false;
    const Worker& worker = found->second;
    // After a takeover all agents have to attach first; a worker that none reports then is as silent as any other.
    if (worker.agent_.empty())
        return now < state.awaitsWorkersUntil_ + state.tuning_.maximumReportAge_;
    return worker.isReachable_ && now - worker.lastReportAt_ < state.tuning_.maximumReportAge_;
}

bool hasRunAtWork(const LeaderState& state, const Job& job, Instant now)
{
    return std::any_of(job.tasks_.begin(), job.tasks_.end(), [&](const Task& task) { return mayBeAtWork(state, task, now); });
}

bool hasListedRunAtWork(const LeaderState& state, const Job& job, Instant now)
{
    return std::any_of(job.tasks_.begin(), job.tasks_.end(), [&](const Task& task) { return task.isOnWorker_ && mayBeAtWork(state, task, now); });
}

bool isOpen(const Job& job)
{
    if (job.isCancelled_ || job.hasFailed_)
        return hasAssignedTasks(job);
    return std::any_of(job.unfinishedTasks_.begin(), job.unfinishedTasks_.end(), [](uint32_t count) { return count > 0; });
}

JobPhase phaseOf(const Job& job)
{
    bool done = std::all_of(job.unfinishedTasks_.begin(), job.unfinishedTasks_.end(), [](uint32_t count) { return count == 0; });
    if (done)
        return JobPhase::Completed;
    if (job.isCancelled_)
        return JobPhase::Cancelled;
    if (job.hasFailed_)
        return JobPhase::Failed;
    return job.hasStarted_ ? JobPhase::Running : JobPhase::Pending;
}

StagedJob& stage(LeaderState& state, const JobId& job)
{
    auto [staged, isNew] = state.staged_.try_emplace(job);
    if (isNew)
        state.stagedOrder_.push_back(job);
    return staged->second;
}

void stage(LeaderState& state, const JobId& job, Effect effect)
{
    stage(state, job).effects_.push_back(std::move(effect));
}

void makeReady(LeaderState& state, const Job& job)
{
    if (job.isCancelled_ || job.hasFailed_)
        return;
    state.readyJobs_.insert(job.record_.id_);
    state.hasNewlyReadyJobs_ = true;
}

// Observes the parts of the delays in one histogram each.
static void recordDelays(const DecisionContext& context, const Delays& delays)
{
    const std::pair<const char*, Duration> parts[] = {
        { "job_placement", delays.placement_ },
        { "job_write", delays.write_ },
        { "job_startup", delays.startup_ },
        { "job_work", delays.work_ },
        { "job_slowed", delays.slowed_ },
        { "job_repeated", delays.repeated_ },
    };
    for (const auto& [name, duration] : parts)
        context.addAction(RecordLatency { name, duration });
}

void closeIfEnded(const DecisionContext& context, Job& job)
{
    if (job.endedAt_ || isOpen(job))
        return;
    job.endedAt_ = context.now_;
    context.state_.openJobs_.erase(job.record_.id_);
    context.state_.readyJobs_.erase(job.record_.id_);
    JobPhase phase = phaseOf(job);
    if (phase != JobPhase::Completed)
        return context.logEvent("job.ended", job.record_.id_.value(), concat(describe(phase), "; ", describeExtent(job)));
    Delays delays = delaysOf(job);
    context.logEvent("job.ended", job.record_.id_.value(), concat(describe(phase), "; ", describe(delays), "; ", describeExtent(job)));
    recordDelays(context, delays);
}

void addOrder(const DecisionContext& context, const std::string& name, Order order)
{
    auto agent = context.state_.agents_.find(name);
    if (agent == context.state_.agents_.end())
        return;
    ++agent->second.pendingRuns_[runOf(order)];
    agent->second.pendingOrders_.push_back(std::move(order));
    context.addAction(AnswerAgent { name });
}

// The agent of the worker incarnation, or null if no agent has reported it to this leader.
static Agent* agentOf(LeaderState& state, const WorkerIncarnation& incarnation)
{
    auto worker = state.workers_.find(incarnation);
    if (worker == state.workers_.end())
        return nullptr;
    auto agent = state.agents_.find(worker->second.agent_);
    return agent == state.agents_.end() ? nullptr : &agent->second;
}

// Turns a pending order to start the run into one to stop it: the agent may receive its orders long after they were given,
// and must not begin what is to end. An agent that has received the start ignores the stop, which has the same number.
static void voidPendingStart(Agent& agent, const RunKey& run, OrderNumber startOrder)
{
    auto order = std::lower_bound(agent.pendingOrders_.begin(), agent.pendingOrders_.end(), startOrder, [](const Order& other, OrderNumber number) { return numberOf(other) < number; });
    const auto* start = order != agent.pendingOrders_.end() ? std::get_if<StartRun>(&*order) : nullptr;
    if (start && start->run_ == run)
        *order = StopRun { start->number_, start->worker_, run };
}

void orderStop(const DecisionContext& context, const TaskKey& key, Task& task, std::string_view why)
{
    context.noteJob(key.job_);
    if (task.isStopping_)
        return;
    const WorkerIncarnation incarnation = task.progress_.worker_;
    Agent* agent = agentOf(context.state_, incarnation);
    if (!agent)
        return;
    task.isStopping_ = true;
    task.stopOrderedAt_ = context.now_;
    agent->lastOrder_ = agent->lastOrder_.next();
    RunKey run { key, task.progress_.run_ };
    voidPendingStart(*agent, run, task.lastOrder_);
    // The run's absence from the worker's lists shows that it was lost only once this order is completed too.
    task.lastOrder_ = agent->lastOrder_;
    addOrder(context, context.state_.workers_.at(incarnation).agent_, StopRun { agent->lastOrder_, incarnation, run });
    context.logEvent("run.stop", describe(run), concat(why, "; worker ", incarnation.name_));
}

void reserveResources(Worker& worker, const TaskKey& key, const Step& step)
{
    worker.assignedTasks_.insert(key);
    worker.reserved_ = worker.reserved_ + step.demand_;
    if (step.isFilling_) {
        worker.fillingMilliCores_ += step.demand_.milliCores();
        FillingShare& share = worker.fillingByImage_[step.image_];
        ++share.tasks_;
        share.milliCores_ += step.demand_.milliCores();
    }
    if (!step.longRunning_)
        return;
    ++worker.longRunningCount_;
    ++worker.longRunningByImage_[step.image_];
    if (step.targetTailMs_ > 0)
        ++worker.targetedByImage_[step.image_];
    worker.longRunningReserved_ = worker.longRunningReserved_ + step.demand_;
}

void stopTasks(const DecisionContext& context, Job& job, std::string_view why)
{
    for (uint32_t number = 0; number < job.tasks_.size(); ++number) {
        Task& task = job.tasks_[number];
        if (task.progress_.phase_ != TaskPhase::Assigned)
            continue;
        TaskKey key = keyOf(job, number);
        if (task.isStartReleased_)
            orderStop(context, key, task, why);
        else
            unassign(context, job, key, task);
    }
}

void failJob(const DecisionContext& context, Job& job, std::string why)
{
    job.hasFailed_ = true;
    context.state_.readyJobs_.erase(job.record_.id_);
    context.logEvent("job.failed", job.record_.id_.value(), std::move(why));
    stopTasks(context, job, "job failed");
}

static void removeOneTask(std::map<std::string, uint32_t>& tasksByImage, const std::string& image)
{
    if (--tasksByImage.at(image) == 0)
        tasksByImage.erase(image);
}

static void releaseResources(Worker& worker, const TaskKey& key, const Step& step, Task& task, Instant now)
{
    if (worker.assignedTasks_.erase(key) == 0)
        return;
    worker.freedAt_ = now;
    if (worker.observedTask_ == key)
        worker.observedTask_.reset();
    worker.suspects_.erase(key);
    worker.throttledMilliCores_ -= std::exchange(task.throttledMilliCores_, 0);
    worker.reserved_ = worker.reserved_ - step.demand_;
    if (worker.probe_ == key)
        worker.probe_.reset();
    if (step.isFilling_) {
        worker.fillingMilliCores_ -= step.demand_.milliCores();
        FillingShare& share = worker.fillingByImage_.at(step.image_);
        share.milliCores_ -= step.demand_.milliCores();
        if (--share.tasks_ == 0)
            worker.fillingByImage_.erase(step.image_);
    }
    if (!step.longRunning_)
        return;
    --worker.longRunningCount_;
    removeOneTask(worker.longRunningByImage_, step.image_);
    if (step.targetTailMs_ > 0)
        removeOneTask(worker.targetedByImage_, step.image_);
    worker.longRunningReserved_ = worker.longRunningReserved_ - step.demand_;
}

void reserveStoppingRun(Worker& worker, const RunKey& run, const Step& step, OrderNumber stopOrder)
{
    Resources demand = step.isFilling_ ? step.demand_.withoutCores() : step.demand_;
    auto [known, isNew] = worker.stoppingRuns_.try_emplace(run, StoppingRun { demand, stopOrder });
    known->second.order_ = std::max(known->second.order_, stopOrder);
    if (isNew)
        worker.reserved_ = worker.reserved_ + demand;
}

void noteStoppedRun(Worker& worker, const RunKey& run)
{
    if (auto stopping = worker.stoppingRuns_.find(run); stopping != worker.stoppingRuns_.end())
        stopping->second.order_ = OrderNumber();
}

bool areOrdersCompleted(const Agent& agent, const RunKey& run, OrderNumber lastOrder)
{
    if (lastOrder <= agent.lastCompletedOrder_)
        return true;
    return agent.pendingRuns_.count(run) == 0;
}

void releaseStoppedRuns(Worker& worker, const std::vector<ActiveRun>& active, const Agent& agent)
{
    std::set<RunKey> activeRuns;
    for (const ActiveRun& other : active) {
        if (worker.stoppingRuns_.count(other.run_) > 0)
            activeRuns.insert(other.run_);
    }
    for (auto run = worker.stoppingRuns_.begin(); run != worker.stoppingRuns_.end();) {
        if (activeRuns.count(run->first) > 0 || !areOrdersCompleted(agent, run->first, run->second.order_)) {
            ++run;
            continue;
        }
        worker.reserved_ = worker.reserved_ - run->second.demand_;
        run = worker.stoppingRuns_.erase(run);
    }
}

void releaseTask(const DecisionContext& context, Job& job, const TaskKey& key, Task& task)
{
    context.noteJob(key.job_);
    auto worker = context.state_.workers_.find(task.progress_.worker_);
    if (worker != context.state_.workers_.end())
        releaseResources(worker->second, key, stepOf(job, key), task, context.now_);
    if (task.progress_.phase_ == TaskPhase::Assigned) {
        recordRunEnd(job, key, task, false, context.now_);
        task.progress_.phase_ = TaskPhase::Waiting;
    }
    task.isStartReleased_ = false;
    task.isOnWorker_ = false;
    task.isStopping_ = false;
    task.lastOrder_ = OrderNumber();
    if (task.progress_.phase_ == TaskPhase::Waiting)
        makeReady(context.state_, job);
}

// Stops the assigned members of the task's gang, as either all members run or none.
static void stopGang(const DecisionContext& context, Job& job, const TaskKey& key)
{
    const Step& step = stepOf(job, key);
    if (!step.gang_)
        return;
    for (uint32_t index = 0; index < step.count_; ++index) {
        TaskKey memberKey { key.job_, key.occurrence_, key.step_, index };
        Task& member = job.tasks_[taskNumber(job, memberKey)];
        if (member.progress_.phase_ != TaskPhase::Assigned)
            continue;
        if (member.isStartReleased_)
            orderStop(context, memberKey, member, "another member of the gang is not running");
        else
            releaseTask(context, job, memberKey, member);
    }
}

void unassign(const DecisionContext& context, Job& job, const TaskKey& key, Task& task)
{
    releaseTask(context, job, key, task);
    stopGang(context, job, key);
}

void markRunLost(const DecisionContext& context, Job& job, const TaskKey& key, Task& task, std::string_view why)
{
    context.logEvent("run.lost", describe(RunKey { key, task.progress_.run_ }), concat(why, "; worker ", task.progress_.worker_.name_));
    unassign(context, job, key, task);
    stage(context.state_, key.job_);
    closeIfEnded(context, job);
}

void dropWorker(const DecisionContext& context, const WorkerIncarnation& incarnation, std::string_view why)
{
    auto worker = context.state_.workers_.find(incarnation);
    if (worker == context.state_.workers_.end())
        return;
    context.logEvent("worker.gone", concat(incarnation.name_, "@", incarnation.bornMs_), concat(why, "; ", worker->second.assignedTasks_.size(), " tasks assigned"));
    std::set<TaskKey> assigned = worker->second.assignedTasks_;
    for (const TaskKey& key : assigned) {
        Job& job = context.state_.jobs_.at(key.job_);
        Task& task = job.tasks_[taskNumber(job, key)];
        if (task.progress_.phase_ == TaskPhase::Assigned)
            markRunLost(context, job, key, task, why);
    }
    auto agent = context.state_.agents_.find(worker->second.agent_);
    if (agent != context.state_.agents_.end())
        agent->second.workers_.erase(incarnation);
    context.state_.workers_.erase(incarnation);
}

} // namespace persimmondoor::workflow
