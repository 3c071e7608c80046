#include "persimmondoor/hosting/Host.h"

#include "../Label.h"
#include "Ledger.h"
#include "persimmondoor/core/Invariant.h"

#include <algorithm>

namespace persimmondoor::hosting {

HostOffer Host::offer(Instant now) const
{
    bool accepting = hasWorkerReport_ && now >= acceptsFrom_ && !isDraining_ && accepting_;
    return { settings_.worker_, settings_.domain_, settings_.rack_, { settings_.incarnation_, now }, settings_.capacity_, settings_.capacity_ - committed_,
        static_cast<uint32_t>(tasks_.size()), pressure_, accepting };
}

bool Host::hasNoLaunchInFlight() const
{
    return std::none_of(tasks_.begin(), tasks_.end(), [](const auto& item) { return item.second.phase_ == TaskPhase::Launching; });
}

struct HostRules {
    static void apply(HostDecision& decision, const StartRequested& message, Instant now)
    {
        Host& host = decision.state_;
        const StartOrder& order = message.order_;
        auto answer = [&](StartOutcome outcome) { decision.actions_.emplace_back(AnswerStart { message.call_, std::move(outcome) }); };
        auto refuse = [&](StartRefusal reason, std::string detail) { answer(StartRefused { reason, std::move(detail) }); };
        if (!host.hasWorkerReport_ || now < host.acceptsFrom_)
            return refuse(StartRefusal::WorkerUnavailable, "the agent has not received its worker's first report or waits for launches of its previous incarnation");
        if (!raiseEpoch(host, order.partition_, order.epoch_))
            return refuse(StartRefusal::StaleEpoch, "the agent has seen a later epoch of the partition");
        if (std::optional<StartOutcome> known = answerKnownAttempt(decision, message))
            return answer(*std::move(known));
        if (joinLaunch(host, message))
            return;
        if (isStampStale(host, order, now))
            return refuse(StartRefusal::StaleStamp, "the stamp is too old or was issued by another incarnation of the agent");
        if (host.isDraining_)
            return refuse(StartRefusal::Draining, "the agent is draining");
        if (!(host.committed_ + order.resources_).fitsIn(host.settings_.capacity_))
            return refuse(StartRefusal::Capacity, "the task needs more resources than the worker has free");
        launch(decision, message, now);
    }

    static void apply(HostDecision& decision, const StopRequested& message, Instant now)
    {
        Host& host = decision.state_;
        const StopOrder& order = message.order_;
        auto answer = [&](StopOutcome outcome) { decision.actions_.emplace_back(AnswerStop { message.call_, outcome }); };
        if (!host.hasWorkerReport_)
            return answer(StopNotReady {});
        if (!raiseEpoch(host, order.partition_, order.epoch_))
            return answer(StopStaleEpoch {});
        if (!stopOrFence(decision, { order.task_, order.attempt_ }, order.kind_, now))
            return answer(StopUnknownTask {});
        answer(StopAccepted {});
    }

    static void apply(HostDecision& decision, const RenewalRequested& message, Instant now)
    {
        Host& host = decision.state_;
        const Renewal& renewal = message.renewal_;
        auto answer = [&](RenewalOutcome outcome) { decision.actions_.emplace_back(AnswerRenewal { message.call_, std::move(outcome) }); };
        if (!host.hasWorkerReport_)
            return answer(RenewalNotReady {});
        if (!raiseEpoch(host, renewal.partition_, renewal.epoch_))
            return answer(RenewalStaleEpoch {});
        acknowledge(decision, renewal, now);
        for (const TaskAttempt& unwanted : renewal.unwanted_)
            stopOrFence(decision, unwanted, StopKind::Stop, now);
        bool renewed = extend(decision, renewal, now);
        answer(makeAnswer(host, renewal, renewed, now));
    }

    static void apply(HostDecision& decision, const TimePassed&, Instant now)
    {
        Host& host = decision.state_;
        std::erase_if(host.fences_, [&](const auto& item) { return now > item.second.keepUntil_ && item.second.unacknowledgedEnds_ == 0 && !host.tasks_.contains(item.first); });
        std::vector<TaskId> ids;
        for (const auto& [id, task] : host.tasks_)
            ids.push_back(id);
        for (const TaskId& id : ids)
            checkTask(decision, id, now);
    }

    static void apply(HostDecision& decision, const DrainBegan&, Instant) { decision.state_.isDraining_ = true; }

    static void apply(HostDecision& decision, const PressureChanged& message, Instant)
    {
        decision.state_.pressure_ = message.pressure_;
        decision.state_.accepting_ = message.accepting_;
    }

