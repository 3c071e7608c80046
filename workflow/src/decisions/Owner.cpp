#include "persimmondoor/workflow/Owner.h"

#include "OwnerRules.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::workflow {

// The longest that a lease granted now may hold on a worker's clock, which may run slow.
static Duration leaseBound(const Tuning& tuning)
{
    return tuning.taskLease_ * (100 + tuning.clockDriftPercent_) / 100 + tuning.leaseSlack_;
}

static Job restoreJob(StoredJob&& stored, Instant now)
{
    Job job;
    job.record_ = std::move(stored.record_);
    job.queue_ = job.record_.queue_;
    const JobSpec& spec = job.record_.spec_;
    job.cancelled_ = stored.progress_.cancelled_;
    job.failed_ = stored.progress_.failed_;
    job.started_ = stored.progress_.started_;
    stored.progress_.tasks_.resize(size_t(spec.tasksPerOccurrence()) * spec.occurrences());
    job.undone_.resize(spec.steps().size() * spec.occurrences());
    for (TaskProgress& progress : stored.progress_.tasks_) {
        Task task;
        task.progress_ = std::move(progress);
        task.released_ = task.progress_.phase_ == TaskPhase::Assigned;
        task.assigned_ = now;
        task.progressed_ = now;
        job.tasks_.push_back(std::move(task));
        if (job.tasks_.back().progress_.phase_ != TaskPhase::Done)
            ++undoneOf(job, keyOf(job, static_cast<uint32_t>(job.tasks_.size() - 1)));
    }
    job.durable_ = phaseOf(job);
    return job;
}

// Books the tasks that the predecessor's rows say are assigned.
static void rememberAssignments(OwnerState& state, const Job& job, Instant leaseEnd)
{
    for (uint32_t number = 0; number < job.tasks_.size(); ++number) {
        const TaskProgress& progress = job.tasks_[number].progress_;
        if (progress.phase_ != TaskPhase::Assigned)
            continue;
        TaskKey key = keyOf(job, number);
        Worker& worker = state.workers_[progress.worker_];
        worker.leaseEnd_ = leaseEnd;
        book(worker, key, stepOf(job, key));
    }
}

OwnerState takeOver(LeaderEpoch epoch, Tuning tuning, std::vector<StoredJob> rows, Instant now)
{
    OwnerState state;
    state.epoch_ = epoch;
    state.tuning_ = tuning;
    Instant leaseEnd = now + tuning.leadershipLease_ + leaseBound(tuning);
    for (StoredJob& stored : rows) {
        Job job = restoreJob(std::move(stored), now);
        rememberAssignments(state, job, leaseEnd);
        if (isOpen(job)) {
            state.open_.insert(job.record_.id_);
            makeReady(state, job);
        } else {
            job.ended_ = now;
        }
        JobId id = job.record_.id_;
        state.jobs_.emplace(std::move(id), std::move(job));
    }
    return state;
}

static void dropUnreachableWorkers(const Turn& turn)
{
    std::vector<WorkerLife> lapsed;
    for (const auto& [life, worker] : turn.state_.workers_) {
        bool isSilent = turn.now_ - worker.reportedAt_ > turn.state_.tuning_.silenceBeforeNoStarts_;
        if (isSilent && turn.now_ > worker.leaseEnd_)
            lapsed.push_back(life);
    }
    for (const WorkerLife& life : lapsed) {
        // Orders that its agent has not settled are void: the next session has a higher fence.
        turn.state_.agents_.erase(turn.state_.workers_.at(life).agent_);
        dropWorker(turn, life, "no agent reports it and its leases have expired");
    }
    Duration longest = leaseBound(turn.state_.tuning_);
    std::erase_if(turn.state_.agents_, [&](const auto& entry) { return turn.now_ - entry.second.heard_ > longest; });
}

static void stopHungRuns(const Turn& turn)
{
    for (const JobId& id : turn.state_.open_) {
        Job& job = turn.state_.jobs_.at(id);
        for (uint32_t number = 0; number < job.tasks_.size(); ++number) {
            Task& task = job.tasks_[number];
            if (task.progress_.phase_ != TaskPhase::Assigned || !task.present_ || task.stopping_)
                continue;
            TaskKey key = keyOf(job, number);
            const Step& step = stepOf(job, key);
            bool atWork = step.longRunning_ && task.percent_ >= 100;
            if (step.fills_ || step.gang_ || atWork || turn.now_ - task.progressed_ < turn.state_.tuning_.hungAfter_)
                continue;
            task.avoided_ = task.progress_.worker_.name_;
            orderStop(turn, key, task, "no progress");
        }
    }
}

// Work that would be lost with a move is worth waiting for once this much of it is done, in percent.
static constexpr uint32_t mostLostPercent = 50;

