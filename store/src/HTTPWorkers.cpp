#include "HTTPPool.h"
#include "JSON.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::store {

namespace asio = boost::asio;

// Sends a call of the worker interface. `request` has the members of the call, without the worker's name.
static asio::awaitable<absl::StatusOr<std::string>> callWorker(HTTPPool pool, std::string call, WorkerName worker, json::object request, Duration wait = Duration(0))
{
    request["worker"] = worker.value();
    http::Request message { "POST", concat("/v1/workers/", call), { { "Content-Type", "application/json" } }, json::serialize(request) };
    co_return co_await fetch(std::move(pool), std::move(message), platformTimeout + wait);
}

asio::awaitable<LaunchOutcome> HTTPWorkers::launch(WorkerName worker, Launch launch) const
{
    json::object request { { "launch", json::value_from(launch) } };
    auto result = co_await callWorker(pool_, "launch", std::move(worker), std::move(request));
    if (!result.ok()) {
        std::string detail(result.status().message());
        if (absl::IsUnavailable(result.status()))
            co_return Unavailable { std::move(detail) };
        if (absl::IsInvalidArgument(result.status()) || absl::IsNotFound(result.status()))
            co_return LaunchRefused { std::move(detail) };
        co_return ReplyLost { std::move(detail) };
    }
    auto refused = readJSON(*result, [](const json::value& value) { return member<std::string>(value, "refused"); });
    if (refused.ok())
        co_return LaunchRefused { *std::move(refused) };
    co_return Launched {};
}

asio::awaitable<absl::Status> HTTPWorkers::extend(WorkerName worker, std::vector<TaskAttempt> tasks, Duration lease) const
{
    json::object request { { "tasks", json::value_from(tasks) }, { "lease_us", lease.count() } };
    auto result = co_await callWorker(pool_, "extend", std::move(worker), std::move(request));
    co_return result.status();
}

asio::awaitable<absl::Status> HTTPWorkers::stop(WorkerName worker, TaskAttempt task) const
{
    json::object request { { "task", json::value_from(task) } };
    auto result = co_await callWorker(pool_, "stop", std::move(worker), std::move(request));
    co_return result.status();
}

asio::awaitable<absl::StatusOr<std::string>> HTTPWorkers::checkpoint(WorkerName worker, TaskAttempt task) const
{
    json::object request { { "task", json::value_from(task) } };
    auto result = co_await callWorker(pool_, "checkpoint", std::move(worker), std::move(request));
    if (!result.ok())
        co_return result.status();
    co_return readJSON(*result, [](const json::value& value) { return member<std::string>(value, "reference"); });
}

asio::awaitable<absl::Status> HTTPWorkers::throttle(WorkerName worker, TaskAttempt task, double share) const
{
    json::object request { { "task", json::value_from(task) }, { "share", share } };
    auto result = co_await callWorker(pool_, "throttle", std::move(worker), std::move(request));
    co_return result.status();
}

asio::awaitable<absl::Status> HTTPWorkers::forget(WorkerName worker, std::vector<TaskAttempt> tasks) const
{
    json::object request { { "tasks", json::value_from(tasks) } };
    auto result = co_await callWorker(pool_, "forget", std::move(worker), std::move(request));
    co_return result.status();
}

asio::awaitable<absl::StatusOr<WorkerReport>> HTTPWorkers::report(WorkerName worker, ReportQuery query) const
{
    json::object request { { "query", json::value_from(query) } };
    auto result = co_await callWorker(pool_, "report", std::move(worker), std::move(request), query.wait_);
    if (!result.ok())
        co_return result.status();
    co_return fromJSON<WorkerReport>(*result);
}

asio::awaitable<absl::StatusOr<WorkerUsage>> HTTPWorkers::usage(WorkerName worker) const
{
    auto result = co_await callWorker(pool_, "usage", std::move(worker), json::object());
    if (!result.ok())
        co_return result.status();
    co_return fromJSON<WorkerUsage>(*result);
}

} // namespace persimmondoor::store
