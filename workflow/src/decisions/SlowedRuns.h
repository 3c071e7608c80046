// Moves of filling tasks that are slowed down to workers that can run them at nearly full speed. Each move counts on room of
// its own: while many tasks are slowed down and a few places become free, no more tasks are stopped than there are places.
//
//     moveSlowedRuns(context); // in each check
#pragma once

#include "LeaderRules.h"

namespace persimmondoor::workflow {

// Stops filling tasks that have been slowed down for long and that another worker can run beside those that are stopped
// already; at most `Tuning::maximumMovesPerCheck_`.
void moveSlowedRuns(const DecisionContext&);

} // namespace persimmondoor::workflow
