#include "OwnerRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::workflow {

// Sessions of one owner are told apart by the low bits of the fence, owners by the high ones.
static constexpr uint64_t fenceBitsForSessions = 20;
// A run that belongs to no assigned task is ordered to stop again after this time.
static constexpr Duration strayStopInterval = std::chrono::seconds(1);

// A filling task below this pace, in percent, is slowed down.
static constexpr uint32_t slowPace = 50;

static Fence nextFence(OwnerState& state)
{
    return Fence((state.epoch_.value() << fenceBitsForSessions) + ++state.sessions_);
}

// The agent has restarted or meets this owner for the first time: orders of before are void under the new fence.
static void beginSession(const Turn& turn, const AgentReport& report, Agent& agent)
{
    agent = Agent {};
    agent.domain_ = report.domain_;
    agent.session_ = report.session_;
    agent.fence_ = nextFence(turn.state_);
    for (auto& [life, worker] : turn.state_.workers_) {
        if (worker.agent_ != report.agent_)
            continue;
        worker.listed_ = false;
        for (const TaskKey& key : worker.assigned_) {
            Task* task = findTask(turn.state_, key);
            task->order_ = OrderNumber();
            task->stopping_ = false;
        }
    }
    turn.remark("agent.attached", report.agent_, concat("fence ", agent.fence_.value(), ", domain ", report.domain_));
}

static void failJob(const Turn& turn, Job& job, const TaskKey& culprit)
{
    job.failed_ = true;
    turn.state_.ready_.erase(job.record_.id_);
    turn.remark("job.failed", job.record_.id_.value(), concat("task ", describe(culprit), " failed ", job.queue_.maxAttempts_, " times"));
    stopTasks(turn, job, "job failed");
}

static void countFailure(const Turn& turn, Job& job, const TaskKey& key, Task& task, Worker& worker)
{
    task.avoided_ = task.progress_.worker_.name_;
    ++task.progress_.failures_;
    // A task that has failed elsewhere before says little of this worker.
    if (task.progress_.failures_ == 1 && ++worker.failureStreak_ >= turn.state_.tuning_.failuresBeforeQuarantine_) {
        Duration quarantine = turn.state_.tuning_.quarantine_ * (1U << std::min(worker.quarantines_, 4U));
        worker.quarantinedUntil_ = turn.now_ + std::min(quarantine, turn.state_.tuning_.longestQuarantine_);
        ++worker.quarantines_;
        // One more failure after the quarantine is enough for the next one.
        worker.failureStreak_ = turn.state_.tuning_.failuresBeforeQuarantine_ - 1;
        turn.remark("worker.quarantined", task.progress_.worker_.name_, concat("failures in a row, last ", describe(key)));
    }
    uint32_t maximum = job.queue_.maxAttempts_;
    if (!stepOf(job, key).longRunning_ && maximum > 0 && task.progress_.failures_ >= maximum)
        failJob(turn, job, key);
}

void completeTask(const Turn& turn, Job& job, const TaskKey& key, Task& task)
{
    if (task.progress_.phase_ == TaskPhase::Done)
        return;
    task.progress_.phase_ = TaskPhase::Done;
    task.progress_.checkpoint_.clear();
    if (--undoneOf(job, key) == 0)
        makeReady(turn.state_, job);
}

// Takes the run off its worker without another start of the task.
static void finishRun(const Turn& turn, Job& job, const TaskKey& key, Task& task)
{
    if (task.progress_.phase_ != TaskPhase::Assigned)
        return;
    if (task.released_)
        orderStop(turn, key, task, "the task is done");
    task.progress_.phase_ = TaskPhase::Done;
    --undoneOf(job, key);
    unassign(turn, job, key, task);
}

