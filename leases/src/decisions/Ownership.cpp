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
        return absl::InvalidArgumentError("ownership settings: the process name must not be empty and there must be at least one partition");
    if (settings.interval_ <= Duration(0) || settings.interval_ * 3 > settings.lease_)
        return absl::InvalidArgumentError("ownership settings: the heartbeat interval must be positive and at most a third of the lease");
    if (settings.horizon_ < settings.lease_)
        return absl::InvalidArgumentError("ownership settings: the renewal horizon must be at least as long as the lease");
    return Ownership(settings);
}

Duration Ownership::stepInterval() const
{
    constexpr int64_t readsPerStep = 2;
    if (isRegistered_ || expectsFreePartitions_ || reads_ == 0)
        return settings_.interval_;
    Duration idle = std::chrono::microseconds(std::chrono::seconds(1)) * readsPerStep * settings_.candidates_ / idleReadsPerSecond;
    return std::max(settings_.interval_, idle);
}

// Shortens `span` by the allowance for clocks of different rates.
static Duration withClockAllowance(Duration span)
{
    return span - span / clockAllowanceDivisor;
}

struct OwnershipRules {
    static void apply(OwnershipDecision& decision, const StepDue&, Instant now)
    {
        Ownership& state = decision.state_;
        if (state.isLeaving_)
            return;
        if (state.horizonUntil_ && now >= *state.horizonUntil_)
            loseAll(decision);
        if (state.isRegistered_)
            writeHeartbeat(decision, state.heartbeatVersion_, now);
        decision.actions_.emplace_back(ReadRows {});
    }

    static void apply(OwnershipDecision& decision, const HeartbeatEnded& message, Instant)
    {
        // After any other outcome, the next read shows whether the heartbeat was written.
        if (const auto* committed = std::get_if<Committed>(&message.outcome_)) {
            decision.state_.heartbeatVersion_ = committed->version_;
            extend(decision);
        }
    }

    static void apply(OwnershipDecision& decision, const ReadFailed&, Instant)
    {
        // Owners cannot write heartbeats while the store is down, so the time for which a heartbeat is unchanged is counted
        // from the next read.
        decision.state_.lastReadAt_.reset();
    }

