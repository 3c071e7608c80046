/// Rules of the learned policy.
#pragma once

#include "LearnedPlan.h"

namespace persimmondoor::colocation {

struct LearnedRules {
    /// The worker as it is now.
    static Plan makePlan(const Guard& guard, const Learned& policy);
    /// Whether one more task keeps the slowdown within bounds.
    static bool admits(const Guard& guard, const Learned& policy, const TaskClassName& taskClass, Tier tier, double cores);
    /// Corrects or gives back, where it is time to.
    static void act(GuardDecision& decision, const Learned& policy, Instant now);
    /// Sets the first share of a task that has just started.
    static void placeStarted(GuardDecision& decision, const Learned& policy, const TaskId& task, Instant now);

private:
    static Explanation explain(const Guard& guard, const Plan& plan, const Learned& policy, Cause cause, Instant now);
    static std::optional<Cause> freshCause(const Guard& guard, Instant now);
    static void correct(GuardDecision& decision, const Plan& plan, const Learned& policy, Instant now);
    static void evictIfNeeded(GuardDecision& decision, const Plan& plan, const Learned& policy, Cause cause, Instant now);
    static void giveBack(GuardDecision& decision, const Plan& plan, const Learned& policy, Instant now);
    static void setAccepting(GuardDecision& decision, const Plan& plan, const Learned& policy, Cause cause, Instant now);
};

} // namespace persimmondoor::colocation
