/// Proposes which trial tasks to checkpoint and stop, so that a paying task finds room.
///
/// \code
/// PreemptionChoice choice = proposePreemption(request, offers, running);
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/placement/Choice.h"

namespace persimmondoor::placement {

/// A task that runs at one of the offering workers.
struct RunningTask {
    TaskId task_;
    WorkerName worker_;
    Tier tier_ { Tier::Trial };
    Resources resources_;
    /// Work done since the last checkpoint.
    Duration sinceCheckpoint_ { 0 };
    /// Estimated run time left; zero if not known.
    Duration remaining_ { 0 };
    /// False if all of its work is lost when it stops; `sinceCheckpoint_` is then its whole run so far.
    bool canCheckpoint_ { true };
    bool operator==(const RunningTask&) const = default;
};

/// Checkpoint and stop `victims_` at `site_`; then the task fits there.
struct Preemption {
    Site site_;
    std::vector<TaskId> victims_;
    /// Work that is lost or has to be done again.
    Duration lostWork_ { 0 };
    auto operator==(const Preemption&) const -> bool = default;
};

using PreemptionChoice = std::variant<Preemption, NotPlaced>;

/// Longest time to write a checkpoint that is counted as lost, for each victim.
inline constexpr Duration checkpointCost = std::chrono::seconds(2);
/// Most tasks that are stopped for one.
inline constexpr size_t maximumVictims = 16;

/// Finds the worker at which stopping trial tasks loses the least work. Only paying requests preempt, and only trial
/// tasks are stopped. A task that is about to finish counts at least as much as waiting for it would cost.
/// \return the proposal, or the reason why none is possible.
PreemptionChoice proposePreemption(const PlacementRequest& request, const std::vector<Offer>& offers, const std::vector<RunningTask>& running);

} // namespace persimmondoor::placement