static bool isSlowed(const Turn& turn, const Task& task, const Step& step)
{
    bool isRunning = task.progress_.phase_ == TaskPhase::Assigned && task.present_ && !task.stopping_;
    if (!isRunning || !task.slowedSince_ || turn.now_ - *task.slowedSince_ < turn.state_.tuning_.slowedFor_)
        return false;
    return step.savesProgress_ || task.percent_ < mostLostPercent;
}

// Stops filling tasks that are slowed down where they are, if another worker can take them.
static void moveSlowedRuns(const Turn& turn)
{
    uint32_t moved = 0;
    for (const JobId& id : turn.state_.open_) {
        Job& job = turn.state_.jobs_.at(id);
        for (uint32_t number = 0; number < job.tasks_.size() && moved < turn.state_.tuning_.movesAtOnce_; ++number) {
            Task& task = job.tasks_[number];
            TaskKey key = keyOf(job, number);
            if (!isSlowed(turn, task, stepOf(job, key)))
                continue;
            auto better = chooseWorker(turn.state_, job, key, turn.now_);
            if (!better || *better == task.progress_.worker_)
                continue;
            task.avoided_ = task.progress_.worker_.name_;
            orderStop(turn, key, task, "slowed down");
            ++moved;
        }
    }
}

static void forgetOldJobs(const Turn& turn)
{
    std::vector<JobId> old;
    for (const auto& [id, job] : turn.state_.jobs_) {
        if (job.ended_ && turn.now_ - *job.ended_ > turn.state_.tuning_.retention_ && turn.state_.staged_.count(id) == 0)
            old.push_back(id);
    }
    for (const JobId& id : old) {
        turn.state_.jobs_.erase(id);
        stage(turn.state_, id).dropped_ = true;
    }
}

void takeTick(const Turn& turn, const Tick& tick)
{
    turn.state_.wallMs_ = tick.wallMs_;
    if (turn.now_ < turn.state_.checkAt_)
        return startReadyTasks(turn);
    turn.state_.checkAt_ = turn.now_ + turn.state_.tuning_.checkInterval_;
    refuseUnsentJobs(turn);
    dropUnreachableWorkers(turn);
    stopHungRuns(turn);
    moveSlowedRuns(turn);
    forgetOldJobs(turn);
    startReadyTasks(turn);
}

namespace {

    struct MessageVisitor {
        const Turn& turn_;

        void operator()(const CallArrived& message) const
        {
            turn_.state_.wallMs_ = std::max(turn_.state_.wallMs_, message.wallMs_);
            takeCall(turn_, message);
        }
        void operator()(const ReportArrived& message) const { takeReport(turn_, message.report_); }
        void operator()(const CatalogChanged& message) const
        {
            if (message.catalog_.version_ <= turn_.state_.catalog_.version_)
                return;
            turn_.remark("configuration.changed", concat("version ", message.catalog_.version_), concat(message.catalog_.queues_.size(), " queues"));
            turn_.state_.catalog_ = message.catalog_;
            for (const JobId& id : turn_.state_.open_)
                applyCatalog(turn_.state_.catalog_, turn_.state_.jobs_.at(id));
            withdrawForbiddenStarts(turn_);
            startReadyTasks(turn_);
        }
        void operator()(const EvacuationsChanged& message) const
        {
            if (message.domains_ == turn_.state_.evacuated_)
                return;
            turn_.remark("evacuations.changed", "domains", concat(message.domains_.size(), " evacuated"));
            turn_.state_.evacuated_ = message.domains_;
            withdrawForbiddenStarts(turn_);
            startReadyTasks(turn_);
        }
        void operator()(const BatchDurable& message) const { takeDurable(turn_, message); }
        void operator()(const StoreFailed&) const
        {
            if (!turn_.state_.storeFailedAt_)
                turn_.state_.storeFailedAt_ = turn_.now_;
        }
        void operator()(const Tick& message) const { takeTick(turn_, message); }
    };

} // namespace

Decision decide(OwnerState state, const OwnerMessage& message, Instant now)
{
    Decision decision { std::move(state), {} };
    Turn turn { decision.state_, decision.actions_, now };
    std::visit(MessageVisitor { turn }, message);
    return decision;
}

Batch takeBatch(OwnerState& state)
{
    Batch batch;
    size_t count = std::min(state.stagedOrder_.size(), maximumBatchJobs);
    for (size_t index = 0; index < count; ++index) {
        auto staged = state.staged_.extract(state.stagedOrder_[index]);
        auto job = state.jobs_.find(staged.key());
        JobPhase phase = job == state.jobs_.end() ? JobPhase::Pending : phaseOf(job->second);
        batch.items_.push_back({ staged.key(), phase, std::move(staged.mapped()) });
    }
    state.stagedOrder_.erase(state.stagedOrder_.begin(), state.stagedOrder_.begin() + static_cast<std::ptrdiff_t>(count));
    return batch;
}

