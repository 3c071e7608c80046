// What makes a worker suitable for a task, and how suitable it is compared with others.
#pragma once

#include "LeaderRules.h"

namespace persimmondoor::workflow {

// A filling task is placed beside long-running tasks that it disturbs only if it can run at this share of its full speed.
inline constexpr double minimumPace = 0.8;

// A quarantined worker is chosen only if no other has enough free capacity; outweighs all others together.
inline constexpr int64_t quarantineWeight = 100'000;
// So is a worker that has refused a run lately, but before a quarantined one.
inline constexpr int64_t lastChoiceWeight = 50'000;

// Score of a slow worker, before one that has refused a run lately; the less slow first.
int64_t speedScoreOf(const Worker&);
// True if the worker has announced the label: its machine type or its rack.
bool hasLabel(const Worker&, const std::string& label);
// Why the worker may not be given new runs, whatever the task; without regard to a quarantine.
WorkerObstacle stateObstacle(const LeaderState&, const Worker&, Instant now);
// Why a worker that accepts new runs cannot take the task.
WorkerObstacle taskObstacle(const Job&, const TaskKey&, const Worker&, Disturbance, Instant now);
// The pace, from 0 to 1, at which a filling task could run on the worker if all filling tasks on the worker are busy.
double paceAt(const LeaderState&, const Step&, const Worker&);
// Score of a worker that can take the task; the highest is chosen.
// \param isHarmless the task disturbs no long-running task on the worker.
int64_t scoreOf(const LeaderState&, const Job&, const TaskKey&, const WorkerIncarnation&, const Worker&, bool isHarmless);

} // namespace persimmondoor::workflow
