#include "OwnerRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

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
    uint32_t step = 0;
    while (within >= spec.offset(step) + spec.steps()[step].count_)
        ++step;
    return { job.record_.id_, occurrence, step, within - spec.offset(step) };
}

const Step& stepOf(const Job& job, const TaskKey& task)
{
    return job.record_.spec_.steps()[task.step_];
}

uint32_t& undoneOf(Job& job, const TaskKey& task)
{
    return job.undone_[task.occurrence_ * job.record_.spec_.steps().size() + task.step_];
}

Task* findTask(OwnerState& state, const TaskKey& task)
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

bool hasAssigned(const Job& job)
{
    return std::any_of(job.tasks_.begin(), job.tasks_.end(), [](const Task& task) { return task.progress_.phase_ == TaskPhase::Assigned; });
}

bool isOpen(const Job& job)
{
    if (job.cancelled_ || job.failed_)
        return hasAssigned(job);
    return std::any_of(job.undone_.begin(), job.undone_.end(), [](uint32_t count) { return count > 0; });
}

JobPhase phaseOf(const Job& job)
{
    bool done = std::all_of(job.undone_.begin(), job.undone_.end(), [](uint32_t count) { return count == 0; });
    if (done)
        return JobPhase::Completed;
    if (job.cancelled_)
        return JobPhase::Cancelled;
    if (job.failed_)
        return JobPhase::Failed;
    return job.started_ ? JobPhase::Running : JobPhase::Pending;
}

StagedJob& stage(OwnerState& state, const JobId& job)
{
    auto [staged, isNew] = state.staged_.try_emplace(job);
    if (isNew)
        state.stagedOrder_.push_back(job);
    return staged->second;
}

void stage(OwnerState& state, const JobId& job, Effect effect)
{
    stage(state, job).effects_.push_back(std::move(effect));
}

void makeReady(OwnerState& state, const Job& job)
{
    if (!job.cancelled_ && !job.failed_)
        state.ready_.insert(job.record_.id_);
}

void closeIfEnded(const Turn& turn, Job& job)
{
    if (job.ended_ || isOpen(job))
        return;
    job.ended_ = turn.now_;
    turn.state_.open_.erase(job.record_.id_);
    turn.state_.ready_.erase(job.record_.id_);
    turn.remark("job.ended", job.record_.id_.value(), std::string(describe(phaseOf(job))));
}

void addOrder(const Turn& turn, const std::string& name, Order order)
{
    auto agent = turn.state_.agents_.find(name);
    if (agent == turn.state_.agents_.end())
        return;
    agent->second.outbox_.push_back(std::move(order));
    turn.act(WakeAgent { name });
}

// The agent of that life of a worker, or null if none has reported it to this owner.
static Agent* agentOf(OwnerState& state, const WorkerLife& life)
{
    auto worker = state.workers_.find(life);
    if (worker == state.workers_.end())
        return nullptr;
    auto agent = state.agents_.find(worker->second.agent_);
    return agent == state.agents_.end() ? nullptr : &agent->second;
}

void orderStop(const Turn& turn, const TaskKey& key, Task& task, std::string_view why)
{
    if (task.stopping_)
        return;
    const WorkerLife life = task.progress_.worker_;
    Agent* agent = agentOf(turn.state_, life);
    if (!agent)
        return;
    task.stopping_ = true;
    task.stopOrdered_ = turn.now_;
    agent->lastOrder_ = agent->lastOrder_.next();
    // The run is gone only once this order too has its outcome.
    task.order_ = agent->lastOrder_;
    RunKey run { key, task.progress_.run_ };
    addOrder(turn, turn.state_.workers_.at(life).agent_, StopRun { agent->lastOrder_, life, run });
    turn.remark("run.stop", describe(run), concat(why, "; worker ", life.name_));
}

void book(Worker& worker, const TaskKey& key, const Step& step)
{
    worker.assigned_.insert(key);
    worker.used_ = worker.used_ + step.demand_;
    if (step.fills_) {
        worker.fillingMilliCores_ += step.demand_.milliCores();
        worker.fillingByImage_[step.image_] += step.demand_.milliCores();
    }
    if (!step.longRunning_)
        return;
    ++worker.longRunning_;
    ++worker.longRunningByImage_[step.image_];
    worker.longRunningMilliCores_ += step.demand_.milliCores();
}

