#include "LeaderRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::workflow {

// At most one in this many workers of a service is quarantined at a time, as tasks need the room of the others. Those get one
// task at a time until one has succeeded.
static constexpr size_t workersPerQuarantinedWorker = 2;

bool isQuarantined(const Worker& worker, Instant now)
{
    return now < worker.quarantinedUntil_;
}

bool isUnproven(const Worker& worker)
{
    return worker.quarantineCount_ > 0;
}

static bool hasFailedLongRunning(const Step& step, const Task& task)
{
    return step.longRunning_ && task.progress_.failures_ > 0;
}

// True if a failure on the worker would leave the task a further attempt, and be its first.
static bool mayRiskFailure(const Job& job, const Task& task)
{
    return task.progress_.failures_ == 0 && job.queue_.maxAttempts_ != 1;
}

bool isBarredFromProbes(const Job& job, const TaskKey& key, Disturbance disturbance)
{
    const Task& task = job.tasks_[taskNumber(job, key)];
    if (stepOf(job, key).longRunning_)
        return task.progress_.failures_ > 0;
    return disturbance == Disturbance::AllowedOnSharedCores && !mayRiskFailure(job, task);
}

bool isHeldBack(const Worker& worker, const Job& job, const TaskKey& key, Disturbance disturbance, Instant now)
{
    const Step& step = stepOf(job, key);
    const Task& task = job.tasks_[taskNumber(job, key)];
    bool isProbeDue = worker.nextProbeAt_ && now >= *worker.nextProbeAt_;
    // A task that fails again and again, without a bound, must not keep the worker from those that would prove it. Nor must their
    // probes, which follow each other without end, keep it from the worker.
    bool isProbeOfFailedDue = worker.nextProbeOfFailedAt_ && now >= *worker.nextProbeOfFailedAt_;
    if (isUnproven(worker) && hasFailedLongRunning(step, task) && !isProbeOfFailedDue)
        return true;
    // A probe that neither ends nor makes progress, such as a paused filling task, holds others back only for a time.
    if (!isQuarantined(worker, now))
        return isUnproven(worker) && worker.probe_ && worker.nextProbeAt_ && !isProbeDue;
    // Short tasks have a bounded number of attempts, and get the worker only if nothing of their job runs.
    bool isTrial = disturbance == Disturbance::AllowedOnSharedCores && mayRiskFailure(job, task);
    bool mayProbe = (step.longRunning_ || isTrial) && !step.gang_ && (!worker.probe_ || worker.isProbeReplaceable_) && isProbeDue;
    return !mayProbe;
}

void beginProbe(const DecisionContext& context, const TaskKey& key, Worker& worker)
{
    const Job& job = context.state_.jobs_.at(key.job_);
    worker.probe_ = key;
    // Its start would be withdrawn if another probe replaced it before the release, and that of each successor in turn.
    worker.isProbeReplaceable_ = false;
    worker.nextProbeAt_ = context.now_ + context.state_.tuning_.probeInterval_;
    if (hasFailedLongRunning(stepOf(job, key), job.tasks_[taskNumber(job, key)]))
        worker.nextProbeOfFailedAt_ = worker.nextProbeAt_;
}

static bool isQuarantineFull(const LeaderState& state, const std::string& service, Instant now)
{
    size_t workers = 0;
    size_t quarantined = 0;
    for (const auto& [incarnation, worker] : state.workers_) {
        if (worker.traits_.service_ != service || !worker.isReachable_ || worker.draining_)
            continue;
        ++workers;
        if (isQuarantined(worker, now))
            ++quarantined;
    }
    return (quarantined + 1) * workersPerQuarantinedWorker > workers;
}

void recordWorkerFailure(const DecisionContext& context, const TaskKey& key, const Task& task, Worker& worker)
{
    const Tuning& tuning = context.state_.tuning_;
    // A task that has failed before is likely at fault itself. A run from before the quarantine tells nothing new.
    if (task.progress_.failures_ > 1 || task.times_.assignedAt_ < worker.quarantinedAt_)
        return;
    worker.consecutiveFailures_ = std::min(worker.consecutiveFailures_ + 1, tuning.failuresBeforeQuarantine_);
    if (worker.consecutiveFailures_ < tuning.failuresBeforeQuarantine_)
        return;
    // A worker whose probe has failed is in quarantine already, so that the bound allows for it.
    bool isAllowed = isQuarantined(worker, context.now_) || !isQuarantineFull(context.state_, worker.traits_.service_, context.now_);
    Duration quarantine = !isAllowed ? Duration(0) : std::min(tuning.initialQuarantine_ * (1U << std::min(worker.quarantineCount_, 4U)), tuning.maximumQuarantine_);
    worker.quarantinedAt_ = context.now_;
    worker.quarantinedUntil_ = context.now_ + quarantine;
    ++worker.quarantineCount_;
    worker.probe_.reset();
    worker.nextProbeAt_ = context.now_ + tuning.probeInterval_;
    worker.nextProbeOfFailedAt_ = worker.nextProbeAt_;
    // After the quarantine, one more failure starts the next one.
    worker.consecutiveFailures_ = tuning.failuresBeforeQuarantine_ - 1;
    std::string consequence = isAllowed ? concat("for ", milliseconds(quarantine), " ms") : "not quarantined, as half of its service's workers are; gets one task at a time";
    context.logEvent(isAllowed ? "worker.quarantined" : "worker.unproven", task.progress_.worker_.name_, concat(consequence, "; consecutive first failures of tasks, the last of task ", describe(key)));
}

void recordWorkerProof(const DecisionContext& context, const Task& task, Worker& worker)
{
    if (worker.quarantineCount_ == 0 || task.times_.assignedAt_ < worker.quarantinedAt_)
        return;
    if (isQuarantined(worker, context.now_))
        context.logEvent("worker.proven", task.progress_.worker_.name_, concat(milliseconds(worker.quarantinedUntil_ - context.now_), " ms before the end of its quarantine"));
    worker.quarantinedUntil_ = std::min(worker.quarantinedUntil_, context.now_);
    worker.quarantineCount_ = 0;
    worker.probe_.reset();
    worker.consecutiveFailures_ = 0;
}

} // namespace persimmondoor::workflow
