/// Access to the table service through any of its implementations.
///
/// \code
/// TableClient table = MemoryTable::create();
/// absl::StatusOr<std::vector<Row>> rows = co_await read(table, { "settings/lankacell" });
/// \endcode
#pragma once

#include "persimmondoor/store/HTTPPlatform.h"
#include "persimmondoor/store/MemoryTable.h"

#include <variant>

namespace persimmondoor::store {

using TableClient = std::variant<MemoryTable, HTTPTable>;

/// Commits a transaction. The transaction is never sent twice, as it need not be idempotent; see `ReplyLost`.
boost::asio::awaitable<CommitOutcome> commit(TableClient, Transaction);

/// Reads rows by key. The rows have the order of `keys`; an absent row has version 0.
/// \return the rows, or Unavailable, DeadlineExceeded, or InvalidArgument for a malformed call or answer.
boost::asio::awaitable<absl::StatusOr<std::vector<Row>>> read(TableClient, std::vector<std::string> keys);

/// Reads rows by prefix.
/// \return the same statuses as `read`.
boost::asio::awaitable<absl::StatusOr<std::vector<Row>>> scan(TableClient, Scan);

} // namespace persimmondoor::store
