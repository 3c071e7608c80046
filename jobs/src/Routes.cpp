#include "DomainRoutes.h"
#include "JobsJson.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/jobs/Front.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::jobs {

namespace asio = boost::asio;
namespace json = boost::json;

static http::Response badRequest(const absl::Status& status)
{
    return http::errorResponse(400, "bad_request", std::string(status.message()));
}

static http::Response acceptedResponse(const std::string& id)
{
    json::object body;
    body["accepted"] = true;
    body["id"] = id;
    return http::jsonResponse(200, json::serialize(body) + "\n");
}

static asio::awaitable<http::Response> submit(JobsFront front, http::Request request)
{
    auto spec = parseJob(request.body_);
    if (!spec.ok())
        co_return badRequest(spec.status());
    PartitionNumber partition = front.partitionOf(spec->team_, spec->id_);
    std::string id = spec->id_.value();
    JobsRequest jobsRequest = SubmitJob { *std::move(spec) };
    JobsAnswer answer = co_await front.ask(partition, std::move(jobsRequest));
    if (std::holds_alternative<Accepted>(answer))
        co_return acceptedResponse(id);
    co_return toResponse(answer, false);
}

// Lists the jobs of every partition, or of the team's partition if the request names a team.
static asio::awaitable<http::Response> list(JobsFront front, http::Request request)
{
    std::string team = http::queryParameter(request, "team").value_or("");
    JobList all;
    uint32_t missing = 0;
    for (uint32_t number = 0; number < front.partitionCount(); ++number) {
        PartitionNumber partition(number);
        if (!team.empty() && TeamName::create(team).ok() && front.partitionOf(TeamName::of(team), JobId()) != partition)
            continue;
        JobsRequest jobsRequest = ListJobs { team };
        JobsAnswer answer = co_await front.ask(partition, std::move(jobsRequest));
        if (const auto* part = std::get_if<JobList>(&answer))
            all.jobs_.insert(all.jobs_.end(), part->jobs_.begin(), part->jobs_.end());
        else
            ++missing;
    }
    std::sort(all.jobs_.begin(), all.jobs_.end(), [](const JobSummary& one, const JobSummary& other) { return one.submittedAt_ > other.submittedAt_; });
    json::array jobs;
    for (size_t index = 0; index < std::min(all.jobs_.size(), maximumJobsShown); ++index)
        jobs.push_back(toJson(all.jobs_[index]));
    json::object body;
    body["jobs"] = std::move(jobs);
    body["partitions_without_answer"] = missing;
    co_return http::jsonResponse(200, json::serialize(body) + "\n");
}

// Parses "/v1/jobs/ID[/VERB]" into the job's id and the verb, which may be empty.
static absl::StatusOr<std::pair<JobId, std::string>> readPath(const http::Request& request)
{
    std::string path = http::pathBelow(request, "/v1/jobs");
    size_t slash = path.find('/');
    auto id = JobId::create(path.substr(0, slash));
    if (!id.ok() || !teamOf(*id).ok())
        return absl::InvalidArgumentError("a job id must have the form TEAM:NAME");
    return std::make_pair(*id, slash == std::string::npos ? "" : path.substr(slash + 1));
}

static asio::awaitable<http::Response> show(JobsFront front, http::Request request)
{
    if (http::pathBelow(request, "/v1/jobs").empty())
        co_return co_await list(std::move(front), std::move(request));
    auto path = readPath(request);
    if (!path.ok())
        co_return badRequest(path.status());
    if (!path->second.empty() && path->second != "explain")
        co_return http::errorResponse(404, "not_found", "no such path");
    JobsRequest jobsRequest = ShowJob { path->first };
    JobsAnswer answer = co_await front.ask(front.partitionOf(*teamOf(path->first), path->first), std::move(jobsRequest));
    co_return toResponse(answer, path->second == "explain");
}

// Cancels many jobs with one request to each of their partitions. Stops at the first partition that does not accept; jobs of
// the partitions before it stay cancelled. The client may repeat the request.
static asio::awaitable<http::Response> cancelMany(JobsFront front, http::Request request)
{
    auto ids = parseJobIds(request.body_);
    if (!ids.ok())
        co_return badRequest(ids.status());
    std::map<PartitionNumber, std::vector<JobId>> byPartition;
    for (const JobId& id : *ids)
        byPartition[front.partitionOf(*teamOf(id), id)].push_back(id);
    for (const auto& [partition, jobs] : byPartition) {
        JobsRequest jobsRequest = CancelJobs { jobs };
        JobsAnswer answer = co_await front.ask(partition, std::move(jobsRequest));
        if (!std::holds_alternative<Accepted>(answer))
            co_return toResponse(answer, false);
    }
    co_return toResponse(Accepted {}, false);
}

static asio::awaitable<http::Response> post(JobsFront front, http::Request request)
{
    std::string below = http::pathBelow(request, "/v1/jobs");
    if (below.empty())
        co_return co_await submit(std::move(front), std::move(request));
    if (below == "cancel")
        co_return co_await cancelMany(std::move(front), std::move(request));
    auto path = readPath(request);
    if (!path.ok())
        co_return badRequest(path.status());
    if (path->second != "cancel")
        co_return http::errorResponse(404, "not_found", "no such path");
    CancelJobs cancel;
    cancel.jobs_.push_back(path->first);
    JobsAnswer answer = co_await front.ask(front.partitionOf(*teamOf(path->first), path->first), std::move(cancel));
    co_return toResponse(answer, false);
}

void offerJobs(http::Routes& routes, JobsFront front)
{
    routes.add("GET", "/v1/jobs", [front](http::Request request) { return show(front, std::move(request)); });
    routes.add("POST", "/v1/jobs", [front](http::Request request) { return post(front, std::move(request)); });
    routes.add("GET", "/v1/domains", [front](http::Request request) { return showDomains(front, std::move(request)); });
    routes.add("PUT", "/v1/domains", [front](http::Request request) { return changeDomain(front, std::move(request)); });
}

} // namespace persimmondoor::jobs
