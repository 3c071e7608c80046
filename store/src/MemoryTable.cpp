#include "persimmondoor/store/MemoryTable.h"

#include "persimmondoor/core/Coroutine.h"

namespace persimmondoor::store {

namespace asio = boost::asio;

MemoryTable MemoryTable::create()
{
    return MemoryTable(std::make_shared<Shared>());
}

asio::awaitable<CommitOutcome> MemoryTable::commit(Transaction transaction) const
{
    std::shared_ptr<Shared> shared = shared_;
    if (shared->faults_.delay_ > Duration(0))
        co_await sleepFor(shared->faults_.delay_);
    if (shared->faults_.down_)
        co_return Unavailable { "the table service is down" };
    CommitOutcome outcome = shared->state_.apply(transaction);
    if (shared->faults_.repliesToLose_ > 0) {
        --shared->faults_.repliesToLose_;
        co_return ReplyLost { "no reply from the table service" };
    }
    co_return outcome;
}

asio::awaitable<absl::StatusOr<std::vector<Row>>> MemoryTable::read(std::vector<std::string> keys) const
{
    std::shared_ptr<Shared> shared = shared_;
    if (shared->faults_.delay_ > Duration(0))
        co_await sleepFor(shared->faults_.delay_);
    if (shared->faults_.down_)
        co_return absl::UnavailableError("the table service is down");
    std::vector<Row> rows;
    rows.reserve(keys.size());
    for (const std::string& key : keys)
        rows.push_back(shared->state_.read(key));
    co_return rows;
}

asio::awaitable<absl::StatusOr<std::vector<Row>>> MemoryTable::scan(Scan scan) const
{
    std::shared_ptr<Shared> shared = shared_;
    if (shared->faults_.delay_ > Duration(0))
        co_await sleepFor(shared->faults_.delay_);
    if (shared->faults_.down_)
        co_return absl::UnavailableError("the table service is down");
    co_return shared->state_.scan(scan);
}

} // namespace persimmondoor::store