static void takeDoneEnd(const Turn& turn, Job& job, const EndedRun& end, Task& task, bool isCurrent)
{
    const TaskKey& key = end.run_.task_;
    if (isCurrent) {
        completeTask(turn, job, key, task);
        unassign(turn, job, key, task);
    } else if (task.progress_.phase_ == TaskPhase::Assigned) {
        finishRun(turn, job, key, task);
    } else {
        completeTask(turn, job, key, task);
    }
    if (!stepOf(job, key).gang_)
        return;
    // One end stands for all members.
    for (uint32_t index = 0; index < stepOf(job, key).count_; ++index) {
        TaskKey memberKey { key.job_, key.occurrence_, key.step_, index };
        Task& member = job.tasks_[taskNumber(job, memberKey)];
        if (member.progress_.phase_ == TaskPhase::Assigned)
            finishRun(turn, job, memberKey, member);
        else
            completeTask(turn, job, memberKey, member);
    }
}

static void takeOtherEnd(const Turn& turn, Job& job, const EndedRun& end, Task& task, Worker& worker)
{
    const TaskKey& key = end.run_.task_;
    if (!end.checkpoint_.empty())
        task.progress_.checkpoint_ = end.checkpoint_;
    if (end.end_ == RunEnd::Failed)
        countFailure(turn, job, key, task, worker);
    unassign(turn, job, key, task);
}

void takeEnd(const Turn& turn, const WorkerLife& life, const EndedRun& end)
{
    Worker& worker = turn.state_.workers_.at(life);
    worker.takenEnd_ = end.number_;
    Task* task = findTask(turn.state_, end.run_.task_);
    if (!task)
        return;
    Job& job = turn.state_.jobs_.at(end.run_.task_.job_);
    bool isCurrent = task->progress_.phase_ == TaskPhase::Assigned && task->progress_.run_ == end.run_.run_ && task->progress_.worker_ == life;
    bool isNews = end.end_ == RunEnd::Done ? task->progress_.phase_ != TaskPhase::Done : isCurrent;
    if (!isNews)
        return;
    turn.remark("run.ended", describe(end.run_), concat(describe(end.end_), "; worker ", life.name_));
    if (end.end_ == RunEnd::Done)
        worker.failureStreak_ = 0;
    job.started_ = true;
    if (end.end_ == RunEnd::Done)
        takeDoneEnd(turn, job, end, *task, isCurrent);
    else
        takeOtherEnd(turn, job, end, *task, worker);
    worker.pendingEnds_.insert(end.number_);
    stage(turn.state_, job.record_.id_, ReleaseEnd { life, end.number_ });
    closeIfEnded(turn, job);
}

// True if the run is the assigned one of its task.
static bool takeActive(const Turn& turn, const WorkerLife& life, const ActiveRun& active, OrderNumber settled)
{
    Task* task = findTask(turn.state_, active.run_.task_);
    if (!task || task->progress_.phase_ != TaskPhase::Assigned || task->progress_.run_ != active.run_.run_ || task->progress_.worker_ != life)
        return false;
    Job& job = turn.state_.jobs_.at(active.run_.task_.job_);
    if (!task->present_ || task->percent_ != active.percent_)
        task->progressed_ = turn.now_;
    if (!task->present_)
        turn.remark("run.seen", describe(active.run_), concat("worker ", life.name_));
    task->present_ = true;
    task->percent_ = active.percent_;
    if (active.pace_ >= slowPace || !stepOf(job, active.run_.task_).fills_)
        task->slowedSince_.reset();
    else if (!task->slowedSince_)
        task->slowedSince_ = turn.now_;
    job.started_ = true;
    if (!active.checkpoint_.empty())
        task->progress_.checkpoint_ = active.checkpoint_;
    bool stopsInVain = task->stopping_ && task->order_ <= settled && turn.now_ - task->stopOrdered_ > turn.state_.tuning_.stopAgainAfter_;
    if (stopsInVain) {
        task->stopping_ = false;
        orderStop(turn, active.run_.task_, *task, "still there after a stop");
    }
    if (job.cancelled_ || job.failed_)
        orderStop(turn, active.run_.task_, *task, "job cancelled or failed");
    return true;
}

