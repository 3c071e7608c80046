/// The tasks of one stand-in worker as a plain value without input or output. A task is a timer; no process is started.
///
/// Commands: `sleep N` and `compute N` end after N milliseconds, `fail` fails at once, `fail N` after N milliseconds.
/// A throttle slows `compute` down but not `sleep`. An optional second number is the usage of the task, as a percentage
/// of the processors and memory in its launch; all of its accelerators count as used. A checkpoint records the work done.
///
/// \code
/// WorkerState worker(capacity, Incarnation(1));
/// LaunchOutcome outcome = worker.launch(launch, now);
/// worker.advance(now + std::chrono::seconds(1));
/// \endcode
#pragma once

#include "persimmondoor/store/Worker.h"

#include <absl/status/statusor.h>
#include <map>
#include <optional>

namespace persimmondoor::store {

class WorkerState {
public:
    /// A revision has the incarnation in its high bits and the number of the change in this many low bits, so that the
    /// revisions of a later incarnation are higher.
    static constexpr int changeNumberBits = 20;

    WorkerState(Resources capacity, Incarnation incarnation)
        : capacity_(capacity)
        , incarnation_(incarnation)
        , revision_(incarnation.value() << changeNumberBits)
    {
    }

    /// Starts a task, unless its attempt is known.
    /// \return Launched, or LaunchRefused for a malformed command or checkpoint reference.
    LaunchOutcome launch(const Launch&, Instant now);
    /// Sets the leases of running tasks to expire `lease` after `now`; ignores unknown and ended tasks.
    void extend(const std::vector<TaskAttempt>&, Duration lease, Instant now);
    /// Stops a running task.
    /// \return OK, also for a task that has ended already; NotFound if the attempt is unknown.
    absl::Status stop(const TaskAttempt&, Instant now);
    /// Records the work done by a running task.
    /// \return the reference of the checkpoint; NotFound if the attempt does not run.
    absl::StatusOr<std::string> checkpoint(const TaskAttempt&, Instant now);
    /// Limits a running task to `share` of its full speed, 0 to 1.
    /// \return OK; InvalidArgument if `share` is out of range; NotFound if the attempt does not run.
    absl::Status throttle(const TaskAttempt&, double share, Instant now);
    /// Drops ended tasks from the reports.
    void forget(const std::vector<TaskAttempt>&);
    /// Ends the tasks whose work is done or whose lease has expired by `now`.
    void advance(Instant now);

    /// \return the tasks changed after `since`, with the time left of their leases at `now`.
    WorkerReport report(WorkerRevision since, Instant now) const;
    /// \return the usage of the tasks that ran at `at`, which is now or earlier.
    std::vector<TaskUsage> usage(Instant at) const;
    /// \return the time at which the next task ends, or nothing if no task runs.
    std::optional<Instant> nextEnd() const;
    WorkerRevision revision() const { return revision_; }
    /// \return the sum of the resources of running tasks.
    Resources committed() const;
    /// Sets whether every task fails as soon as it starts.
    void failEverything(bool fails) { failsEverything_ = fails; }
    bool operator==(const WorkerState&) const = default;

private:
    struct Run {
        TaskReport report_;
        /// Revision of the latest change of this task.
        WorkerRevision changeRevision_;
        /// Work of the whole task, as its run time at full speed.
        Duration work_ { 0 };
        /// Work done by `measuredAt_`.
        Duration workDone_ { 0 };
        Instant measuredAt_;
        Instant startedAt_;
        std::optional<Instant> endedAt_;
        Instant leaseUntil_;
        int64_t usedPercent_ { 100 };
        double throttle_ { 1.0 };
        bool slowsWithThrottle_ { false };
        bool fails_ { false };
        bool operator==(const Run&) const = default;

        Duration workDoneAt(Instant now) const;
        std::optional<Instant> completesAt() const;
        Instant endsAt() const;
        bool runs() const { return report_.state_ == TaskState::Running; }
    };

    Run* findRunning(const TaskAttempt&);
    void markChanged(Run&);
    void finish(Run&, TaskState, Instant at);

    Resources capacity_;
    Incarnation incarnation_;
    WorkerRevision revision_;
    std::map<TaskAttempt, Run> runs_;
    bool failsEverything_ { false };
};

} // namespace persimmondoor::store
