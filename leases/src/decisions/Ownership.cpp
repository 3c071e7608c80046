#include "persimmondoor/leases/Ownership.h"

#include "Balance.h"

#include <algorithm>

namespace persimmondoor::leases {

using store::Committed;
using store::Condition;
using store::Conflict;
using store::Erase;
using store::Put;
using store::RowVersion;
using store::Transaction;

OwnershipSettings OwnershipSettings::forCell(ProcessName process, Incarnation incarnation, Address address, uint32_t processes)
{
    constexpr uint32_t smallCell = 32;
    OwnershipSettings settings { std::move(process), incarnation, std::move(address) };
    settings.candidates_ = std::max<uint32_t>(1, processes);
    if (processes <= smallCell) {
        settings.lease_ = std::chrono::seconds(5);
        settings.interval_ = std::chrono::seconds(1);
    }
    return settings;
}

absl::StatusOr<Ownership> Ownership::create(const OwnershipSettings& settings)
{
    if (settings.process_.empty() || settings.partitionCount_ == 0)
        return absl::InvalidArgumentError("ownership: a process name and at least one partition are needed");
    if (settings.interval_ <= Duration(0) || settings.interval_ * 3 > settings.lease_)
        return absl::InvalidArgumentError("ownership: the interval is at most a third of the lease");
    if (settings.horizon_ < settings.lease_)
        return absl::InvalidArgumentError("ownership: the horizon is at least the lease");
    return Ownership(settings);
}

Duration Ownership::pace() const
{
    constexpr int64_t readsPerStep = 2;
    if (registered_ || alert_ || reads_ == 0)
        return settings_.interval_;
    Duration idle = std::chrono::microseconds(std::chrono::seconds(1)) * readsPerStep * settings_.candidates_ / idleReadsPerSecond;
    return std::max(settings_.interval_, idle);
}

// The part of `span` that an owner uses.
static Duration usable(Duration span)
{
    return span - span / clockAllowanceDivisor;
}

struct OwnershipRules {
    static void apply(OwnershipDecision& decision, const StepDue&, Instant now)
    {
        Ownership& state = decision.state_;
        if (state.leaving_)
            return;
        if (state.horizonUntil_ && now >= *state.horizonUntil_)
            loseAll(decision);
        if (state.registered_)
            writeHeartbeat(decision, state.heartbeatVersion_, now);
        decision.actions_.emplace_back(ReadRows {});
    }

    static void apply(OwnershipDecision& decision, const HeartbeatEnded& message, Instant)
    {
        // With any other outcome the next read tells what the row says.
        if (const auto* committed = std::get_if<Committed>(&message.outcome_)) {
            decision.state_.heartbeatVersion_ = committed->version_;
            extend(decision);
        }
    }

    static void apply(OwnershipDecision& decision, const ReadFailed&, Instant)
    {
        // While the store is down owners can't write heartbeats, so the watch begins anew.
        decision.state_.lastRead_.reset();
    }

    static void apply(OwnershipDecision& decision, const RowsRead& rows, Instant now)
    {
        Ownership& state = decision.state_;
        ++state.reads_;
        watch(state, rows, now);
        readOwnHeartbeat(decision, rows);
        Sight sight = BalanceRules::look(state, rows, now);
        readHoldings(decision, sight, now);
        state.claims_.clear();
        state.readsIdle_ = state.registered_ && state.holdings_.empty() ? state.readsIdle_ + 1 : 0;
        bool stale = std::any_of(state.owners_.begin(), state.owners_.end(), [](const auto& item) { return item.second.stale_; });
        state.alert_ = stale || sight.freeCount_ > 0;
        if (state.leaving_)
            return;
        if (!state.registered_)
            registerSelf(decision, sight, now);
        else if (state.isLeaseValid(now))
            balance(decision, sight, now);
    }

    static void apply(OwnershipDecision& decision, const ClaimEnded& message, Instant now)
    {
        Ownership& state = decision.state_;
        auto claim = state.claims_.find(message.partition_);
        const auto* committed = std::get_if<Committed>(&message.outcome_);
        if (claim == state.claims_.end() || !committed)
            return;
        gain(decision, message.partition_, claim->second, committed->version_, now);
        state.claims_.erase(claim);
    }

    static void apply(OwnershipDecision& decision, const GiveBackEnded& message, Instant)
    {
        Ownership& state = decision.state_;
        bool certain = std::holds_alternative<Committed>(message.outcome_) || std::holds_alternative<Conflict>(message.outcome_);
        if (state.leaving_ && certain)
            state.registered_ = false;
    }

