/// The jobs and tasks of one partition: what its journal adds up to. The same records in the same order give the same
/// ledger, at the owner as at a successor that recovers it.
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

/// Position of a waiting task: by priority, then by the job's order.
struct QueuePosition {
    placement::Priority priority_;
    Sequence jobOrder_;
    TaskKey task_;
    auto operator<=>(const QueuePosition&) const = default;
};

/// The attempt is durable: its start may be ordered.
struct StartPermitted {
    TaskKey task_;
    Attempt attempt_;
    placement::Site site_;
    auto operator<=>(const StartPermitted&) const = default;
};

/// The task's job was cancelled while an attempt was there.
struct StopRequired {
    TaskKey task_;
    Attempt attempt_;
    placement::Site site_;
    auto operator<=>(const StopRequired&) const = default;
};

/// An attempt is over; nothing is left of it at its worker.
struct AttemptClosed {
    TaskKey task_;
    Attempt attempt_;
    placement::Site site_;
    bool failed_ { false };
    /// The task waits for a new attempt.
    bool waits_ { false };
    auto operator<=>(const AttemptClosed&) const = default;
};

using LedgerEffect = std::variant<StartPermitted, StopRequired, AttemptClosed>;

class Ledger {
public:
    /// \return the job, or nothing.
    const Job* find(const JobId&) const;
    /// \return the task, or nothing.
    const Task* find(const TaskKey&) const;

    const std::map<JobId, Job>& jobs() const { return jobs_; }
    /// Waiting tasks, first to start first.
    const std::set<QueuePosition>& queue() const { return queue_; }
    /// Tasks with an attempt, by worker.
    const std::map<WorkerName, std::set<TaskKey>>& assigned() const { return assigned_; }
    /// Jobs whose tasks have all ended, by the time of the end.
    const std::set<std::pair<int64_t, JobId>>& ended() const { return ended_; }
    /// Resources of tasks with an attempt, by team.
    const std::map<TeamName, Resources>& used() const { return used_; }
    size_t liveTasks() const { return liveTasks_; }
    bool operator==(const Ledger&) const = default;

private:
    friend struct LedgerRules;

    std::map<JobId, Job> jobs_;
    Sequence lastOrder_;
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

/// Applies durable records in their order.
Applied applyRecords(Ledger, const std::vector<Record>&);

/// Notes what an agent has said of an attempt that the ledger holds: that it runs, or was told to stop. Such notes are
/// not durable; a successor learns them from agents again. A note on another attempt changes nothing.
Ledger markRunning(Ledger, const TaskKey&, Attempt);
Ledger markCheckpointing(Ledger, const TaskKey&, Attempt);

/// Rebuilds a ledger from the jobs of a snapshot.
Ledger restore(std::vector<Job> jobs);

} // namespace persimmondoor::jobs