    template <typename Message>
    static void apply(HostDecision& decision, const Message& message, Instant now)
    {
        ReportRules::apply(decision, message, now);
    }

private:
    // Returns false if a later epoch of the partition was seen.
    static bool raiseEpoch(Host& host, PartitionNumber partition, Epoch epoch)
    {
        Epoch& highest = host.epochs_[partition];
        if (epoch < highest)
            return false;
        highest = epoch;
        return true;
    }

    static bool isStampStale(const Host& host, const StartOrder& order, Instant now)
    {
        Duration age = now - order.stamp_.issuedAt_;
        return order.stamp_.incarnation_ != host.settings_.incarnation_ || age < Duration(0) || age > stampLifetime || age >= order.lease_;
    }

    // Answers an order for an attempt that was seen before, or one that arrives while an earlier attempt runs.
    static std::optional<StartOutcome> answerKnownAttempt(HostDecision& decision, const StartRequested& message)
    {
        Host& host = decision.state_;
        const StartOrder& order = message.order_;
        auto hosted = host.tasks_.find(order.task_);
        if (hosted != host.tasks_.end() && hosted->second.attempt_ < order.attempt_) {
            ReportRules::beginStop(decision, order.task_, StopKind::Stop);
            return StartRefused { StartRefusal::EarlierAttemptRuns, "an earlier attempt of the task is being stopped" };
        }
        if (hosted != host.tasks_.end() && hosted->second.attempt_ == order.attempt_ && hosted->second.phase_ != TaskPhase::Launching)
            return Started {};
        auto fence = host.fences_.find(order.task_);
        if (fence == host.fences_.end() || order.attempt_ > fence->second.attempt_)
            return std::nullopt;
        if (order.attempt_ < fence->second.attempt_ || fence->second.state_ == AttemptFence::State::Blocked)
            return staleAttempt();
        bool ended = hosted == host.tasks_.end() && fence->second.state_ == AttemptFence::State::Started;
        return ended ? std::optional<StartOutcome>(Started {}) : std::nullopt;
    }

    static std::optional<StartOutcome> staleAttempt() { return StartRefused { StartRefusal::StaleAttempt, "the attempt was stopped before it started, or the agent has seen a later attempt of the task" }; }

    // Adds a repeated order to the calls that wait for the launch in flight. Returns false if there is none.
    static bool joinLaunch(Host& host, const StartRequested& message)
    {
        auto hosted = host.tasks_.find(message.order_.task_);
        if (hosted == host.tasks_.end())
            return false;
        assertInvariant(hosted->second.attempt_ == message.order_.attempt_, "at most one attempt of a task on the worker");
        hosted->second.callers_.push_back(message.call_);
        return true;
    }

    static void launch(HostDecision& decision, const StartRequested& message, Instant now)
    {
        Host& host = decision.state_;
        const StartOrder& order = message.order_;
        TaskAttempt attempt { order.task_, order.attempt_ };
        Instant leaseUntil = order.stamp_.issuedAt_ + order.lease_;
        store::Launch launch { attempt, order.command_, order.checkpoint_, order.resources_, encodeLabel(order.partition_), leaseUntil - now };
        HostedTask task { order.attempt_, order.partition_, order.resources_, TaskPhase::Launching, order.lease_, leaseUntil };
        task.launch_ = launch;
        task.callers_ = { message.call_ };
        task.isCallInFlight_ = true;
        task.checkpoint_ = "";
        host.committed_ = host.committed_ + order.resources_;
        assertInvariant(host.committed_.fitsIn(host.settings_.capacity_), "ledger within capacity");
        host.tasks_.emplace(order.task_, std::move(task));
        ReportRules::raiseFence(host, attempt, AttemptFence::State::Started, now);
        decision.actions_.emplace_back(LaunchTask { std::move(launch) });
    }

    // Stops the attempt if it is on this worker, else blocks its start. Returns whether the attempt is on this worker.
    static bool stopOrFence(HostDecision& decision, const TaskAttempt& task, StopKind kind, Instant now)
    {
        Host& host = decision.state_;
        auto hosted = host.tasks_.find(task.task_);
        if (hosted != host.tasks_.end() && hosted->second.attempt_ == task.attempt_) {
            ReportRules::beginStop(decision, task.task_, kind);
            return true;
        }
        auto fence = host.fences_.find(task.task_);
        bool alreadyEnded = fence != host.fences_.end() && fence->second.attempt_ == task.attempt_ && fence->second.state_ == AttemptFence::State::Started;
        if (!alreadyEnded)
            ReportRules::raiseFence(host, task, AttemptFence::State::Blocked, now);
        return false;
    }

