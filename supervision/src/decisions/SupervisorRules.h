// Rules of the agent's decisions that are shared by several files.
#pragma once

#include "persimmondoor/supervision/Supervisor.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::supervision {

// What the rules share while one decision is made: the state, the actions so far and the time.
struct DecisionContext {
    SupervisorState& state_;
    std::vector<SupervisorAction>& actions_;
    Instant now_;

    template <typename Action>
    void addAction(Action action) const
    {
        actions_.emplace_back(std::move(action));
    }
    void logEvent(std::string event, std::string subject, std::string detail) const
    {
        actions_.emplace_back(SupervisorLogEvent { std::move(event), std::move(subject), std::move(detail) });
    }
};

std::string describe(const workflow::WorkerIncarnation&);

// Records that the outcome of the order is final.
void completeOrder(const DecisionContext&, workflow::OrderNumber);

// Why an incarnation of a worker has ended.
enum class WorkerEnd : uint8_t {
    // Another incarnation has taken its place: it has crashed, unless it was draining.
    Replaced,
    // It announced that it leaves, and nothing listens at its address any more.
    Left,
    // It cannot be reached, and all its leases have expired.
    LeasesExpired,
};

// Removes an incarnation of a worker on which nothing runs any more.
void removeWorker(const DecisionContext&, const workflow::WorkerIncarnation&, WorkerEnd, std::string_view reason);

// Returns the lease end for the next call, in milliseconds on the worker's clock, or 0 if no lease may be granted.
int64_t grantLease(const DecisionContext&, LocalWorker&);

// Notes that the worker has started the run.
void confirmStart(LocalWorker&, const workflow::RunKey&);

// Requests the worker's lists, unless a request is in flight or not due yet.
void requestLists(const DecisionContext&, const workflow::WorkerIncarnation&, LocalWorker&);

void handleHeartbeat(const DecisionContext&, const workflow::Heartbeat&);
// Confirms the worker that has answered, if nothing speaks against it, or drops the announced workers that it refutes.
void noteAnswer(const DecisionContext&, const ListArrived&, LocalWorker&);
// Confirms the workers that have answered and exclude one that has become silent or was removed.
void confirmSuccessorsOf(const DecisionContext&, const workflow::WorkerIncarnation& silent);
void handleLeaving(const DecisionContext&, const workflow::Leaving&);
void handleListArrived(const DecisionContext&, const ListArrived&);
void handleListFailed(const DecisionContext&, const ListFailed&);
// Removes workers that have become unreachable and whose leases have expired, and ends the session with the leader if
// there are any.
void dropExpiredWorkers(const DecisionContext&);

// Records a new reading of the worker's load and recalculates the paces of its filling tasks.
void updateReading(const DecisionContext&, const workflow::WorkerIncarnation&, LocalWorker&);
// Recalculates the paces of the worker's filling tasks and sends those that have changed. Between readings, the pace of a
// harmful image does not rise.
void paceFillingRuns(const DecisionContext&, const workflow::WorkerIncarnation&, LocalWorker&);

// Notes that the worker may not have the run's last pace.
void handlePaceFailed(const DecisionContext&, const PaceFailed&);

// Sends a report if there are changes to report or no report is in flight.
void reportIfDue(const DecisionContext&);

} // namespace persimmondoor::supervision
