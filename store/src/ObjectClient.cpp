#include "persimmondoor/store/ObjectClient.h"

namespace persimmondoor::store {

namespace asio = boost::asio;

asio::awaitable<absl::Status> putObject(ObjectClient client, std::string key, std::string bytes)
{
    co_return co_await std::visit([&](const auto& objects) { return objects.put(std::move(key), std::move(bytes)); }, client);
}

asio::awaitable<absl::StatusOr<std::string>> getObject(ObjectClient client, std::string key)
{
    co_return co_await std::visit([&](const auto& objects) { return objects.get(std::move(key)); }, client);
}

asio::awaitable<absl::Status> removeObject(ObjectClient client, std::string key)
{
    co_return co_await std::visit([&](const auto& objects) { return objects.remove(std::move(key)); }, client);
}

asio::awaitable<absl::StatusOr<std::vector<std::string>>> listObjects(ObjectClient client, ObjectList query)
{
    co_return co_await std::visit([&](const auto& objects) { return objects.list(std::move(query)); }, client);
}

} // namespace persimmondoor::store