    static void apply(OwnershipDecision& decision, const GiveBackAsked&, Instant now)
    {
        Ownership& state = decision.state_;
        state.leaving_ = true;
        std::vector<PartitionNumber> all;
        for (const auto& [partition, holding] : state.holdings_)
            all.push_back(partition);
        if (state.registered_)
            giveBack(decision, all, true, now);
    }

private:
    static void tell(OwnershipDecision& decision, OwnershipChange change) { decision.actions_.emplace_back(Tell { change }); }

    static void lose(OwnershipDecision& decision, PartitionNumber partition)
    {
        decision.state_.holdings_.erase(partition);
        tell(decision, Lost { partition });
    }

    static void loseAll(OwnershipDecision& decision)
    {
        while (!decision.state_.holdings_.empty())
            lose(decision, decision.state_.holdings_.begin()->first);
        decision.state_.leaseUntil_.reset();
        decision.state_.horizonUntil_.reset();
    }

    static void gain(OwnershipDecision& decision, PartitionNumber partition, const PendingClaim& claim, RowVersion version, Instant now)
    {
        decision.state_.holdings_.insert_or_assign(partition, Holding { claim.epoch_, version, now, claim.horizon_ });
        tell(decision, Gained { partition, claim.epoch_, version, claim.horizon_ });
    }

    static void writeHeartbeat(OwnershipDecision& decision, RowVersion expected, Instant now)
    {
        Ownership& state = decision.state_;
        ++state.heartbeat_;
        state.heartbeatSent_ = now;
        std::string key = ownerKey(state.settings_.process_);
        Transaction transaction { { { key, expected } }, { Put { key, encode(OwnerRow { state.settings_.incarnation_, state.heartbeat_ }) } } };
        decision.actions_.emplace_back(WriteHeartbeat { std::move(transaction) });
    }

    // The latest heartbeat is known to be written: the lease counts from when it was sent.
    static void extend(OwnershipDecision& decision)
    {
        Ownership& state = decision.state_;
        state.registered_ = true;
        state.leaseUntil_ = state.heartbeatSent_ + usable(state.settings_.lease_);
        state.horizonUntil_ = state.heartbeatSent_ + usable(state.settings_.horizon_);
        tell(decision, Extended { *state.leaseUntil_, *state.horizonUntil_ });
    }

    static void watch(Ownership& state, const RowsRead& rows, Instant now)
    {
        bool broken = !state.lastRead_ || now - *state.lastRead_ > state.settings_.lease_;
        std::map<ProcessName, Watched> seen;
        for (const store::Row& row : rows.owners_) {
            auto process = processOf(row.key_);
            auto heartbeat = decodeOwnerRow(row.value_);
            if (!process || !heartbeat.ok())
                continue;
            auto known = state.owners_.find(*process);
            bool unchanged = known != state.owners_.end() && known->second.version_ == row.version_;
            Instant since = unchanged && !broken ? known->second.since_ : now;
            seen.emplace(*process, Watched { row.version_, heartbeat->incarnation_, since, unchanged });
        }
        seen.erase(state.registered_ ? state.settings_.process_ : ProcessName());
        state.owners_ = std::move(seen);
        state.lastRead_ = now;
    }

    static void readOwnHeartbeat(OwnershipDecision& decision, const RowsRead& rows)
    {
        Ownership& state = decision.state_;
        std::string key = ownerKey(state.settings_.process_);
        auto row = std::find_if(rows.owners_.begin(), rows.owners_.end(), [&](const store::Row& item) { return item.key_ == key; });
        auto content = row == rows.owners_.end() ? absl::NotFoundError(key) : decodeOwnerRow(row->value_);
        if (!content.ok() || content->incarnation_ != state.settings_.incarnation_) {
            // Another process has deposed this one, or it was never registered.
            loseAll(decision);
            state.registered_ = false;
            return;
        }
        bool isNew = row->version_ != state.heartbeatVersion_;
        state.heartbeatVersion_ = row->version_;
        state.registered_ = true;
        state.owners_.erase(state.settings_.process_);
        if (isNew && content->heartbeat_ == state.heartbeat_)
            extend(decision);
    }

    static void readHoldings(OwnershipDecision& decision, const Sight& sight, Instant now)
    {
        Ownership& state = decision.state_;
        for (const auto& [partition, seen] : sight.partitions_) {
            bool mine = state.registered_ && seen.row_.owner_ == state.settings_.process_ && seen.row_.incarnation_ == state.settings_.incarnation_;
            auto held = state.holdings_.find(partition);
            if (held != state.holdings_.end() && (!mine || held->second.version_ != seen.version_))
                lose(decision, partition);
            if (mine && !state.leaving_ && !state.holdings_.contains(partition))
                gain(decision, partition, { seen.row_.epoch_, seen.row_.inheritedHorizon_ }, seen.version_, now);
        }
    }

