#include "AbsentRuns.h"
#include "LeaderRules.h"
#include "SlowWorkers.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <utility>

namespace persimmondoor::workflow {

// The low bits of a fence number the sessions of one leader; the high bits are the leader's epoch.
static constexpr uint64_t sessionFenceBits = 20;
// An order to stop a run that belongs to no assigned task is repeated after this time.
static constexpr Duration unassignedStopInterval = std::chrono::seconds(1);

// A filling task below this pace counts as slowed down.
static constexpr uint32_t slowPacePercent = 50;

static Fence nextFence(LeaderState& state)
{
    return Fence((state.epoch_.value() << sessionFenceBits) + ++state.sessionCount_);
}

// Starts a session with an agent that has restarted, has removed a worker, or is new to this leader. The new fence
// invalidates earlier orders.
static void beginSession(const DecisionContext& context, const AgentReport& report, Agent& agent)
{
    agent = Agent {};
    agent.domain_ = report.domain_;
    agent.session_ = report.session_;
    agent.fence_ = nextFence(context.state_);
    beginListWaits(context, report.agent_);
    for (auto& [incarnation, worker] : context.state_.workers_) {
        if (worker.agent_ != report.agent_)
            continue;
        worker.isListed_ = false;
        if (!worker.missingSince_)
            worker.missingSince_ = context.now_;
        for (const TaskKey& key : worker.assignedTasks_) {
            Task* task = findTask(context.state_, key);
            task->lastOrder_ = OrderNumber();
            task->isStopping_ = false;
        }
        for (auto& [run, stopping] : worker.stoppingRuns_)
            stopping.order_ = OrderNumber();
    }
    context.logEvent("agent.attached", report.agent_, concat("fence ", agent.fence_.value(), ", domain ", report.domain_));
}

// Updates the cores that a filling task leaves unused with a new reading of its pace.
static void updateThrottledCores(Worker& worker, Task& task, const Step& step, uint32_t pacePercent)
{
    int64_t throttled = step.demand_.milliCores() * (100 - std::min(pacePercent, 100U)) / 100;
    worker.throttledMilliCores_ += throttled - std::exchange(task.throttledMilliCores_, throttled);
}

// Updates the task of a run that its worker lists as active.
// \return false if the run is not the assigned run of a task.
static bool handleActiveRun(const DecisionContext& context, const WorkerIncarnation& incarnation, const ActiveRun& active, const Agent& agent, bool isNewReading)
{
    context.noteJob(active.run_.task_.job_);
    Task* task = findTask(context.state_, active.run_.task_);
    if (!task || task->progress_.phase_ != TaskPhase::Assigned || task->progress_.run_ != active.run_.run_ || task->progress_.worker_ != incarnation)
        return false;
    Job& job = context.state_.jobs_.at(active.run_.task_.job_);
    if (!task->isOnWorker_ || task->progressPercent_ != active.progressPercent_)
        task->lastProgressAt_ = context.now_;
    if (!task->isOnWorker_) {
        context.logEvent("run.seen", describe(active.run_), concat("worker ", incarnation.name_));
        task->times_.listedAt_ = context.now_;
        job.idleSince_.reset();
    }
    task->isOnWorker_ = true;
    task->isUnlisted_ = false;
    if (isNewReading)
        noteReading(context, active.run_.task_, *task);
    if (isNewReading && stepOf(job, active.run_.task_).isFilling_) {
        task->times_ = addPaceReading(task->times_, active.pace_, context.now_);
        updateThrottledCores(context.state_.workers_.at(incarnation), *task, stepOf(job, active.run_.task_), active.pace_);
    }
    task->progressPercent_ = active.progressPercent_;
    bool isAtWork = active.progressPercent_ >= (stepOf(job, active.run_.task_).longRunning_ ? 100U : 1U);
    if (isAtWork && task->times_.listedAt_ && context.now_ - *task->times_.listedAt_ >= context.state_.tuning_.provenAfter_)
        recordWorkerProof(context, *task, context.state_.workers_.at(incarnation));
    if (active.pace_ >= slowPacePercent || !stepOf(job, active.run_.task_).isFilling_)
        task->slowedSince_.reset();
    else if (!task->slowedSince_)
        task->slowedSince_ = context.now_;
    job.hasStarted_ = true;
    noteCheckpoint(*task, active.checkpoint_);
    bool isStopOverdue = task->isStopping_ && areOrdersCompleted(agent, active.run_, task->lastOrder_) && context.now_ - task->stopOrderedAt_ > context.state_.tuning_.stopRetryInterval_;
    if (isStopOverdue) {
        task->isStopping_ = false;
        orderStop(context, active.run_.task_, *task, "still active after an order to stop");
    }
    if (job.isCancelled_ || job.hasFailed_)
        orderStop(context, active.run_.task_, *task, "job cancelled or failed");
    return true;
}

static void stopUnassignedRun(const DecisionContext& context, const std::string& agentName, const WorkerIncarnation& incarnation, Worker& worker, const RunKey& run)
{
    auto known = worker.unassignedRuns_.find(run);
    if (known != worker.unassignedRuns_.end() && context.now_ - known->second < unassignedStopInterval)
        return;
    worker.unassignedRuns_[run] = context.now_;
    Agent& agent = context.state_.agents_.at(agentName);
    agent.lastOrder_ = agent.lastOrder_.next();
    addOrder(context, agentName, StopRun { agent.lastOrder_, incarnation, run });
    context.logEvent("run.stop", describe(run), concat("not assigned; worker ", incarnation.name_));
}

// Stops the runs on a draining worker that can continue on another worker, except those that will end before the worker
// leaves.
static void stopRunsOnDrainingWorker(const DecisionContext& context, Worker& worker)
{
    for (const TaskKey& key : worker.assignedTasks_) {
        Job& job = context.state_.jobs_.at(key.job_);
        Task& task = job.tasks_[taskNumber(job, key)];
        const Step& step = stepOf(job, key);
        if (!task.isOnWorker_ || !(step.savesProgress_ || step.longRunning_) || step.gang_)
            continue;
        Duration elapsed = context.now_ - task.times_.assignedAt_;
        bool endsInTime = !step.longRunning_ && task.progressPercent_ > 0 && context.now_ + elapsed * (100 - std::min(task.progressPercent_, 100U)) / task.progressPercent_ < worker.leavesAt_;
        if (!endsInTime)
            orderStop(context, key, task, "the worker is leaving");
    }
}

static void dropEarlierIncarnations(const DecisionContext& context, const WorkerIncarnation& incarnation)
{
    std::vector<WorkerIncarnation> earlier;
    for (const auto& [other, worker] : context.state_.workers_) {
        if (incarnation.succeeds(other))
            earlier.push_back(other);
    }
    for (const WorkerIncarnation& other : earlier) {
        countLoss(context, other, {}, {});
        dropWorker(context, other, concat(incarnation.name_, "@", incarnation.bornMs_, " has replaced it"));
    }
}

static bool hasLaterIncarnation(const LeaderState& state, const WorkerIncarnation& incarnation)
{
    return std::any_of(state.workers_.begin(), state.workers_.end(), [&](const auto& entry) { return entry.first.succeeds(incarnation); });
}

static LoadReading readLoad(LeaderState& state, const WorkerReport& report)
{
    LoadReading reading;
    auto capacity = static_cast<double>(std::max<int64_t>(report.traits_.capacity_.milliCores(), 1));
    for (const ActiveRun& active : report.active_) {
        // A worker may list a run that no job has, such as one of a step beyond the job's last.
        if (!findTask(state, active.run_.task_))
            continue;
        const Step& step = stepOf(state.jobs_.at(active.run_.task_.job_), active.run_.task_);
        if (step.isFilling_)
            reading.filling_[step.image_] += static_cast<double>(active.load_) / capacity;
        else if (step.targetTailMs_ > 0 && active.progressPercent_ >= 100)
            reading.longRunning_[active.run_] = { step.image_, active.load_, step.targetTailMs_ };
    }
    return reading;
}

// Updates the interference estimates and the worker's headroom with a new reading of its load.
static void observeLoad(const DecisionContext& context, const WorkerReport& report, Worker& worker)
{
    if (report.readingNumber_ == worker.readingNumber_)
        return;
    LoadReading reading = readLoad(context.state_, report);
    // Only consecutive readings update the estimates: over a longer time the load of the long-running tasks changes for
    // other reasons than filling tasks.
    bool isConsecutive = report.readingNumber_ == worker.readingNumber_ + 1;
    if (isConsecutive)
        context.state_.interference_ = observe(std::move(context.state_.interference_), worker.lastReading_, reading);
    worker.headrooms_ = headroomsOf(context.state_.interference_, worker.lastReading_, reading);
    worker.readingNumber_ = report.readingNumber_;
    worker.lastReading_ = std::move(reading);
}

static void handleWorkerReport(const DecisionContext& context, const AgentReport& message, const WorkerReport& report)
{
    // A worker that an agent has reported before was compared with the others then, and each later one with it.
    auto known = context.state_.workers_.find(report.incarnation_);
    if (known == context.state_.workers_.end() || known->second.agent_.empty()) {
        if (hasLaterIncarnation(context.state_, report.incarnation_))
            return;
        dropEarlierIncarnations(context, report.incarnation_);
        endListWaitsOfEarlierIncarnations(context, report.incarnation_);
    }
    Worker& worker = context.state_.workers_[report.incarnation_];
    if (worker.agent_ != message.agent_)
        context.logEvent("worker.seen", concat(report.incarnation_.name_, "@", report.incarnation_.bornMs_), concat("agent ", message.agent_, ", domain ", report.traits_.domain_));
    if (report.draining_ && !worker.draining_)
        context.logEvent("worker.draining", report.incarnation_.name_, concat(report.remainingMs_, " ms left"));
    worker.agent_ = message.agent_;
    context.state_.agents_.at(message.agent_).workers_.insert(report.incarnation_);
    worker.traits_ = report.traits_;
    worker.lastReportAt_ = context.now_;
    worker.missingSince_.reset();
    requestLeaseGrants(context, worker);
    worker.draining_ = report.draining_;
    bool wasReachable = std::exchange(worker.isReachable_, report.isReachable_);
    noteReachability(context, report.incarnation_, worker);
    worker.leavesAt_ = context.now_ + std::chrono::milliseconds(report.remainingMs_);
    if (!report.isListed_)
        return;
    worker.isListed_ = true;
    if (report.hasAllEnds_)
        endListWait(context, report.incarnation_);
    else
        prolongListWait(context, report.incarnation_);
    const Agent& agent = context.state_.agents_.at(message.agent_);
    std::set<TaskKey> seen;
    bool isNewReading = report.readingNumber_ != worker.readingNumber_;
    for (const EndedRun& end : report.ended_) {
        if (end.number_ > worker.lastHandledEnd_)
            handleEnd(context, report.incarnation_, end);
    }
    for (const ActiveRun& active : report.active_) {
        if (handleActiveRun(context, report.incarnation_, active, agent, isNewReading)) {
            seen.insert(active.run_.task_);
            continue;
        }
        if (keepUnreadableRun(context, worker, active.run_))
            continue;
        stopUnassignedRun(context, message.agent_, report.incarnation_, worker, active.run_);
        if (findTask(context.state_, active.run_.task_))
            reserveStoppingRun(worker, active.run_, stepOf(context.state_.jobs_.at(active.run_.task_.job_), active.run_.task_), OrderNumber());
    }
    releaseStoppedRuns(worker, report.active_, agent);
    if (isNewReading)
        observeSpeed(context, report, worker);
    observeLoad(context, report, worker);
    backOffAfterRefusals(context, report, wasReachable, worker);
    noteUnlistedRuns(context, worker, seen);
    if (!report.hasAllEnds_)
        noteUnlistedEnds(context, worker, seen);
    markAbsentRunsLost(context, report, wasReachable, worker, seen, agent);
    if (worker.draining_)
        stopRunsOnDrainingWorker(context, worker);
}

static void dropCompletedOrders(Agent& agent, const std::set<OrderNumber>& completed)
{
    std::erase_if(agent.pendingOrders_, [&](const Order& order) {
        if (numberOf(order) > agent.lastCompletedOrder_ && completed.count(numberOf(order)) == 0)
            return false;
        auto run = agent.pendingRuns_.find(runOf(order));
        if (--run->second == 0)
            agent.pendingRuns_.erase(run);
        return true;
    });
}

void handleReport(const DecisionContext& context, const AgentReport& report)
{
    Agent& agent = context.state_.agents_[report.agent_];
    if (agent.session_ != report.session_ || agent.fence_ == Fence())
        beginSession(context, report, agent);
    agent.lastReportAt_ = context.now_;
    bool isNewest = report.sequence_ > agent.newestReport_;
    agent.newestReport_ = std::max(agent.newestReport_, report.sequence_);
    if (report.epoch_ != context.state_.epoch_ || report.fence_ != agent.fence_) {
        agent.isReplyDue_ = true;
        return context.addAction(AnswerAgent { report.agent_ });
    }
    if (!isNewest)
        return;
    agent.hasReported_ = true;
    agent.newestReportAt_ = context.now_;
    agent.lastCompletedOrder_ = std::max(agent.lastCompletedOrder_, report.lastCompletedOrder_);
    dropCompletedOrders(agent, report.completedOrders_);
    for (const WorkerIncarnation& incarnation : report.endedWorkers_) {
        countCrash(context, incarnation, report.crashedRuns_, report.unconfirmedStarts_);
        countLoss(context, incarnation, report.crashedRuns_, report.unconfirmedStarts_);
        dropWorker(context, incarnation, "its agent reports that it has ended");
        endListWait(context, incarnation);
    }
    for (const WorkerReport& worker : report.workers_)
        handleWorkerReport(context, report, worker);
    startReadyTasks(context);
}

} // namespace persimmondoor::workflow
