/// Where the time of a job goes: the parts of the time from when a task could start until it was done, and their sum along
/// the chain of tasks that determined when the job ended. For logs and metrics; no decision depends on it, and a new leader
/// starts to count anew.
///
/// \code
/// Delays delays = delaysOfRun(times, waitingSince, true, now);
/// logInfo("job.ended", { { "detail", describe(delays) } });
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/WorkerSpeeds.h"

#include <compare>
#include <optional>
#include <string>

namespace persimmondoor::workflow {

struct Delays {
    /// Waiting for a worker: for free capacity, or for a worker without interference.
    Duration placement_ { 0 };
    /// Waiting until the assignment was durable.
    Duration write_ { 0 };
    /// From the order to start until the worker listed the run.
    Duration startup_ { 0 };
    /// At work in the run that completed the task, without the time lost to a reduced pace.
    Duration work_ { 0 };
    /// Lost to a reduced pace in that run.
    Duration slowed_ { 0 };
    /// Spent in runs that ended without completing the task.
    Duration repeated_ { 0 };
    auto operator<=>(const Delays&) const = default;
};

Delays operator+(const Delays&, const Delays&);

/// Text for log lines, in milliseconds.
std::string describe(const Delays&);

/// Times of one run, from its assignment on.
struct RunTimes {
    Instant assignedAt_;
    /// When the order to start was released; empty before.
    std::optional<Instant> releasedAt_;
    /// When the worker first listed the run; empty before.
    std::optional<Instant> listedAt_;
    /// When the pace was last read; empty before the first reading.
    std::optional<Instant> paceReadAt_;
    /// Lost to a reduced pace so far.
    Duration slowed_ { 0 };
    auto operator<=>(const RunTimes&) const = default;
};

/// Adds a reading of the run's pace, which applied since the previous reading.
/// \param pacePercent 0 to 100 percent of full speed.
/// \return the updated times.
RunTimes addPaceReading(RunTimes, uint32_t pacePercent, Instant now);

/// The delays of a task due to a run that has ended.
/// \param waitingSince when the task could have been assigned first.
/// \param isDone true if the run completed the task.
Delays delaysOfRun(const RunTimes&, Instant waitingSince, bool isDone, Instant now);

/// Times of one step of one occurrence.
struct StepTimes {
    /// When the steps that it depends on were done and the occurrence was due; empty before.
    std::optional<Instant> startableSince_;
    /// When its last task was done; empty before.
    std::optional<Instant> doneAt_;
    /// Delays of that task.
    Delays delays_;
    /// Failure domain in which it ran; empty if its worker is not known.
    std::string domain_;
    /// Progress of all its runs, as far as it was read.
    ProgressSum progress_;
    auto operator<=>(const StepTimes&) const = default;
};

/// A job of which no worker lists a run although the dependencies of one of its steps are done.
struct Standstill {
    Instant since_;
    /// Such a step is due; otherwise the job only waits for its schedule.
    bool isDue_ { false };
    auto operator<=>(const Standstill&) const = default;
};

} // namespace persimmondoor::workflow
