// Several processes that own partitions of one table, driven through the pure decisions alone: time, lost replies,
// outages, pauses and crashes are all chosen by the test.
#pragma once

#include "persimmondoor/leases/Ownership.h"
#include "persimmondoor/store/TableState.h"

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace persimmondoor::leases {

// What becomes of the next call to the table.
enum class CallFate { Done,
    ReplyLost,
    Refused };

struct Process {
    Ownership state_;
    std::deque<OwnershipAction> actions_;
    Instant nextStep_;
    bool paused_ { false };
    bool crashed_ { false };
    // Asked to give everything back and to end.
    bool leaving_ { false };
    // What the listener was told.
    std::map<PartitionNumber, Gained> held_;
    Instant leaseUntil_;
    Instant horizonUntil_;
};

class Cell {
public:
    Cell(size_t processes, OwnershipSettings settings);

    // Lets `step` of time pass and every process that is due do all that it can at once.
    void advance(Duration step);
    // Lets one process do its next action, if it has one.
    void perform(size_t index, CallFate fate);
    // Begins the next step of a process if that is due.
    void begin(size_t index);
    void crash(size_t index);
    // Starts a crashed process anew.
    void restart(size_t index);
    void deliver(size_t index, const OwnershipMessage& message);

    // The names of what is broken; empty if all invariants hold.
    std::vector<std::string> broken();
    // True if the row of the partition has the version that the process was told, so that it could commit.
    bool canCommit(size_t index, PartitionNumber partition);
    bool isEveryPartitionOwned();
    size_t heldBy(size_t index) const { return processes_[index].held_.size(); }

    std::vector<Process> processes_;
    store::TableState table_;
    Instant now_ = Instant::fromMicroseconds(0);
    CallFate fate_ { CallFate::Done };

private:
    void apply(Process&, const OwnershipAction&, CallFate);
    static void learn(Process&, const OwnershipChange&);
    store::CommitOutcome commit(const store::Transaction&, CallFate);

    OwnershipSettings settings_;
    std::map<std::pair<PartitionNumber, Epoch>, std::string> ownerOfEpoch_;
    std::vector<std::string> doubleEpochs_;
};

} // namespace persimmondoor::leases
