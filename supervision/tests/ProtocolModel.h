// A model of owners, agents and workers that talk over a bad network, around the real decisions: replies are lost, orders
// are carried out late, owners and agents die at any time, workers are cut off. It checks the promises while it runs.
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

// Faults planted on purpose, to see that the checks notice them.
enum class PlantedFault {
    None,
    WorkersIgnoreFences,
    WorkersIgnoreLeases,
    EndsAcknowledgedEarly,
};

class ProtocolModel {
public:
    ProtocolModel(uint64_t seed, PlantedFault);

    // Plays a history with faults, then a calm time in which all must end.
    void play();

    // What was broken; empty if nothing was.
    const std::vector<std::string>& broken() const { return broken_; }
    uint64_t starts() const { return starts_; }
    uint64_t takeovers() const { return epoch_; }

private:
    struct Run {
        Instant endsAt_;
        bool fails_ { false };
    };
    struct End {
        workflow::EndedRun ended_;
        bool lapsedSince_ { false };
    };
    struct WorkerModel {
        workflow::WorkerIncarnation incarnation_;
        workflow::Fence fence_;
        Instant leaseEnd_;
        std::map<workflow::RunKey, Run> active_;
        std::vector<End> ended_;
        uint64_t lastEnd_ { 0 };
        std::map<workflow::TaskKey, uint32_t> newest_;
        Instant cutUntil_;
        uint64_t beats_ { 0 };
    };
    struct AgentModel {
        SupervisorState state_;
        uint64_t incarnation_ { 0 };
        Instant cutUntil_;
    };
    struct LeaderModel {
        workflow::LeaderState state_;
        uint64_t epoch_ { 0 };
        bool committing_ { false };
        std::map<std::string, std::vector<std::pair<uint64_t, Instant>>> waiting_;
    };

    void at(Duration delay, std::function<void()> event);
    bool chance(double probability);
    Duration between(int64_t leastMs, int64_t mostMs);
    bool isCalm() const { return now_ >= calmFrom_; }

    void tick();
    void tickWorker(WorkerModel&);
    void injectFaults();

    template <typename Message>
    void sendToAgent(size_t index, uint64_t incarnation, Message message);
    void act(size_t index, SupervisorAction&);
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
    void check(bool holds, const std::string& what);
    int64_t toMilliseconds(Instant) const;

    std::mt19937_64 random_;
    PlantedFault planted_;
    Instant now_;
    Instant calmFrom_;
    uint64_t events_ { 0 };
    std::map<std::pair<Instant, uint64_t>, std::function<void()>> queue_;
    std::vector<WorkerModel> workers_;
    std::vector<AgentModel> agents_;
    std::optional<LeaderModel> leader_;
    std::map<JobId, workflow::StoredJob> rows_;
    uint64_t epoch_ { 0 };
    uint64_t jobs_ { 0 };
    uint64_t sessions_ { 0 };
    std::map<uint64_t, JobId> calls_;
    std::set<JobId> accepted_;
    std::set<JobId> cancelled_;
    std::set<workflow::TaskKey> noted_;
    std::vector<std::string> broken_;
    uint64_t starts_ { 0 };
};

} // namespace persimmondoor::supervision
