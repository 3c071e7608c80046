#include "OwnerRules.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::jobs {

// Doublings of a delay are counted up to this many.
static constexpr uint32_t maximumDoublings = 16;

static Duration grow(Duration first, uint32_t times, Duration most)
{
    return std::min(first * (int64_t(1) << std::min(times, maximumDoublings)), most);
}

void OwnerRules::onEffect(const StartPermitted& effect)
{
    auto proposed = owner_.proposedStarts_.find(effect.task_);
    std::optional<hosting::Stamp> stamp;
    if (proposed != owner_.proposedStarts_.end() && proposed->second.site_ == effect.site_)
        stamp = proposed->second.stamp_;
    if (proposed != owner_.proposedStarts_.end())
        owner_.proposedStarts_.erase(proposed);
    const Task* task = findAttempt(effect.task_, effect.attempt_);
    if (!task)
        return;
    Owner::Run& run = owner_.runs_[effect.task_];
    run = Owner::Run {};
    // No order has been given for this attempt so far, so that it is over if none is given now.
    if (!stamp || std::holds_alternative<Stopping>(task->phase_)) {
        run.isStartAnswered_ = true;
        return release(effect.task_, effect.attempt_, ReleaseCause::NeverStarted, "");
    }
    Owner::Host& at = host(effect.site_.worker_);
    at.leaseEnd_ = std::max(at.leaseEnd_, moment_.now_ + taskLease + leaseMargin);
    const JobSpec& spec = specOf(effect.task_);
    actions_.emplace_back(SendStart { effect.site_.worker_, effect.task_,
        { taskId(effect.task_), effect.attempt_, owner_.identity_.partition_, owner_.identity_.epoch_, spec.team_, spec.priority_.tier_, spec.resources_,
            spec.command_, task->checkpoint_, *stamp, taskLease } });
}

void OwnerRules::onEffect(const StopRequired& effect)
{
    const Task* task = findAttempt(effect.task_, effect.attempt_);
    if (task && !owner_.proposedEnds_.contains({ effect.task_, effect.attempt_ }))
        stop(effect.task_, hosting::StopKind::Stop);
}

void OwnerRules::onEffect(const AttemptClosed& effect)
{
    owner_.runs_.erase(effect.task_);
    owner_.proposedEnds_.erase({ effect.task_, effect.attempt_ });
    const Task* task = owner_.ledger_.find(effect.task_);
    if (effect.failed_)
        owner_.quarantine_ = recordFailure(std::move(owner_.quarantine_), effect.site_.worker_, effect.task_.job_, owner_.workers_.size(), moment_.now_);
    else if (task && std::holds_alternative<Finished>(task->phase_))
        owner_.quarantine_ = recordSuccess(std::move(owner_.quarantine_), effect.site_.worker_);
    if (!effect.waits_ || !task || isEnded(task->phase_)) {
        owner_.waits_.erase(effect.task_);
        return;
    }
    if (effect.failed_)
        delay(effect.task_, concat("waits after a failure: ", task->lastError_), grow(firstTaskDelay, std::max(task->failures_, 1U) - 1, maximumTaskDelay));
    owner_.nextRound_ = std::min(owner_.nextRound_, moment_.now_);
}

