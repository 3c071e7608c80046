/// Values of the platform's transactional table service. A row is a byte string under a key and has a version; a
/// transaction may set conditions on versions. `TableClient` accesses the real service and its stand-ins.
///
/// \code
/// Transaction claim { { { "partition/7", RowVersion() } }, { Put { "partition/7", "owner" } } };
/// CommitOutcome outcome = co_await commit(table, claim);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"

#include <string>
#include <variant>
#include <vector>

namespace persimmondoor::store {

/// Version of a row: the number of the transaction that wrote the row, or 0 if the row is absent.
using RowVersion = Counter<struct RowVersionTag>;

struct Row {
    std::string key_;
    std::string value_;
    RowVersion version_;
    auto operator<=>(const Row&) const = default;
};

/// A condition of a transaction: the row must have exactly this version at commit; version 0 requires an absent row.
struct Condition {
    std::string key_;
    RowVersion version_;
    auto operator<=>(const Condition&) const = default;
};

struct Put {
    std::string key_;
    std::string value_;
    auto operator<=>(const Put&) const = default;
};

struct Erase {
    std::string key_;
    auto operator<=>(const Erase&) const = default;
};

using Write = std::variant<Put, Erase>;

/// A set of writes that takes effect atomically if all conditions hold, and otherwise not at all.
struct Transaction {
    std::vector<Condition> conditions_;
    std::vector<Write> writes_;
    auto operator<=>(const Transaction&) const = default;
};

/// The transaction took effect; the rows that it put have this version.
struct Committed {
    RowVersion version_;
    /// Reading of the service's steady clock as it answered, in milliseconds; 0 if not stated.
    int64_t clockReadingMs_ { 0 };
    auto operator<=>(const Committed&) const = default;
};

/// The condition on this row did not hold; nothing was written.
struct Conflict {
    std::string key_;
    auto operator<=>(const Conflict&) const = default;
};

/// The service refused the call or could not be reached; nothing was written.
struct Unavailable {
    std::string detail_;
    /// The transaction itself is invalid, such as too large, so that it would be refused again.
    bool isRejected_ { false };
    auto operator<=>(const Unavailable&) const = default;
};

/// No reply came, so the outcome is unknown: the transaction may have taken effect. The caller must read the rows
/// back before it decides what to do.
struct ReplyLost {
    std::string detail_;
    auto operator<=>(const ReplyLost&) const = default;
};

using CommitOutcome = std::variant<Committed, Conflict, Unavailable, ReplyLost>;

/// Query for rows: at most `limit_` rows whose key starts with `prefix_` and sorts after `after_`, in key order.
struct Scan {
    std::string prefix_;
    std::string after_;
    size_t limit_ { 1000 };
    auto operator<=>(const Scan&) const = default;
};

} // namespace persimmondoor::store
