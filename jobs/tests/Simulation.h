// Runs owners of one partition, hosts, a table service and the network between them from a seed and a list of faults,
// and checks after each step what must always hold.
#pragma once

#include "SimulatedHost.h"
#include "Store.h"
#include "persimmondoor/jobs/Owner.h"
#include "persimmondoor/store/TableState.h"

#include <functional>
#include <ostream>
#include <random>

namespace persimmondoor::jobs::simulation {

enum class FaultKind { OwnerDies,
    OwnerPauses,
    TakeoverWhileOwnerLives,
    StoreDown,
    StoreDownTenMinutes,
    RepliesLost,
    WritesComeLate,
    HostPauses,
    HostCutOff,
    AgentRestarts,
    WorkerVanishes,
    DomainLeaves,
    DomainReturns,
    JobCancelled,
    JobSubmitted,
    MessagesLost,
    MessagesRepeatedAndLate };
inline constexpr int faultKinds = 17;

struct Fault {
    uint32_t step_ { 0 };
    FaultKind kind_ { FaultKind::OwnerDies };
    uint32_t target_ { 0 };
};

std::ostream& operator<<(std::ostream&, const Fault&);

class Simulation {
public:
    Simulation(uint64_t seed, std::vector<Fault> faults);

    // Runs with faults, then without until all work has ended.
    // Returns the first broken invariant, or nothing.
    std::optional<std::string> run();

    size_t starts() const { return facts_.size(); }
    size_t takeovers() const { return takeovers_; }

private:
    struct Process {
        std::optional<Owner> owner_;
        store::RowVersion fence_;
        uint64_t life_ { 0 };
        Instant pausedUntil_;
    };

    void step(Duration time);
    void inject(const Fault&);
    void deliver(size_t process, uint64_t life, const OwnerMessage&);
    void later(Duration most, std::function<void()>);
    void tell(size_t process, OwnerMessage, Duration most);
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
    void askAgain();
    void ask(const JobSpec&);
    void setDomain(uint32_t target, bool inService);
    void noteDurable(const Batch&);
    void check();
    void checkResume(const StartFact&);
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
    Instant lossUntil_;
    Instant chaosUntil_;
    uint32_t repliesToLose_ { 0 };
    uint32_t submitted_ { 0 };
    uint64_t tickets_ { 0 };
    std::map<Ticket, JobId> asked_;
    // Clients repeat a submission until they are told that it took effect.
    std::map<JobId, JobSpec> notAccepted_;
    std::set<JobId> accepted_;
    Ledger durable_;
    std::map<TaskKey, Instant> finishedAt_;
    std::map<FailureDomainName, Instant> closedAt_;
    std::vector<StartFact> facts_;
    size_t factsChecked_ { 0 };
    std::set<store::TaskAttempt> started_;
    // Attempts that were given up after the silence of their worker outlasted every lease: whether they were done there
    // cannot be known.
    std::set<store::TaskAttempt> givenUp_;
    size_t takeovers_ { 0 };
    std::optional<std::string> failure_;
};

} // namespace persimmondoor::jobs::simulation
