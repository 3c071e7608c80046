#include "OwnerRules.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/workflow/Urgency.h"

#include <algorithm>

namespace persimmondoor::workflow {

static bool mayRunStep(const Job& job, uint32_t occurrence, const Step& step)
{
    size_t first = occurrence * job.record_.spec_.steps().size();
    return std::all_of(step.after_.begin(), step.after_.end(), [&](uint32_t earlier) { return job.undone_[first + earlier] == 0; });
}

static bool isDue(const OwnerState& state, const Job& job, uint32_t occurrence)
{
    const Schedule& schedule = job.record_.spec_.schedule();
    return schedule.occurrences_ == 0 || state.wallMs_ >= schedule.firstDueMs_ + int64_t(occurrence) * schedule.periodMs_;
}

static void assign(const Turn& turn, Job& job, const TaskKey& key, const WorkerLife& life, uint32_t run)
{
    Task& task = job.tasks_[taskNumber(job, key)];
    task.progress_.phase_ = TaskPhase::Assigned;
    task.progress_.run_ = run;
    task.progress_.worker_ = life;
    task.released_ = false;
    task.present_ = false;
    task.stopping_ = false;
    task.percent_ = 0;
    task.slowedSince_.reset();
    task.assigned_ = turn.now_;
    task.progressed_ = turn.now_;
    book(turn.state_.workers_.at(life), key, stepOf(job, key));
    stage(turn.state_, key.job_, ReleaseStart { { key, run } });
}

static TaskKey memberOf(const Job& job, uint32_t occurrence, uint32_t step, uint32_t index)
{
    return { job.record_.id_, occurrence, step, index };
}

// Places all members or none. Returns whether the gang still waits for room.
static bool startGang(const Turn& turn, Job& job, uint32_t occurrence, uint32_t stepNumber)
{
    const Step& step = job.record_.spec_.steps()[stepNumber];
    uint32_t run = 0;
    for (uint32_t index = 0; index < step.count_; ++index) {
        const TaskProgress& progress = job.tasks_[taskNumber(job, memberOf(job, occurrence, stepNumber, index))].progress_;
        if (progress.phase_ != TaskPhase::Waiting)
            return false;
        run = std::max(run, progress.run_);
    }
    StagedJob before = stage(turn.state_, job.record_.id_);
    for (uint32_t index = 0; index < step.count_; ++index) {
        TaskKey key = memberOf(job, occurrence, stepNumber, index);
        auto life = chooseWorker(turn.state_, job, key, turn.now_);
        if (life) {
            assign(turn, job, key, *life, run + 1);
            continue;
        }
        for (uint32_t placed = 0; placed < index; ++placed) {
            TaskKey placedKey = memberOf(job, occurrence, stepNumber, placed);
            unassign(turn, job, placedKey, job.tasks_[taskNumber(job, placedKey)]);
        }
        turn.state_.staged_[job.record_.id_] = before;
        return true;
    }
    return false;
}

namespace {

    // Needs for which no worker had room in this turn: one that asks for as much in every respect has none either.
    class FullNeeds {
    public:
        // An impatient job finds room where others see none.
        bool contains(const Job& job, const Step& step, bool isImpatient) const
        {
            if (isImpatient)
                return false;
            return std::any_of(needs_.begin(), needs_.end(), [&](const Need& need) {
                return need.service_ == job.queue_.service_ && need.fills_ == step.fills_ && need.image_ == step.image_ && need.label_ == step.requiredLabel_ && need.demand_.fitsIn(step.demand_);
            });
        }
        // A bound on tasks per worker is a reason of the step's own.
        void add(const Job& job, const Step& step)
        {
            if (step.maxPerWorker_ == 0)
                needs_.push_back({ job.queue_.service_, step.image_, step.requiredLabel_, step.fills_, step.demand_ });
        }

