#include "Cell.h"

#include "persimmondoor/core/Visitor.h"

namespace persimmondoor::leases {

static OwnershipSettings settingsOf(OwnershipSettings settings, size_t index, uint64_t incarnation)
{
    settings.process_ = ProcessName::of("process-" + std::to_string(index));
    settings.incarnation_ = Incarnation(incarnation);
    settings.address_ = *Address::parse("127.0.0.1:" + std::to_string(7000 + index));
    return settings;
}

Cell::Cell(size_t processes, OwnershipSettings settings)
    : settings_(std::move(settings))
{
    for (size_t index = 0; index < processes; ++index)
        processes_.push_back({ *Ownership::create(settingsOf(settings_, index, 1)), {}, now_, false, false, false, {}, {}, {} });
}

void Cell::beginStep(size_t index)
{
    Process& process = processes_[index];
    if (process.paused_ || process.crashed_ || !process.actions_.empty() || now_ < process.nextStepAt_)
        return;
    deliver(index, StepDue {});
    process.nextStepAt_ = now_ + process.state_.stepInterval();
}

void Cell::advance(Duration step)
{
    now_ = now_ + step;
    for (size_t index = 0; index < processes_.size(); ++index) {
        beginStep(index);
        while (!processes_[index].actions_.empty() && !processes_[index].paused_)
            perform(index, callResult_);
    }
}

void Cell::deliver(size_t index, const OwnershipMessage& message)
{
    Process& process = processes_[index];
    OwnershipDecision decision = decide(process.state_, message, now_);
    process.state_ = std::move(decision.state_);
    for (OwnershipAction& action : decision.actions_) {
        // The listener is notified at once; calls to the table are queued.
        if (auto* notify = std::get_if<NotifyListener>(&action))
            applyChange(process, notify->change_);
        else
            process.actions_.push_back(std::move(action));
    }
}

void Cell::applyChange(Process& process, const OwnershipChange& change)
{
    std::visit(Visitor {
                   [&](const Gained& gained) { process.held_.insert_or_assign(gained.partition_, gained); },
                   [&](const Lost& lost) { process.held_.erase(lost.partition_); },
                   [&](const Extended& extended) {
                       process.leaseUntil_ = extended.leaseUntil_;
                       process.horizonUntil_ = extended.horizonUntil_;
                   },
               },
        change);
}

store::CommitOutcome Cell::commit(const store::Transaction& transaction, CallResult result)
{
    if (result == CallResult::Refused)
        return store::Unavailable {};
    store::CommitOutcome outcome = table_.apply(transaction);
    if (result == CallResult::ReplyLost)
        return store::ReplyLost {};
    return outcome;
}

void Cell::perform(size_t index, CallResult result)
{
    Process& process = processes_[index];
    if (process.paused_ || process.crashed_ || process.actions_.empty())
        return;
    OwnershipAction action = std::move(process.actions_.front());
    process.actions_.pop_front();
    std::visit(Visitor {
                   [&](const WriteHeartbeat& write) { deliver(index, HeartbeatEnded { commit(write.transaction_, result) }); },
                   [&](const Claim& claim) { deliver(index, ClaimEnded { claim.partition_, commit(claim.transaction_, result) }); },
                   [&](const ReleasePartitions& release) { deliver(index, ReleaseEnded { commit(release.transaction_, result) }); },
                   [&](const ReadRows&) {
                       if (result == CallResult::Done)
                           deliver(index, RowsRead { table_.scan({ "partition/", "", 1000 }), table_.scan({ "owner/", "", 1000 }) });
                       else
                           deliver(index, ReadFailed {});
                   },
                   [](const NotifyListener&) {},
               },
        action);
}

void Cell::crash(size_t index)
{
    processes_[index].crashed_ = true;
    processes_[index].actions_.clear();
    processes_[index].held_.clear();
}

void Cell::restart(size_t index)
{
    uint64_t incarnation = processes_[index].state_.settings().incarnation_.value() + 1;
    processes_[index] = { *Ownership::create(settingsOf(settings_, index, incarnation)), {}, now_, false, false, false, {}, {}, {} };
}

bool Cell::canCommit(size_t index, PartitionNumber partition)
{
    auto held = processes_[index].held_.find(partition);
    return held != processes_[index].held_.end() && table_.read(partitionKey(partition)).version_ == held->second.version_;
}

std::vector<std::string> Cell::findViolations()
{
    std::vector<std::string> violations;
    for (uint32_t number = 0; number < settings_.partitionCount_; ++number) {
        PartitionNumber partition(number);
        size_t committers = 0;
        size_t leaseHolders = 0;
        for (size_t index = 0; index < processes_.size(); ++index) {
            const Process& process = processes_[index];
            bool holds = process.held_.contains(partition) && !process.crashed_;
            committers += holds && canCommit(index, partition) ? 1 : 0;
            leaseHolders += holds && now_ < process.leaseUntil_ ? 1 : 0;
        }
        if (committers > 1)
            violations.push_back("two processes can commit for partition " + std::to_string(number));
        if (leaseHolders > 1)
            violations.push_back("two processes hold a valid lease of partition " + std::to_string(number));
        auto row = decodePartitionRow(table_.read(partitionKey(partition)).value_);
        if (!row.ok() || row->owner_.empty())
            continue;
        std::string owner = row->owner_.value() + "#" + std::to_string(row->incarnation_.value());
        auto known = ownerOfEpoch_.try_emplace({ partition, row->epoch_ }, owner).first;
        if (known->second != owner)
            violations.push_back("two owners of one epoch of partition " + std::to_string(number));
        if (ownerOfEpoch_.contains({ partition, row->epoch_.next() }))
            violations.push_back("the epoch of partition " + std::to_string(number) + " decreased");
    }
    return violations;
}

bool Cell::isEveryPartitionOwned()
{
    size_t owned = 0;
    for (uint32_t number = 0; number < settings_.partitionCount_; ++number) {
        for (size_t index = 0; index < processes_.size(); ++index) {
            bool valid = !processes_[index].crashed_ && now_ < processes_[index].leaseUntil_;
            owned += valid && canCommit(index, PartitionNumber(number)) ? 1 : 0;
        }
    }
    return owned == settings_.partitionCount_;
}

} // namespace persimmondoor::leases
