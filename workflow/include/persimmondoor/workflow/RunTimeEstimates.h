/// Estimates for how long a task holds its room on a worker, from the assignment of a run until its end is listed, relative
/// to the run time that its job declares. One ratio for each queue, from runs that ended as done.
///
/// Unlike `placement::Estimates`, which keeps quantiles to reserve room for one task, these are means weighted by the declared
/// time, so that the sum over many tasks is unbiased.
///
/// \code
/// RunTimeEstimates estimates = observeRun(std::move(estimates), "renders", declared, held);
/// Duration expected = estimates.expect("renders", step.estimate_);
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace persimmondoor::workflow {

/// Decayed sums over the observed runs of one queue, in seconds, and the number of runs, counted up to
/// `RunTimeEstimates::minimumRuns`.
struct RunTimeSums {
    double declared_ { 0 };
    double held_ { 0 };
    uint32_t runs_ { 0 };
    auto operator<=>(const RunTimeSums&) const = default;
};

struct RunTimeEstimates {
    std::map<std::string, RunTimeSums> byQueue_;
    auto operator<=>(const RunTimeEstimates&) const = default;

    /// Bound on the queues; those beyond it keep their declared times.
    static constexpr size_t maximumQueues = 256;
    /// Runs of a queue from which on its ratio is used.
    static constexpr uint32_t minimumRuns = 16;

    /// True if enough runs of the queue were observed.
    bool isKnown(const std::string& queue) const;
    /// The time for which a task is expected to hold its room.
    /// \param declared the run time that the job declares.
    /// \return `declared` times the queue's ratio; `declared` if the ratio is not known.
    Duration expect(const std::string& queue, Duration declared) const;
};

/// Adds a run that ended as done. Declared times of 0 are ignored, as they have no ratio; each observation counts with at most
/// eight times its declared time.
/// \return the updated estimates.
RunTimeEstimates observeRun(RunTimeEstimates, const std::string& queue, Duration declared, Duration held);

} // namespace persimmondoor::workflow
