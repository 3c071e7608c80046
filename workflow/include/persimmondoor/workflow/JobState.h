/// Jobs and their tasks in the leader's memory: durable progress, and what the leader has seen since it took over.
///
/// \code
/// const Job& job = state.jobs_.at(id);
/// bool isAssigned = job.tasks_[0].progress_.phase_ == TaskPhase::Assigned;
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Catalog.h"
#include "persimmondoor/workflow/Client.h"
#include "persimmondoor/workflow/Delays.h"
#include "persimmondoor/workflow/Record.h"
#include "persimmondoor/workflow/WorkerSpeeds.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmondoor::workflow {

/// Where a checkpoint came from. A greater one is at least as advanced, as far as the leader can tell.
struct CheckpointOrigin {
    /// The run that first listed the checkpoint; 0 if an earlier leader saw it.
    uint32_t run_ { 0 };
    /// Share of the work that was done, as listed with the checkpoint or, if an end named it, just before; 0 to 100.
    uint32_t percent_ { 0 };
    auto operator<=>(const CheckpointOrigin&) const = default;
};

/// A task in the leader's memory: its durable progress, and state that is not stored.
struct Task {
    TaskProgress progress_;
    /// The order to start the newest run is released and may have been sent.
    bool isStartReleased_ { false };
    /// The last order for the newest run within the agent's session; 0 if an earlier session or leader gave it.
    OrderNumber lastOrder_;
    /// The worker's list of active runs contains the newest run.
    bool isOnWorker_ { false };
    /// The worker's newest list no longer contains the newest run, whose end is not known yet.
    bool isUnlisted_ { false };
    bool isStopping_ { false };
    Instant stopOrderedAt_;
    uint32_t progressPercent_ { 0 };
    CheckpointOrigin checkpointOrigin_;
    /// Number of load readings that contained the newest run.
    uint32_t readings_ { 0 };
    /// Times of the newest run.
    RunTimes times_;
    /// When the last run ended; empty before the first has ended under this leader.
    std::optional<Instant> waitingSince_;
    /// Since when the task has had no run that a worker listed; empty before the first run has ended under this leader.
    std::optional<Instant> withoutRunSince_;
    /// Progress of the newest run from one reading to the next.
    RunProgress runProgress_;
    /// The worker whose room the run is to use next, once it has been stopped on a slow worker; empty otherwise.
    std::optional<WorkerIncarnation> movesTo_;
    /// Since when the waiting task has waited for a worker that is not slow, although a slow one had room; empty if it has not.
    std::optional<Instant> onlySlowSince_;
    /// Delays due to all runs that have ended under this leader.
    Delays delays_;
    /// When the run's progress last changed.
    Instant lastProgressAt_;
    /// Cores in thousandths that a filling task leaves unused, as its pace is reduced.
    int64_t throttledMilliCores_ { 0 };
    /// Since when the agent has run a filling task at less than half of its full speed.
    std::optional<Instant> slowedSince_;
    /// A worker holds room for the waiting task.
    bool isRoomHeld_ { false };
    /// The silent worker on which the last run was taken to be lost when its lease had expired; empty if there is none. The run
    /// may have ended before. Not set for long-running tasks, whose runs never end as done.
    std::optional<WorkerIncarnation> silentWorker_;
    /// Worker on which the task last failed, hung, was slowed down or did not appear after its start.
    std::string avoidedWorker_;
    bool operator==(const Task&) const = default;
};

/// A job in the leader's memory.
struct Job {
    JobRecord record_;
    /// The queue as currently configured, or as it was at acceptance if it has been removed.
    Queue queue_;
    std::vector<Task> tasks_;
    /// Number of tasks not yet done, for each step of each occurrence.
    std::vector<uint32_t> unfinishedTasks_;
    /// Times of each step of each occurrence, as far as this leader has seen them.
    std::vector<StepTimes> stepTimes_;
    bool isCancelled_ { false };
    bool hasFailed_ { false };
    bool hasStarted_ { false };
    /// Phase as of the last durable batch; empty before the first.
    std::optional<JobPhase> durablePhase_;
    /// Since when the job has had tasks to start, or occurrences that are not due yet, while none of its runs was listed by a
    /// worker that is up.
    std::optional<Instant> idleSince_;
    /// The last placed task was placed regardless of interference, as nothing of the job had run for long.
    bool hasExceptionalPlace_ { false };
    /// Empty while a run of the job is listed or none of its steps may start.
    std::optional<Standstill> standstill_;
    /// The job has missed its objective, and a log line says so.
    bool isReportedLate_ { false };
    /// When the job ended; starts its retention time.
    std::optional<Instant> endedAt_;
    bool operator==(const Job&) const = default;
};

/// A cancellation of a job that was not known when it arrived. The job's submission may still be on its way, held up by a frozen
/// process or a partition, and is refused when it arrives.
struct EarlyCancellation {
    /// The cancellation is stored, so that it can be acknowledged and outlives this leader.
    bool isDurable_ { false };
    /// Submissions that arrive later are taken as new.
    Instant keptUntil_;
    auto operator<=>(const EarlyCancellation&) const = default;
};

/// A job with a row that cannot be read. The leader neither starts nor stops its runs and does not write its rows.
struct UnreadableJob {
    /// The specification; empty if the record cannot be read.
    std::optional<JobSpec> spec_;
    bool operator==(const UnreadableJob&) const = default;
};

} // namespace persimmondoor::workflow