static void stopStray(const Turn& turn, const std::string& agentName, const WorkerLife& life, Worker& worker, const RunKey& run)
{
    auto known = worker.strays_.find(run);
    if (known != worker.strays_.end() && turn.now_ - known->second < strayStopInterval)
        return;
    worker.strays_[run] = turn.now_;
    Agent& agent = turn.state_.agents_.at(agentName);
    agent.lastOrder_ = agent.lastOrder_.next();
    addOrder(turn, agentName, StopRun { agent.lastOrder_, life, run });
    turn.remark("run.stop", describe(run), concat("not assigned; worker ", life.name_));
}

// Runs that are neither active nor ended although their orders are settled have not come to be, or are gone.
static void loseAbsentRuns(const Turn& turn, const WorkerReport& report, const Worker& worker, const std::set<TaskKey>& seen, OrderNumber settled)
{
    std::vector<TaskKey> absent;
    for (const TaskKey& key : worker.assigned_) {
        const Task* task = findTask(turn.state_, key);
        if (task->released_ && task->order_ <= settled && seen.count(key) == 0)
            absent.push_back(key);
    }
    for (const TaskKey& key : absent) {
        Job& job = turn.state_.jobs_.at(key.job_);
        Task& task = job.tasks_[taskNumber(job, key)];
        // Breaking up a gang may have taken it off already.
        if (task.progress_.phase_ != TaskPhase::Assigned)
            continue;
        auto refused = std::find_if(report.refused_.begin(), report.refused_.end(), [&](const RefusedStart& start) { return start.run_.task_ == key; });
        loseRun(turn, job, key, task, refused == report.refused_.end() ? "not on the worker" : "refused by the worker");
    }
}

// The worker will leave: work that can go on elsewhere is stopped in time, short work is left to end.
static void vacate(const Turn& turn, Worker& worker)
{
    for (const TaskKey& key : worker.assigned_) {
        Job& job = turn.state_.jobs_.at(key.job_);
        Task& task = job.tasks_[taskNumber(job, key)];
        const Step& step = stepOf(job, key);
        if (!task.present_ || !(step.savesProgress_ || step.longRunning_) || step.gang_)
            continue;
        Duration elapsed = turn.now_ - task.assigned_;
        bool endsInTime = !step.longRunning_ && task.percent_ > 0 && turn.now_ + elapsed * (100 - std::min(task.percent_, 100U)) / task.percent_ < worker.leavesAt_;
        if (!endsInTime)
            orderStop(turn, key, task, "the worker is leaving");
    }
}

static void noteRefusals(const Turn& turn, const WorkerReport& report, Worker& worker)
{
    for (const RefusedStart& refused : report.refused_) {
        if (refused.reason_ == StartRefusal::NoRoom || refused.reason_ == StartRefusal::Unavailable)
            worker.fullUntil_ = turn.now_ + turn.state_.tuning_.fullFor_;
    }
}

static void dropEarlierLives(const Turn& turn, const WorkerLife& life)
{
    std::vector<WorkerLife> earlier;
    for (const auto& [other, worker] : turn.state_.workers_) {
        if (life.succeeds(other))
            earlier.push_back(other);
    }
    for (const WorkerLife& other : earlier)
        dropWorker(turn, other, concat(life.name_, "@", life.bornMs_, " has taken its place"));
}

static bool hasLaterLife(const OwnerState& state, const WorkerLife& life)
{
    return std::any_of(state.workers_.begin(), state.workers_.end(), [&](const auto& entry) { return entry.first.succeeds(life); });
}

static LoadReading readLoad(const OwnerState& state, const WorkerReport& report)
{
    LoadReading reading;
    auto capacity = static_cast<double>(std::max<int64_t>(report.traits_.capacity_.milliCores(), 1));
    for (const ActiveRun& active : report.active_) {
        auto job = state.jobs_.find(active.run_.task_.job_);
        if (job == state.jobs_.end())
            continue;
        const Step& step = stepOf(job->second, active.run_.task_);
        if (step.fills_)
            reading.filling_[step.image_] += static_cast<double>(active.load_) / capacity;
        else if (step.targetTailMs_ > 0 && active.percent_ >= 100)
            reading.longRunning_[active.run_] = { step.image_, active.load_, step.targetTailMs_ };
    }
    return reading;
}

