#include "Balance.h"

#include "persimmondoor/core/Hash.h"

#include <algorithm>

namespace persimmondoor::leases {

// Reads without a partition after which a superfluous process ends its heartbeats.
static constexpr uint64_t idleReadsUntilLeave = 6;

Sight BalanceRules::look(const Ownership& state, const RowsRead& rows, Instant now)
{
    Sight sight;
    for (const store::Row& row : rows.owners_) {
        auto process = processOf(row.key_);
        auto heartbeat = decodeOwnerRow(row.value_);
        if (!process || !heartbeat.ok())
            continue;
        sight.heartbeats_.emplace(*process, *heartbeat);
        sight.heartbeatVersions_.emplace(*process, row.version_);
        // A registered process doesn't watch itself, but an unregistered one watches its earlier life.
        auto watched = state.owners_.find(*process);
        bool live = watched == state.owners_.end() ? state.registered_ : now - watched->second.since_ < state.settings_.lease_;
        if (live)
            sight.counts_.emplace(*process, 0);
    }
    for (uint32_t number = 0; number < state.settings_.partitionCount_; ++number)
        sight.partitions_.emplace(PartitionNumber(number), SeenPartition { {}, {}, true });
    for (const store::Row& row : rows.partitions_) {
        auto partition = partitionOf(row.key_);
        auto found = partition ? sight.partitions_.find(*partition) : sight.partitions_.end();
        if (found == sight.partitions_.end())
            continue;
        auto content = decodePartitionRow(row.value_);
        // A row that can't be read is left alone: its epoch is not known.
        bool free = content.ok() && !isLive(state, sight, *content);
        found->second = { content.value_or(PartitionRow()), row.version_, free };
        if (content.ok() && !free)
            ++sight.counts_[content->owner_];
    }
    sight.freeCount_ = static_cast<size_t>(std::count_if(sight.partitions_.begin(), sight.partitions_.end(), [](const auto& item) { return item.second.free_; }));
    return sight;
}

bool BalanceRules::isLive(const Ownership& state, const Sight& sight, const PartitionRow& row)
{
    auto heartbeat = sight.heartbeats_.find(row.owner_);
    if (row.owner_.empty() || heartbeat == sight.heartbeats_.end() || heartbeat->second.incarnation_ != row.incarnation_)
        return false;
    if (row.owner_ == state.settings_.process_ && row.incarnation_ == state.settings_.incarnation_)
        return true;
    return sight.counts_.contains(row.owner_);
}

static size_t largestCount(const Sight& sight)
{
    size_t largest = 0;
    for (const auto& [process, count] : sight.counts_)
        largest = std::max(largest, count);
    return largest;
}

bool BalanceRules::wantsToRegister(const Ownership& state, const Sight& sight)
{
    // An earlier life of this process is deposed like any other owner.
    if (sight.counts_.contains(state.settings_.process_))
        return false;
    if (sight.freeCount_ == 0 && largestCount(sight) < 2)
        return false;
    size_t wanted = state.settings_.partitionCount_ - std::min<size_t>(state.settings_.partitionCount_, sight.counts_.size());
    // Of many candidates about as many register at once as there is room for.
    uint64_t draw = hashOf(state.settings_.process_.value(), state.reads_) % std::max<uint32_t>(1, state.settings_.candidates_);
    return draw < wanted;
}

bool BalanceRules::isSuperfluous(const Ownership& state, const Sight& sight)
{
    return state.holdings_.empty() && state.readsIdle_ >= idleReadsUntilLeave && sight.counts_.size() > state.settings_.partitionCount_;
}

size_t BalanceRules::fairShare(const Ownership& state, const Sight& sight)
{
    size_t owners = std::max<size_t>(1, sight.counts_.size());
    return (state.settings_.partitionCount_ + owners - 1) / owners;
}

// Partitions in an order that differs from process to process, so that two rarely claim the same one.
static std::vector<PartitionNumber> inOrderOf(const ProcessName& process, std::vector<PartitionNumber> partitions)
{
    std::sort(partitions.begin(), partitions.end(), [&](PartitionNumber left, PartitionNumber right) {
        return std::pair(hashOf(process.value(), left.value()), left) < std::pair(hashOf(process.value(), right.value()), right);
    });
    return partitions;
}

std::vector<PartitionNumber> BalanceRules::toClaim(const Ownership& state, const Sight& sight)
{
    size_t share = fairShare(state, sight);
    size_t held = state.holdings_.size();
    std::vector<PartitionNumber> free;
    for (const auto& [partition, seen] : sight.partitions_) {
        if (seen.free_)
            free.push_back(partition);
    }
    free = inOrderOf(state.settings_.process_, std::move(free));
    free.resize(std::min({ free.size(), share - std::min(share, held), claimsPerStep }));
    return free;
}

// True if this process is the first, by name, of those with the most partitions.
static bool isRichest(const ProcessName& process, size_t held, const Sight& sight)
{
    return std::all_of(sight.counts_.begin(), sight.counts_.end(), [&](const auto& item) {
        return item.second < held || (item.second == held && item.first >= process);
    });
}

std::vector<PartitionNumber> BalanceRules::toGiveBack(const Ownership& state, const Sight& sight)
{
    size_t held = state.holdings_.size();
    size_t share = fairShare(state, sight);
    size_t least = held;
    for (const auto& [process, count] : sight.counts_)
        least = std::min(least, count);
    size_t surplus = held - std::min(held, share);
    if (surplus == 0 && sight.freeCount_ == 0 && least + 2 <= held && isRichest(state.settings_.process_, held, sight))
        surplus = 1;
    std::vector<PartitionNumber> mine;
    for (const auto& [partition, holding] : state.holdings_)
        mine.push_back(partition);
    mine = inOrderOf(state.settings_.process_, std::move(mine));
    return { mine.end() - static_cast<std::ptrdiff_t>(surplus), mine.end() };
}

} // namespace persimmondoor::leases
