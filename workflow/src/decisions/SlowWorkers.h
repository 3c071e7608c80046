// What the leader does about workers on which runs take longer than elsewhere: how it finds them, when tasks wait for another
// worker, and which runs are moved from them.
#pragma once

#include "LeaderRules.h"
#include "UnplaceableDemands.h"

#include "PlacementRound.h"

namespace persimmondoor::workflow {

// Adds a new reading of the runs on the worker to its speed. To be called once for each reading.
void observeSpeed(const DecisionContext&, const WorkerReport&, Worker&);
// Adds the task's run, which has ended as done, to the worker's next reading.
void observeEndedPace(const DecisionContext&, Job&, const TaskKey&, Task&, Worker&);
// True if the worker is slow and most others of its service are not. Its runs then tell nothing about those of their queues.
bool isSlowAmongOthers(const LeaderState&, const Worker&, Instant now);
// Stops runs on slow workers that end sooner elsewhere, where another worker has room now for each of them.
void moveRunsFromSlowWorkers(const DecisionContext&);

// The slow workers of one service.
struct SlowTally {
    size_t slowWorkers_ { 0 };
    size_t workers_ { 0 };
    // Slowdown of the least slow of them.
    double leastSlowdown_ { 0 };
    auto operator<=>(const SlowTally&) const = default;
};
std::map<std::string, SlowTally> tallySlowWorkers(const LeaderState&, Instant now);

// The tasks of one round of placement for which only slow workers have room.
class SlowStarts {
public:
    SlowStarts(const DecisionContext&, PlacementRound&);

    // True if earlier searches of the round show that only slow workers can have room for the task, and it waits for another.
    bool keepsWaiting(const Job&, const TaskKey&, Task&);
    // Decides whether the task is started on the worker, the best of those that can take it now.
    // \return true if it waits for another worker instead.
    bool mustWait(const Job&, const TaskKey&, Task&, const WorkerIncarnation& chosen);
    // Records the wait of a task that is being assigned to the worker, if there was one.
    void noteStart(Task&, const WorkerIncarnation&);

private:
    bool decide(const Job&, const TaskKey&, Task&, double slowdown);

    const DecisionContext& context_;
    PlacementRound& round_;
    std::map<std::string, SlowTally> tally_;
    // The demands for which only slow workers have room.
    UnplaceableDemands onlySlow_;
};

} // namespace persimmondoor::workflow
