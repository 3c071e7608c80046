/// What the lines of a log add up to. The order of the lines does not matter, so that the logs of several processes can be
/// read one after the other.
///
/// \code
/// Summary summary;
/// summary = add(std::move(summary), line);
/// Document document = compose(summary, 20);
/// \endcode
#pragma once

#include "persimmondoor/report/Event.h"

#include <vector>

namespace persimmondoor::report {

/// How many lines were read, and of what kind.
struct LineCounts {
    int64_t read_ { 0 };
    int64_t foreign_ { 0 };
    int64_t cut_ { 0 };
    int64_t unreadable_ { 0 };
    int64_t told_ { 0 };
    int64_t dropped_ { 0 };
    auto operator<=>(const LineCounts&) const = default;
};

/// What happened in one second of wall time.
struct SecondFigures {
    /// The newest backlog of the second, and its time.
    std::optional<Backlog> backlog_;
    int64_t backlogAtMs_ { 0 };
    /// Steps with long-running tasks that waited, by their task that waited longest.
    std::map<std::string, LongRunningWait, std::less<>> waits_;
    int64_t slowCommits_ { 0 };
    int64_t slowestCommitMs_ { 0 };
    int64_t refusals_ { 0 };
    bool operator==(const SecondFigures&) const = default;
};

struct TimedJob {
    int64_t atMs_ { 0 };
    JobEnded job_;
    auto operator<=>(const TimedJob&) const = default;
};

struct TimedWorkerChange {
    int64_t atMs_ { 0 };
    WorkerChanged change_;
    auto operator<=>(const TimedWorkerChange&) const = default;
};

struct TimedLeaderChange {
    int64_t atMs_ { 0 };
    std::string process_;
    LeaderChanged change_;
    auto operator<=>(const TimedLeaderChange&) const = default;
};

struct RefusalFigures {
    int64_t count_ { 0 };
    int64_t firstMs_ { 0 };
    int64_t lastMs_ { 0 };
    auto operator<=>(const RefusalFigures&) const = default;
};

/// The runs on one worker.
struct WorkerRuns {
    std::string domain_;
    int64_t starts_ { 0 };
    std::array<int64_t, 4> ends_ {};
    auto operator<=>(const WorkerRuns&) const = default;
};

/// The lines on a job with nothing running; the leader writes one a second.
struct JobStandstill {
    int64_t firstMs_ { 0 };
    int64_t lastMs_ { 0 };
    int64_t seconds_ { 0 };
    int64_t longestMs_ { 0 };
    /// Seconds by main reason.
    AmountsByReason reasons_;
    bool operator==(const JobStandstill&) const = default;
};

struct Summary {
    LineCounts lines_;
    std::optional<int64_t> firstMs_;
    int64_t lastMs_ { 0 };
    std::vector<TimedJob> jobs_;
    std::map<std::string, int64_t, std::less<>> jobsByPhase_;
    /// Jobs that were late, by queue.
    std::map<std::string, int64_t, std::less<>> lateJobs_;
    std::map<Refused, RefusalFigures> refusals_;
    /// Jobs with nothing running, by id, and the number of such seconds of jobs that the leader left out.
    std::map<std::string, JobStandstill, std::less<>> standstills_;
    int64_t omittedStandstills_ { 0 };
    /// By seconds since the epoch.
    std::map<int64_t, SecondFigures> seconds_;
    std::vector<TimedWorkerChange> workerChanges_;
    std::map<std::string, WorkerRuns, std::less<>> workers_;
    std::vector<TimedLeaderChange> leaderChanges_;
    bool operator==(const Summary&) const = default;
};

/// \return the summary with the line added.
Summary add(Summary, const ReadLine&);

/// Workers that were out of use at the end of a second.
struct WorkersOut {
    int64_t quarantined_ { 0 };
    int64_t unreachable_ { 0 };
    /// Since the begin of the log.
    int64_t gone_ { 0 };
    auto operator<=>(const WorkersOut&) const = default;
};

/// \return for each second of the summary, how many workers were out of use at its end. A quarantine ends after its time,
/// with a proof or with a change of the leader, which forgets it.
std::map<int64_t, WorkersOut> workersOut(const Summary&);

} // namespace persimmondoor::report
