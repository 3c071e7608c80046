#include "Balance.h"

#include "persimmondoor/core/Hash.h"

#include <algorithm>

namespace persimmondoor::leases {

// Number of reads without a partition after which a superfluous process erases its heartbeat.
static constexpr uint64_t idleReadsUntilDeregistration = 6;

OwnershipView BalanceRules::makeView(const Ownership& state, const RowsRead& rows, Instant now)
{
    OwnershipView view;
    for (const store::Row& row : rows.owners_) {
        auto process = processOf(row.key_);
        auto heartbeat = decodeOwnerRow(row.value_);
        if (!process || !heartbeat.ok())
            continue;
        view.heartbeats_.emplace(*process, *heartbeat);
        view.heartbeatVersions_.emplace(*process, row.version_);
        // A registered process does not observe its own heartbeat; an unregistered one observes that of its earlier
        // incarnation.
        auto observed = state.owners_.find(*process);
        bool live = observed == state.owners_.end() ? state.isRegistered_ : now - observed->second.unchangedSince_ < state.settings_.lease_;
        if (live)
            view.heldCounts_.emplace(*process, 0);
    }
    for (uint32_t number = 0; number < state.settings_.partitionCount_; ++number)
        view.partitions_.emplace(PartitionNumber(number), PartitionView { {}, {}, true });
    for (const store::Row& row : rows.partitions_) {
        auto partition = partitionOf(row.key_);
        auto found = partition ? view.partitions_.find(*partition) : view.partitions_.end();
        if (found == view.partitions_.end())
            continue;
        auto content = decodePartitionRow(row.value_);
        // A malformed row is not claimed, because its epoch is unknown.
        bool free = content.ok() && !isLive(state, view, *content);
        found->second = { content.value_or(PartitionRow()), row.version_, free };
        if (content.ok() && !free)
            ++view.heldCounts_[content->owner_];
    }
    view.freeCount_ = static_cast<size_t>(std::count_if(view.partitions_.begin(), view.partitions_.end(), [](const auto& item) { return item.second.isFree_; }));
    return view;
}

bool BalanceRules::isLive(const Ownership& state, const OwnershipView& view, const PartitionRow& row)
{
    auto heartbeat = view.heartbeats_.find(row.owner_);
    if (row.owner_.empty() || heartbeat == view.heartbeats_.end() || heartbeat->second.incarnation_ != row.incarnation_)
        return false;
    if (row.owner_ == state.settings_.process_ && row.incarnation_ == state.settings_.incarnation_)
        return true;
    return view.heldCounts_.contains(row.owner_);
}

static size_t largestCount(const OwnershipView& view)
{
    size_t largest = 0;
    for (const auto& [process, count] : view.heldCounts_)
        largest = std::max(largest, count);
    return largest;
}

bool BalanceRules::wantsToRegister(const Ownership& state, const OwnershipView& view)
{
    // The lease of an earlier incarnation of this process must expire first, like that of any other owner.
    if (view.heldCounts_.contains(state.settings_.process_))
        return false;
    if (view.freeCount_ == 0 && largestCount(view) < 2)
        return false;
    size_t wanted = state.settings_.partitionCount_ - std::min<size_t>(state.settings_.partitionCount_, view.heldCounts_.size());
    // With many candidates, the draw lets about `wanted` of them register in one round.
    uint64_t draw = hashOf(state.settings_.process_.value(), state.reads_) % std::max<uint32_t>(1, state.settings_.candidates_);
    return draw < wanted;
}

bool BalanceRules::isSuperfluous(const Ownership& state, const OwnershipView& view)
{
    return state.holdings_.empty() && state.idleReads_ >= idleReadsUntilDeregistration && view.heldCounts_.size() > state.settings_.partitionCount_;
}

size_t BalanceRules::fairShare(const Ownership& state, const OwnershipView& view)
{
    size_t owners = std::max<size_t>(1, view.heldCounts_.size());
    return (state.settings_.partitionCount_ + owners - 1) / owners;
}

// Sorts the partitions in an order that differs between processes, so that two rarely claim the same one.
static std::vector<PartitionNumber> sortFor(const ProcessName& process, std::vector<PartitionNumber> partitions)
{
    std::sort(partitions.begin(), partitions.end(), [&](PartitionNumber left, PartitionNumber right) {
        return std::pair(hashOf(process.value(), left.value()), left) < std::pair(hashOf(process.value(), right.value()), right);
    });
    return partitions;
}

std::vector<PartitionNumber> BalanceRules::selectForClaim(const Ownership& state, const OwnershipView& view)
{
    size_t share = fairShare(state, view);
    size_t held = state.holdings_.size();
    std::vector<PartitionNumber> free;
    for (const auto& [partition, seen] : view.partitions_) {
        if (seen.isFree_)
            free.push_back(partition);
    }
    free = sortFor(state.settings_.process_, std::move(free));
    free.resize(std::min({ free.size(), share - std::min(share, held), claimsPerStep }));
    return free;
}

// True if this process is the first by name among those that hold the most partitions.
static bool holdsMost(const ProcessName& process, size_t held, const OwnershipView& view)
{
    return std::all_of(view.heldCounts_.begin(), view.heldCounts_.end(), [&](const auto& item) {
        return item.second < held || (item.second == held && item.first >= process);
    });
}

std::vector<PartitionNumber> BalanceRules::selectForRelease(const Ownership& state, const OwnershipView& view)
{
    size_t held = state.holdings_.size();
    size_t share = fairShare(state, view);
    size_t least = held;
    for (const auto& [process, count] : view.heldCounts_)
        least = std::min(least, count);
    size_t surplus = held - std::min(held, share);
    if (surplus == 0 && view.freeCount_ == 0 && least + 2 <= held && holdsMost(state.settings_.process_, held, view))
        surplus = 1;
    std::vector<PartitionNumber> mine;
    for (const auto& [partition, holding] : state.holdings_)
        mine.push_back(partition);
    mine = sortFor(state.settings_.process_, std::move(mine));
    return { mine.end() - static_cast<std::ptrdiff_t>(surplus), mine.end() };
}

} // namespace persimmondoor::leases
