/// The rows of a table service as a plain value without input or output. The stand-ins of the table service serve it.
///
/// \code
/// TableState state;
/// CommitOutcome outcome = state.apply(transaction);
/// \endcode
#pragma once

#include "persimmondoor/store/Table.h"

#include <map>

namespace persimmondoor::store {

/// Counters of the calls and writes of a table since its creation.
struct TableCounts {
    uint64_t transactions_ { 0 };
    uint64_t rowsWritten_ { 0 };
    uint64_t bytesWritten_ { 0 };
    uint64_t reads_ { 0 };
    auto operator<=>(const TableCounts&) const = default;
};

class TableState {
public:
    /// Applies `transaction` if its conditions hold.
    /// \return Committed or Conflict.
    CommitOutcome apply(const Transaction&);

    /// \return the row; an absent row has version 0 and an empty value.
    Row read(const std::string& key);
    std::vector<Row> scan(const Scan&);

    const TableCounts& counts() const { return counts_; }
    bool operator==(const TableState&) const = default;

private:
    void write(const Write&);

    std::map<std::string, Row> rows_;
    RowVersion lastVersion_;
    TableCounts counts_;
};

} // namespace persimmondoor::store
