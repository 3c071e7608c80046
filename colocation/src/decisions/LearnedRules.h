/// Rules of the learned policy.
#pragma once

#include "LearnedPlan.h"

namespace persimmondoor::colocation {

struct LearnedRules {
    /// The current state of the worker as a plan.
    static Plan makePlan(const Guard& guard, const Learned& policy);
    /// Whether the slowdown stays within the target with one more task.
    static bool admits(const Guard& guard, const Learned& policy, const TaskClassName& taskClass, Tier tier, double cores);
    /// Lowers shares or evicts a task if the slowdown exceeds the target; otherwise raises shares.
    static void act(GuardDecision& decision, const Learned& policy, Instant now);
    /// Sets the initial share of a task that has just started.
    static void setInitialShare(GuardDecision& decision, const Learned& policy, const TaskId& task, Instant now);

private:
    static Explanation explain(const Guard& guard, const Plan& plan, const Learned& policy, Cause cause, Instant now);
    static std::optional<Cause> newCause(const Guard& guard, Instant now);
    static void correct(GuardDecision& decision, const Plan& plan, const Learned& policy, Instant now);
    static void evictIfNeeded(GuardDecision& decision, const Plan& plan, const Learned& policy, Cause cause, Instant now);
    static void raiseShares(GuardDecision& decision, const Plan& plan, const Learned& policy, Instant now);
    static void setAccepting(GuardDecision& decision, const Plan& plan, const Learned& policy, Cause cause, Instant now);
};

} // namespace persimmondoor::colocation
