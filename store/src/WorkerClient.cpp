#include "persimmondoor/store/WorkerClient.h"

namespace persimmondoor::store {

namespace asio = boost::asio;

asio::awaitable<LaunchOutcome> launchTask(WorkerClient client, WorkerName worker, Launch launch)
{
    co_return co_await std::visit([&](const auto& workers) { return workers.launch(std::move(worker), std::move(launch)); }, client);
}

asio::awaitable<absl::Status> extendTasks(WorkerClient client, WorkerName worker, std::vector<TaskAttempt> tasks, Duration lease)
{
    co_return co_await std::visit([&](const auto& workers) { return workers.extend(std::move(worker), std::move(tasks), lease); }, client);
}

asio::awaitable<absl::Status> stopTask(WorkerClient client, WorkerName worker, TaskAttempt task)
{
    co_return co_await std::visit([&](const auto& workers) { return workers.stop(std::move(worker), std::move(task)); }, client);
}

asio::awaitable<absl::StatusOr<std::string>> checkpointTask(WorkerClient client, WorkerName worker, TaskAttempt task)
{
    co_return co_await std::visit([&](const auto& workers) { return workers.checkpoint(std::move(worker), std::move(task)); }, client);
}

asio::awaitable<absl::Status> throttleTask(WorkerClient client, WorkerName worker, TaskAttempt task, double share)
{
    co_return co_await std::visit([&](const auto& workers) { return workers.throttle(std::move(worker), std::move(task), share); }, client);
}

asio::awaitable<absl::Status> forgetTasks(WorkerClient client, WorkerName worker, std::vector<TaskAttempt> tasks)
{
    co_return co_await std::visit([&](const auto& workers) { return workers.forget(std::move(worker), std::move(tasks)); }, client);
}

asio::awaitable<absl::StatusOr<WorkerReport>> reportTasks(WorkerClient client, WorkerName worker, ReportQuery query)
{
    co_return co_await std::visit([&](const auto& workers) { return workers.report(std::move(worker), query); }, client);
}

asio::awaitable<absl::StatusOr<WorkerUsage>> reportUsage(WorkerClient client, WorkerName worker)
{
    co_return co_await std::visit([&](const auto& workers) { return workers.usage(std::move(worker)); }, client);
}

} // namespace persimmondoor::store
