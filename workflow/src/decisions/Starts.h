// Starts of tasks within one round of placement.
#pragma once

#include "NearPlaceRound.h"
#include "PlacementRound.h"

namespace persimmondoor::workflow {

// Assigns the task to the worker, to be started there once the assignment is durable.
// \param run number of the new run.
void assign(const DecisionContext&, Job&, const TaskKey&, const WorkerIncarnation&, uint32_t run);
// Assigns all members of a gang or none.
// \return true if the gang still waits for free capacity, for a rack, or for the lists of a silent worker.
bool startGang(const DecisionContext&, Job&, uint32_t occurrence, uint32_t stepNumber, PlacementRound&, NearPlaceRound&);

} // namespace persimmondoor::workflow
