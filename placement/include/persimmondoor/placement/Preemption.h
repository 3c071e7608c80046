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

/// Time to write a checkpoint and to start again from it, counted as lost for each victim.
inline constexpr Duration checkpointCost = std::chrono::seconds(2);
/// A checkpoint may fail; this share of the work since the last one counts as lost, in percent.
inline constexpr int64_t checkpointRiskPercent = 5;
/// Most tasks that are stopped for one.
inline constexpr size_t maximumVictims = 16;

/// Finds the worker at which stopping trial tasks loses the least work. Only paying requests preempt, and only trial
/// tasks are stopped. Victims are chosen greedily by lost work, among equals the one with the longest run time left;
/// those that turn out not to be needed are dropped again.
/// \return the proposal, without victims if the task fits already, or the reason why none is possible.
PreemptionChoice proposePreemption(const PlacementRequest& request, const std::vector<Offer>& offers, const std::vector<RunningTask>& running);

} // namespace persimmondoor::placement
