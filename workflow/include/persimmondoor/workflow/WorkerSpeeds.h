/// How much longer runs take on one worker than on others, from the progress that its runs make between two readings.
///
/// A run is compared with the other runs of its step, on whichever workers, and with the estimate as far as few of them have
/// been read: declared times are rough, and equally so for all tasks of a step. A worker counts as slow by what most of its
/// runs show, so that one odd run says little about it.
///
/// \code
/// Duration expected = expectedRunTime(estimate, progressOfOthers);
/// WorkerSpeed speed = addReading(worker.speed_, { PaceSample { run, logSlowdown(progress, expected) } }, tuning, now);
/// bool isLastChoice = speed.isSlow_;
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Job.h"
#include "persimmondoor/workflow/Tuning.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace persimmondoor::workflow {

/// Time at work, and the share of the whole work that was done in it, in percent; sums over several runs may exceed 100.
struct ProgressSum {
    Duration elapsed_ { 0 };
    int64_t percent_ { 0 };
    auto operator<=>(const ProgressSum&) const = default;
};

ProgressSum operator+(const ProgressSum&, const ProgressSum&);
ProgressSum operator-(const ProgressSum&, const ProgressSum&);

/// What the readings of one run have shown so far.
struct RunProgress {
    /// When the run was first or last taken into account; empty before.
    std::optional<Instant> readAt_;
    /// The progress at that moment, 0 to 100.
    uint32_t percent_ { 0 };
    /// Sum since the first reading.
    ProgressSum sum_;
    auto operator<=>(const RunProgress&) const = default;
};

/// Expected time of a whole run: the mean of the other runs of its step and of the estimate, which counts as one more run.
Duration expectedRunTime(Duration estimate, const ProgressSum& others);

/// Binary logarithm of how many times as long as expected the work took, within bounds. No progress counts as half a percent,
/// as percents are whole.
double logSlowdown(const ProgressSum&, Duration expected);

/// True if a run would have made enough progress in that time to tell its pace from whole percents.
bool isTelling(Duration elapsed, Duration expected);

/// The pace of one run between two readings.
struct PaceSample {
    RunKey run_;
    double logSlowdown_ { 0 };
    auto operator<=>(const PaceSample&) const = default;
};

/// What the runs of one worker have shown. Newer readings weigh more, and what is known fades while nothing is read, so that a
/// worker that was slow is tried again.
struct WorkerSpeed {
    /// Decayed sum of the readings' logarithms, and of their weights.
    double sum_ { 0 };
    double weight_ { 0 };
    Instant readAt_;
    /// Slower than `Tuning::slowWorkerPercent_`, and not yet back below `Tuning::steadyWorkerPercent_`.
    bool isSlow_ { false };
    /// The run that the last reading with a single run showed; empty if there is none.
    std::optional<RunKey> onlyRun_;
    /// Runs that have ended as done since the last reading.
    std::vector<PaceSample> ended_;
    bool operator==(const WorkerSpeed&) const = default;

    /// How many times as long as elsewhere runs take; 1 if nothing is known. Few readings count less unless the worker is slow.
    double slowdown() const;
};

/// Adds one reading of a worker's runs, and those that have ended since the last one.
/// \return the updated speed.
WorkerSpeed addReading(WorkerSpeed, std::vector<PaceSample> active, const Tuning&, Instant now);

/// A task for which only slow workers have room now.
struct SlowOffer {
    Instant now_;
    /// Expected run time on other workers, and how many times as long it takes on the slow one.
    Duration runTime_ { 0 };
    double slowdown_ { 1 };
    /// Since when only slow workers have had room for the task.
    Instant since_;
    /// For how long nothing of the job has run, while most of the service's capacity is free; 0 otherwise.
    Duration standstill_ { 0 };
    /// Slow workers of the service and all of them.
    size_t slowWorkers_ { 0 };
    size_t workers_ { 0 };
    auto operator<=>(const SlowOffer&) const = default;
};

/// True if the task should wait for another worker: at most for as long as its run would be longer here, only while others
/// are the rule, and not while its job would count as lost.
bool paysToWait(const SlowOffer&, const Tuning&);

/// A run on a slow worker.
struct SlowRun {
    uint32_t percent_ { 0 };
    bool savesProgress_ { false };
    /// Expected time of a whole run on other workers, and how many times as long it takes here.
    Duration runTime_ { 0 };
    double slowdown_ { 1 };
    auto operator<=>(const SlowRun&) const = default;
};

/// True if the run ends sooner if it is stopped and started on another worker, by enough to be worth the work thrown away.
bool paysToMove(const SlowRun&, const Tuning&);

} // namespace persimmondoor::workflow
