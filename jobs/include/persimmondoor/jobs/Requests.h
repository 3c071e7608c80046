/// Operators' requests to the owner of a partition, and its answers, independent of their encoding.
///
/// \code
/// JobsRequest request = ShowJob { *jobId(TeamName::of("maps"), "rebuild-7") };
/// \endcode
#pragma once

#include "persimmondoor/jobs/OwnerMessages.h"

namespace persimmondoor::jobs {

/// Maximum number of tasks of a job in one answer.
inline constexpr size_t maximumTasksShown = 1000;
/// Maximum number of jobs in one list.
inline constexpr size_t maximumJobsShown = 1000;

struct SubmitJob {
    JobSpec spec_;
    bool operator==(const SubmitJob&) const = default;
};
struct CancelJobs {
    std::vector<JobId> jobs_;
    auto operator<=>(const CancelJobs&) const = default;
};
/// Lists the jobs of a partition, or only those of `team_` if it is not empty.
struct ListJobs {
    std::string team_;
    auto operator<=>(const ListJobs&) const = default;
};
struct ShowJob {
    JobId job_;
    auto operator<=>(const ShowJob&) const = default;
};

using JobsRequest = std::variant<SubmitJob, CancelJobs, ListJobs, ShowJob>;

struct PhaseCount {
    std::string phase_;
    uint32_t tasks_ { 0 };
    auto operator<=>(const PhaseCount&) const = default;
};

struct JobSummary {
    JobId id_;
    TeamName team_;
    placement::Priority priority_;
    uint32_t taskCount_ { 0 };
    bool isCancelled_ { false };
    /// Milliseconds since 1970 UTC; `endedAt_` is 0 while a task is live.
    int64_t submittedAt_ { 0 };
    int64_t endedAt_ { 0 };
    std::vector<PhaseCount> phases_;
    auto operator<=>(const JobSummary&) const = default;
};

struct TaskView {
    uint32_t index_ { 0 };
    std::string phase_;
    Attempt attempt_;
    uint32_t failures_ { 0 };
    std::string worker_;
    std::string checkpoint_;
    std::string result_;
    std::string explanation_;
    auto operator<=>(const TaskView&) const = default;
};

struct JobList {
    std::vector<JobSummary> jobs_;
    auto operator<=>(const JobList&) const = default;
};
struct JobDetails {
    JobSummary summary_;
    std::string command_;
    std::vector<TaskView> tasks_;
    auto operator<=>(const JobDetails&) const = default;
};
/// This process does not own the partition; the request had no effect.
struct NotOwner {
    auto operator<=>(const NotOwner&) const = default;
};

using JobsAnswer = std::variant<Accepted, IdTaken, NoSuchJob, NotAccepted, OutcomeUnknown, JobList, JobDetails, NotOwner>;

/// \return the partition of a job: a hash of its team and, if `partitionsPerTeam` is above 1, of its id.
/// \param partitionsPerTeam number of partitions that the team's jobs are spread over, at least 1.
PartitionNumber partitionOf(const TeamName&, const JobId&, uint32_t partitionCount, uint32_t partitionsPerTeam);

class Owner;
JobSummary summarize(const Job&);
/// Describes a job with at most `maximumTasksShown` of its tasks and an explanation of each. Tasks that have not ended take
/// precedence.
JobDetails describeJob(const Owner&, const Job&, Instant now);
/// Lists the newest `maximumJobsShown` jobs, newest first; those of all teams if `team` is empty.
JobList listJobs(const Owner&, const std::string& team);

} // namespace persimmondoor::jobs
