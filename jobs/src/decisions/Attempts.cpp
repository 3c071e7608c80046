#include "OwnerRules.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"

#include <algorithm>

namespace persimmondoor::jobs {

// Maximum number of doublings, so that the factor does not overflow.
static constexpr uint32_t maximumDoublings = 16;

static Duration backoff(Duration first, uint32_t doublings, Duration maximum)
{
    return std::min(first * (int64_t(1) << std::min(doublings, maximumDoublings)), maximum);
}

void OwnerRules::handleEffect(const StartPermitted& effect)
{
    auto proposed = owner_.pendingStarts_.find(effect.task_);
    std::optional<hosting::Stamp> stamp;
    if (proposed != owner_.pendingStarts_.end() && proposed->second.site_ == effect.site_)
        stamp = proposed->second.stamp_;
    if (proposed != owner_.pendingStarts_.end())
        owner_.pendingStarts_.erase(proposed);
    const Task* task = findAttempt(effect.task_, effect.attempt_);
    if (!task)
        return;
    Owner::AttemptState& state = owner_.attempts_[effect.task_];
    state = Owner::AttemptState {};
    // No start order was sent for this attempt yet, so it has ended if none is sent now.
    if (!stamp || std::holds_alternative<Stopping>(task->phase_)) {
        state.isStartAnswered_ = true;
        return release(effect.task_, effect.attempt_, ReleaseCause::NeverStarted, "");
    }
    Owner::Host& host = hostOf(effect.site_.worker_);
    host.leaseEnd_ = std::max(host.leaseEnd_, moment_.now_ + taskLease + leaseMargin);
    const JobSpec& spec = specOf(effect.task_);
    actions_.emplace_back(SendStart { effect.site_.worker_, effect.task_,
        { taskId(effect.task_), effect.attempt_, owner_.identity_.partition_, owner_.identity_.epoch_, spec.team_, spec.priority_.tier_, spec.resources_,
            spec.command_, task->checkpoint_, *stamp, taskLease } });
}

void OwnerRules::handleEffect(const StopRequired& effect)
{
    const Task* task = findAttempt(effect.task_, effect.attempt_);
    if (task && !owner_.pendingEnds_.contains({ effect.task_, effect.attempt_ }))
        stop(effect.task_, hosting::StopKind::Stop);
}

void OwnerRules::handleEffect(const AttemptClosed& effect)
{
    owner_.attempts_.erase(effect.task_);
    owner_.pendingEnds_.erase({ effect.task_, effect.attempt_ });
    const Task* task = owner_.ledger_.find(effect.task_);
    if (effect.hasFailed_)
        owner_.quarantine_ = recordFailure(std::move(owner_.quarantine_), effect.site_.worker_, effect.task_.job_, owner_.workers_.size(), moment_.now_);
    else if (task && std::holds_alternative<Finished>(task->phase_))
        owner_.quarantine_ = recordSuccess(std::move(owner_.quarantine_), effect.site_.worker_);
    if (!effect.isRequeued_ || !task || isEnded(task->phase_)) {
        owner_.waits_.erase(effect.task_);
        return;
    }
    if (effect.hasFailed_)
        delay(effect.task_, concat("waits to be retried after a failure: ", task->lastError_), backoff(firstTaskDelay, std::max(task->failures_, 1U) - 1, maximumTaskDelay));
    owner_.nextRoundAt_ = std::min(owner_.nextRoundAt_, moment_.now_);
}

void OwnerRules::operator()(const StartAnswered& message)
{
    const Task* task = findAttempt(message.task_, message.attempt_);
    if (!task)
        return;
    owner_.attempts_[message.task_].isStartAnswered_ = true;
    auto neverStarted = [&](std::string reason) {
        Owner::Wait& wait = owner_.waits_[message.task_];
        delay(message.task_, std::move(reason), backoff(refusalDelay, wait.refusals_++, maximumTaskDelay));
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
            // A later owner of the partition is responsible for the attempt.
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
                   // The agent may receive the start order late. A stop order makes the agent refuse it, and the answer says
                   // whether the attempt runs.
                   [&](const OrderOutcomeUnknown&) { stop(message.task_, hosting::StopKind::Stop); },
               },
        message.outcome_);
}

void OwnerRules::operator()(const StopAnswered& message)
{
    const Task* task = findAttempt(message.task_, message.attempt_);
    if (!task || !message.outcome_ || !std::holds_alternative<hosting::StopUnknownTask>(*message.outcome_))
        return;
    // The agent may still have to report the attempt's end as an event. The answer to a renewal that is sent from now on
    // contains it.
    Owner::AttemptState& state = owner_.attempts_[message.task_];
    if (!state.confirmedAbsentAt_)
        state.confirmedAbsentAt_ = moment_.now_;
    hostOf(siteOf(task->phase_)->worker_).renewalSentAt_.reset();
}

void OwnerRules::stop(const TaskKey& key, hosting::StopKind kind)
{
    const Task* task = owner_.ledger_.find(key);
    Owner::AttemptState& state = owner_.attempts_[key];
    state.stopSentAt_ = moment_.now_;
    WorkerName worker = siteOf(task->phase_)->worker_;
    actions_.emplace_back(SendStop { worker, key, { taskId(key), task->attempt_, owner_.identity_.partition_, owner_.identity_.epoch_, kind } });
    if (kind == hosting::StopKind::Checkpoint)
        owner_.ledger_ = markCheckpointing(std::move(owner_.ledger_), key, task->attempt_);
}

void OwnerRules::release(const TaskKey& key, Attempt attempt, ReleaseCause cause, std::string checkpoint)
{
    if (!owner_.pendingEnds_.insert({ key, attempt }).second)
        return;
    append({ TaskReleased { key, attempt, cause, std::move(checkpoint), moment_.wallMs_ } }, laneOf(specOf(key)));
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
    for (const auto& [key, state] : owner_.attempts_) {
        const Task* task = owner_.ledger_.find(key);
        bool isStopping = task && std::holds_alternative<Stopping>(task->phase_);
        bool mustStop = isStopping || state.isEvicting_ || state.stopSentAt_;
        bool isSentRecently = state.stopSentAt_ && moment_.now_ - *state.stopSentAt_ < stopInterval;
        if (mustStop && !isSentRecently && !state.confirmedAbsentAt_ && task && !owner_.pendingEnds_.contains({ key, task->attempt_ }))
            due.emplace_back(key, state.isEvicting_ && !isStopping ? hosting::StopKind::Checkpoint : hosting::StopKind::Stop);
    }
    for (const auto& [key, kind] : due)
        stop(key, kind);
}

} // namespace persimmondoor::jobs
