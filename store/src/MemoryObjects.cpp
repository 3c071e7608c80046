#include "persimmondoor/store/MemoryObjects.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::store {

namespace asio = boost::asio;

MemoryObjects MemoryObjects::create()
{
    return MemoryObjects(std::make_shared<Shared>());
}

asio::awaitable<absl::Status> MemoryObjects::waitForService(std::shared_ptr<Shared> shared)
{
    if (shared->faults_.delay_ > Duration(0))
        co_await sleepFor(shared->faults_.delay_);
    if (shared->faults_.down_)
        co_return absl::UnavailableError("the object store is down");
    co_return absl::OkStatus();
}

absl::Status MemoryObjects::afterWrite(Shared& shared)
{
    if (shared.faults_.repliesToLose_ == 0)
        return absl::OkStatus();
    --shared.faults_.repliesToLose_;
    return absl::DeadlineExceededError("no reply from the object store");
}

asio::awaitable<absl::Status> MemoryObjects::put(std::string key, std::string bytes) const
{
    std::shared_ptr<Shared> shared = shared_;
    if (absl::Status status = co_await waitForService(shared); !status.ok())
        co_return status;
    shared->objects_.insert_or_assign(std::move(key), std::move(bytes));
    co_return afterWrite(*shared);
}

asio::awaitable<absl::StatusOr<std::string>> MemoryObjects::get(std::string key) const
{
    std::shared_ptr<Shared> shared = shared_;
    if (absl::Status status = co_await waitForService(shared); !status.ok())
        co_return status;
    auto found = shared->objects_.find(key);
    if (found == shared->objects_.end())
        co_return absl::NotFoundError(concat("no object with key ", key));
    co_return found->second;
}

asio::awaitable<absl::Status> MemoryObjects::remove(std::string key) const
{
    std::shared_ptr<Shared> shared = shared_;
    if (absl::Status status = co_await waitForService(shared); !status.ok())
        co_return status;
    shared->objects_.erase(key);
    co_return afterWrite(*shared);
}

asio::awaitable<absl::StatusOr<std::vector<std::string>>> MemoryObjects::list(ObjectList query) const
{
    std::shared_ptr<Shared> shared = shared_;
    if (absl::Status status = co_await waitForService(shared); !status.ok())
        co_return status;
    std::vector<std::string> keys;
    const auto& objects = shared->objects_;
    auto position = query.after_ < query.prefix_ ? objects.lower_bound(query.prefix_) : objects.upper_bound(query.after_);
    for (; position != objects.end() && keys.size() < query.limit_ && position->first.starts_with(query.prefix_); ++position)
        keys.push_back(position->first);
    co_return keys;
}

} // namespace persimmondoor::store
