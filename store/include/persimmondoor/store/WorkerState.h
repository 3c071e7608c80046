/// The tasks of one stand-in worker as a pure value machine. A task is a timer, no process is started.
///
/// Commands: `sleep N` and `compute N` end after N milliseconds, `fail` fails at once, `fail N` after N milliseconds.
/// `compute` slows down with its throttle, `sleep` doesn't. A second number is what the task uses, as a percentage of
/// the resources it was launched with. A checkpoint records the work done.
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
    /// Revisions of a later life are higher: a life numbers its changes in this many bits.
    static constexpr int changesPerLifeBits = 20;

    WorkerState(Resources capacity, Incarnation incarnation)
        : capacity_(capacity)
        , incarnation_(incarnation)
        , revision_(incarnation.value() << changesPerLifeBits)
    {
    }

    /// Starts a task, unless its attempt is known.
    /// \return Launched, or LaunchRefused for a command or checkpoint that can't be read.
    LaunchOutcome launch(const Launch&, Instant now);
    /// Sets the leases of running tasks to end `lease` after `now`; unknown tasks are passed over.
    void extend(const std::vector<TaskAttempt>&, Duration lease, Instant now);
    /// Ends a running task.
    /// \return OK, also if it had ended; NotFound if the attempt is not known.
    absl::Status stop(const TaskAttempt&, Instant now);
    /// Records the work done by a running task.
    /// \return the reference; NotFound if the attempt does not run.
    absl::StatusOr<std::string> checkpoint(const TaskAttempt&, Instant now);
    /// Limits a running task to `share` of its full speed, 0 to 1.
    /// \return OK, InvalidArgument, or NotFound if the attempt does not run.
    absl::Status throttle(const TaskAttempt&, double share, Instant now);
    /// Drops ended tasks from the reports.
    void forget(const std::vector<TaskAttempt>&);
    /// Ends what has ended by `now`: tasks done and leases lapsed.
    void advance(Instant now);

    WorkerReport report(WorkerRevision since, Instant now) const;
    /// Usage of the tasks that ran at `at`, now or earlier.
    std::vector<TaskUsage> usage(Instant at) const;
    /// \return when the next task ends, or nothing if none runs.
    std::optional<Instant> nextEnd() const;
    WorkerRevision revision() const { return revision_; }
    /// Sum of the resources of running tasks.
    Resources committed() const;
    void failEverything(bool fails) { failsEverything_ = fails; }
    bool operator==(const WorkerState&) const = default;

private:
    struct Run {
        TaskReport report_;
        WorkerRevision changed_;
        /// Work of the whole task, and what was done at `measuredAt_`.
        Duration work_ { 0 };
        Duration done_ { 0 };
        Instant measuredAt_;
        Instant startedAt_;
        std::optional<Instant> endedAt_;
        Instant leaseUntil_;
        int64_t usedPercent_ { 100 };
        double throttle_ { 1.0 };
        bool slowsDown_ { false };
        bool fails_ { false };
        bool operator==(const Run&) const = default;

        Duration doneAt(Instant now) const;
        std::optional<Instant> doneBy() const;
        Instant endsAt() const;
        bool runs() const { return report_.state_ == TaskState::Running; }
    };

    Run* findRunning(const TaskAttempt&);
    void touch(Run&);
    void finish(Run&, TaskState, Instant at);

    Resources capacity_;
    Incarnation incarnation_;
    WorkerRevision revision_;
    std::map<TaskAttempt, Run> runs_;
    bool failsEverything_ { false };
};

} // namespace persimmondoor::store
