// A worker and its agent as a value, by the contract of the slice `hosting`, for simulations: leases count from the
// agent's stamp, epochs and attempts fence, events stay until acknowledged.
#pragma once

#include "persimmondoor/hosting/Messages.h"

#include <map>
#include <optional>
#include <set>

namespace persimmondoor::jobs::simulation {

// What a host ever did with one attempt, for the checks.
struct StartFact {
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
    hosting::StartOutcome start(const hosting::StartOrder&, Instant now, std::vector<StartFact>& facts);
    hosting::StopOutcome stop(const hosting::StopOrder&, Instant now);
    // Nothing for a deposed owner or an agent that is not ready.
    std::optional<hosting::RenewalAnswer> renew(const hosting::Renewal&, Instant now);

    // Lets leases lapse and tasks go on; called before anything else at each time.
    void advance(Instant now);
    // One running task, chosen by `choice`, comes to its end.
    void finishOne(uint64_t choice, Instant now);
    void restartAgent(Instant now);
    // The worker is replaced: all tasks and events are gone.
    void vanish(Instant now);

    bool isUp(Instant now) const { return now >= downUntil_; }
    void goDown(Instant until) { downUntil_ = until; }
    // The agent answers nothing, tasks run on.
    bool isReachable(Instant now) const { return isUp(now) && now >= cutUntil_; }
    void cut(Instant until) { cutUntil_ = until; }

    const WorkerName& worker() const { return worker_; }
    const FailureDomainName& domain() const { return domain_; }
    std::vector<store::TaskAttempt> running() const;
    // Tasks whose work was completed here.
    const std::vector<store::TaskAttempt>& completed() const { return completed_; }
    // Checkpoints that were made here, by attempt.
    const std::map<store::TaskAttempt, std::string>& checkpoints() const { return checkpoints_; }

private:
    struct Run {
        Instant leaseEnd_;
    };
    void end(const store::TaskAttempt&, hosting::TaskEvent);
    void tell(const store::TaskAttempt&, hosting::TaskEvent);

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
    Instant downUntil_;
    Instant cutUntil_;
    Instant readyAt_;
    std::vector<store::TaskAttempt> completed_;
    std::map<store::TaskAttempt, std::string> checkpoints_;
};

} // namespace persimmondoor::jobs::simulation
