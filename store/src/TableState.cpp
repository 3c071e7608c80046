#include "persimmondoor/store/TableState.h"

#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::store {

CommitOutcome TableState::apply(const Transaction& transaction)
{
    ++counts_.transactions_;
    for (const Condition& condition : transaction.conditions_) {
        auto found = rows_.find(condition.key_);
        RowVersion current = found == rows_.end() ? RowVersion() : found->second.version_;
        if (current != condition.version_)
            return Conflict { condition.key_ };
    }
    lastVersion_ = lastVersion_.next();
    for (const Write& change : transaction.writes_)
        write(change);
    return Committed { lastVersion_ };
}

void TableState::write(const Write& change)
{
    ++counts_.rowsWritten_;
    std::visit(Visitor {
                   [this](const Put& put) {
                       counts_.bytesWritten_ += put.key_.size() + put.value_.size();
                       rows_.insert_or_assign(put.key_, Row { put.key_, put.value_, lastVersion_ });
                   },
                   [this](const Erase& erase) { rows_.erase(erase.key_); },
               },
        change);
}

Row TableState::read(const std::string& key)
{
    ++counts_.reads_;
    auto found = rows_.find(key);
    return found == rows_.end() ? Row { key, "", RowVersion() } : found->second;
}

std::vector<Row> TableState::scan(const Scan& scan)
{
    ++counts_.reads_;
    std::vector<Row> result;
    auto position = scan.after_ < scan.prefix_ ? rows_.lower_bound(scan.prefix_) : rows_.upper_bound(scan.after_);
    for (; position != rows_.end() && result.size() < scan.limit_ && position->first.starts_with(scan.prefix_); ++position)
        result.push_back(position->second);
    return result;
}

} // namespace persimmondoor::store
