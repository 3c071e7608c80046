/// The jobs and tasks of one partition, which result from applying the records of its journal. The same records in the
/// same order give the same ledger, at the owner and at a successor that recovers the partition.
///
/// \code
/// Applied applied = applyRecords(Ledger(), { JobSubmitted { spec, 0 } });
/// applied.ledger_.find(spec.id_)->liveTasks_;
/// \endcode
#pragma once

#include "persimmondoor/jobs/Record.h"
#include "persimmondoor/placement/Quota.h"

#include <map>
#include <set>
#include <variant>

namespace persimmondoor::jobs {

/// Sort key of a waiting task: by priority, then by the order of submission.
struct QueuePosition {
    placement::Priority priority_;
    Sequence submissionNumber_;
    TaskKey task_;
    auto operator<=>(const QueuePosition&) const = default;
};

/// The attempt is durable: the start order may be sent.
struct StartPermitted {
    TaskKey task_;
    Attempt attempt_;
    placement::Site site_;
    auto operator<=>(const StartPermitted&) const = default;
};

/// The task's job was cancelled while the task has an attempt, which must be stopped.
struct StopRequired {
    TaskKey task_;
    Attempt attempt_;
    placement::Site site_;
    auto operator<=>(const StopRequired&) const = default;
};

/// The attempt has ended and no longer runs at its worker.
struct AttemptClosed {
    TaskKey task_;
    Attempt attempt_;
    placement::Site site_;
    bool hasFailed_ { false };
    /// The task waits for a new attempt.
    bool isRequeued_ { false };
    auto operator<=>(const AttemptClosed&) const = default;
};

using LedgerEffect = std::variant<StartPermitted, StopRequired, AttemptClosed>;

class Ledger {
public:
    /// \return the job, or null.
    const Job* find(const JobId&) const;
    /// \return the task, or null.
    const Task* find(const TaskKey&) const;

    const std::map<JobId, Job>& jobs() const { return jobs_; }
    /// Waiting tasks, in the order in which they start.
    const std::set<QueuePosition>& queue() const { return queue_; }
    /// Tasks that have an attempt, by worker.
    const std::map<WorkerName, std::set<TaskKey>>& assigned() const { return assigned_; }
    /// Jobs whose tasks have all ended, by the time at which the last task ended.
    const std::set<std::pair<int64_t, JobId>>& ended() const { return ended_; }
    /// Resources of the tasks that have an attempt, by team.
    const std::map<TeamName, Resources>& used() const { return used_; }
    /// Number of tasks that have not ended.
    size_t liveTasks() const { return liveTasks_; }
    bool operator==(const Ledger&) const = default;

private:
    friend struct LedgerRules;

    std::map<JobId, Job> jobs_;
    Sequence lastSubmissionNumber_;
    // Indexes of `jobs_`.
    std::set<QueuePosition> queue_;
    std::map<WorkerName, std::set<TaskKey>> assigned_;
    std::set<std::pair<int64_t, JobId>> ended_;
    std::map<TeamName, Resources> used_;
    size_t liveTasks_ { 0 };
};

struct Applied {
    Ledger ledger_;
    std::vector<LedgerEffect> effects_;
    bool operator==(const Applied&) const = default;
};

/// Applies durable records in their order. A record that does not match the current state has no effect.
Applied applyRecords(Ledger, const std::vector<Record>&);

/// Updates the phase of a task's current attempt: the agent reported that it runs, or was ordered to checkpoint and stop
/// it. These phases are not journaled; a successor receives them from the agents again. No effect for another attempt.
Ledger markRunning(Ledger, const TaskKey&, Attempt);
Ledger markCheckpointing(Ledger, const TaskKey&, Attempt);

/// Rebuilds a ledger from the jobs of a snapshot. Running tasks become starting until their agent reports them.
Ledger restoreLedger(std::vector<Job> jobs);

} // namespace persimmondoor::jobs
