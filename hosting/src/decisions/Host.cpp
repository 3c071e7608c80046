#include "persimmondoor/hosting/Host.h"

#include "../Label.h"
#include "Ledger.h"
#include "persimmondoor/core/Invariant.h"

#include <algorithm>

namespace persimmondoor::hosting {

HostOffer Host::offer(Instant now) const
{
    bool accepting = hasWorkerReport_ && now >= acceptsFrom_ && !draining_ && accepting_;
    return { settings_.worker_, settings_.domain_, settings_.rack_, { settings_.incarnation_, now }, settings_.capacity_, settings_.capacity_ - committed_,
        static_cast<uint32_t>(tasks_.size()), pressure_, accepting };
}

bool Host::isQuiet() const
{
    return std::none_of(tasks_.begin(), tasks_.end(), [](const auto& item) { return item.second.phase_ == TaskPhase::Launching; });
}

struct HostRules {
    static void apply(HostDecision& decision, const StartAsked& message, Instant now)
    {
        Host& host = decision.state_;
        const StartOrder& order = message.order_;
        auto answer = [&](StartOutcome outcome) { decision.actions_.emplace_back(AnswerStart { message.call_, std::move(outcome) }); };
        auto refuse = [&](StartRefusal reason, std::string detail) { answer(StartRefused { reason, std::move(detail) }); };
        if (!host.hasWorkerReport_ || now < host.acceptsFrom_)
            return refuse(StartRefusal::WorkerUnavailable, "the agent is learning what runs on its worker");
        if (!raiseEpoch(host, order.partition_, order.epoch_))
            return refuse(StartRefusal::StaleEpoch, "the partition has a later owner");
        if (std::optional<StartOutcome> known = answerKnownAttempt(decision, message))
            return answer(*std::move(known));
        if (isWaiting(host, message))
            return;
        if (isStale(host, order, now))
            return refuse(StartRefusal::StaleStamp, "the stamp is old or of an earlier life of the agent");
        if (host.draining_)
            return refuse(StartRefusal::Draining, "the agent drains");
        if (!(host.committed_ + order.resources_).fitsIn(host.settings_.capacity_))
            return refuse(StartRefusal::Capacity, "the worker has too little left");
        launch(decision, message, now);
    }

    static void apply(HostDecision& decision, const StopAsked& message, Instant now)
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

    static void apply(HostDecision& decision, const RenewalAsked& message, Instant now)
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
        answer(describe(host, renewal, renewed, now));
    }

    static void apply(HostDecision& decision, const TimePassed&, Instant now)
    {
        Host& host = decision.state_;
        std::erase_if(host.fences_, [&](const auto& item) { return now > item.second.keepUntil_ && item.second.unacknowledgedEnds_ == 0 && !host.tasks_.contains(item.first); });
        std::vector<TaskId> ids;
        for (const auto& [id, task] : host.tasks_)
            ids.push_back(id);
        for (const TaskId& id : ids)
            passTime(decision, id, now);
    }

    static void apply(HostDecision& decision, const DrainBegan&, Instant) { decision.state_.draining_ = true; }

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

    static bool isStale(const Host& host, const StartOrder& order, Instant now)
    {
        Duration age = now - order.stamp_.issuedAt_;
        return order.stamp_.incarnation_ != host.settings_.incarnation_ || age < Duration(0) || age > stampLifetime || age >= order.lease_;
    }

    // The answer to an order for an attempt that was seen before, or to one that comes while another attempt is here.
    static std::optional<StartOutcome> answerKnownAttempt(HostDecision& decision, const StartAsked& message)
    {
        Host& host = decision.state_;
        const StartOrder& order = message.order_;
        auto hosted = host.tasks_.find(order.task_);
        if (hosted != host.tasks_.end() && hosted->second.attempt_ < order.attempt_) {
            ReportRules::beginStop(decision, order.task_, StopKind::Stop);
            return StartRefused { StartRefusal::EarlierAttemptRuns, "an earlier attempt is being stopped" };
        }
        if (hosted != host.tasks_.end() && hosted->second.attempt_ == order.attempt_ && hosted->second.phase_ != TaskPhase::Launching)
            return Started {};
        auto fence = host.fences_.find(order.task_);
        if (fence == host.fences_.end() || order.attempt_ > fence->second.attempt_)
            return std::nullopt;
        if (order.attempt_ < fence->second.attempt_ || fence->second.past_ == AttemptFence::Past::NeverStart)
            return staleAttempt();
        bool ended = hosted == host.tasks_.end() && fence->second.past_ == AttemptFence::Past::Started;
        return ended ? std::optional<StartOutcome>(Started {}) : std::nullopt;
    }

