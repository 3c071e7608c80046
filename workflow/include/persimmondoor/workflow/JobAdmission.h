/// Whether a submitted job can be finished before it has lost its value. Under a shortage a job that cannot is refused at
/// once, with the time to come back, instead of being accepted and run when nobody waits for it.
///
/// Work and rate are measured in the same unit: a task holds its cores for the expected time, and cores in use give back one
/// core-second a second. What is uncertain is accepted.
///
/// \code
/// AdmissionVerdict verdict = assessAdmission(forecast, tuning);
/// if (const auto* hopeless = std::get_if<Hopeless>(&verdict))
///     refuse(id, hopeless->expectedEnd_);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/RunTimeEstimates.h"
#include "persimmondoor/workflow/Tuning.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace persimmondoor::workflow {

/// Core-seconds that short tasks of a service have given back, as an exponentially weighted sum.
struct DrainMeter {
    double coreSeconds_ { 0 };
    Instant updatedAt_;
    auto operator<=>(const DrainMeter&) const = default;
};

/// Adds a task that is done.
/// \param window time constant of the decay.
DrainMeter addDrained(DrainMeter, double coreSeconds, Duration window, Instant now);
/// Cores that short tasks have given back in each second of the window, on average.
double drainedCores(const DrainMeter&, Duration window, Instant now);

/// Place of a job among those that wait: the priority of its queue, and when it has to end, in milliseconds since 1970 UTC.
struct DueWork {
    uint32_t priority_ { 0 };
    int64_t dueMs_ { 0 };
    auto operator<=>(const DueWork&) const = default;
};

/// Work of the jobs of one service that still have value, in core-seconds, and the cores that it gets.
struct ServiceLoad {
    /// Work of the tasks that wait.
    std::map<DueWork, double> waiting_;
    /// Cores that short tasks hold, and cores that nobody holds.
    double heldCores_ { 0 };
    double freeCores_ { 0 };
    auto operator<=>(const ServiceLoad&) const = default;

    /// Work that has to get room before a new job does: that of a higher priority, and that of its own which is due earlier. Runs
    /// that have room do not delay it by their remaining work: as those with much work left hold their cores, the others give
    /// theirs back.
    double workAhead(const DueWork&) const;
};

/// What decides about one job.
struct AdmissionForecast {
    /// Work that goes before the job, and the job's own, in core-seconds.
    double workAhead_ { 0 };
    double ownWork_ { 0 };
    /// Cores that do this work.
    double cores_ { 0 };
    /// Expected time of the job's longest chain of steps.
    Duration chain_ { 0 };
    Duration objective_ { 0 };
    /// Since the job was first submitted.
    Duration age_ { 0 };
    auto operator<=>(const AdmissionForecast&) const = default;
};

struct Admitted {
    auto operator<=>(const Admitted&) const = default;
};
/// The job would end after it has lost its value.
struct Hopeless {
    /// From now until its end.
    Duration expectedEnd_ { 0 };
    /// From now until it would be on time if it were submitted then and no other work came.
    Duration onTimeAfter_ { 0 };
    auto operator<=>(const Hopeless&) const = default;
};
using AdmissionVerdict = std::variant<Admitted, Hopeless>;

/// Decides about one job. A job is hopeless only because of the work ahead: one that would not end in time on an idle service
/// is admitted, as then the estimate or the objective is at fault.
AdmissionVerdict assessAdmission(const AdmissionForecast&, const Tuning&);

/// Retry times that were given to refused jobs of a service: each is promised a share of the room of its own, so that they do
/// not come back all at once.
struct ReturnPlan {
    /// When the work of all jobs that were told to come back would be done.
    Instant bookedUntil_;
    auto operator<=>(const ReturnPlan&) const = default;
};

/// Books room for a job to come back to.
/// \return the updated plan, and the time after which the job should come back, from `Tuning::retryAfter_` to
/// `Tuning::maximumReturnAfter_`.
std::pair<ReturnPlan, Duration> bookReturn(ReturnPlan, const AdmissionForecast&, const Hopeless&, const Tuning&, Instant now);

/// What is known of one service.
struct ServiceAdmission {
    DrainMeter drained_;
    ReturnPlan returns_;
    /// Empty before the first survey. Surveys are repeated after `Tuning::surveyInterval_`, or later with many unfinished jobs
    /// (`Tuning::surveyIntervalPerJob_`); admitted jobs are added meanwhile.
    std::optional<ServiceLoad> load_;
    Instant surveyedAt_;
    auto operator<=>(const ServiceAdmission&) const = default;
};

/// A refused job that may come back.
struct RefusedJob {
    Instant refusedAt_;
    /// First submission, in milliseconds since 1970 UTC.
    int64_t submittedMs_ { 0 };
    /// When it was told to come back.
    Instant returnAt_;
    auto operator<=>(const RefusedJob&) const = default;
};

/// State of the admission of jobs. In memory only: a new leader admits all jobs until it has observed enough runs.
struct JobAdmission {
    RunTimeEstimates runTimes_;
    std::map<std::string, ServiceAdmission> services_;
    /// The jobs that were refused lately.
    std::map<JobId, RefusedJob> refused_;
    auto operator<=>(const JobAdmission&) const = default;
};

} // namespace persimmondoor::workflow
