// An agent's decisions with a stand-in worker, driven without sockets: the test chooses when calls to the worker take
// effect, which replies are lost, and when the agent restarts.
#pragma once

#include "persimmondoor/hosting/Host.h"
#include "persimmondoor/store/WorkerState.h"

#include <deque>
#include <string>
#include <vector>

namespace persimmondoor::hosting {

enum class WorkerCallFate { Done,
    ReplyLost,
    Unavailable };

class HostWorld {
public:
    explicit HostWorld(const Resources& capacity);

    // Sends a message to the agent.
    void tell(const HostMessage& message);
    // Sends an order and gives the answer, if it came at once.
    std::optional<StartOutcome> start(const StartOrder&);
    StopOutcome stop(const StopOrder&);
    RenewalOutcome renew(const Renewal&);
    // Does the oldest call to the worker that waits.
    void performNext(WorkerCallFate);
    void performAll();
    // Reports the worker's changes to the agent.
    void report();
    // Lets time pass at the worker and the agent.
    void pass(Duration);
    // Starts the agent anew; its calls under way are lost. Nothing is known until `report`.
    void restartAgent();
    // Sets the worker up anew: its tasks are gone.
    void restartWorker();
    bool hasCalls() const { return !calls_.empty(); }

    // The names of what is broken; empty if all invariants hold.
    std::vector<std::string> broken();

    std::vector<TaskAttempt> runningAtWorker();
    std::vector<HostEvent> events(PartitionNumber);
    Stamp stamp() const { return host_.offer(now_).stamp_; }

    Resources capacity_;
    store::WorkerState worker_;
    Host host_;
    Instant now_ = Instant::fromMicroseconds(10'000'000);
    std::map<CallNumber, StartOutcome> startAnswers_;

private:
    void perform(const HostAction&);
    void call(const HostAction&, WorkerCallFate);

    std::deque<HostAction> calls_;
    std::map<CallNumber, StopOutcome> stopAnswers_;
    std::map<CallNumber, RenewalOutcome> renewalAnswers_;
    store::WorkerRevision reported_;
    uint64_t callsMade_ { 0 };
    uint64_t lives_ { 1 };
    // Attempts whose end was seen at the worker.
    std::set<TaskAttempt> ended_;
};

// The orders of a test, of a partition's first epoch.
StartOrder startOrder(const HostWorld&, const std::string& task, uint64_t attempt, int64_t milliCores, const std::string& command = "sleep 60000");
StopOrder stopOrder(const std::string& task, uint64_t attempt, StopKind kind = StopKind::Stop);
Renewal renewal(const HostWorld&, Duration lease = std::chrono::seconds(30));

} // namespace persimmondoor::hosting