void restage(OwnerState& state, Batch batch, bool mayBeStored)
{
    std::vector<JobId> order;
    for (Batch::Item& item : batch.items_) {
        order.push_back(item.job_);
        item.staged_.mayBeStored_ = item.staged_.mayBeStored_ || mayBeStored;
        auto newer = state.staged_.find(item.job_);
        if (newer == state.staged_.end()) {
            state.staged_.emplace(item.job_, std::move(item.staged_));
            continue;
        }
        std::erase(state.stagedOrder_, item.job_);
        item.staged_.withRecord_ = item.staged_.withRecord_ || newer->second.withRecord_;
        item.staged_.dropped_ = item.staged_.dropped_ || newer->second.dropped_;
        std::move(newer->second.effects_.begin(), newer->second.effects_.end(), std::back_inserter(item.staged_.effects_));
        newer->second = std::move(item.staged_);
    }
    state.stagedOrder_.insert(state.stagedOrder_.begin(), order.begin(), order.end());
}

std::optional<Progress> progressOf(const OwnerState& state, const JobId& id)
{
    auto found = state.jobs_.find(id);
    if (found == state.jobs_.end())
        return std::nullopt;
    const Job& job = found->second;
    Progress progress { job.cancelled_, job.failed_, job.started_, {} };
    progress.tasks_.reserve(job.tasks_.size());
    for (const Task& task : job.tasks_)
        progress.tasks_.push_back(task.progress_);
    return progress;
}

static uint64_t durableEnd(const Worker& worker)
{
    return worker.pendingEnds_.empty() ? worker.takenEnd_ : *worker.pendingEnds_.begin() - 1;
}

static void describeRuns(const OwnerState& state, const Worker& worker, Directive& directive)
{
    for (const TaskKey& key : worker.assigned_) {
        const Job& job = state.jobs_.at(key.job_);
        const Step& step = stepOf(job, key);
        if (step.fills_ || step.targetTailMs_ > 0)
            directive.traits_.push_back({ { key, job.tasks_[taskNumber(job, key)].progress_.run_ }, step.fills_, step.targetTailMs_, step.image_, step.demand_.milliCores() });
    }
}

// What the agent needs to know to pace the filling tasks on its worker.
static void describeInterference(const OwnerState& state, const Worker& worker, Directive& directive)
{
    for (const Tolerance& tolerance : worker.tolerances_) {
        auto known = state.interference_.sensitivities_.find(tolerance.image_);
        if (known == state.interference_.sensitivities_.end())
            continue;
        Sensitivity& told = directive.interference_.sensitivities_[tolerance.image_];
        told.unloadedMs_ = known->second.unloadedMs_;
        for (const auto& [image, milliCores] : worker.fillingByImage_) {
            if (auto factor = known->second.factors_.find(image); factor != known->second.factors_.end())
                told.factors_.insert(*factor);
        }
    }
}

static bool isResendDue(const OwnerState& state, const Agent& agent, Instant now)
{
    return !agent.outbox_.empty() && now - agent.sentAt_ > state.tuning_.resendAfter_;
}

Directive directiveFor(OwnerState& state, const std::string& name, Instant now)
{
    Agent& agent = state.agents_.at(name);
    Directive directive { state.epoch_, agent.fence_, agent.answered_, Duration(0), {}, {}, {}, {} };
    if (agent.hasReported_ && now < state.grantsUntil_)
        directive.lease_ = state.tuning_.taskLease_;
    bool resend = isResendDue(state, agent, now);
    for (const Order& order : agent.outbox_) {
        if (resend || numberOf(order) > agent.sent_)
            directive.orders_.push_back(order);
    }
    if (!directive.orders_.empty())
        agent.sentAt_ = now;
    agent.sent_ = agent.lastOrder_;
    agent.hasNews_ = false;
    for (const WorkerLife& life : agent.workers_) {
        auto found = state.workers_.find(life);
        if (found == state.workers_.end() || found->second.agent_ != name)
            continue;
        Worker& worker = found->second;
        if (directive.lease_ > Duration(0) && worker.reportedAt_ >= agent.heard_)
            worker.leaseEnd_ = std::max(worker.leaseEnd_, now + leaseBound(state.tuning_));
        worker.announcedEnd_ = durableEnd(worker);
        directive.durable_.push_back({ life, worker.announcedEnd_ });
        describeRuns(state, worker, directive);
        describeInterference(state, worker, directive);
    }
    return directive;
}

bool hasNews(const OwnerState& state, const std::string& name, Instant now)
{
    auto found = state.agents_.find(name);
    if (found == state.agents_.end())
        return false;
    const Agent& agent = found->second;
    if (agent.hasNews_ || isResendDue(state, agent, now))
        return true;
    return std::any_of(agent.outbox_.begin(), agent.outbox_.end(), [&](const Order& order) { return numberOf(order) > agent.sent_; });
}

} // namespace persimmondoor::workflow
