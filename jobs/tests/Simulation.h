// Simulates the owners of one partition, hosts, a table service and the network between them, with a seed and a list of
// faults, and checks the invariants after each step.
#pragma once

#include "SimulatedHost.h"
#include "Store.h"
#include "persimmondoor/jobs/Owner.h"
#include "persimmondoor/store/TableState.h"

#include <functional>
#include <ostream>
#include <random>

namespace persimmondoor::jobs::simulation {

enum class FaultKind { OwnerCrashes,
    OwnerPauses,
    TakeoverWhileOwnerRuns,
    StoreDown,
    StoreDownTenMinutes,
    RepliesLost,
    WritesDelayed,
    HostPauses,
    HostUnreachable,
    AgentRestarts,
    WorkerReplaced,
    DomainDrained,
    DomainRestored,
    JobCancelled,
    JobSubmitted,
    MessagesLost,
    MessagesDuplicatedAndDelayed };
inline constexpr int faultKinds = 17;

struct Fault {
    uint32_t step_ { 0 };
    FaultKind kind_ { FaultKind::OwnerCrashes };
    uint32_t target_ { 0 };
};

std::ostream& operator<<(std::ostream&, const Fault&);

class Simulation {
public:
    Simulation(uint64_t seed, std::vector<Fault> faults);

    // Runs with faults, then without faults until all work has ended.
    // Returns the first violated invariant, or nothing.
    std::optional<std::string> run();

    size_t starts() const { return observedStarts_.size(); }
    size_t takeovers() const { return takeovers_; }

private:
    struct Process {
        std::optional<Owner> owner_;
        store::RowVersion fence_;
        uint64_t incarnation_ { 0 };
        Instant pausedUntil_;
    };

    void step(Duration time);
    void inject(const Fault&);
    void deliver(size_t process, uint64_t incarnation, const OwnerMessage&);
    void schedule(Duration maximumDelay, std::function<void()>);
    void deliverLater(size_t process, OwnerMessage, Duration maximumDelay);
    void perform(size_t process, const OwnerAction&);
    void commit(size_t process, const CommitBatch&);
    void readBack(size_t process, const ReadBatch&);
    void probe(size_t process, const ProbeWorkers&);
    void start(size_t process, const SendStart&);
    void stop(size_t process, const SendStop&);
    void renew(size_t process, const SendRenewal&);
    void snapshot(size_t process, const StoreSnapshot&);
    void takeOver(size_t process);
    bool owns(size_t process) const;
    void heartbeat();
    void submit(uint32_t target);
    void repeatSubmissions();
    void sendSubmission(const JobSpec&);
    void setDomain(uint32_t target, bool inService);
    void recordDurable(const Batch&);
    void check();
    void checkResume(const ObservedStart&);
    bool allEnded() const;
    void fail(const std::string& what);

    bool chance(uint32_t percent) { return random_() % 100 < percent; }
    SimulatedHost& hostOf(const WorkerName&);

    std::mt19937_64 random_;
    std::vector<Fault> faults_;
    Instant now_ { Instant::fromMicroseconds(1'000'000) };
    std::multimap<Instant, std::function<void()>> pending_;
    store::TableState table_;
    std::map<std::string, std::string> objects_;
    std::vector<SimulatedHost> hosts_;
    std::vector<Process> processes_ { 2 };
    Epoch epoch_;
    Instant lastOwned_;
    Instant storeDownUntil_;
    Instant lateWritesUntil_;
    Instant messageLossUntil_;
    Instant duplicationUntil_;
    uint32_t repliesToLose_ { 0 };
    uint32_t submitted_ { 0 };
    uint64_t tickets_ { 0 };
    std::map<Ticket, JobId> ticketJobs_;
    // Clients repeat a submission until it is accepted.
    std::map<JobId, JobSpec> notAccepted_;
    std::set<JobId> accepted_;
    Ledger durable_;
    std::map<TaskKey, Instant> finishedAt_;
    std::map<FailureDomainName, Instant> closedAt_;
    std::vector<ObservedStart> observedStarts_;
    size_t checkedStarts_ { 0 };
    std::set<store::TaskAttempt> started_;
    // Attempts whose outcome the owner cannot know: their lease expired while their worker did not answer, or their worker
    // was replaced. Such attempts may have finished.
    std::set<store::TaskAttempt> outcomeUnknown_;
    size_t takeovers_ { 0 };
    std::optional<std::string> failure_;
};

} // namespace persimmondoor::jobs::simulation
