// Simulates a worker and its agent with the guarantees of the slice `hosting`: leases count from the agent's stamp, stale
// epochs and attempts are refused, and events are kept until they are acknowledged.
#pragma once

#include "persimmondoor/hosting/Messages.h"

#include <map>
#include <optional>
#include <set>

namespace persimmondoor::jobs::simulation {

// One start of an attempt at a host, recorded for the checks.
struct ObservedStart {
    store::TaskAttempt task_;
    WorkerName worker_;
    FailureDomainName domain_;
    std::string checkpoint_;
    Instant at_;
};

class SimulatedHost {
public:
    SimulatedHost() = default;
    SimulatedHost(WorkerName worker, FailureDomainName domain, bool failsEverything)
        : worker_(std::move(worker))
        , domain_(std::move(domain))
        , failsEverything_(failsEverything)
    {
    }

    hosting::HostOffer probe(Instant now) const;
    hosting::StartOutcome start(const hosting::StartOrder&, Instant now, std::vector<ObservedStart>& observedStarts);
    hosting::StopOutcome stop(const hosting::StopOrder&, Instant now);
    // Returns nothing for a stale epoch and while the agent is not ready.
    std::optional<hosting::RenewalAnswer> renew(const hosting::Renewal&, Instant now);

    // Ends tasks whose lease has expired; called before anything else at each time.
    void advance(Instant now);
    // Finishes one running task, selected by `choice`; fails it if the host fails everything.
    void finishOne(uint64_t choice, Instant now);
    void restartAgent(Instant now);
    // Replaces the worker: all tasks, events and fences are lost.
    void replaceWorker(Instant now);

    bool isUp(Instant now) const { return now >= pausedUntil_; }
    void pauseUntil(Instant until) { pausedUntil_ = until; }
    // False while the agent does not answer; its tasks keep running.
    bool isReachable(Instant now) const { return isUp(now) && now >= unreachableUntil_; }
    void disconnectUntil(Instant until) { unreachableUntil_ = until; }

    const WorkerName& worker() const { return worker_; }
    const FailureDomainName& domain() const { return domain_; }
    std::vector<store::TaskAttempt> running() const;
    // Attempts that finished here.
    const std::vector<store::TaskAttempt>& completed() const { return completed_; }
    // Checkpoints saved here, by attempt.
    const std::map<store::TaskAttempt, std::string>& checkpoints() const { return checkpoints_; }

private:
    struct Run {
        Instant leaseEnd_;
    };
    void end(const store::TaskAttempt&, hosting::TaskEvent);
    void addEvent(const store::TaskAttempt&, hosting::TaskEvent);

    static constexpr size_t slots = 3;
    WorkerName worker_;
    FailureDomainName domain_;
    bool failsEverything_ { false };
    Incarnation incarnation_ { 1 };
    Epoch epoch_;
    std::map<store::TaskAttempt, Run> runs_;
    std::map<TaskId, Attempt> fence_;
    std::map<Sequence, hosting::HostEvent> events_;
    Sequence lastEvent_;
    Instant pausedUntil_;
    Instant unreachableUntil_;
    Instant readyAt_;
    std::vector<store::TaskAttempt> completed_;
    std::map<store::TaskAttempt, std::string> checkpoints_;
};

} // namespace persimmondoor::jobs::simulation
