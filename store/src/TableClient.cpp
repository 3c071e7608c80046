#include "persimmondoor/store/TableClient.h"

namespace persimmondoor::store {

namespace asio = boost::asio;

asio::awaitable<CommitOutcome> commit(TableClient client, Transaction transaction)
{
    co_return co_await std::visit([&](const auto& table) { return table.commit(std::move(transaction)); }, client);
}

asio::awaitable<absl::StatusOr<std::vector<Row>>> read(TableClient client, std::vector<std::string> keys)
{
    co_return co_await std::visit([&](const auto& table) { return table.read(std::move(keys)); }, client);
}

asio::awaitable<absl::StatusOr<std::vector<Row>>> scan(TableClient client, Scan range)
{
    co_return co_await std::visit([&](const auto& table) { return table.scan(std::move(range)); }, client);
}

} // namespace persimmondoor::store
