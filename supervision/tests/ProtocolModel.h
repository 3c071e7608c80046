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
};

class ProtocolModel {
public:
    ProtocolModel(uint64_t seed, InjectedFault);

    // Simulates a period with faults, then a period without in which all jobs must end.
    void simulate();

    // Violated invariants; empty if all held.
    const std::vector<std::string>& violations() const { return violations_; }
    uint64_t starts() const { return starts_; }
    uint64_t leaderEpochs() const { return epoch_; }

private:
    struct Run {
        Instant endsAt_;
        bool fails_ { false };
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
    };
    struct LeaderModel {
        workflow::LeaderState state_;
        uint64_t epoch_ { 0 };
        bool isCommitInFlight_ { false };
        std::map<std::string, std::vector<std::pair<uint64_t, Instant>>> waitingReports_;
    };

    void schedule(Duration delay, std::function<void()> event);
    bool chance(double probability);
    Duration randomDelay(int64_t minimumMs, int64_t maximumMs);
    bool areFaultsOver() const { return now_ >= faultsEndAt_; }

    void tick();
    void tickWorker(WorkerModel&);
    void injectFaults();

    template <typename Message>
    void sendToAgent(size_t index, uint64_t incarnation, Message message);
    void deliverLeaveNotice(size_t index, uint64_t incarnation, const std::string& name);
    void perform(size_t index, SupervisorAction&);
    void callStart(size_t index, const CallStart&);
    void callStop(size_t index, const CallStop&);
    void callList(size_t index, const CallList&);
    void sendReport(size_t index, const SendReport&);

    workflow::StartOutcome applyStart(WorkerModel&, const CallStart&);
    bool applyStop(WorkerModel&, const CallStop&);
    workflow::WorkerLists applyList(WorkerModel&, const workflow::ListRequest&);
    void endRun(WorkerModel&, const workflow::RunKey&, workflow::RunEnd);

    template <typename Message>
    void sendToLeader(Message message);
    void answerReports(const std::string& agent, bool all);
    void commitIfDue();
    void finishCommit(workflow::Batch, std::map<JobId, workflow::StoredJob> rows, Instant sentAt);
    void killLeader();
    void startLeader();

    void submitJob();
    void cancelJob();
    void check(bool holds, const std::string& description);
    int64_t toMilliseconds(Instant) const;

    std::mt19937_64 random_;
    InjectedFault injectedFault_;
    Instant now_;
    Instant faultsEndAt_;
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
    std::set<JobId> accepted_;
    std::set<JobId> cancelled_;
    std::set<workflow::TaskKey> acknowledgedTasks_;
    std::vector<std::string> violations_;
    uint64_t starts_ { 0 };
};

} // namespace persimmondoor::supervision
