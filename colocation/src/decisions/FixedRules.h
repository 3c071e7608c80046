/// Rules of the fixed threshold policy.
#pragma once

#include "persimmondoor/colocation/Guard.h"

namespace persimmondoor::colocation {

struct FixedRules {
    static void act(GuardDecision& decision, const FixedThreshold& policy, const GuardedService& service, const ServiceName& name, Instant now);

private:
    static void reduce(GuardDecision& decision, const FixedThreshold& policy, const Explanation& explanation, double tail, Instant now);
    static void raiseShares(GuardDecision& decision, const Explanation& explanation, Instant now);
};

} // namespace persimmondoor::colocation