    static void apply(OwnershipDecision& decision, const RowsRead& rows, Instant now)
    {
        Ownership& state = decision.state_;
        ++state.reads_;
        observeHeartbeats(state, rows, now);
        readOwnHeartbeat(decision, rows);
        OwnershipView view = BalanceRules::makeView(state, rows, now);
        readHoldings(decision, view, now);
        state.claims_.clear();
        state.idleReads_ = state.isRegistered_ && state.holdings_.empty() ? state.idleReads_ + 1 : 0;
        bool stale = std::any_of(state.owners_.begin(), state.owners_.end(), [](const auto& item) { return item.second.isUnchanged_; });
        state.expectsFreePartitions_ = stale || view.freeCount_ > 0;
        if (state.isLeaving_)
            return;
        if (!state.isRegistered_)
            registerSelf(decision, view, now);
        else if (state.isLeaseValid(now))
            balance(decision, view, now);
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

    static void apply(OwnershipDecision& decision, const ReleaseEnded& message, Instant)
    {
        Ownership& state = decision.state_;
        bool outcomeKnown = std::holds_alternative<Committed>(message.outcome_) || std::holds_alternative<Conflict>(message.outcome_);
        if (state.isLeaving_ && outcomeKnown)
            state.isRegistered_ = false;
    }

    static void apply(OwnershipDecision& decision, const ReleaseRequested&, Instant now)
    {
        Ownership& state = decision.state_;
        state.isLeaving_ = true;
        std::vector<PartitionNumber> all;
        for (const auto& [partition, holding] : state.holdings_)
            all.push_back(partition);
        if (state.isRegistered_)
            release(decision, all, true, now);
    }

private:
    static void notify(OwnershipDecision& decision, OwnershipChange change) { decision.actions_.emplace_back(NotifyListener { change }); }

    static void lose(OwnershipDecision& decision, PartitionNumber partition)
    {
        decision.state_.holdings_.erase(partition);
        notify(decision, Lost { partition });
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
        notify(decision, Gained { partition, claim.epoch_, version, claim.horizon_ });
    }

    static void writeHeartbeat(OwnershipDecision& decision, RowVersion expected, Instant now)
    {
        Ownership& state = decision.state_;
        ++state.heartbeatNumber_;
        state.heartbeatSentAt_ = now;
        std::string key = ownerKey(state.settings_.process_);
        Transaction transaction { { { key, expected } }, { Put { key, encode(OwnerRow { state.settings_.incarnation_, state.heartbeatNumber_ }) } } };
        decision.actions_.emplace_back(WriteHeartbeat { std::move(transaction) });
    }

    // Called once the latest heartbeat is known to be written. The lease counts from the time at which it was sent.
    static void extend(OwnershipDecision& decision)
    {
        Ownership& state = decision.state_;
        state.isRegistered_ = true;
        state.leaseUntil_ = state.heartbeatSentAt_ + withClockAllowance(state.settings_.lease_);
        state.horizonUntil_ = state.heartbeatSentAt_ + withClockAllowance(state.settings_.horizon_);
        notify(decision, Extended { *state.leaseUntil_, *state.horizonUntil_ });
    }

    static void observeHeartbeats(Ownership& state, const RowsRead& rows, Instant now)
    {
        bool interrupted = !state.lastReadAt_ || now - *state.lastReadAt_ > state.settings_.lease_;
        std::map<ProcessName, ObservedHeartbeat> seen;
        for (const store::Row& row : rows.owners_) {
            auto process = processOf(row.key_);
            auto heartbeat = decodeOwnerRow(row.value_);
            if (!process || !heartbeat.ok())
                continue;
            auto known = state.owners_.find(*process);
            bool unchanged = known != state.owners_.end() && known->second.version_ == row.version_;
            Instant since = unchanged && !interrupted ? known->second.unchangedSince_ : now;
            seen.emplace(*process, ObservedHeartbeat { row.version_, heartbeat->incarnation_, since, unchanged });
        }
        seen.erase(state.isRegistered_ ? state.settings_.process_ : ProcessName());
        state.owners_ = std::move(seen);
        state.lastReadAt_ = now;
    }

    static void readOwnHeartbeat(OwnershipDecision& decision, const RowsRead& rows)
    {
        Ownership& state = decision.state_;
        std::string key = ownerKey(state.settings_.process_);
        auto row = std::find_if(rows.owners_.begin(), rows.owners_.end(), [&](const store::Row& item) { return item.key_ == key; });
        auto content = row == rows.owners_.end() ? absl::NotFoundError(key) : decodeOwnerRow(row->value_);
        if (!content.ok() || content->incarnation_ != state.settings_.incarnation_) {
            // Another process has taken over and erased the heartbeat, or this process was never registered.
            loseAll(decision);
            state.isRegistered_ = false;
            return;
        }
        bool isNew = row->version_ != state.heartbeatVersion_;
        state.heartbeatVersion_ = row->version_;
        state.isRegistered_ = true;
        state.owners_.erase(state.settings_.process_);
        if (isNew && content->heartbeatNumber_ == state.heartbeatNumber_)
            extend(decision);
    }

    static void readHoldings(OwnershipDecision& decision, const OwnershipView& view, Instant now)
    {
        Ownership& state = decision.state_;
        for (const auto& [partition, seen] : view.partitions_) {
            bool mine = state.isRegistered_ && seen.row_.owner_ == state.settings_.process_ && seen.row_.incarnation_ == state.settings_.incarnation_;
            auto held = state.holdings_.find(partition);
            if (held != state.holdings_.end() && (!mine || held->second.version_ != seen.version_))
                lose(decision, partition);
            if (mine && !state.isLeaving_ && !state.holdings_.contains(partition))
                gain(decision, partition, { seen.row_.epoch_, seen.row_.inheritedHorizon_ }, seen.version_, now);
        }
    }

    static void registerSelf(OwnershipDecision& decision, const OwnershipView& view, Instant now)
    {
        Ownership& state = decision.state_;
        if (!BalanceRules::wantsToRegister(state, view))
            return;
        auto earlier = view.heartbeatVersions_.find(state.settings_.process_);
        writeHeartbeat(decision, earlier == view.heartbeatVersions_.end() ? RowVersion() : earlier->second, now);
    }

    static void balance(OwnershipDecision& decision, const OwnershipView& view, Instant now)
    {
        Ownership& state = decision.state_;
        if (BalanceRules::isSuperfluous(state, view))
            return release(decision, {}, true, now);
        std::vector<PartitionNumber> surplus = BalanceRules::selectForRelease(state, view);
        if (!surplus.empty())
            return release(decision, surplus, false, now);
        std::set<ProcessName> deposed;
        for (PartitionNumber partition : BalanceRules::selectForClaim(state, view))
            claim(decision, view, partition, deposed);
    }

    // Claims a free partition. The first claim from an expired owner erases its heartbeat; later claims from the same
    // owner carry the condition that the heartbeat does not exist.
    static void claim(OwnershipDecision& decision, const OwnershipView& view, PartitionNumber partition, std::set<ProcessName>& deposed)
    {
        Ownership& state = decision.state_;
        const PartitionView& seen = view.partitions_.at(partition);
        const PartitionRow& previous = seen.row_;
        PendingClaim pending { previous.epoch_.next(), std::max(previous.horizon_, previous.inheritedHorizon_) };
        PartitionRow row { state.settings_.process_, state.settings_.incarnation_, state.settings_.address_, pending.epoch_, state.settings_.horizon_, pending.horizon_ };
        Transaction transaction;
        transaction.conditions_.push_back({ partitionKey(partition), seen.version_ });
        transaction.conditions_.push_back({ ownerKey(state.settings_.process_), state.heartbeatVersion_ });
        transaction.writes_.emplace_back(Put { partitionKey(partition), encode(row) });
        if (!previous.owner_.empty() && previous.owner_ != state.settings_.process_)
            depose(transaction, view, previous, deposed);
        state.claims_.insert_or_assign(partition, pending);
        decision.actions_.emplace_back(Claim { partition, std::move(transaction) });
    }

    static void depose(Transaction& transaction, const OwnershipView& view, const PartitionRow& previous, std::set<ProcessName>& deposed)
    {
        std::string key = ownerKey(previous.owner_);
        auto version = view.heartbeatVersions_.find(previous.owner_);
        RowVersion expected = version == view.heartbeatVersions_.end() || deposed.contains(previous.owner_) ? RowVersion() : version->second;
        transaction.conditions_.push_back({ key, expected });
        bool expired = expected != RowVersion() && view.heartbeats_.at(previous.owner_).incarnation_ == previous.incarnation_;
        if (!expired)
            return;
        transaction.writes_.emplace_back(Erase { key });
        deposed.insert(previous.owner_);
    }

    // Notifies the listener of the losses before the rows are written.
    static void release(OwnershipDecision& decision, const std::vector<PartitionNumber>& partitions, bool deregister, Instant now)
    {
        Ownership& state = decision.state_;
        Transaction transaction;
        std::string own = ownerKey(state.settings_.process_);
        transaction.conditions_.push_back({ own, state.heartbeatVersion_ });
        for (PartitionNumber partition : partitions) {
            Holding holding = state.holdings_.at(partition);
            Duration inherited = std::max(Duration(0), holding.inheritedHorizon_ - (now - holding.gainedAt_));
            transaction.conditions_.push_back({ partitionKey(partition), holding.version_ });
            transaction.writes_.emplace_back(Put { partitionKey(partition), encode(PartitionRow { {}, {}, {}, holding.epoch_, Duration(0), inherited }) });
            lose(decision, partition);
        }
        if (deregister)
            transaction.writes_.emplace_back(Erase { own });
        decision.actions_.emplace_back(ReleasePartitions { std::move(transaction) });
    }
};

OwnershipDecision decide(Ownership state, const OwnershipMessage& message, Instant now)
{
    OwnershipDecision decision { std::move(state), {} };
    std::visit([&](const auto& alternative) { OwnershipRules::apply(decision, alternative, now); }, message);
    return decision;
}

} // namespace persimmondoor::leases
