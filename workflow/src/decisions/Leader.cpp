#include "persimmondoor/workflow/Leader.h"

#include "AdmissionSurvey.h"
#include "DemandSurvey.h"
#include "SlowWorkers.h"
#include "SlowedRuns.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::workflow {

static Job restoreJob(StoredJob&& stored, Instant now)
{
    Job job;
    job.record_ = std::move(stored.record_);
    job.queue_ = job.record_.queue_;
    const JobSpec& spec = job.record_.spec_;
    job.isCancelled_ = stored.progress_.isCancelled_;
    job.hasFailed_ = stored.progress_.hasFailed_;
    job.hasStarted_ = stored.progress_.hasStarted_;
    stored.progress_.tasks_.resize(size_t(spec.tasksPerOccurrence()) * spec.occurrences());
    job.unfinishedTasks_.resize(spec.steps().size() * spec.occurrences());
    job.stepTimes_.resize(job.unfinishedTasks_.size());
    for (TaskProgress& progress : stored.progress_.tasks_) {
        Task task;
        task.progress_ = std::move(progress);
        task.isStartReleased_ = task.progress_.phase_ == TaskPhase::Assigned;
        task.times_.assignedAt_ = now;
        task.lastProgressAt_ = now;
        job.tasks_.push_back(std::move(task));
        if (job.tasks_.back().progress_.phase_ != TaskPhase::Done)
            ++unfinishedTasksOf(job, keyOf(job, static_cast<uint32_t>(job.tasks_.size() - 1)));
    }
    job.durablePhase_ = phaseOf(job);
    return job;
}

// Reserves resources for the tasks that are assigned according to the predecessor's rows.
static void restoreAssignments(LeaderState& state, const Job& job, const LeaseBounds& bounds)
{
    for (uint32_t number = 0; number < job.tasks_.size(); ++number) {
        const TaskProgress& progress = job.tasks_[number].progress_;
        if (progress.phase_ != TaskPhase::Assigned)
            continue;
        TaskKey key = keyOf(job, number);
        Worker& worker = state.workers_[progress.worker_];
        worker.leaseEnd_ = leaseEndOf(bounds, progress.worker_);
        worker.leaseGrants_ = bounds.silentWorkers_.count(progress.worker_) > 0 ? LeaseGrants::Suspended : LeaseGrants::Allowed;
        reserveResources(worker, key, stepOf(job, key));
        if (isLateSuspect(state.tuning_, progress) && !stepOf(job, key).gang_)
            worker.suspects_.insert(key);
    }
}

LeaderState restoreState(LeaderEpoch epoch, Tuning tuning, std::vector<StoredJob> rows, const LeaseBounds& bounds, Instant now, DecisionTrace* trace)
{
    LeaderState state;
    state.epoch_ = epoch;
    state.tuning_ = tuning;
    state.awaitsWorkersUntil_ = now + tuning.maximumWorkerWait_;
    for (StoredJob& stored : rows) {
        if (trace)
            trace->note(stored.record_.id_);
        Job job = restoreJob(std::move(stored), now);
        restoreAssignments(state, job, bounds);
        if (isOpen(job)) {
            state.openJobs_.insert(job.record_.id_);
            makeReady(state, job);
        } else {
            job.endedAt_ = now;
        }
        JobId id = job.record_.id_;
        state.taskCount_ += job.tasks_.size();
        state.jobs_.emplace(std::move(id), std::move(job));
    }
    return state;
}

static void dropUnreachableWorkers(const DecisionContext& context)
{
    std::vector<WorkerIncarnation> expired;
    for (const auto& [incarnation, worker] : context.state_.workers_) {
        bool isSilent = context.now_ - worker.lastReportAt_ > context.state_.tuning_.maximumReportAge_;
        if (isSilent && context.now_ > worker.leaseEnd_)
            expired.push_back(incarnation);
    }
    for (const WorkerIncarnation& incarnation : expired) {
        // Removing the agent makes its next report begin a session with a higher fence, which invalidates pending orders.
        const Worker& worker = context.state_.workers_.at(incarnation);
        context.state_.agents_.erase(worker.agent_);
        noteSilentWorker(context, incarnation, worker);
        dropWorker(context, incarnation, "no agent reports it and its leases have expired");
    }
    Duration longest = longestLease(context.state_.tuning_, context.state_.tuning_.taskLease_);
    std::erase_if(context.state_.agents_, [&](const auto& entry) { return context.now_ - entry.second.lastReportAt_ > longest; });
}

static void stopHungRuns(const DecisionContext& context)
{
    for (const JobId& id : context.state_.openJobs_) {
        context.noteJob(id);
        Job& job = context.state_.jobs_.at(id);
        for (uint32_t number = 0; number < job.tasks_.size(); ++number) {
            Task& task = job.tasks_[number];
            if (task.progress_.phase_ != TaskPhase::Assigned || !task.isOnWorker_ || task.isStopping_)
                continue;
            TaskKey key = keyOf(job, number);
            const Step& step = stepOf(job, key);
            bool hasStartedUp = step.longRunning_ && task.progressPercent_ >= 100;
            if (step.isFilling_ || step.gang_ || hasStartedUp || context.now_ - task.lastProgressAt_ < context.state_.tuning_.hungAfter_)
                continue;
            task.avoidedWorker_ = task.progress_.worker_.name_;
            orderStop(context, key, task, "no progress");
        }
    }
}

