// Assigned runs that a report of their worker does not list.
//
//     noteUnlistedRuns(context, worker, seen);
//     markAbsentRunsLost(context, report, wasReachable, worker, seen, agent);
#pragma once

#include "LeaderRules.h"

#include <set>

namespace persimmondoor::workflow {

// Holds starts on the worker back after a refusal that concerns it rather than the run.
//
// \param wasReachable whether the report before said that the agent reaches the worker.
void backOffAfterRefusals(const DecisionContext&, const WorkerReport&, bool wasReachable, Worker&);

// Marks assigned runs as lost that are neither active nor ended although their orders are completed: they never started
// or left no trace on the worker. A refusal is final for its run, whether or not its order is reported as completed. Without
// all ends only a refusal tells: the run may have ended, and its end is listed once earlier ends are acknowledged.
//
// \param wasReachable whether the report before said that the agent reaches the worker.
// \param seen the tasks whose assigned runs the report lists as active.
void markAbsentRunsLost(const DecisionContext&, const WorkerReport&, bool wasReachable, Worker&, const std::set<TaskKey>& seen, const Agent&);

// Notes which assigned runs the report does not list.
//
// \param seen the tasks whose assigned runs the report lists as active.
void noteUnlistedRuns(const DecisionContext&, const Worker&, const std::set<TaskKey>& seen);

// Notes that runs whose ends may not be listed yet make no progress without being hung.
//
// \param seen the tasks whose assigned runs the report lists as active.
void noteUnlistedEnds(const DecisionContext&, const Worker&, const std::set<TaskKey>& seen);

} // namespace persimmondoor::workflow
