/// Proposes which trial tasks to checkpoint and stop so that a paying task fits on a worker.
///
/// \code
/// PreemptionChoice choice = proposePreemption(request, offers, running);
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/placement/Choice.h"

namespace persimmondoor::placement {

/// A task that runs on one of the workers that made an offer.
struct RunningTask {
    TaskId task_;
    WorkerName worker_;
    Tier tier_ { Tier::Trial };
    Resources resources_;
    /// Work done since the last checkpoint.
    Duration sinceCheckpoint_ { 0 };
    /// Estimated remaining run time; zero if unknown.
    Duration remaining_ { 0 };
    /// False if stopping the task loses all its work; `sinceCheckpoint_` is then the duration of the whole run so far.
    bool canCheckpoint_ { true };
    bool operator==(const RunningTask&) const = default;
};

/// Proposal to checkpoint and stop `victims_` on `site_`, after which the task fits there.
struct Preemption {
    Site site_;
    std::vector<TaskId> victims_;
    /// Estimated work that is lost and has to be done again.
    Duration lostWork_ { 0 };
    auto operator==(const Preemption&) const -> bool = default;
};

using PreemptionChoice = std::variant<Preemption, NotPlaced>;

/// Time to write a checkpoint and to restart from it, counted as lost work for each victim.
inline constexpr Duration checkpointCost = std::chrono::seconds(2);
/// Share of the work since the last checkpoint that counts as lost, in percent, because the new checkpoint may fail.
inline constexpr int64_t checkpointRiskPercent = 5;
/// Upper bound of the tasks that are stopped for one task.
inline constexpr size_t maximumVictims = 16;

/// Finds the worker on which stopping trial tasks loses the least work. Only paying requests preempt, and only trial
/// tasks are stopped. Victims are chosen greedily by least lost work, and among equals by longest remaining run time;
/// victims that prove unnecessary are dropped from the proposal.
/// \return the proposal, without victims if the task fits already, or the reason why no preemption is possible.
PreemptionChoice proposePreemption(const PlacementRequest& request, const std::vector<Offer>& offers, const std::vector<RunningTask>& running);

} // namespace persimmondoor::placement