void OwnerRules::operator()(const StartAnswered& message)
{
    const Task* task = findAttempt(message.task_, message.attempt_);
    if (!task)
        return;
    owner_.runs_[message.task_].isStartAnswered_ = true;
    auto neverStarted = [&](std::string reason) {
        Owner::Wait& wait = owner_.waits_[message.task_];
        delay(message.task_, std::move(reason), grow(refusalDelay, wait.refusals_++, maximumTaskDelay));
        release(message.task_, message.attempt_, ReleaseCause::NeverStarted, "");
    };
    auto refused = [&](const hosting::StartRefused& refusal) {
        switch (refusal.reason_) {
        case hosting::StartRefusal::Capacity:
        case hosting::StartRefusal::StaleStamp:
        case hosting::StartRefusal::StaleAttempt:
        case hosting::StartRefusal::Draining:
            return neverStarted(concat("refused by ", siteOf(task->phase_)->worker_.value(), ": ", hosting::describe(refusal.reason_)));
        case hosting::StartRefusal::StaleEpoch:
            // A later owner decides about the attempt.
            return;
        case hosting::StartRefusal::WorkerUnavailable:
        case hosting::StartRefusal::EarlierAttemptRuns:
            return stop(message.task_, hosting::StopKind::Stop);
        }
    };
    std::visit(Visitor {
                   [&](const hosting::Started&) { owner_.ledger_ = markRunning(std::move(owner_.ledger_), message.task_, message.attempt_); },
                   refused,
                   [&](const OrderNotSent&) { neverStarted(concat("no connection to ", siteOf(task->phase_)->worker_.value())); },
                   // The order may come late: a stop order fences it off, and its answer says what became of it.
                   [&](const OrderUnknown&) { stop(message.task_, hosting::StopKind::Stop); },
               },
        message.outcome_);
}

void OwnerRules::operator()(const StopAnswered& message)
{
    const Task* task = findAttempt(message.task_, message.attempt_);
    if (!task || !message.outcome_ || !std::holds_alternative<hosting::StopUnknownTask>(*message.outcome_))
        return;
    // The agent may hold the attempt's end as an event; it comes with a renewal that is sent from now on.
    Owner::Run& run = owner_.runs_[message.task_];
    if (!run.confirmedAbsentAt_)
        run.confirmedAbsentAt_ = moment_.now_;
    host(siteOf(task->phase_)->worker_).renewalSentAt_.reset();
}

void OwnerRules::stop(const TaskKey& key, hosting::StopKind kind)
{
    const Task* task = owner_.ledger_.find(key);
    Owner::Run& run = owner_.runs_[key];
    run.stopSentAt_ = moment_.now_;
    WorkerName worker = siteOf(task->phase_)->worker_;
    actions_.emplace_back(SendStop { worker, key, { taskId(key), task->attempt_, owner_.identity_.partition_, owner_.identity_.epoch_, kind } });
    if (kind == hosting::StopKind::Checkpoint)
        owner_.ledger_ = markCheckpointing(std::move(owner_.ledger_), key, task->attempt_);
}

void OwnerRules::release(const TaskKey& key, Attempt attempt, ReleaseCause cause, std::string checkpoint)
{
    if (!owner_.proposedEnds_.insert({ key, attempt }).second)
        return;
    propose({ TaskReleased { key, attempt, cause, std::move(checkpoint), moment_.wallMs_ } }, laneOf(specOf(key)));
}

void OwnerRules::delay(const TaskKey& key, std::string reason, Duration time)
{
    Owner::Wait& wait = owner_.waits_[key];
    wait.reason_ = std::move(reason);
    wait.notBefore_ = moment_.now_ + time;
}

void OwnerRules::repeatStops()
{
    std::vector<std::pair<TaskKey, hosting::StopKind>> due;
    for (const auto& [key, run] : owner_.runs_) {
        const Task* task = owner_.ledger_.find(key);
        bool stopping = task && std::holds_alternative<Stopping>(task->phase_);
        bool wanted = stopping || run.evicting_ || run.stopSentAt_;
        bool sentLately = run.stopSentAt_ && moment_.now_ - *run.stopSentAt_ < stopInterval;
        if (wanted && !sentLately && !run.confirmedAbsentAt_ && task && !owner_.proposedEnds_.contains({ key, task->attempt_ }))
            due.emplace_back(key, run.evicting_ && !stopping ? hosting::StopKind::Checkpoint : hosting::StopKind::Stop);
    }
    for (const auto& [key, kind] : due)
        stop(key, kind);
}

} // namespace persimmondoor::jobs
