// Simulates the leader, agents and workers on an unreliable network around the real decisions: replies are lost, orders
// are executed late, leaders and agents crash at any time, workers become unreachable. Checks the invariants of the
// protocol while the simulation runs.
#pragma once

#include "persimmondoor/supervision/Supervisor.h"
#include "persimmondoor/workflow/Leader.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmondoor::supervision {

// Faults injected into the protocol to verify that the checks detect them.
enum class InjectedFault {
    None,
    WorkersIgnoreFences,
    WorkersIgnoreLeases,
    EndsAcknowledgedEarly,
    LeasesOutliveTheirBound,
    SilentWorkersStayNamed,
    LeaveNoticesTakenForPresentIncarnation,
    OpenOrdersReportedAsCompleted,
    ListsAwaitedForever,
    QuarantinesWithoutEnd,
    InterferenceAlwaysAvoided,
    CoresNeverShared,
    UnreachedWorkersKept,
    StopsNeverConfirmed,
    CutListsTakenForWhole,
};

class ProtocolModel {
public:
    ProtocolModel(uint64_t seed, InjectedFault);
    virtual ~ProtocolModel() = default;

    // Simulates a period with faults, then a period without in which all jobs must end.
    void simulate();

    // Violated invariants; empty if all held.
    const std::vector<std::string>& violations() const { return violations_; }
    uint64_t starts() const { return starts_; }
    uint64_t leaderEpochs() const { return epoch_; }

protected:
    struct Periods {
        Duration faults_ { 0 };
        Duration recovery_ { 0 };
    };
    struct Run {
        Instant endsAt_;
        bool fails_ { false };
        Instant startedAt_;
        Duration done_ { 0 };
        uint32_t pacePercent_ { 100 };
    };
    struct UnacknowledgedEnd {
        workflow::EndedRun ended_;
        bool hasLeaseExpired_ { false };
    };
    struct WorkerModel {
        workflow::WorkerIncarnation incarnation_;
        workflow::Fence fence_;
        Instant leaseEnd_;
        std::map<workflow::RunKey, Run> active_;
        std::vector<UnacknowledgedEnd> ended_;
        uint64_t lastEnd_ { 0 };
        std::map<workflow::TaskKey, uint32_t> newestRuns_;
        Instant unreachableUntil_;
        uint64_t heartbeats_ { 0 };
    };
    struct AgentModel {
        SupervisorState state_;
        uint64_t incarnation_ { 0 };
        Instant unreachableUntil_;
        // Messages are delivered at this time.
        Instant frozenUntil_;
        // Messages are lost.
        Instant downUntil_;
    };
    struct LeaderModel {
        workflow::LeaderState state_;
        uint64_t epoch_ { 0 };
        bool isCommitInFlight_ { false };
        std::map<std::string, std::vector<std::pair<uint64_t, Instant>>> waitingReports_;
    };

    enum class WriteOutcome {
        Stored,
        Refused,
        // Stored, but the leader does not learn of it.
        Unanswered,
    };

    // Without hosts.
    ProtocolModel(uint64_t seed, InjectedFault, Periods);
    void addHosts(size_t count);

    // What variants of the model replace.
    virtual void injectFaults();
    // Called with each tick, once faults were injected.
    virtual void observe() { }
    virtual void checkEnd();
    virtual int64_t wallMs() const { return toMilliseconds(now_); }
    virtual workflow::Tuning tuning() const { return {}; }
    virtual workflow::Catalog catalog() const;
    virtual SupervisorState initialAgentState(const std::string& name);
    virtual Duration takeoverDelay();
    virtual Duration writeDelay();
    virtual WriteOutcome writeOutcome();
    virtual bool isProcessUp(size_t) const { return true; }
    virtual workflow::Heartbeat heartbeatOf(size_t index);
    virtual bool leavesUnanswered(size_t index, double probability);
    // When an unanswered start is carried out; empty if never.
    virtual std::optional<Duration> lateStart(size_t index);
    virtual std::optional<workflow::StartRefusal> refusalOf(const WorkerModel&, const workflow::StartRun&) const { return std::nullopt; }
    virtual Run makeRun(const workflow::StartRun&);
    virtual void progressRuns(WorkerModel&);
    virtual workflow::ActiveRun describeRun(const WorkerModel&, const workflow::RunKey&, const Run&);

    void schedule(Duration delay, std::function<void()> event);
    bool chance(double probability);
    Duration randomDelay(int64_t minimumMs, int64_t maximumMs);
    bool areFaultsOver() const { return now_ >= faultsEndAt_; }
    void check(bool holds, const std::string& description);
    int64_t toMilliseconds(Instant) const;

    void restartAgent(size_t index);
    void sendToAgent(size_t index, uint64_t incarnation, const SupervisorMessage&);
    void deliverLeaveNotice(size_t index, uint64_t incarnation, const std::string& name);
    void endRun(WorkerModel&, const workflow::RunKey&, workflow::RunEnd);
    void killLeader();
    void submitJob();
    // \return the id of the job, which the leader may not accept.
    JobId submit(const std::string& prefix, const workflow::JobSpec&);
    void cancelJob();

    std::mt19937_64 random_;
    InjectedFault injectedFault_;
    Instant now_;
    Instant faultsEndAt_;
    Instant endsAt_;
    uint64_t lastEvent_ { 0 };
    std::map<std::pair<Instant, uint64_t>, std::function<void()>> eventQueue_;
    std::vector<WorkerModel> workers_;
    std::vector<AgentModel> agents_;
    std::optional<LeaderModel> leader_;
    std::map<JobId, workflow::StoredJob> rows_;
    workflow::LeaseBounds storedBounds_;
    uint64_t epoch_ { 0 };
    uint64_t submittedJobs_ { 0 };
    uint64_t sessions_ { 0 };
    std::map<uint64_t, JobId> jobsByCall_;
    std::map<JobId, std::string> prefixes_;
    std::set<JobId> accepted_;
    std::set<JobId> cancelled_;
    std::set<workflow::TaskKey> acknowledgedTasks_;
    std::vector<std::string> violations_;
    uint64_t starts_ { 0 };
    // Bound on the ends in one list.
    size_t maximumListedEnds_ { 500 };

private:
    void tick();
    void tickWorker(WorkerModel&);
    void sendHeartbeatIfDue(size_t index);
    void perform(size_t index, SupervisorAction&);
    void callStart(size_t index, const CallStart&);
    void callStop(size_t index, const CallStop&);
    void callList(size_t index, const CallList&);
    void callPace(size_t index, const CallPace&);
    void sendReport(size_t index, const SendReport&);
    workflow::StartOutcome applyStart(WorkerModel&, const CallStart&);
    bool applyStop(WorkerModel&, const CallStop&);
    workflow::WorkerLists applyList(WorkerModel&, const workflow::ListRequest&);
    void sendToLeader(const workflow::LeaderMessage&);
    void answerReports(const std::string& agent, bool all);
    void commitIfDue();
    void startLeader();
};

} // namespace persimmondoor::supervision