    static void acknowledge(HostDecision& decision, const Renewal& renewal, Instant now)
    {
        Host& host = decision.state_;
        std::deque<HostEvent>& events = host.events_[renewal.partition_];
        std::vector<TaskAttempt> ended;
        while (!events.empty() && events.front().sequence_ <= renewal.acknowledged_) {
            const TaskAttempt& task = events.front().task_;
            if (endsAttempt(events.front().event_)) {
                ended.push_back(task);
                AttemptFence& fence = host.fences_.at(task.task_);
                assertInvariant(fence.unacknowledgedEnds_ > 0, "the fence of a task counts its unacknowledged ends");
                --fence.unacknowledgedEnds_;
                fence.keepUntil_ = std::max(fence.keepUntil_, now + stampLifetime);
            }
            events.pop_front();
        }
        if (!ended.empty())
            decision.actions_.emplace_back(ForgetTasks { std::move(ended) });
    }

    // Extends the leases of the partition's tasks, counted from the stamp, so that the delay of a renewal adds no time.
    // Returns false if the stamp was issued by another incarnation of the agent or lies in the future.
    static bool extend(HostDecision& decision, const Renewal& renewal, Instant now)
    {
        Host& host = decision.state_;
        if (renewal.stamp_.incarnation_ != host.settings_.incarnation_ || renewal.stamp_.issuedAt_ > now)
            return false;
        Instant until = renewal.stamp_.issuedAt_ + renewal.lease_;
        std::vector<TaskAttempt> extended;
        for (auto& [id, task] : host.tasks_) {
            bool isEnding = task.phase_ == TaskPhase::Checkpointing || task.phase_ == TaskPhase::Stopping || task.stopAfterLaunch_;
            if (task.partition_ != renewal.partition_ || isEnding || until <= task.leaseUntil_)
                continue;
            task.lease_ = renewal.lease_;
            task.leaseUntil_ = until;
            extended.push_back({ id, task.attempt_ });
        }
        if (!extended.empty() && until > now)
            decision.actions_.emplace_back(ExtendTasks { std::move(extended), until - now });
        return true;
    }

    static RenewalAnswer makeAnswer(const Host& host, const Renewal& renewal, bool renewed, Instant now)
    {
        RenewalAnswer answer { { host.settings_.incarnation_, now }, renewed };
        auto events = host.events_.find(renewal.partition_);
        if (events != host.events_.end()) {
            size_t count = std::min(events->second.size(), maximumEventsPerAnswer);
            answer.events_.assign(events->second.begin(), events->second.begin() + static_cast<std::ptrdiff_t>(count));
            answer.moreEvents_ = count < events->second.size();
        }
        for (const auto& [id, task] : host.tasks_) {
            if (task.partition_ == renewal.partition_)
                answer.running_.push_back({ id, task.attempt_ });
        }
        answer.digest_ = digestOf(answer.running_);
        if (answer.digest_ == renewal.digest_)
            answer.running_.clear();
        return answer;
    }

    // Stops the task if its lease is about to expire, or repeats a failed call.
    static void checkTask(HostDecision& decision, const TaskId& id, Instant now)
    {
        HostedTask& task = decision.state_.tasks_.at(id);
        bool isExpiring = now >= task.leaseUntil_ - expiryMargin(task);
        bool hasExpired = now >= task.leaseUntil_;
        if (task.phase_ == TaskPhase::Launching)
            return retryLaunch(decision, id, now);
        if (task.phase_ == TaskPhase::Running && isExpiring) {
            task.isExpiring_ = true;
            ReportRules::beginStop(decision, id, hasExpired ? StopKind::Stop : StopKind::Checkpoint);
        } else if (task.phase_ == TaskPhase::Checkpointing && hasExpired)
            ReportRules::beginStop(decision, id, StopKind::Stop);
        else if (task.phase_ != TaskPhase::Running)
            ReportRules::continueStop(decision, id);
    }

    // Called after the reply to a launch was lost. Repeats the launch, or stops the task if a stop was requested or its
    // lease has expired.
    static void retryLaunch(HostDecision& decision, const TaskId& id, Instant now)
    {
        HostedTask& task = decision.state_.tasks_.at(id);
        if (task.isCallInFlight_)
            return;
        task.isCallInFlight_ = true;
        task.isExpiring_ = !task.stopAfterLaunch_ && now >= task.leaseUntil_;
        if (task.stopAfterLaunch_ || task.isExpiring_)
            decision.actions_.emplace_back(StopTask { { id, task.attempt_ } });
        else {
            task.launch_->lease_ = task.leaseUntil_ - now;
            decision.actions_.emplace_back(LaunchTask { *task.launch_ });
        }
    }
};

HostDecision decide(Host state, const HostMessage& message, Instant now)
{
    HostDecision decision { std::move(state), {} };
    std::visit([&](const auto& alternative) { HostRules::apply(decision, alternative, now); }, message);
    return decision;
}

} // namespace persimmondoor::hosting
