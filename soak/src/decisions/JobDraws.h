// The jobs of one run, drawn from its seed: chains of steps, long-running jobs, tasks with data on a rack, gangs on one rack, and
// a rush of short jobs that compete for room.
//
//     JobDraws draws(seed, { "rack-0", "rack-1" });
//     JobPlan plan = draws.next();
#pragma once

#include "Draws.h"
#include "TaskBehaviour.h"
#include "persimmondoor/workflow/Job.h"

#include <string>
#include <vector>

namespace persimmondoor::soak {

// What the client of one job does.
struct JobPlan {
    JobId id_;
    std::vector<workflow::Step> steps_;
    // Of each step.
    std::vector<platform::TaskBehaviour> behaviours_;
    bool isCancelled_ { false };
    Duration cancelAfter_ { 0 };
    bool operator==(const JobPlan&) const = default;
};

class JobDraws {
public:
    // The same arguments give the same sequence of jobs.
    JobDraws(uint64_t seed, std::vector<std::string> racks);

    JobPlan next();
    // A job of a rush, with an objective that only few of them can meet.
    JobPlan nextOfRush();
    // Since the begin of the clients.
    Duration rushBegin() const { return rushBegin_; }

private:
    struct Steps {
        std::vector<workflow::Step> steps_;
        std::vector<platform::TaskBehaviour> behaviours_;
    };

    Steps drawChain();
    Steps drawLongRunning();
    Steps drawData();
    Steps drawGang();
    JobPlan makePlan(Steps);

    Draws draws_;
    std::vector<std::string> racks_;
    uint64_t jobs_ { 0 };
    Duration rushBegin_;
};

} // namespace persimmondoor::soak
