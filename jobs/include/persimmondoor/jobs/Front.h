/// The operators' HTTP API of jobs and failure domains, and the way between processes to the owner of a partition.
///
///   POST /v1/jobs                       submit; idempotent by the job's id
///   GET  /v1/jobs[?team=T]              list
///   GET  /v1/jobs/TEAM:NAME             one job with its tasks
///   GET  /v1/jobs/TEAM:NAME/explain     why each task is where it is
///   POST /v1/jobs/TEAM:NAME/cancel      cancel; POST /v1/jobs/cancel cancels many, {"jobs": [...]}
///   GET  /v1/domains, /v1/domains/NAME  failure domains
///   PUT  /v1/domains/NAME               {"action": "drain" | "restore", "version": N}
///
/// \code
/// offerJobs(routes, JobsFront(executor, table, jobs, partitionCount, domains));
/// \endcode
#pragma once

#include "persimmondoor/http/Routes.h"
#include "persimmondoor/jobs/JobsActor.h"
#include "persimmondoor/rpc/Link.h"
#include "persimmondoor/rpc/Server.h"

namespace persimmondoor::jobs {

/// Finds the owner of a partition and asks it, here or in another process. A handle: copies share connections.
class JobsFront {
public:
    /// \param domains the failure domains that the site file names.
    JobsFront(boost::asio::any_io_executor executor, store::TableClient table, JobsActor jobs, uint32_t partitionCount, std::set<FailureDomainName> domains);

    /// Asks the owner of `partition`; tries again for a while if the partition is just changing hands.
    /// \return its answer; NotAccepted if there is no owner or nothing was sent; OutcomeUnknown if an answer is missing.
    boost::asio::awaitable<JobsAnswer> ask(PartitionNumber partition, JobsRequest request) const;

    PartitionNumber partitionOf(const TeamName& team, const JobId& job) const;
    uint32_t partitionCount() const;
    store::TableClient table() const;
    const std::set<FailureDomainName>& domains() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Adds the paths above to `routes`.
void offerJobs(http::Routes& routes, JobsFront front);

/// Offers this process's partitions to others under the name "jobs".
void offerJobs(rpc::Interfaces& interfaces, const boost::asio::any_io_executor& executor, JobsActor jobs);

} // namespace persimmondoor::jobs