void stopTasks(const Turn& turn, Job& job, std::string_view why)
{
    for (uint32_t number = 0; number < job.tasks_.size(); ++number) {
        Task& task = job.tasks_[number];
        if (task.progress_.phase_ != TaskPhase::Assigned)
            continue;
        TaskKey key = keyOf(job, number);
        if (task.released_)
            orderStop(turn, key, task, why);
        else
            unassign(turn, job, key, task);
    }
}

static void release(Worker& worker, const TaskKey& key, const Step& step)
{
    if (worker.assigned_.erase(key) == 0)
        return;
    worker.used_ = worker.used_ - step.demand_;
    if (step.fills_) {
        worker.fillingMilliCores_ -= step.demand_.milliCores();
        auto image = worker.fillingByImage_.find(step.image_);
        image->second -= step.demand_.milliCores();
        if (image->second <= 0)
            worker.fillingByImage_.erase(image);
    }
    if (!step.longRunning_)
        return;
    --worker.longRunning_;
    if (auto image = worker.longRunningByImage_.find(step.image_); --image->second == 0)
        worker.longRunningByImage_.erase(image);
    worker.longRunningMilliCores_ -= step.demand_.milliCores();
}

// A gang runs whole or not at all: if one member is off its worker, the others are stopped.
static void breakGang(const Turn& turn, Job& job, const TaskKey& key)
{
    const Step& step = stepOf(job, key);
    if (!step.gang_)
        return;
    for (uint32_t index = 0; index < step.count_; ++index) {
        TaskKey memberKey { key.job_, key.occurrence_, key.step_, index };
        Task& member = job.tasks_[taskNumber(job, memberKey)];
        if (member.progress_.phase_ != TaskPhase::Assigned)
            continue;
        if (member.released_)
            orderStop(turn, memberKey, member, "another member of the gang is away");
        else
            unassign(turn, job, memberKey, member);
    }
}

void unassign(const Turn& turn, Job& job, const TaskKey& key, Task& task)
{
    auto worker = turn.state_.workers_.find(task.progress_.worker_);
    if (worker != turn.state_.workers_.end())
        release(worker->second, key, stepOf(job, key));
    if (task.progress_.phase_ == TaskPhase::Assigned)
        task.progress_.phase_ = TaskPhase::Waiting;
    task.released_ = false;
    task.present_ = false;
    task.stopping_ = false;
    task.order_ = OrderNumber();
    breakGang(turn, job, key);
    makeReady(turn.state_, job);
}

void loseRun(const Turn& turn, Job& job, const TaskKey& key, Task& task, std::string_view why)
{
    turn.remark("run.lost", describe(RunKey { key, task.progress_.run_ }), concat(why, "; worker ", task.progress_.worker_.name_));
    unassign(turn, job, key, task);
    stage(turn.state_, key.job_);
    closeIfEnded(turn, job);
}

void dropWorker(const Turn& turn, const WorkerLife& life, std::string_view why)
{
    auto worker = turn.state_.workers_.find(life);
    if (worker == turn.state_.workers_.end())
        return;
    turn.remark("worker.gone", concat(life.name_, "@", life.bornMs_), concat(why, "; ", worker->second.assigned_.size(), " tasks assigned"));
    std::set<TaskKey> assigned = worker->second.assigned_;
    for (const TaskKey& key : assigned) {
        Job& job = turn.state_.jobs_.at(key.job_);
        Task& task = job.tasks_[taskNumber(job, key)];
        if (task.progress_.phase_ == TaskPhase::Assigned)
            loseRun(turn, job, key, task, why);
    }
    auto agent = turn.state_.agents_.find(worker->second.agent_);
    if (agent != turn.state_.agents_.end())
        agent->second.workers_.erase(life);
    turn.state_.workers_.erase(life);
}

} // namespace persimmondoor::workflow
