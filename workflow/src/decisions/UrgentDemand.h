// What the waiting work with an objective needs, by service.
//
//     std::map<std::string, WaitingWork> waiting = surveyUrgentWork(state, now);
//     bool isShort = waiting.at("packs").demand_.isShort();
#pragma once

#include "LeaderRules.h"

#include <map>
#include <string>
#include <vector>

namespace persimmondoor::workflow {

struct WaitingWork {
    UrgentDemand demand_;
    // One of the waiting tasks that can be on time, or else of any.
    TaskKey example_;
    bool isExampleOnTime_ { false };
    // The smallest demand for cores of a waiting task, in thousandths.
    int64_t smallestMilliCores_ { 0 };
    std::map<std::string, int64_t> milliCoresByQueue_;
    bool operator==(const WaitingWork&) const = default;
};

// Services without such work, or without long-running tasks on their workers, are left out. Demand that no worker can hold does
// not count.
std::map<std::string, WaitingWork> surveyUrgentWork(const LeaderState&, Instant now);
// True if an empty worker has the room and the label that a task of the step needs.
bool canEverHold(const Worker&, const Step&);

} // namespace persimmondoor::workflow