// Learns from a new reading of the worker which filling tasks disturb its long-running tasks.
static void observeLoad(const Turn& turn, const WorkerReport& report, Worker& worker)
{
    if (report.readings_ == worker.readings_)
        return;
    LoadReading reading = readLoad(turn.state_, report);
    // Over a longer time the load of the long-running tasks changes more than the filling tasks explain.
    bool follows = report.readings_ == worker.readings_ + 1;
    if (follows)
        turn.state_.interference_ = observe(std::move(turn.state_.interference_), worker.reading_, reading);
    worker.tolerances_ = tolerancesOf(turn.state_.interference_, worker.reading_, reading);
    worker.readings_ = report.readings_;
    worker.reading_ = std::move(reading);
}

static void takeWorker(const Turn& turn, const AgentReport& message, const WorkerReport& report)
{
    if (hasLaterLife(turn.state_, report.life_))
        return;
    dropEarlierLives(turn, report.life_);
    Worker& worker = turn.state_.workers_[report.life_];
    if (worker.agent_ != message.agent_)
        turn.remark("worker.seen", concat(report.life_.name_, "@", report.life_.bornMs_), concat("agent ", message.agent_, ", domain ", report.traits_.domain_));
    if (report.draining_ && !worker.draining_)
        turn.remark("worker.draining", report.life_.name_, concat(report.remainingMs_, " ms left"));
    worker.agent_ = message.agent_;
    turn.state_.agents_.at(message.agent_).workers_.insert(report.life_);
    worker.traits_ = report.traits_;
    worker.reportedAt_ = turn.now_;
    worker.draining_ = report.draining_;
    worker.leavesAt_ = turn.now_ + std::chrono::milliseconds(report.remainingMs_);
    if (!report.listed_)
        return;
    worker.listed_ = true;
    std::set<TaskKey> seen;
    for (const EndedRun& end : report.ended_) {
        if (end.number_ > worker.takenEnd_)
            takeEnd(turn, report.life_, end);
    }
    for (const ActiveRun& active : report.active_) {
        if (takeActive(turn, report.life_, active, message.settled_))
            seen.insert(active.run_.task_);
        else
            stopStray(turn, message.agent_, report.life_, worker, active.run_);
    }
    observeLoad(turn, report, worker);
    noteRefusals(turn, report, worker);
    loseAbsentRuns(turn, report, worker, seen, message.settled_);
    if (worker.draining_)
        vacate(turn, worker);
}

void takeReport(const Turn& turn, const AgentReport& report)
{
    Agent& agent = turn.state_.agents_[report.agent_];
    if (agent.session_ != report.session_ || agent.fence_ == Fence())
        beginSession(turn, report, agent);
    agent.heard_ = turn.now_;
    bool isNewest = report.sequence_ > agent.answered_;
    agent.answered_ = std::max(agent.answered_, report.sequence_);
    if (report.epoch_ != turn.state_.epoch_ || report.fence_ != agent.fence_) {
        agent.hasNews_ = true;
        return turn.act(WakeAgent { report.agent_ });
    }
    if (!isNewest)
        return;
    agent.hasReported_ = true;
    agent.settled_ = std::max(agent.settled_, report.settled_);
    std::erase_if(agent.outbox_, [&](const Order& order) { return numberOf(order) <= agent.settled_; });
    for (const WorkerLife& life : report.gone_)
        dropWorker(turn, life, "its agent says that it is gone");
    for (const WorkerReport& worker : report.workers_)
        takeWorker(turn, report, worker);
    startReadyTasks(turn);
}

} // namespace persimmondoor::workflow
