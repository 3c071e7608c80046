#include "persimmondoor/supervision/Supervisor.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::supervision {

using workflow::EndedRun;
using workflow::Fence;
using workflow::LeaderEpoch;
using workflow::OrderNumber;
using workflow::RunKey;
using workflow::WorkerIncarnation;

static const WorkerIncarnation incarnation { "w-1", 1000 };
static const RunKey firstRun { { JobId::of("00000000000000aa"), 0, 0, 0 }, 1 };

static Instant at(int64_t milliseconds)
{
    // Far from zero, which stands for "never" in the state.
    return Instant::fromMicroseconds((1'000'000 + milliseconds) * 1000);
}

// An agent's decisions with a memory of the actions of the last one.
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
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const SupervisorAction& action : actions_) {
            if (const auto* match = std::get_if<Action>(&action))
                found.push_back(*match);
        }
        return found;
    }

    void beat(int64_t milliseconds, bool draining = false, WorkerIncarnation who = incarnation)
    {
        workflow::Heartbeat heartbeat { who, { "packs", "north", { "a", "r1" }, *Resources::create(64'000, 1'000'000, 0) }, *Address::parse("127.0.0.1:8001"), draining, 3000, ++beats_ };
        handle(heartbeat, milliseconds);
    }

    void direct(int64_t milliseconds, std::vector<workflow::Order> orders = {}, uint64_t fence = 5)
    {
        workflow::ReportReply reply { LeaderEpoch(1), Fence(fence), state_.sequence_, std::chrono::milliseconds(7500), std::move(orders), {}, {}, {} };
        handle(ReportAnswered { reply }, milliseconds);
    }

    void list(int64_t milliseconds, std::vector<workflow::ActiveRun> active = {}, std::vector<EndedRun> ended = {})
    {
        handle(ListArrived { incarnation, state_.fence_, at(milliseconds), { milliseconds, incarnation.bornMs_, std::move(active), std::move(ended) } }, milliseconds);
    }

    // A worker that has been met, attached and listed by 100 ms.
    void attach()
    {
        beat(0);
        direct(10);
        list(20);
        direct(30);
        list(100);
    }

    SupervisorState state_;
    std::vector<SupervisorAction> actions_;

private:
    uint64_t beats_ { 0 };
};

static workflow::StartRun start(uint64_t number, const RunKey& run = firstRun)
{
    return { OrderNumber(number), incarnation, run, "spec", "", "" };
}

BOOST_AUTO_TEST_SUITE(supervisor)

BOOST_AUTO_TEST_CASE(order_is_carried_out_once_and_settled)
{
    Agent agent;
    agent.attach();
    agent.direct(110, { start(1) });
    BOOST_REQUIRE(agent.all<CallStart>().size() == 1U);
    BOOST_TEST(agent.all<CallStart>()[0].leaseEndMs_ > 110);
    agent.direct(120, { start(1) });
    BOOST_TEST(agent.all<CallStart>().empty());
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 130);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(1)));
    BOOST_REQUIRE(agent.all<SendReport>().size() == 1U);
    BOOST_TEST(agent.all<SendReport>()[0].report_.workers_[0].active_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(orders_that_overtake_each_other_are_all_carried_out)
{
    Agent agent;
    agent.attach();
    RunKey secondRun { { JobId::of("00000000000000aa"), 0, 0, 1 }, 1 };
    agent.direct(110, { start(2, secondRun) });
    agent.direct(120, { start(1) });
    BOOST_TEST(agent.all<CallStart>().size() == 1U);
    agent.handle(StartCompleted { Fence(5), start(2, secondRun), workflow::Started {} }, 130);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(0)));
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 140);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(2)));
}

BOOST_AUTO_TEST_CASE(unanswered_start_is_stopped_before_it_is_settled)
{
    Agent agent;
    agent.attach();
    agent.direct(110, { start(1) });
    agent.handle(StartCompleted { Fence(5), start(1), workflow::NoAnswer { "timeout" } }, 500);
    BOOST_TEST(agent.all<CallStop>().size() == 1U);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(0)));
    agent.handle(StopCompleted { Fence(5), OrderNumber(1), false }, 900);
    agent.handle(SupervisorTick {}, 1100);
    BOOST_TEST(agent.all<CallStop>().size() == 1U);
    agent.handle(StopCompleted { Fence(5), OrderNumber(1), true }, 1200);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(1)));
}

