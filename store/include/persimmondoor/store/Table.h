/// The platform's transactional table service: rows of bytes under a key, each with a version, and transactions
/// with conditions on versions. `TableClient` is one interface to the real service and to stand-ins.
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

/// Version of a row: 0 when absent, else the number of the transaction that wrote it.
using RowVersion = Counter<struct RowVersionTag>;

struct Row {
    std::string key_;
    std::string value_;
    RowVersion version_;
    auto operator<=>(const Row&) const = default;
};

/// Holds if the row has exactly this version when the transaction commits.
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

/// All writes take effect if all conditions hold, else none.
struct Transaction {
    std::vector<Condition> conditions_;
    std::vector<Write> writes_;
    auto operator<=>(const Transaction&) const = default;
};

/// The transaction took effect; its rows have this version.
struct Committed {
    RowVersion version_;
    auto operator<=>(const Committed&) const = default;
};

/// A condition did not hold; nothing was written.
struct Conflict {
    std::string key_;
    auto operator<=>(const Conflict&) const = default;
};

/// The service refused or could not be reached; nothing was written.
struct Unavailable {
    std::string detail_;
    auto operator<=>(const Unavailable&) const = default;
};

/// No reply came: the transaction may or may not have taken effect. Read back before deciding.
struct ReplyLost {
    std::string detail_;
    auto operator<=>(const ReplyLost&) const = default;
};

using CommitOutcome = std::variant<Committed, Conflict, Unavailable, ReplyLost>;

/// Rows whose key starts with `prefix_` and sorts after `after_`, at most `limit_`, in key order.
struct Scan {
    std::string prefix_;
    std::string after_;
    size_t limit_ { 1000 };
    auto operator<=>(const Scan&) const = default;
};

} // namespace persimmondoor::store
