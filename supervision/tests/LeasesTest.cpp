#include "AgentWorld.h"

namespace persimmondoor::supervision {

BOOST_AUTO_TEST_SUITE(supervisor)

BOOST_AUTO_TEST_CASE(restarted_agent_waits_for_leases_granted_before_the_restart)
{
    // A restarted agent must assume that its previous incarnation granted the longest lease. Found by the protocol
    // model, seed 4432.
    Agent agent;
    agent.sendHeartbeat(0);
    agent.sendReply(10);
    for (int64_t time = 100; time < 9500; time += 400) {
        agent.handle(ListFailed { incarnation, false }, time);
        agent.handle(SupervisorTick {}, time + 150);
        BOOST_TEST(agent.state_.workers_.count(incarnation) == 1U);
    }
}

// Guards against a task that runs twice: the leader counts the leases of a worker from the last report that contained it, and an
// agent that had just been restarted passed a lease on to a worker that it had not reported yet.
BOOST_AUTO_TEST_CASE(lease_is_passed_on_only_to_workers_that_the_answered_report_contained)
{
    Agent agent;
    agent.handle(SupervisorTick {}, 0);
    agent.sendReply(10);
    agent.sendReply(20);
    BOOST_REQUIRE((agent.state_.leaseHorizon_ > at(20)));
    agent.sendHeartbeat(30);
    agent.deliverList(40);
    BOOST_TEST((agent.state_.workers_.at(incarnation).leaseHorizon_ == Instant()));
    for (const CallList& call : agent.actionsOf<CallList>())
        BOOST_TEST(call.request_.leaseEndMs_ == 0);
    agent.sendReply(50);
    agent.deliverList(60);
    BOOST_REQUIRE(agent.actionsOf<CallList>().size() == 1U);
    BOOST_TEST(agent.actionsOf<CallList>()[0].request_.leaseEndMs_ > 60);
}

// Guards against a worker that is known to be lost seconds late, as it is taken to hold leases of an earlier agent although
// it was born under this one.
BOOST_AUTO_TEST_CASE(worker_born_under_this_agent_is_removed_after_the_leases_of_this_agent)
{
    for (const WorkerIncarnation& later : { WorkerIncarnation { "w-1", 2000, "" }, WorkerIncarnation { "w-2", 2000, "" } }) {
        Agent agent;
        agent.attach();
        agent.sendHeartbeat(200, false, later);
        agent.handle(ListArrived { later, Fence(5), at(200), { 0, 2000, {}, {} } }, 210);
        Instant leaseEnd = agent.state_.leaseHorizon_;
        BOOST_TEST((agent.state_.workers_.at(later).leaseEnd_ == leaseEnd));
        for (int64_t time = 600; at(time) < leaseEnd + std::chrono::milliseconds(800); time += 100) {
            agent.handle(ListFailed { later, false }, time);
            agent.handle(SupervisorTick {}, time + 50);
            if (at(time + 50) <= leaseEnd)
                BOOST_TEST(agent.state_.workers_.count(later) == 1U);
        }
        BOOST_TEST(agent.state_.workers_.count(later) == 0U);
    }
}

// Guards against a run that is started again while its worker still holds a lease of an earlier agent: nothing shows that
// the worker was born under this one.
BOOST_AUTO_TEST_CASE(worker_that_may_be_older_than_its_agent_is_taken_to_hold_the_longest_lease)
{
    WorkerIncarnation later { "w-1", 2000 };
    Instant longest = at(200) + SupervisorTuning().longestLease_;
    Agent unanswered;
    unanswered.sendHeartbeat(0);
    unanswered.sendReply(10);
    unanswered.sendHeartbeat(200, false, later);
    BOOST_TEST((unanswered.state_.workers_.at(later).leaseEnd_ == longest));
    // A list that does not state the birth may come from the later incarnation.
    Agent withoutBirth;
    withoutBirth.sendHeartbeat(0);
    withoutBirth.sendReply(10);
    withoutBirth.handle(ListArrived { incarnation, Fence(5), at(20), { 0, 0, {}, {} } }, 30);
    withoutBirth.sendHeartbeat(200, false, later);
    BOOST_TEST((withoutBirth.state_.workers_.at(later).leaseEnd_ == longest));
    // The first incarnation that answered may have been born before the agent.
    Agent reconnected;
    reconnected.attach();
    reconnected.leave(150);
    reconnected.sendHeartbeat(200);
    BOOST_TEST((reconnected.state_.workers_.at(incarnation).leaseEnd_ == longest));
    // So may a worker at another address.
    Agent elsewhere;
    elsewhere.attach();
    workflow::Heartbeat heartbeat { { "w-2", 2000 }, { "packs", "north", { "a", "r1" }, *Resources::create(64'000, 1'000'000, 0) }, *Address::parse("127.0.0.1:8002"), false, 0, 1 };
    elsewhere.handle(heartbeat, 200);
    BOOST_TEST((elsewhere.state_.workers_.at(heartbeat.incarnation_).leaseEnd_ == longest));
}

BOOST_AUTO_TEST_CASE(orders_for_a_removed_worker_are_void_when_it_reconnects)
{
    // Orders of the ended session may arrive after the worker has reconnected in the same incarnation. Found by the
    // protocol model, seed 436.
    Agent agent;
    agent.attach();
    uint64_t session = agent.state_.session_;
    for (int64_t time = 600; time < 11'000; time += 400) {
        agent.handle(ListFailed { incarnation, false }, time);
        agent.handle(SupervisorTick {}, time + 150);
    }
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 0U);
    agent.sendHeartbeat(11'100);
    agent.sendReply(11'110, { start(1) });
    BOOST_TEST(agent.actionsOf<CallStart>().empty());
    BOOST_TEST(agent.state_.session_ != session);
    agent.sendReply(11'200, {}, 6);
    BOOST_TEST((agent.state_.fence_ == Fence(6)));
}

// Guards against tasks that wait without end for a worker that the agent has heard of and never reached: it was lost for good
// just after the agent had been restarted.
BOOST_AUTO_TEST_CASE(worker_that_was_never_reached_is_removed_after_the_longest_lease)
{
    Agent agent;
    agent.sendHeartbeat(0);
    agent.sendReply(10);
    Instant longest = at(0) + SupervisorTuning().longestLease_;
    for (int64_t time = 100; time < 11'000; time += 400) {
        agent.handle(ListFailed { incarnation, false }, time);
        agent.handle(SupervisorTick {}, time + 150);
        if (at(time + 150) <= longest)
            BOOST_TEST(agent.state_.workers_.count(incarnation) == 1U);
    }
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 0U);
    BOOST_TEST(agent.state_.endedWorkers_.count(incarnation) == 1U);
}

// Guards against the removal of a worker that was not asked for its lists, as there was no leader.
BOOST_AUTO_TEST_CASE(worker_that_was_never_asked_for_its_lists_is_kept)
{
    Agent agent;
    agent.sendHeartbeat(0);
    for (int64_t time = 100; time < 30'000; time += 400)
        agent.handle(SupervisorTick {}, time);
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 1U);
}

// Guards against an agent whose session, with the orders to its other workers, ends again and again for a worker that sends
// heartbeats and answers no list request.
BOOST_AUTO_TEST_CASE(worker_that_sends_heartbeats_and_cannot_be_reached_ends_the_session_once_at_most)
{
    Agent agent;
    agent.sendReply(10);
    uint64_t session = agent.state_.session_;
    for (int64_t time = 100; time < 40'000; time += 400) {
        agent.sendHeartbeat(time);
        agent.handle(ListFailed { incarnation, false }, time + 50);
        agent.handle(SupervisorTick {}, time + 150);
    }
    BOOST_TEST(agent.state_.session_ <= session + 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::supervision