    static void registerSelf(OwnershipDecision& decision, const Sight& sight, Instant now)
    {
        Ownership& state = decision.state_;
        if (!BalanceRules::wantsToRegister(state, sight))
            return;
        auto earlier = sight.heartbeatVersions_.find(state.settings_.process_);
        writeHeartbeat(decision, earlier == sight.heartbeatVersions_.end() ? RowVersion() : earlier->second, now);
    }

    static void balance(OwnershipDecision& decision, const Sight& sight, Instant now)
    {
        Ownership& state = decision.state_;
        if (BalanceRules::isSuperfluous(state, sight))
            return giveBack(decision, {}, true, now);
        std::vector<PartitionNumber> surplus = BalanceRules::toGiveBack(state, sight);
        if (!surplus.empty())
            return giveBack(decision, surplus, false, now);
        std::set<ProcessName> deposed;
        for (PartitionNumber partition : BalanceRules::toClaim(state, sight))
            claim(decision, sight, partition, deposed);
    }

    // Claims a free partition. The first claim from a lapsed owner erases its heartbeat; later ones expect it gone.
    static void claim(OwnershipDecision& decision, const Sight& sight, PartitionNumber partition, std::set<ProcessName>& deposed)
    {
        Ownership& state = decision.state_;
        const SeenPartition& seen = sight.partitions_.at(partition);
        const PartitionRow& old = seen.row_;
        PendingClaim pending { old.epoch_.next(), std::max(old.horizon_, old.inheritedHorizon_) };
        PartitionRow row { state.settings_.process_, state.settings_.incarnation_, state.settings_.address_, pending.epoch_, state.settings_.horizon_, pending.horizon_ };
        Transaction transaction;
        transaction.conditions_.push_back({ partitionKey(partition), seen.version_ });
        transaction.conditions_.push_back({ ownerKey(state.settings_.process_), state.heartbeatVersion_ });
        transaction.writes_.emplace_back(Put { partitionKey(partition), encode(row) });
        if (!old.owner_.empty() && old.owner_ != state.settings_.process_)
            depose(transaction, sight, old, deposed);
        state.claims_.insert_or_assign(partition, pending);
        decision.actions_.emplace_back(Claim { partition, std::move(transaction) });
    }

    static void depose(Transaction& transaction, const Sight& sight, const PartitionRow& old, std::set<ProcessName>& deposed)
    {
        std::string key = ownerKey(old.owner_);
        auto version = sight.heartbeatVersions_.find(old.owner_);
        RowVersion expected = version == sight.heartbeatVersions_.end() || deposed.contains(old.owner_) ? RowVersion() : version->second;
        transaction.conditions_.push_back({ key, expected });
        bool lapsed = expected != RowVersion() && sight.heartbeats_.at(old.owner_).incarnation_ == old.incarnation_;
        if (!lapsed)
            return;
        transaction.writes_.emplace_back(Erase { key });
        deposed.insert(old.owner_);
    }

    // The listener hears of the losses before the rows are written.
    static void giveBack(OwnershipDecision& decision, const std::vector<PartitionNumber>& partitions, bool leave, Instant now)
    {
        Ownership& state = decision.state_;
        Transaction transaction;
        std::string own = ownerKey(state.settings_.process_);
        transaction.conditions_.push_back({ own, state.heartbeatVersion_ });
        for (PartitionNumber partition : partitions) {
            Holding holding = state.holdings_.at(partition);
            Duration inherited = std::max(Duration(0), holding.inheritedHorizon_ - (now - holding.since_));
            transaction.conditions_.push_back({ partitionKey(partition), holding.version_ });
            transaction.writes_.emplace_back(Put { partitionKey(partition), encode(PartitionRow { {}, {}, {}, holding.epoch_, Duration(0), inherited }) });
            lose(decision, partition);
        }
        if (leave)
            transaction.writes_.emplace_back(Erase { own });
        decision.actions_.emplace_back(GiveBack { std::move(transaction) });
    }
};

OwnershipDecision decide(Ownership state, const OwnershipMessage& message, Instant now)
{
    OwnershipDecision decision { std::move(state), {} };
    std::visit([&](const auto& alternative) { OwnershipRules::apply(decision, alternative, now); }, message);
    return decision;
}

} // namespace persimmondoor::leases
