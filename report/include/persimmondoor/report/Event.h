/// What the lines of a log say, as far as the report tells it.
///
/// \code
/// Event event = parseEvent(line);
/// \endcode
#pragma once

#include "persimmondoor/report/Line.h"

#include <array>
#include <compare>

namespace persimmondoor::report {

/// Where a job's time went; the names are those of `job.ended`.
enum class Cause : uint8_t {
    Placement,
    Write,
    Startup,
    Work,
    Slowed,
    Repeated,
};
inline constexpr std::array<std::string_view, 6> causeNames { "placement", "write", "startup", "work", "slowed", "repeated" };

/// Milliseconds of a job by cause.
struct TimeParts {
    std::array<int64_t, causeNames.size()> ms_ {};
    auto operator<=>(const TimeParts&) const = default;

    int64_t of(Cause cause) const { return ms_.at(static_cast<size_t>(cause)); }
    int64_t total() const;
};
TimeParts operator+(const TimeParts&, const TimeParts&);

/// The queue, size and place of a job; empty and 0 where the line does not tell.
struct JobExtent {
    std::string queue_;
    int64_t tasks_ { 0 };
    std::string domain_;
    auto operator<=>(const JobExtent&) const = default;
};

struct JobEnded {
    std::string id_;
    std::string phase_;
    JobExtent extent_;
    /// Empty unless the job was completed.
    std::optional<TimeParts> parts_;
    auto operator<=>(const JobEnded&) const = default;
};

struct JobLate {
    std::string id_;
    JobExtent extent_;
    TimeParts parts_;
    auto operator<=>(const JobLate&) const = default;
};

/// What was refused: a job by the leader, a client's call by its entry, or a run by its agent.
enum class RefusalKind : uint8_t {
    Job,
    Call,
    Run,
};

/// A refusal, with numbers and names left out of the reason so that equal ones add up.
struct Refused {
    RefusalKind kind_ { RefusalKind::Job };
    std::string reason_;
    auto operator<=>(const Refused&) const = default;
};

using AmountsByReason = std::map<std::string, int64_t, std::less<>>;
/// \return the reason with the highest amount; empty if there is none.
std::string mostFrequent(const AmountsByReason&);

/// `queues.backlog`; cores in thousandths.
struct Backlog {
    int64_t withoutCapacity_ { 0 };
    int64_t withInterference_ { 0 };
    int64_t lateJobs_ { 0 };
    int64_t worthlessJobs_ { 0 };
    int64_t assigned_ { 0 };
    int64_t atWork_ { 0 };
    int64_t spare_ { 0 };
    int64_t heldRooms_ { 0 };
    int64_t held_ { 0 };
    /// Tasks of the demand with the most waiting tasks, and the cores that they leave unused.
    int64_t widestTasks_ { 0 };
    AmountsByReason unused_;
    bool operator==(const Backlog&) const = default;
};

/// `task.waits`: the long-running tasks of one step, and the number of workers that cannot take them, by reason.
struct LongRunningWait {
    std::string task_;
    int64_t waitedMs_ { 0 };
    int64_t tasks_ { 0 };
    AmountsByReason workers_;
    bool operator==(const LongRunningWait&) const = default;
};

/// `job.waits`: a job with nothing running.
struct JobWait {
    std::string id_;
    int64_t waitedMs_ { 0 };
    /// The tasks of the step that has waited longest, by reason, and the number of workers by obstacle.
    AmountsByReason reasons_;
    AmountsByReason workers_;
    bool operator==(const JobWait&) const = default;

    /// The reason of most of the tasks; if no worker is suitable for them, with the obstacle at most of the workers.
    std::string mainReason() const;
};

/// `job.waits_omitted`: jobs with nothing running for which the leader wrote no line.
struct JobWaitsOmitted {
    int64_t jobs_ { 0 };
    auto operator<=>(const JobWaitsOmitted&) const = default;
};

struct RunStarted {
    std::string worker_;
    std::string domain_;
    auto operator<=>(const RunStarted&) const = default;
};

/// How a run ended, in the leader's view.
enum class RunOutcome : uint8_t {
    Done,
    Failed,
    /// By an order, at the end of its lease or with its gang.
    Stopped,
    /// Its worker vanished, or no longer listed it.
    Lost,
};

struct RunEnded {
    std::string worker_;
    RunOutcome outcome_ { RunOutcome::Done };
    auto operator<=>(const RunEnded&) const = default;
};

enum class WorkerState : uint8_t {
    Seen,
    Gone,
    Unreachable,
    Reached,
    Quarantined,
    Proven,
};

struct WorkerChanged {
    std::string worker_;
    WorkerState state_ { WorkerState::Seen };
    /// Of a quarantine.
    int64_t lastsMs_ { 0 };
    auto operator<=>(const WorkerChanged&) const = default;
};

struct SlowCommit {
    int64_t tookMs_ { 0 };
    int64_t jobs_ { 0 };
    auto operator<=>(const SlowCommit&) const = default;
};

/// A claim, win, load, resignation or end of the leadership.
struct LeaderChanged {
    std::string event_;
    std::string epoch_;
    std::string detail_;
    auto operator<=>(const LeaderChanged&) const = default;
};

/// Lines that a process dropped at its rate limit.
struct LinesDropped {
    int64_t lines_ { 0 };
    auto operator<=>(const LinesDropped&) const = default;
};

/// An event of no interest to the report.
struct OtherEvent {
    auto operator<=>(const OtherEvent&) const = default;
};

/// An event whose fields cannot be read, such as that of another version.
struct UnreadableEvent {
    std::string event_;
    auto operator<=>(const UnreadableEvent&) const = default;
};

using Event = std::variant<OtherEvent, UnreadableEvent, JobEnded, JobLate, Refused, Backlog, LongRunningWait, JobWait, JobWaitsOmitted, RunStarted, RunEnded, WorkerChanged, SlowCommit, LeaderChanged, LinesDropped>;

/// Reads the event that the line tells.
Event parseEvent(const LogLine&);

} // namespace persimmondoor::report
