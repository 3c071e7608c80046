// Parts of the agent's decisions that more than one file needs.
#pragma once

#include "persimmondoor/supervision/Supervisor.h"

#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::supervision {

// One turn of the agent: the state, the actions so far and the time.
struct Turn {
    SupervisorState& state_;
    std::vector<SupervisorAction>& actions_;
    Instant now_;

    template <typename Action>
    void act(Action action) const
    {
        actions_.emplace_back(std::move(action));
    }
    void remark(std::string event, std::string subject, std::string detail) const
    {
        actions_.emplace_back(SupervisorRemark { std::move(event), std::move(subject), std::move(detail) });
    }
};

std::string describe(const workflow::WorkerLife&);

// The order has its final outcome.
void settle(const Turn&, workflow::OrderNumber);

// Nothing runs on that life of a worker any more.
void forget(const Turn&, const workflow::WorkerLife&, std::string_view why);

// The end of lease for the next call, or 0 if none may be given.
int64_t grantLease(const Turn&, LocalWorker&);

// Calls for the worker's lists, unless a call is under way or has to wait.
void askForList(const Turn&, const workflow::WorkerLife&, LocalWorker&);

void takeHeartbeat(const Turn&, const workflow::Heartbeat&);
void takeLeaving(const Turn&, const workflow::Leaving&);
void takeListArrived(const Turn&, const ListArrived&);
void takeListFailed(const Turn&, const ListFailed&);
// Gives up workers that cannot be reached and whose leases have expired.
void dropLapsedWorkers(const Turn&);

// Takes a new reading of the worker's load, which decides how fast filling tasks may work.
void takeReading(const Turn&, const workflow::WorkerLife&, LocalWorker&);
// Tells the filling tasks on the worker their paces where they have changed. Between readings no pace rises.
void paceFillingRuns(const Turn&, const workflow::WorkerLife&, LocalWorker&);

// Sends a report if there is news or none is under way.
void reportIfDue(const Turn&);

} // namespace persimmondoor::supervision
