/// An in-memory stand-in of the table service, with fault injection. A handle: copies share the rows.
///
/// \code
/// MemoryTable table = MemoryTable::create();
/// table.inject(TableFaults { .down_ = true });
/// \endcode
#pragma once

#include "persimmondoor/store/Faults.h"
#include "persimmondoor/store/TableState.h"

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <memory>

namespace persimmondoor::store {

class MemoryTable {
public:
    static MemoryTable create();

    boost::asio::awaitable<CommitOutcome> commit(Transaction) const;
    boost::asio::awaitable<absl::StatusOr<std::vector<Row>>> read(std::vector<std::string> keys) const;
    boost::asio::awaitable<absl::StatusOr<std::vector<Row>>> scan(Scan) const;

    void inject(const TableFaults& faults) const { shared_->faults_ = faults; }
    const TableFaults& faults() const { return shared_->faults_; }
    /// Direct access to the rows and counters, for tests; no fault applies.
    TableState& state() const { return shared_->state_; }
    bool operator==(const MemoryTable&) const = default;

private:
    struct Shared {
        TableState state_;
        TableFaults faults_;
    };

    explicit MemoryTable(std::shared_ptr<Shared> shared)
        : shared_(std::move(shared))
    {
    }

    std::shared_ptr<Shared> shared_;
};

} // namespace persimmondoor::store
