// Simulation of processes that own partitions in a table that may be down. It runs the pure decisions on a simulated
// clock.
#pragma once

#include "persimmondoor/leases/Ownership.h"
#include "persimmondoor/store/TableState.h"

#include <deque>

namespace persimmondoor::leases {

inline constexpr Duration second = std::chrono::seconds(1);
inline constexpr Duration tick = std::chrono::milliseconds(100);

struct Process {
    Ownership state_;
    Instant nextStepAt_;
    bool crashed_ { false };
    std::map<PartitionNumber, Gained> held_;
    Instant horizonUntil_;
};

// Every call to the table ends at once.
class Cell {
public:
    Cell(uint32_t processes, const OwnershipSettings& settings)
    {
        for (uint32_t index = 0; index < processes; ++index) {
            OwnershipSettings own = settings;
            own.process_ = ProcessName::of("process-" + std::to_string(index));
            own.incarnation_ = Incarnation(1);
            own.address_ = *Address::parse("127.0.0.1:7000");
            own.candidates_ = processes;
            // The processes start at different times within one interval, as on real hosts.
            processes_.push_back({ *Ownership::create(own), now_ + settings.interval_ * index / processes, false, {}, {} });
        }
    }

    void pass(Duration time)
    {
        for (Instant end = now_ + time; now_ < end; now_ = now_ + tick) {
            for (Process& process : processes_) {
                if (process.crashed_ || now_ < process.nextStepAt_)
                    continue;
                deliver(process, StepDue {});
                process.nextStepAt_ = now_ + process.state_.stepInterval();
            }
        }
    }

    size_t owned()
    {
        size_t count = 0;
        for (const Process& process : processes_)
            count += process.crashed_ ? 0 : process.held_.size();
        return count;
    }

    std::vector<Process> processes_;
    store::TableState table_;
    bool isStoreDown_ { false };
    Instant now_;

private:
    void deliver(Process& process, const OwnershipMessage& first)
    {
        std::deque<OwnershipMessage> messages { first };
        while (!messages.empty()) {
            OwnershipDecision decision = decide(std::move(process.state_), messages.front(), now_);
            messages.pop_front();
            process.state_ = std::move(decision.state_);
            for (const OwnershipAction& action : decision.actions_)
                perform(process, action, messages);
        }
    }

    store::CommitOutcome commit(const store::Transaction& transaction)
    {
        if (isStoreDown_)
            return store::Unavailable {};
        return table_.apply(transaction);
    }

    void perform(Process& process, const OwnershipAction& action, std::deque<OwnershipMessage>& messages)
    {
        if (const auto* write = std::get_if<WriteHeartbeat>(&action))
            messages.emplace_back(HeartbeatEnded { commit(write->transaction_) });
        else if (const auto* claim = std::get_if<Claim>(&action))
            messages.emplace_back(ClaimEnded { claim->partition_, commit(claim->transaction_) });
        else if (const auto* release = std::get_if<ReleasePartitions>(&action))
            messages.emplace_back(ReleaseEnded { commit(release->transaction_) });
        else if (const auto* notify = std::get_if<NotifyListener>(&action))
            applyChange(process, notify->change_);
        else if (isStoreDown_)
            messages.emplace_back(ReadFailed {});
        else
            messages.emplace_back(RowsRead { table_.scan({ "partition/", "", 1000 }), table_.scan({ "owner/", "", 1000 }) });
    }

    static void applyChange(Process& process, const OwnershipChange& change)
    {
        if (const auto* gained = std::get_if<Gained>(&change))
            process.held_.insert_or_assign(gained->partition_, *gained);
        else if (const auto* lost = std::get_if<Lost>(&change))
            process.held_.erase(lost->partition_);
        else
            process.horizonUntil_ = std::get<Extended>(change).horizonUntil_;
    }
};

inline double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

inline OwnershipSettings settingsFor(uint32_t processes, uint32_t partitions)
{
    OwnershipSettings settings = OwnershipSettings::forCell(ProcessName::of("p"), Incarnation(1), Address(), processes);
    settings.partitionCount_ = partitions;
    return settings;
}

} // namespace persimmondoor::leases
