#include "FixedRules.h"

#include <algorithm>

namespace persimmondoor::colocation {

static constexpr double throttledShare = 0.5;

static std::pair<const TaskId, GuardedTask>* largestUser(std::map<TaskId, GuardedTask>& tasks, bool includeThrottled)
{
    std::pair<const TaskId, GuardedTask>* largest = nullptr;
    auto use = [](const GuardedTask& task) { return task.fullUse_ * task.share_; };
    for (auto& item : tasks) {
        if (item.second.isEvicting_ || (!includeThrottled && item.second.share_ < 1))
            continue;
        if (!largest || use(item.second) > use(largest->second))
            largest = &item;
    }
    return largest;
}

void FixedRules::reduce(GuardDecision& decision, const FixedThreshold& policy, const Explanation& explanation, double tail, Instant now)
{
    Guard& guard = decision.state_;
    if (guard.accepting_) {
        guard.accepting_ = false;
        decision.actions_.emplace_back(SetAccepting { false, explanation });
    }
    bool evict = tail > policy.objective_ * policy.evictFactor_;
    auto* task = largestUser(guard.tasks_, evict);
    if (!task)
        return;
    if (evict) {
        task->second.isEvicting_ = true;
        decision.actions_.emplace_back(Evict { task->first, explanation });
    } else {
        task->second.share_ = throttledShare;
        task->second.shareChangedAt_ = now;
        decision.actions_.emplace_back(SetShare { task->first, throttledShare, explanation });
    }
    guard.lastCorrection_ = Correction { now, explanation.load_ };
}

void FixedRules::raiseShares(GuardDecision& decision, const Explanation& explanation, Instant now)
{
    Guard& guard = decision.state_;
    if (!guard.accepting_) {
        guard.accepting_ = true;
        decision.actions_.emplace_back(SetAccepting { true, explanation });
    }
    auto throttled = [](const auto& item) { return item.second.share_ < 1 && !item.second.isEvicting_; };
    auto found = std::find_if(guard.tasks_.begin(), guard.tasks_.end(), throttled);
    if (found == guard.tasks_.end())
        return;
    found->second.share_ = 1;
    found->second.shareChangedAt_ = now;
    decision.actions_.emplace_back(SetShare { found->first, 1, explanation });
    guard.sharesRaisedAt_ = now;
}

void FixedRules::act(GuardDecision& decision, const FixedThreshold& policy, const GuardedService& service, const ServiceName& name, Instant now)
{
    Guard& guard = decision.state_;
    auto recent = [&](Instant at) { return now - at < policy.actionInterval_; };
    if ((guard.lastCorrection_ && recent(guard.lastCorrection_->at_)) || (guard.sharesRaisedAt_ && recent(*guard.sharesRaisedAt_)))
        return;
    Explanation explanation;
    explanation.at_ = now;
    explanation.service_ = name;
    explanation.measuredAt_ = service.measuredAt_;
    explanation.measuredTail_ = service.smoothedTail_;
    explanation.load_ = service.load_;
    explanation.target_ = policy.objective_;
    if (service.smoothedTail_ > policy.objective_) {
        reduce(decision, policy, explanation, service.smoothedTail_, now);
    } else if (service.smoothedTail_ < policy.objective_ * policy.resumeFactor_) {
        explanation.cause_ = Cause::Recovery;
        raiseShares(decision, explanation, now);
    }
}

} // namespace persimmondoor::colocation
