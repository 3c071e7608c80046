// Fixture for tests of an agent's decisions.
#pragma once

#include "persimmondoor/supervision/Supervisor.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::supervision {

using workflow::EndedRun;
using workflow::Fence;
using workflow::LeaderEpoch;
using workflow::OrderNumber;
using workflow::RunKey;
using workflow::WorkerIncarnation;

inline const WorkerIncarnation incarnation { "w-1", 1000 };
inline const RunKey firstRun { { JobId::of("00000000000000aa"), 0, 0, 0 }, 1 };

inline Instant at(int64_t milliseconds)
{
    // Times are far from zero, which means "never" in the state.
    return Instant::fromMicroseconds((1'000'000 + milliseconds) * 1000);
}

// The decisions of one agent; keeps the actions of the last decision.
class Agent {
public:
    Agent()
    {
        state_.name_ = "agent";
        state_.session_ = 7;
    }

    template <typename Message>
    void handle(Message message, int64_t milliseconds)
    {
        SupervisorMessage wrapped = std::move(message);
        SupervisorDecision decision = decide(std::move(state_), wrapped, at(milliseconds));
        state_ = std::move(decision.state_);
        actions_ = std::move(decision.actions_);
    }

    template <typename Action>
    std::vector<Action> actionsOf() const
    {
        std::vector<Action> found;
        for (const SupervisorAction& action : actions_) {
            if (const auto* match = std::get_if<Action>(&action))
                found.push_back(*match);
        }
        return found;
    }

    void sendHeartbeat(int64_t milliseconds, bool draining = false, WorkerIncarnation worker = incarnation)
    {
        workflow::Heartbeat heartbeat { worker, { "packs", "north", { "a", "r1" }, *Resources::create(64'000, 1'000'000, 0) }, *Address::parse("127.0.0.1:8001"), draining, 3000, ++heartbeats_ };
        handle(heartbeat, milliseconds);
    }

    void sendReply(int64_t milliseconds, std::vector<workflow::Order> orders = {}, uint64_t fence = 5)
    {
        workflow::ReportReply reply { LeaderEpoch(1), Fence(fence), state_.sequence_, std::chrono::milliseconds(7500), std::move(orders), {}, {}, {} };
        handle(ReportAnswered { reply }, milliseconds);
    }

    void deliverList(int64_t milliseconds, std::vector<workflow::ActiveRun> active = {}, std::vector<EndedRun> ended = {})
    {
        handle(ListArrived { incarnation, state_.fence_, at(milliseconds), { milliseconds, incarnation.bornMs_, std::move(active), std::move(ended) } }, milliseconds);
    }

    // Announces a later incarnation, which answers at the worker's address.
    void replaceWorker(int64_t milliseconds, const WorkerIncarnation& later)
    {
        sendHeartbeat(milliseconds, false, later);
        handle(ListArrived { later, state_.fence_, at(milliseconds), { milliseconds, later.bornMs_, {}, {} } }, milliseconds);
    }

    // Announces that the worker leaves, after which its host refuses connections.
    void leave(int64_t milliseconds)
    {
        handle(workflow::Leaving { incarnation.name_ }, milliseconds);
        handle(ListFailed { incarnation, false, true, "connection refused" }, milliseconds);
    }

    // Registers the worker, begins a session with the leader and delivers the worker's lists, all by 100 ms.
    void attach()
    {
        sendHeartbeat(0);
        sendReply(10);
        deliverList(20);
        sendReply(30);
        deliverList(100);
    }

    SupervisorState state_;
    std::vector<SupervisorAction> actions_;

private:
    uint64_t heartbeats_ { 0 };
};

inline workflow::StartRun start(uint64_t number, const RunKey& run = firstRun)
{
    return { OrderNumber(number), incarnation, run, "spec", "", "" };
}

} // namespace persimmondoor::supervision