    static std::optional<StartOutcome> staleAttempt() { return StartRefused { StartRefusal::StaleAttempt, "the attempt has ended or a later one was seen" }; }

    // A repeated order for a launch under way is answered with it.
    static bool isWaiting(Host& host, const StartAsked& message)
    {
        auto hosted = host.tasks_.find(message.order_.task_);
        if (hosted == host.tasks_.end())
            return false;
        assertInvariant(hosted->second.attempt_ == message.order_.attempt_, "one attempt of a task at a time");
        hosted->second.callers_.push_back(message.call_);
        return true;
    }

    static void launch(HostDecision& decision, const StartAsked& message, Instant now)
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
        ReportRules::fence(host, attempt, AttemptFence::Past::Started, now);
        decision.actions_.emplace_back(LaunchTask { std::move(launch) });
    }

    // Stops the attempt if it is here, else sees to it that it can't start here any more. Returns whether it is here.
    static bool stopOrFence(HostDecision& decision, const TaskAttempt& task, StopKind kind, Instant now)
    {
        Host& host = decision.state_;
        auto hosted = host.tasks_.find(task.task_);
        if (hosted != host.tasks_.end() && hosted->second.attempt_ == task.attempt_) {
            ReportRules::beginStop(decision, task.task_, kind);
            return true;
        }
        auto fence = host.fences_.find(task.task_);
        bool alreadyEnded = fence != host.fences_.end() && fence->second.attempt_ == task.attempt_ && fence->second.past_ == AttemptFence::Past::Started;
        if (!alreadyEnded)
            ReportRules::fence(host, task, AttemptFence::Past::NeverStart, now);
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
                assertInvariant(fence.unacknowledgedEnds_ > 0, "an end that waits for its owner is fenced");
                --fence.unacknowledgedEnds_;
                fence.keepUntil_ = std::max(fence.keepUntil_, now + stampLifetime);
            }
            events.pop_front();
        }
        if (!ended.empty())
            decision.actions_.emplace_back(ForgetTasks { std::move(ended) });
    }

    // Leases are counted from the stamp, so that a renewal that was long under way gives nothing.
    static bool extend(HostDecision& decision, const Renewal& renewal, Instant now)
    {
        Host& host = decision.state_;
        if (renewal.stamp_.incarnation_ != host.settings_.incarnation_ || renewal.stamp_.issuedAt_ > now)
            return false;
        Instant until = renewal.stamp_.issuedAt_ + renewal.lease_;
        std::vector<TaskAttempt> extended;
        for (auto& [id, task] : host.tasks_) {
            bool ending = task.phase_ == TaskPhase::Checkpointing || task.phase_ == TaskPhase::Stopping || task.stopAfterLaunch_;
            if (task.partition_ != renewal.partition_ || ending || until <= task.leaseUntil_)
                continue;
            task.lease_ = renewal.lease_;
            task.leaseUntil_ = until;
            extended.push_back({ id, task.attempt_ });
        }
        if (!extended.empty() && until > now)
            decision.actions_.emplace_back(ExtendTasks { std::move(extended), until - now });
        return true;
    }

    static RenewalAnswer describe(const Host& host, const Renewal& renewal, bool renewed, Instant now)
    {
        RenewalAnswer answer { { host.settings_.incarnation_, now }, renewed };
        auto events = host.events_.find(renewal.partition_);
        if (events != host.events_.end()) {
            size_t count = std::min(events->second.size(), eventsPerAnswer);
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

    static void passTime(HostDecision& decision, const TaskId& id, Instant now)
    {
        HostedTask& task = decision.state_.tasks_.at(id);
        bool ends = now >= task.leaseUntil_ - lapseMargin(task);
        bool over = now >= task.leaseUntil_;
        if (task.phase_ == TaskPhase::Launching)
            return retryLaunch(decision, id, now);
        if (task.phase_ == TaskPhase::Running && ends) {
            task.isExpiring_ = true;
            ReportRules::beginStop(decision, id, over ? StopKind::Stop : StopKind::Checkpoint);
        } else if (task.phase_ == TaskPhase::Checkpointing && over)
            ReportRules::beginStop(decision, id, StopKind::Stop);
        else if (task.phase_ != TaskPhase::Running)
            ReportRules::continueStop(decision, id);
    }

    // The reply to a launch was lost: launched again, or, if it is not wanted any more, stopped.
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
