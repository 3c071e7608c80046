/// The promises to callers and workers, checked from what both see. Decisions only: events come in the order in which they
/// happened.
///
/// \code
/// Observation seen = observe(std::move(promises), RunBegan { run, payload, worker }, now);
/// for (const Violation& violation : seen.violations_)
///     report(violation);
/// \endcode
#pragma once

#include "WorkerEvents.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Job.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmondoor::soak {

using platform::CapacityExceeded;
using platform::EndAcknowledged;
using platform::LeaseLapsed;
using platform::RunBegan;
using platform::RunEnd;
using platform::RunEnded;

/// A client is about to submit a job for the first time.
struct JobSubmitted {
    JobId job_;
    workflow::JobSpec spec_;
    bool operator==(const JobSubmitted&) const = default;
};
struct JobAccepted {
    JobId job_;
    auto operator<=>(const JobAccepted&) const = default;
};
/// The client has stopped asking, and each of its attempts was answered that the job is not accepted.
struct JobRefused {
    JobId job_;
    auto operator<=>(const JobRefused&) const = default;
};
struct CancelSent {
    JobId job_;
    auto operator<=>(const CancelSent&) const = default;
};
struct CancelAcknowledged {
    JobId job_;
    auto operator<=>(const CancelAcknowledged&) const = default;
};
enum class ShownState : uint8_t {
    Pending,
    Running,
    Completed,
    Failed,
    Canceled,
    /// The answer says that there is no such job.
    Absent,
};
struct StateShown {
    JobId job_;
    ShownState state_ { ShownState::Pending };
    auto operator<=>(const StateShown&) const = default;
};
/// A process of the system ended although nobody ended it.
struct ProcessEnded {
    std::string name_;
    std::string how_;
    auto operator<=>(const ProcessEnded&) const = default;
};
/// The faults are over, and the bounds of the calm apply from now on.
struct CalmBegan {
    auto operator<=>(const CalmBegan&) const = default;
};
/// The run is over: what was accepted must have ended or be at work.
struct RunOver {
    auto operator<=>(const RunOver&) const = default;
};

using Event = std::variant<JobSubmitted, JobAccepted, JobRefused, CancelSent, CancelAcknowledged, StateShown, RunBegan, RunEnded, EndAcknowledged, LeaseLapsed, CapacityExceeded, ProcessEnded, CalmBegan, RunOver>;

/// A broken promise.
struct Violation {
    /// Its name, such as "once" or "accepted".
    std::string promise_;
    std::string text_;
    Instant at_;
    auto operator<=>(const Violation&) const = default;
};

/// What is known of one task.
struct TaskRecord {
    /// The workers that run it.
    std::set<std::string> activeOn_;
    bool isDone_ { false };
    /// The run that ended as done, and its worker; meaningful if `isDone_`.
    uint32_t doneRun_ { 0 };
    std::string doneOn_;
    /// The task must not run again once that end is acknowledged; not so if the worker's lease lapsed before.
    bool isDoneBinding_ { false };
    bool isDoneAcknowledged_ { false };
    bool hasBegunAfterDone_ { false };
    uint32_t acknowledgedFailures_ { 0 };
    bool operator==(const TaskRecord&) const = default;
};

struct JobHistory {
    workflow::JobSpec spec_;
    bool isAccepted_ { false };
    bool isRefused_ { false };
    bool isCancelSent_ { false };
    bool isCancelAcknowledged_ { false };
    bool hasBegun_ { false };
    Instant cancelledAt_;
    Instant acceptedAt_;
    ShownState lastShown_ { ShownState::Pending };
    std::map<workflow::TaskKey, TaskRecord> tasks_;
    bool operator==(const JobHistory&) const = default;
};

/// Everything that has been seen so far.
struct Promises {
    std::map<JobId, JobHistory> jobs_;
    bool isCalm_ { false };
    bool operator==(const Promises&) const = default;
};

struct Observation {
    Promises state_;
    std::vector<Violation> violations_;
    bool operator==(const Observation&) const = default;
};

/// Takes note of an event.
/// \return the new state and the promises that the event shows to be broken.
Observation observe(Promises, const Event&, Instant now);

/// True if nothing is owed any more: each accepted job has ended and is shown so, or is long-running and at work.
bool isSettled(const Promises&);

} // namespace persimmondoor::soak
