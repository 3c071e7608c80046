// The decisions of an agent with a stand-in worker, without sockets. The test chooses when calls to the worker take
// effect, which replies are lost, and when the agent or the worker restarts.
#pragma once

#include "persimmondoor/hosting/Host.h"
#include "persimmondoor/store/WorkerState.h"

#include <deque>
#include <string>
#include <vector>

namespace persimmondoor::hosting {

enum class WorkerCallResult { Done,
    ReplyLost,
    Unavailable };

class HostSimulation {
public:
    explicit HostSimulation(const Resources& capacity);

    void deliver(const HostMessage& message);
    // Sends an order and returns the answer, if the agent answered at once.
    std::optional<StartOutcome> start(const StartOrder&);
    StopOutcome stop(const StopOrder&);
    RenewalOutcome renew(const Renewal&);
    // Performs the oldest pending call to the worker, with this result for the agent.
    void performNext(WorkerCallResult);
    void performAll();
    // Delivers the worker's changes since the last report to the agent.
    void report();
    // Advances the time of the worker and the agent.
    void advance(Duration);
    // Restarts the agent and drops its calls in flight. The agent does not know its worker's tasks until `report`.
    void restartAgent();
    // Restarts the worker, which loses its tasks.
    void restartWorker();
    bool hasCalls() const { return !calls_.empty(); }

    // Descriptions of the violated invariants; empty if all hold.
    std::vector<std::string> violations();

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
    void call(const HostAction&, WorkerCallResult);

    std::deque<HostAction> calls_;
    std::map<CallNumber, StopOutcome> stopAnswers_;
    std::map<CallNumber, RenewalOutcome> renewalAnswers_;
    store::WorkerRevision reportedRevision_;
    uint64_t callCount_ { 0 };
    uint64_t incarnations_ { 1 };
    // Attempts that the worker has reported as ended.
    std::set<TaskAttempt> endedAttempts_;
};

// Orders from the first epoch of partition 7.
StartOrder startOrder(const HostSimulation&, const std::string& task, uint64_t attempt, int64_t milliCores, const std::string& command = "sleep 60000");
StopOrder stopOrder(const std::string& task, uint64_t attempt, StopKind kind = StopKind::Stop);
Renewal renewal(const HostSimulation&, Duration lease = std::chrono::seconds(30));

} // namespace persimmondoor::hosting