static void removeExpiredJobs(const DecisionContext& context)
{
    std::vector<JobId> expired;
    for (const auto& [id, job] : context.state_.jobs_) {
        if (job.endedAt_ && context.now_ - *job.endedAt_ > context.state_.tuning_.finishedJobRetention_ && context.state_.staged_.count(id) == 0)
            expired.push_back(id);
    }
    for (const JobId& id : expired) {
        context.state_.taskCount_ -= context.state_.jobs_.at(id).tasks_.size();
        context.state_.jobs_.erase(id);
        stage(context.state_, id).isRemoved_ = true;
    }
}

void handleTick(const DecisionContext& context, const Tick& tick)
{
    context.state_.wallMs_ = tick.wallMs_;
    if (context.now_ < context.state_.nextCheckAt_)
        return startReadyTasks(context);
    context.state_.nextCheckAt_ = context.now_ + context.state_.tuning_.checkInterval_;
    refuseUnsentJobs(context);
    suspendLeasesOfSilentWorkers(context);
    dropUnreachableWorkers(context);
    endOverdueListWaits(context);
    stopHungRuns(context);
    moveSlowedRuns(context);
    moveRunsFromSlowWorkers(context);
    removeExpiredJobs(context);
    removeExpiredCancellations(context);
    updateUrgentRoom(context);
    updateRoomHolds(context);
    startReadyTasks(context);
    reportLateJobs(context);
    DemandSurveys surveys(context.state_, context.now_);
    reportBacklog(context, surveys);
    reportWaitingLongRunningTasks(context);
    updateStandstills(context);
    reportWaitingJobs(context, surveys);
}

namespace {

    struct MessageVisitor {
        const DecisionContext& context_;

        void operator()(const CallArrived& message) const
        {
            context_.state_.wallMs_ = std::max(context_.state_.wallMs_, message.wallMs_);
            handleCall(context_, message);
        }
        void operator()(const ReportArrived& message) const { handleReport(context_, message.report_); }
        void operator()(const CatalogChanged& message) const
        {
            if (message.catalog_.version_ <= context_.state_.catalog_.version_)
                return;
            context_.logEvent("configuration.changed", concat("version ", message.catalog_.version_), concat(message.catalog_.queues_.size(), " queues"));
            context_.state_.catalog_ = message.catalog_;
            forgetRemovedQueues(context_.state_);
            for (const JobId& id : context_.state_.openJobs_)
                applyCatalog(context_.state_.catalog_, context_.state_.jobs_.at(id));
            withdrawForbiddenStarts(context_);
            // The change may make room for all that wait.
            context_.state_.hasNewlyReadyJobs_ = true;
            startReadyTasks(context_);
        }
        void operator()(const EvacuationsChanged& message) const
        {
            if (message.domains_ == context_.state_.evacuatedDomains_)
                return;
            context_.logEvent("evacuations.changed", "domains", concat(message.domains_.size(), " evacuated"));
            context_.state_.evacuatedDomains_ = message.domains_;
            withdrawForbiddenStarts(context_);
            // The change may make room for all that wait.
            context_.state_.hasNewlyReadyJobs_ = true;
            startReadyTasks(context_);
        }
        void operator()(const BatchDurable& message) const { handleBatchDurable(context_, message); }
        void operator()(const RowsRejected& message) const { rejectSubmission(context_, message.job_); }
        void operator()(const StoreFailed&) const
        {
            if (!context_.state_.storeFailedAt_)
                context_.state_.storeFailedAt_ = context_.now_;
        }
        void operator()(const Tick& message) const { handleTick(context_, message); }
    };

} // namespace

Decision decide(LeaderState state, const LeaderMessage& message, Instant now, DecisionTrace* trace)
{
    Decision decision { std::move(state), {} };
    DecisionContext context { decision.state_, decision.actions_, now, trace };
    std::visit(MessageVisitor { context }, message);
    return decision;
}

Batch extractBatch(LeaderState& state, size_t maximumJobs)
{
    Batch batch;
    size_t count = std::min(state.stagedOrder_.size(), maximumJobs);
    for (size_t index = 0; index < count; ++index) {
        auto staged = state.staged_.extract(state.stagedOrder_[index]);
        auto job = state.jobs_.find(staged.key());
        JobPhase phase = job == state.jobs_.end() ? JobPhase::Pending : phaseOf(job->second);
        batch.items_.push_back({ staged.key(), phase, std::move(staged.mapped()) });
    }
    state.stagedOrder_.erase(state.stagedOrder_.begin(), state.stagedOrder_.begin() + static_cast<std::ptrdiff_t>(count));
    batch.silentWorkers_ = silentWorkersOf(state);
    state.hasLeaseChanges_ = false;
    return batch;
}

