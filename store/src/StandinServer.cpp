#include "persimmondoor/store/StandinServer.h"

#include "JSON.h"
#include "StandinFaults.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/http/Routes.h"

#include <absl/strings/numbers.h>

namespace persimmondoor::store {

namespace asio = boost::asio;

PlatformStandins PlatformStandins::create(Clock clock)
{
    return { MemoryTable::create(), MemoryObjects::create(), MemoryWorkers::create(std::move(clock)) };
}

// A status other than those below means a lost reply: the connection is closed without a response.
static http::Response toResponse(const absl::Status& status)
{
    std::string detail(status.message());
    switch (status.code()) {
    case absl::StatusCode::kOk:
        return http::jsonResponse(200, "{}");
    case absl::StatusCode::kNotFound:
        return http::errorResponse(404, "not-found", detail);
    case absl::StatusCode::kInvalidArgument:
        return http::errorResponse(400, "bad-request", detail);
    case absl::StatusCode::kUnavailable:
        return http::errorResponse(503, "unavailable", detail);
    default:
        return { http::noAnswerStatus, {}, "" };
    }
}

static http::Response toResponse(const CommitOutcome& outcome)
{
    return std::visit(Visitor {
                          [](const Committed& done) { return http::jsonResponse(200, json::serialize(json::object { { "version", done.version_.value() } })); },
                          [](const Conflict& conflict) { return http::jsonResponse(409, json::serialize(json::object { { "conflict", conflict.key_ } })); },
                          [](const Unavailable& down) { return toResponse(absl::UnavailableError(down.detail_)); },
                          [](const ReplyLost& lost) { return toResponse(absl::DeadlineExceededError(lost.detail_)); },
                      },
        outcome);
}

static http::Response toResponse(const LaunchOutcome& outcome)
{
    return std::visit(Visitor {
                          [](const Launched&) { return http::jsonResponse(200, "{}"); },
                          [](const LaunchRefused& refused) { return http::jsonResponse(200, json::serialize(json::object { { "refused", refused.detail_ } })); },
                          [](const Unavailable& down) { return toResponse(absl::UnavailableError(down.detail_)); },
                          [](const ReplyLost& lost) { return toResponse(absl::DeadlineExceededError(lost.detail_)); },
                      },
        outcome);
}

// Returns a response with `result` as JSON: as member `name` of an object, or by itself if `name` is empty.
template <typename T>
static http::Response toResponse(const absl::StatusOr<T>& result, std::string_view name)
{
    if (!result.ok())
        return toResponse(result.status());
    json::value value = json::value_from(*result);
    if (!name.empty())
        value = json::object { { name, std::move(value) } };
    return http::jsonResponse(200, json::serialize(value));
}

static void addTable(http::Routes& routes, const MemoryTable& table)
{
    routes.add("POST", "/v1/table/commit", [table](http::Request request) -> asio::awaitable<http::Response> {
        auto transaction = fromJSON<Transaction>(request.body_);
        if (!transaction.ok())
            co_return toResponse(transaction.status());
        co_return toResponse(co_await table.commit(*std::move(transaction)));
    });
    routes.add("POST", "/v1/table/read", [table](http::Request request) -> asio::awaitable<http::Response> {
        auto keys = readJSON(request.body_, [](const json::value& value) { return member<std::vector<std::string>>(value, "keys"); });
        if (!keys.ok())
            co_return toResponse(keys.status());
        co_return toResponse(co_await table.read(*std::move(keys)), "rows");
    });
    routes.add("POST", "/v1/table/scan", [table](http::Request request) -> asio::awaitable<http::Response> {
        auto scan = fromJSON<Scan>(request.body_);
        if (!scan.ok())
            co_return toResponse(scan.status());
        co_return toResponse(co_await table.scan(*std::move(scan)), "rows");
    });
}

static std::string parameter(const http::Request& request, std::string_view name)
{
    return http::queryParameter(request, name).value_or("");
}

static void addObjects(http::Routes& routes, const MemoryObjects& objects)
{
    routes.add("PUT", "/v1/object", [objects](http::Request request) -> asio::awaitable<http::Response> {
        co_return toResponse(co_await objects.put(parameter(request, "key"), request.body_));
    });
    routes.add("GET", "/v1/object", [objects](http::Request request) -> asio::awaitable<http::Response> {
        auto bytes = co_await objects.get(parameter(request, "key"));
        if (!bytes.ok())
            co_return toResponse(bytes.status());
        co_return http::Response { 200, { { "Content-Type", "application/octet-stream" } }, *std::move(bytes) };
    });
    routes.add("DELETE", "/v1/object", [objects](http::Request request) -> asio::awaitable<http::Response> {
        co_return toResponse(co_await objects.remove(parameter(request, "key")));
    });
    routes.add("GET", "/v1/objects", [objects](http::Request request) -> asio::awaitable<http::Response> {
        ObjectList query { parameter(request, "prefix"), parameter(request, "after"), 0 };
        if (!absl::SimpleAtoi(parameter(request, "limit"), &query.limit_))
            co_return http::errorResponse(400, "bad-request", "the query parameter limit must be a number");
        co_return toResponse(co_await objects.list(std::move(query)), "keys");
    });
}

static WorkerName workerMember(const json::value& value)
{
    auto name = WorkerName::create(member<std::string>(value, "worker"));
    if (!name.ok())
        throw std::invalid_argument(std::string(name.status().message()));
    return *name;
}

// Adds the route of one call. `begin` reads the request and returns the started call; it throws if the request is
// malformed. The call refers to captures of `begin`, so the route stores a copy of `begin` that outlives the call.
template <typename Begin>
static void addWorkerCall(http::Routes& routes, const std::string& call, Begin begin)
{
    routes.add("POST", "/v1/workers/" + call, [begin](http::Request request) -> asio::awaitable<http::Response> {
        auto started = readJSON(request.body_, begin);
        if (!started.ok())
            co_return toResponse(started.status());
        co_return co_await *std::move(started);
    });
}

template <typename Result>
static asio::awaitable<http::Response> answer(asio::awaitable<Result> result)
{
    co_return toResponse(co_await std::move(result));
}

template <typename Result>
static asio::awaitable<http::Response> answer(asio::awaitable<Result> result, std::string name)
{
    co_return toResponse(co_await std::move(result), name);
}

static void addWorkers(http::Routes& routes, const MemoryWorkers& workers)
{
    using Answer = asio::awaitable<http::Response>;
    addWorkerCall(routes, "launch", [workers](const json::value& value) -> Answer { return answer(workers.launch(workerMember(value), member<Launch>(value, "launch"))); });
    addWorkerCall(routes, "extend", [workers](const json::value& value) -> Answer {
        return answer(workers.extend(workerMember(value), member<std::vector<TaskAttempt>>(value, "tasks"), Duration(member<int64_t>(value, "lease_us"))));
    });
    addWorkerCall(routes, "stop", [workers](const json::value& value) -> Answer { return answer(workers.stop(workerMember(value), member<TaskAttempt>(value, "task"))); });
    addWorkerCall(routes, "checkpoint", [workers](const json::value& value) -> Answer {
        return answer(workers.checkpoint(workerMember(value), member<TaskAttempt>(value, "task")), "reference");
    });
    addWorkerCall(routes, "throttle", [workers](const json::value& value) -> Answer {
        return answer(workers.throttle(workerMember(value), member<TaskAttempt>(value, "task"), member<double>(value, "share")));
    });
    addWorkerCall(routes, "forget", [workers](const json::value& value) -> Answer {
        return answer(workers.forget(workerMember(value), member<std::vector<TaskAttempt>>(value, "tasks")));
    });
    addWorkerCall(routes, "report", [workers](const json::value& value) -> Answer {
        return answer(workers.report(workerMember(value), member<ReportQuery>(value, "query")), "");
    });
    addWorkerCall(routes, "usage", [workers](const json::value& value) -> Answer { return answer(workers.usage(workerMember(value)), ""); });
}

static void addStandinRoutes(http::Routes& routes, const PlatformStandins& standins)
{
    routes.add("GET", "/standin/faults", [standins](http::Request) -> asio::awaitable<http::Response> {
        co_return http::jsonResponse(200, describeFaults(standins) + "\n");
    });
    routes.add("PUT", "/standin/faults", [standins](http::Request request) -> asio::awaitable<http::Response> {
        if (absl::Status status = injectFaults(standins, request.body_); !status.ok())
            co_return toResponse(status);
        co_return http::jsonResponse(200, describeFaults(standins) + "\n");
    });
    routes.add("GET", "/standin/counts", [standins](http::Request) -> asio::awaitable<http::Response> {
        const TableCounts& counts = standins.table_.state().counts();
        json::object answer { { "transactions", counts.transactions_ }, { "rows_written", counts.rowsWritten_ }, { "bytes_written", counts.bytesWritten_ }, { "reads", counts.reads_ } };
        co_return http::jsonResponse(200, json::serialize(answer) + "\n");
    });
}

absl::StatusOr<std::unique_ptr<http::Server>> serveStandins(const asio::any_io_executor& executor, const Address& address, const PlatformStandins& standins)
{
    http::Routes routes;
    addTable(routes, standins.table_);
    addObjects(routes, standins.objects_);
    addWorkers(routes, standins.workers_);
    addStandinRoutes(routes, standins);
    http::Limits limits;
    limits.bodyBytes_ = standinBodyBytes;
    return http::Server::listen(executor, address, limits, routes.handler());
}

} // namespace persimmondoor::store
