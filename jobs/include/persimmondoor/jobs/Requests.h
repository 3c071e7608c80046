/// What operators ask of the owner of a partition, and its answers, whatever way they come.
///
/// \code
/// JobsRequest request = ShowJob { JobId::of("rebuild-7") };
/// \endcode
#pragma once

#include "persimmondoor/jobs/OwnerMessages.h"

namespace persimmondoor::jobs {

/// Most tasks of a job that an answer shows.
inline constexpr size_t maximumTasksShown = 1000;
/// Most jobs that a list shows.
inline constexpr size_t maximumJobsShown = 1000;

struct SubmitJob {
    JobSpec spec_;
    bool operator==(const SubmitJob&) const = default;
};
struct CancelJobs {
    std::vector<JobId> jobs_;
    auto operator<=>(const CancelJobs&) const = default;
};
/// The jobs of a partition, those of `team_` alone if it is given.
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
    bool cancelled_ { false };
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
/// This process does not own the partition; nothing was done.
struct NotOwner {
    auto operator<=>(const NotOwner&) const = default;
};

using JobsAnswer = std::variant<Accepted, IdTaken, NoSuchJob, NotAccepted, OutcomeUnknown, JobList, JobDetails, NotOwner>;

/// The partition of a job: by its team, and for a team with several shares also by its id.
/// \param shares partitions that the team's jobs are spread over, at least 1.
PartitionNumber partitionOf(const TeamName&, const JobId&, uint32_t partitionCount, uint32_t shares);

class Owner;
JobSummary summarize(const Job&);
/// The first `maximumTasksShown` tasks that have not ended, then others, with a reason for each.
JobDetails describeJob(const Owner&, const Job&, Instant now);
JobList listJobs(const Owner&, const std::string& team);

} // namespace persimmondoor::jobs