void restage(LeaderState& state, Batch batch, bool mayBeStored)
{
    state.hasLeaseChanges_ = true;
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
        item.staged_.writesRecord_ = item.staged_.writesRecord_ || newer->second.writesRecord_;
        item.staged_.isRemoved_ = item.staged_.isRemoved_ || newer->second.isRemoved_;
        item.staged_.writesCancellation_ = item.staged_.writesCancellation_ || newer->second.writesCancellation_;
        std::move(newer->second.effects_.begin(), newer->second.effects_.end(), std::back_inserter(item.staged_.effects_));
        newer->second = std::move(item.staged_);
    }
    state.stagedOrder_.insert(state.stagedOrder_.begin(), order.begin(), order.end());
}

std::optional<Progress> progressOf(const LeaderState& state, const JobId& id)
{
    auto found = state.jobs_.find(id);
    if (found == state.jobs_.end())
        return std::nullopt;
    const Job& job = found->second;
    Progress progress { job.isCancelled_, job.hasFailed_, job.hasStarted_, {} };
    progress.tasks_.reserve(job.tasks_.size());
    for (const Task& task : job.tasks_)
        progress.tasks_.push_back(task.progress_);
    return progress;
}

// Number of the end up to which all ends of the worker are durable.
static uint64_t durableEnd(const Worker& worker)
{
    uint64_t durable = worker.lastHandledEnd_;
    for (const std::set<uint64_t>& pending : { worker.nonDurableEnds_, worker.heldEnds_ }) {
        if (!pending.empty())
            durable = std::min(durable, *pending.begin() - 1);
    }
    return durable;
}

static void addRunTraits(const LeaderState& state, const Worker& worker, ReportReply& reply)
{
    for (const TaskKey& key : worker.assignedTasks_) {
        const Job& job = state.jobs_.at(key.job_);
        const Step& step = stepOf(job, key);
        if (step.isFilling_ || step.targetTailMs_ > 0)
            reply.traits_.push_back({ { key, job.tasks_[taskNumber(job, key)].progress_.run_ }, step.isFilling_, step.targetTailMs_, step.image_, step.demand_.milliCores() });
    }
}

// Adds the estimates from which the agent computes the pace of the filling tasks on the worker.
static void addSensitivities(const LeaderState& state, const Worker& worker, ReportReply& reply)
{
    for (const Headroom& headroom : worker.headrooms_) {
        auto known = state.interference_.sensitivities_.find(headroom.image_);
        if (known == state.interference_.sensitivities_.end())
            continue;
        Sensitivity& sensitivity = reply.interference_.sensitivities_[headroom.image_];
        sensitivity.unloadedMs_ = known->second.unloadedMs_;
        for (const auto& [image, filling] : worker.fillingByImage_) {
            if (auto factor = known->second.factors_.find(image); factor != known->second.factors_.end())
                sensitivity.factors_.insert(*factor);
        }
    }
}

static bool isResendDue(const LeaderState& state, const Agent& agent, Instant now)
{
    return !agent.pendingOrders_.empty() && now - agent.ordersSentAt_ > state.tuning_.resendAfter_;
}

ReportReply makeReportReply(LeaderState& state, const std::string& name, Instant now)
{
    Agent& agent = state.agents_.at(name);
    ReportReply reply { state.epoch_, agent.fence_, agent.newestReport_, Duration(0), {}, {}, {}, {} };
    reply.lease_ = grantableLease(state, agent, now);
    reply.services_ = state.catalog_.serviceNames();
    bool resend = isResendDue(state, agent, now);
    for (const Order& order : agent.pendingOrders_) {
        if (resend || numberOf(order) > agent.lastSentOrder_)
            reply.orders_.push_back(order);
    }
    if (!reply.orders_.empty())
        agent.ordersSentAt_ = now;
    agent.lastSentOrder_ = agent.lastOrder_;
    agent.isReplyDue_ = false;
    for (const WorkerIncarnation& incarnation : agent.workers_) {
        auto found = state.workers_.find(incarnation);
        if (found == state.workers_.end() || found->second.agent_ != name)
            continue;
        Worker& worker = found->second;
        if (reply.lease_ > Duration(0) && isInNewestReport(agent, worker))
            worker.leaseEnd_ = std::max(worker.leaseEnd_, now + longestLease(state.tuning_, reply.lease_));
        worker.acknowledgedEnd_ = durableEnd(worker);
        reply.durableEnds_.push_back({ incarnation, worker.acknowledgedEnd_ });
        addRunTraits(state, worker, reply);
        addSensitivities(state, worker, reply);
    }
    return reply;
}

bool isReplyDue(const LeaderState& state, const std::string& name, Instant now)
{
    auto found = state.agents_.find(name);
    if (found == state.agents_.end())
        return false;
    const Agent& agent = found->second;
    if (agent.isReplyDue_ || isResendDue(state, agent, now))
        return true;
    return std::any_of(agent.pendingOrders_.begin(), agent.pendingOrders_.end(), [&](const Order& order) { return numberOf(order) > agent.lastSentOrder_; });
}

} // namespace persimmondoor::workflow
