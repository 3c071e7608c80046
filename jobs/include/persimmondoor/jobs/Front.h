/// The operators' HTTP API of jobs and failure domains, and the routing of requests to the process that owns a partition.
///
///   POST /v1/jobs                       submit; idempotent for a given job id
///   GET  /v1/jobs[?team=T]              list
///   GET  /v1/jobs/TEAM:NAME             one job with its tasks
///   GET  /v1/jobs/TEAM:NAME/explain     what each task does or waits for
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

/// Sends requests to the owner of a partition, in this or another process. Copies share their connections.
class JobsFront {
public:
    /// \param domains the failure domains that the site file names.
    JobsFront(boost::asio::any_io_executor executor, store::TableClient table, JobsActor jobs, uint32_t partitionCount, std::set<FailureDomainName> domains);

    /// Sends `request` to the owner of `partition`; retries for some seconds while the partition has no reachable owner.
    /// \return the owner's answer; NotAccepted if the request had no effect; OutcomeUnknown if it was not answered.
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

/// Serves this process's partitions to other processes as the interface "jobs".
void offerJobs(rpc::Interfaces& interfaces, const boost::asio::any_io_executor& executor, JobsActor jobs);

} // namespace persimmondoor::jobs
