// Parts of the agent's decisions that more than one file needs.
#pragma once

#include "persimmondoor/supervision/Supervisor.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::supervision {

// What the parts of one decision share: the state, the actions so far and the time.
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

// The order has its final outcome.
void completeOrder(const DecisionContext&, workflow::OrderNumber);

// Nothing runs on that life of a worker any more.
void removeWorker(const DecisionContext&, const workflow::WorkerIncarnation&, std::string_view why);

// The end of lease for the next call, or 0 if none may be given.
int64_t grantLease(const DecisionContext&, LocalWorker&);

// Calls for the worker's lists, unless a call is under way or has to wait.
void askForList(const DecisionContext&, const workflow::WorkerIncarnation&, LocalWorker&);

void handleHeartbeat(const DecisionContext&, const workflow::Heartbeat&);
void handleLeaving(const DecisionContext&, const workflow::Leaving&);
void handleListArrived(const DecisionContext&, const ListArrived&);
void handleListFailed(const DecisionContext&, const ListFailed&);
// Gives up workers that cannot be reached and whose leases have expired.
void dropExpiredWorkers(const DecisionContext&);

// Takes a new reading of the worker's load, which decides how fast filling tasks may work.
void updateReading(const DecisionContext&, const workflow::WorkerIncarnation&, LocalWorker&);
// Tells the filling tasks on the worker their paces where they have changed. Between readings no pace rises.
void paceFillingRuns(const DecisionContext&, const workflow::WorkerIncarnation&, LocalWorker&);

// Sends a report if there is news or none is under way.
void reportIfDue(const DecisionContext&);

} // namespace persimmondoor::supervision