    private:
        struct Need {
            std::string service_;
            std::string image_;
            std::string label_;
            bool fills_ { false };
            Resources demand_;
        };
        std::vector<Need> needs_;
    };

} // namespace

// Returns whether a task of the step still waits for room.
static bool startStep(const Turn& turn, Job& job, uint32_t occurrence, uint32_t stepNumber, FullNeeds& full)
{
    const Step& step = job.record_.spec_.steps()[stepNumber];
    if (step.gang_)
        return startGang(turn, job, occurrence, stepNumber);
    bool isImpatient = hasLostPatience(turn.state_, job, turn.now_);
    bool isFull = full.contains(job, step, isImpatient);
    for (uint32_t index = 0; index < step.count_; ++index) {
        TaskKey key = memberOf(job, occurrence, stepNumber, index);
        const TaskProgress& progress = job.tasks_[taskNumber(job, key)].progress_;
        if (progress.phase_ != TaskPhase::Waiting)
            continue;
        auto life = isFull ? std::nullopt : chooseWorker(turn.state_, job, key, turn.now_);
        if (!life) {
            if (!isFull)
                full.add(job, step);
            return true;
        }
        assign(turn, job, key, *life, progress.run_ + 1);
    }
    return false;
}

static void noteIdle(const Turn& turn, Job& job, bool waits)
{
    if (!waits || hasAssigned(job))
        job.idleSince_.reset();
    else if (!job.idleSince_)
        job.idleSince_ = turn.now_;
}

// Returns whether the job must be looked at again when room is freed or time passes.
static bool startTasksOf(const Turn& turn, Job& job, FullNeeds& full)
{
    bool waits = false;
    const JobSpec& spec = job.record_.spec_;
    for (uint32_t occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
        if (!isDue(turn.state_, job, occurrence)) {
            waits = true;
            break;
        }
        for (uint32_t step = 0; step < spec.steps().size(); ++step) {
            if (job.undone_[occurrence * spec.steps().size() + step] > 0 && mayRunStep(job, occurrence, spec.steps()[step]))
                waits = startStep(turn, job, occurrence, step, full) || waits;
        }
    }
    return waits;
}

void startReadyTasks(const Turn& turn)
{
    const Tuning& tuning = turn.state_.tuning_;
    if (turn.state_.ready_.size() > tuning.backlog_ && turn.now_ - turn.state_.startedAt_ < tuning.startInterval_)
        return;
    turn.state_.startedAt_ = turn.now_;
    std::vector<Urgency> ready;
    for (const JobId& id : turn.state_.ready_) {
        auto job = turn.state_.jobs_.find(id);
        if (job != turn.state_.jobs_.end())
            ready.push_back(urgencyOf(turn.state_, job->second));
    }
    std::sort(ready.begin(), ready.end());
    FullNeeds full;
    for (const Urgency& urgency : ready) {
        Job& job = turn.state_.jobs_.at(urgency.job_);
        bool waits = !job.cancelled_ && !job.failed_ && startTasksOf(turn, job, full);
        noteIdle(turn, job, waits);
        if (!waits)
            turn.state_.ready_.erase(urgency.job_);
    }
}

// Why a start that was decided before must not leave this process now; empty if it may.
static std::string_view forbids(const OwnerState& state, const Job& job, const WorkerLife& life, Instant now)
{
    if (job.cancelled_ || job.failed_)
        return "the job has ended";
    auto worker = state.workers_.find(life);
    if (worker == state.workers_.end())
        return "the worker is gone";
    if (!takesRuns(state, worker->second, now))
        return "the worker takes no runs";
    if (worker->second.traits_.service_ != job.queue_.service_)
        return "the queue has another service now";
    return {};
}

void withdrawForbiddenStarts(const Turn& turn)
{
    for (auto& [id, staged] : turn.state_.staged_) {
        auto found = turn.state_.jobs_.find(id);
        if (found == turn.state_.jobs_.end())
            continue;
        Job& job = found->second;
        for (uint32_t number = 0; number < job.tasks_.size(); ++number) {
            Task& task = job.tasks_[number];
            if (task.progress_.phase_ == TaskPhase::Assigned && !task.released_ && !forbids(turn.state_, job, task.progress_.worker_, turn.now_).empty())
                unassign(turn, job, keyOf(job, number), task);
        }
    }
}

static void releaseStart(const Turn& turn, const ReleaseStart& effect)
{
    const RunKey& run = effect.run_;
    Task* task = findTask(turn.state_, run.task_);
    if (!task || task->progress_.phase_ != TaskPhase::Assigned || task->progress_.run_ != run.run_ || task->released_)
        return;
    Job& job = turn.state_.jobs_.at(run.task_.job_);
    const WorkerLife life = task->progress_.worker_;
    std::string_view reason = forbids(turn.state_, job, life, turn.now_);
    if (!reason.empty()) {
        turn.remark("run.withdrawn", describe(run), std::string(reason));
        unassign(turn, job, run.task_, *task);
        stage(turn.state_, run.task_.job_);
        return closeIfEnded(turn, job);
    }
    const std::string& agentName = turn.state_.workers_.at(life).agent_;
    Agent& agent = turn.state_.agents_.at(agentName);
    agent.lastOrder_ = agent.lastOrder_.next();
    task->released_ = true;
    task->order_ = agent.lastOrder_;
    addOrder(turn, agentName, StartRun { agent.lastOrder_, life, run, job.record_.spec_.payload(), task->progress_.checkpoint_, "" });
    turn.remark("run.start", describe(run), concat("worker ", life.name_, ", domain ", turn.state_.workers_.at(life).traits_.domain_));
}

static void releaseEnd(const Turn& turn, const ReleaseEnd& effect)
{
    auto worker = turn.state_.workers_.find(effect.worker_);
    if (worker == turn.state_.workers_.end())
        return;
    worker->second.pendingEnds_.erase(effect.number_);
}

namespace {

    struct EffectVisitor {
        const Turn& turn_;

        void operator()(const AnswerClient& answer) const { turn_.act(answer); }
        void operator()(const ReleaseStart& start) const { releaseStart(turn_, start); }
        void operator()(const ReleaseEnd& end) const { releaseEnd(turn_, end); }
    };

} // namespace

void takeDurable(const Turn& turn, const BatchDurable& message)
{
    turn.state_.storeFailedAt_.reset();
    turn.state_.grantsUntil_ = std::max(turn.state_.grantsUntil_, message.sentAt_ + turn.state_.tuning_.leadershipLease_);
    for (const Batch::Item& item : message.batch_.items_) {
        auto job = turn.state_.jobs_.find(item.job_);
        if (job != turn.state_.jobs_.end())
            job->second.durable_ = item.phase_;
        for (const Effect& effect : item.staged_.effects_)
            std::visit(EffectVisitor { turn }, effect);
    }
    startReadyTasks(turn);
}

} // namespace persimmondoor::workflow
