// How much room the workers of a service have for long-running tasks, and how much of it is lost to fragments.
//
//     LongRunningRoom room = roomForLongRunningTasks(state, "packs", now);
//     bool isFragmented = room.placeableTasks_ > 0;
#pragma once

#include "LeaderRules.h"

#include <string>

namespace persimmondoor::workflow {

struct LongRunningRoom {
    // Free cores of the workers that accept runs, in thousandths: in sum, and the most on one worker.
    int64_t freeMilliCores_ { 0 };
    int64_t largestFreeMilliCores_ { 0 };
    size_t waitingTasks_ { 0 };
    // How many of the waiting tasks would fit if no short tasks were there and the assigned long-running tasks were packed
    // anew, by decreasing size into the first worker with room, and the waiting ones after them. A lower bound as to the
    // packing; an upper bound as to the constraints, as bounds on tasks per worker are ignored.
    size_t placeableTasks_ { 0 };
    auto operator<=>(const LongRunningRoom&) const = default;
};

// Costs one pass over the workers for each distinct demand, up to a bound on the demands; further ones count as not placeable.
LongRunningRoom roomForLongRunningTasks(const LeaderState&, const std::string& service, Instant now);

} // namespace persimmondoor::workflow