BOOST_AUTO_TEST_CASE(draining_worker_gets_no_start)
{
    Agent agent;
    agent.attach();
    agent.beat(105, true);
    agent.direct(110, { start(1) });
    BOOST_TEST(agent.all<CallStart>().empty());
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(1)));
}

BOOST_AUTO_TEST_CASE(worker_that_fell_silent_is_gone_once_its_leases_have_expired)
{
    Agent agent;
    agent.attach();
    Instant leaseEnd = agent.state_.workers_.at(incarnation).leaseEnd_;
    for (int64_t time = 600; time < 9500; time += 400) {
        agent.handle(ListFailed { incarnation, false }, time);
        agent.direct(time + 50);
        agent.handle(SupervisorTick {}, time + 150);
        BOOST_TEST(agent.state_.workers_.count(incarnation) == 1U);
    }
    // Calls that are not answered must not push the end of the lease ahead of them.
    BOOST_TEST((agent.state_.workers_.at(incarnation).leaseEnd_ == leaseEnd));
    for (int64_t time = 9500; time < 11'500; time += 400) {
        agent.handle(ListFailed { incarnation, false }, time);
        agent.direct(time + 50);
        agent.handle(SupervisorTick {}, time + 150);
    }
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 0U);
    BOOST_TEST(agent.state_.endedWorkers_.count(incarnation) == 1U);
}

BOOST_AUTO_TEST_CASE(later_life_replaces_an_earlier_one)
{
    Agent agent;
    agent.attach();
    WorkerIncarnation later { "w-1", 2000 };
    agent.beat(200, false, later);
    BOOST_TEST(agent.state_.endedWorkers_.count(incarnation) == 1U);
    BOOST_TEST(agent.state_.workers_.count(later) == 1U);
    // A heartbeat of the earlier life that comes late changes nothing.
    agent.beat(210, false, incarnation);
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 0U);
}

BOOST_AUTO_TEST_CASE(stops_of_a_worker_that_is_gone_are_settled)
{
    Agent agent;
    agent.attach();
    agent.direct(110, { start(1), workflow::StopRun { OrderNumber(2), incarnation, firstRun } });
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 120);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(1)));
    agent.handle(workflow::Leaving { incarnation.name_ }, 200);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(2)));
    BOOST_TEST(agent.state_.pendingStops_.empty());
}

BOOST_AUTO_TEST_CASE(new_agent_waits_for_leases_that_an_earlier_one_may_have_given)
{
    // Found by the protocol model, seed 4432.
    Agent agent;
    agent.beat(0);
    agent.direct(10);
    for (int64_t time = 100; time < 9500; time += 400) {
        agent.handle(ListFailed { incarnation, false }, time);
        agent.handle(SupervisorTick {}, time + 150);
        BOOST_TEST(agent.state_.workers_.count(incarnation) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(orders_for_a_worker_that_was_given_up_are_void_when_it_is_back)
{
    // Found by the protocol model, seed 436.
    Agent agent;
    agent.attach();
    uint64_t session = agent.state_.session_;
    for (int64_t time = 600; time < 11'000; time += 400) {
        agent.handle(ListFailed { incarnation, false }, time);
        agent.handle(SupervisorTick {}, time + 150);
    }
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 0U);
    agent.beat(11'100);
    agent.direct(11'110, { start(1) });
    BOOST_TEST(agent.all<CallStart>().empty());
    BOOST_TEST(agent.state_.session_ != session);
    agent.direct(11'200, {}, 6);
    BOOST_TEST((agent.state_.fence_ == Fence(6)));
}

BOOST_AUTO_TEST_CASE(new_fence_voids_orders_and_lists_anew)
{
    Agent agent;
    agent.attach();
    agent.direct(110, { start(1) });
    agent.direct(120, {}, 6);
    BOOST_TEST(!agent.state_.workers_.at(incarnation).isListed_);
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 130);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(0)));
    BOOST_TEST(agent.state_.workers_.at(incarnation).confirmedRuns_.empty());
}

BOOST_AUTO_TEST_CASE(directive_of_a_former_owner_is_ignored)
{
    Agent agent;
    agent.attach();
    agent.direct(110, { start(1) }, 4);
    BOOST_TEST(agent.all<CallStart>().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::supervision
