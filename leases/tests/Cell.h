// Simulation of several processes that own partitions in one table. It runs only the pure decisions; the test controls
// time, lost replies, outages, pauses and crashes.
#pragma once

#include "persimmondoor/leases/Ownership.h"
#include "persimmondoor/store/TableState.h"

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace persimmondoor::leases {

// How a call to the table ends.
enum class CallResult { Done,
    ReplyLost,
    Refused };

struct Process {
    Ownership state_;
    std::deque<OwnershipAction> actions_;
    Instant nextStepAt_;
    bool paused_ { false };
    bool crashed_ { false };
    // Was asked to release all partitions and to end.
    bool isLeaving_ { false };
    // What the listener was notified of.
    std::map<PartitionNumber, Gained> held_;
    Instant leaseUntil_;
    Instant horizonUntil_;
};

class Cell {
public:
    Cell(size_t processes, OwnershipSettings settings);

    // Advances the time by `step`; every process that is due takes a step and performs all its actions.
    void advance(Duration step);
    // Performs the next action of one process, if it has one.
    void perform(size_t index, CallResult result);
    // Begins the next step of a process if it is due.
    void beginStep(size_t index);
    void crash(size_t index);
    // Starts the next incarnation of a process.
    void restart(size_t index);
    void deliver(size_t index, const OwnershipMessage& message);

    // Describes each violated invariant; empty if all hold.
    std::vector<std::string> findViolations();
    // True if the row of the partition has the version that the process was notified of, so that its journal
    // transactions would commit.
    bool canCommit(size_t index, PartitionNumber partition);
    bool isEveryPartitionOwned();
    size_t heldBy(size_t index) const { return processes_[index].held_.size(); }

    std::vector<Process> processes_;
    store::TableState table_;
    Instant now_ = Instant::fromMicroseconds(0);
    CallResult callResult_ { CallResult::Done };

private:
    void apply(Process&, const OwnershipAction&, CallResult);
    static void applyChange(Process&, const OwnershipChange&);
    store::CommitOutcome commit(const store::Transaction&, CallResult);

    OwnershipSettings settings_;
    std::map<std::pair<PartitionNumber, Epoch>, std::string> ownerOfEpoch_;
    std::vector<std::string> doubleEpochs_;
};

} // namespace persimmondoor::leases
