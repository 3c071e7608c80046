#include "AgentWorld.h"

namespace persimmondoor::supervision {

BOOST_AUTO_TEST_SUITE(supervisor)

BOOST_AUTO_TEST_CASE(order_is_executed_once_and_completed)
{
    Agent agent;
    agent.attach();
    agent.sendReply(110, { start(1) });
    BOOST_REQUIRE(agent.actionsOf<CallStart>().size() == 1U);
    BOOST_TEST(agent.actionsOf<CallStart>()[0].leaseEndMs_ > 110);
    agent.sendReply(120, { start(1) });
    BOOST_TEST(agent.actionsOf<CallStart>().empty());
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 130);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(1)));
    BOOST_REQUIRE(agent.actionsOf<SendReport>().size() == 1U);
    BOOST_TEST(agent.actionsOf<SendReport>()[0].report_.workers_[0].active_.size() == 1U);
}

// Guards against a start that is stopped as never received, although its agent has received it and will report it.
BOOST_AUTO_TEST_CASE(start_that_was_received_is_not_replaced_by_a_later_order_of_its_number)
{
    Agent agent;
    agent.attach();
    agent.sendReply(110, { start(1) });
    agent.sendReply(120, { workflow::StopRun { OrderNumber(1), incarnation, firstRun } });
    BOOST_TEST(agent.actionsOf<CallStop>().empty());
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 130);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(1)));
}

BOOST_AUTO_TEST_CASE(orders_received_out_of_order_are_all_executed)
{
    Agent agent;
    agent.attach();
    RunKey secondRun { { JobId::of("00000000000000aa"), 0, 0, 1 }, 1 };
    agent.sendReply(110, { start(2, secondRun) });
    agent.sendReply(120, { start(1) });
    BOOST_TEST(agent.actionsOf<CallStart>().size() == 1U);
    agent.handle(StartCompleted { Fence(5), start(2, secondRun), workflow::Started {} }, 130);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(0)));
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 140);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(2)));
}

// Guards against completed orders that the leader does not learn of while an earlier order is open.
BOOST_AUTO_TEST_CASE(orders_completed_beyond_an_open_one_are_reported_within_the_bound)
{
    Agent agent;
    agent.attach();
    std::vector<workflow::Order> orders;
    for (uint32_t index = 0; index <= workflow::maximumCompletedOrders + 10; ++index)
        orders.push_back(start(index + 1, { { JobId::of("00000000000000aa"), 0, 0, index }, 1 }));
    agent.sendReply(110, orders);
    for (const workflow::Order& order : orders) {
        if (workflow::numberOf(order) > OrderNumber(1))
            agent.handle(StartCompleted { Fence(5), std::get<workflow::StartRun>(order), workflow::Started {} }, 120);
    }
    agent.handle(ReportFailed {}, 130);
    agent.handle(ReportFailed {}, 130);
    agent.handle(SupervisorTick {}, 300);
    BOOST_REQUIRE(agent.actionsOf<SendReport>().size() == 1U);
    const workflow::AgentReport report = agent.actionsOf<SendReport>()[0].report_;
    BOOST_TEST((report.lastCompletedOrder_ == OrderNumber(0)));
    BOOST_REQUIRE(report.completedOrders_.size() == workflow::maximumCompletedOrders);
    BOOST_TEST((*report.completedOrders_.begin() == OrderNumber(2)));
    BOOST_TEST((*report.completedOrders_.rbegin() == OrderNumber(workflow::maximumCompletedOrders + 1)));
    agent.handle(StartCompleted { Fence(5), std::get<workflow::StartRun>(orders.front()), workflow::Started {} }, 310);
    BOOST_REQUIRE(agent.actionsOf<SendReport>().size() == 1U);
    BOOST_TEST(agent.actionsOf<SendReport>()[0].report_.completedOrders_.empty());
}

BOOST_AUTO_TEST_CASE(unanswered_start_is_stopped_before_its_order_completes)
{
    Agent agent;
    agent.attach();
    agent.sendReply(110, { start(1) });
    agent.handle(StartCompleted { Fence(5), start(1), workflow::NoAnswer { "timeout" } }, 500);
    BOOST_TEST(agent.actionsOf<CallStop>().size() == 1U);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(0)));
    agent.handle(StopCompleted { Fence(5), OrderNumber(1), false }, 900);
    agent.handle(SupervisorTick {}, 1100);
    BOOST_TEST(agent.actionsOf<CallStop>().size() == 1U);
    agent.handle(StopCompleted { Fence(5), OrderNumber(1), true }, 1200);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(1)));
}

BOOST_AUTO_TEST_CASE(draining_worker_gets_no_start)
{
    Agent agent;
    agent.attach();
    agent.sendHeartbeat(105, true);
    agent.sendReply(110, { start(1) });
    BOOST_TEST(agent.actionsOf<CallStart>().empty());
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(1)));
}

// Guards against a leader that goes on placing runs on a worker that its agent cannot reach, or none on one that answers
// again.
BOOST_AUTO_TEST_CASE(report_says_at_once_whether_the_worker_can_be_reached)
{
    Agent agent;
    agent.attach();
    agent.handle(ListFailed { incarnation, false }, 600);
    BOOST_REQUIRE(agent.actionsOf<SendReport>().size() == 1U);
    BOOST_TEST(!agent.actionsOf<SendReport>()[0].report_.workers_[0].isReachable_);
    BOOST_TEST(agent.actionsOf<SendReport>()[0].report_.workers_[0].isListed_);
    agent.sendReply(650);
    // Further failures change nothing.
    agent.handle(ListFailed { incarnation, false }, 800);
    BOOST_TEST(agent.actionsOf<SendReport>().empty());
    agent.deliverList(900);
    BOOST_REQUIRE(agent.actionsOf<SendReport>().size() == 1U);
    BOOST_TEST(agent.actionsOf<SendReport>()[0].report_.workers_[0].isReachable_);
}

// Guards against a refusal that names an expired lease although the worker cannot be reached.
BOOST_AUTO_TEST_CASE(start_for_an_unreachable_worker_is_refused_as_unavailable)
{
    Agent agent;
    agent.attach();
    agent.handle(ListFailed { incarnation, false }, 600);
    agent.sendReply(610, { start(1) });
    BOOST_TEST(agent.actionsOf<CallStart>().empty());
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(1)));
    BOOST_REQUIRE(agent.actionsOf<SendReport>().size() == 1U);
    std::vector<workflow::RefusedStart> refused { { firstRun, workflow::StartRefusal::Unavailable } };
    BOOST_TEST((agent.actionsOf<SendReport>()[0].report_.workers_[0].refused_ == refused));
}

// Guards against a refusal that does not tell that the agent itself has no lease to grant.
BOOST_AUTO_TEST_CASE(start_without_a_lease_to_grant_is_refused_as_expired)
{
    Agent agent;
    agent.attach();
    workflow::ReportReply reply { LeaderEpoch(1), Fence(5), Sequence(), Duration(0), { start(1) }, {}, {}, {} };
    agent.handle(ReportAnswered { reply }, 20'000);
    BOOST_TEST(agent.actionsOf<CallStart>().empty());
    BOOST_REQUIRE(agent.actionsOf<SendReport>().size() == 1U);
    std::vector<workflow::RefusedStart> refused { { firstRun, workflow::StartRefusal::OrderExpired } };
    BOOST_TEST((agent.actionsOf<SendReport>()[0].report_.workers_[0].refused_ == refused));
}

// Guards against a refusal that the leader never learns, as the report that carried it was lost or overtaken.
BOOST_AUTO_TEST_CASE(refusal_is_reported_until_a_report_with_it_is_answered)
{
    Agent agent;
    agent.attach();
    agent.handle(ListFailed { incarnation, false }, 600);
    agent.sendReply(610, { start(1) });
    std::vector<workflow::RefusedStart> refused { { firstRun, workflow::StartRefusal::Unavailable } };
    BOOST_REQUIRE((agent.actionsOf<SendReport>().at(0).report_.workers_[0].refused_ == refused));
    agent.handle(ReportFailed {}, 700);
    agent.handle(SupervisorTick {}, 1500);
    BOOST_REQUIRE(agent.actionsOf<SendReport>().size() == 1U);
    BOOST_TEST((agent.actionsOf<SendReport>()[0].report_.workers_[0].refused_ == refused));
    agent.sendReply(1600);
    agent.sendReply(1601);
    BOOST_REQUIRE(agent.actionsOf<SendReport>().size() == 1U);
    BOOST_TEST(agent.actionsOf<SendReport>()[0].report_.workers_[0].refused_.empty());
}

BOOST_AUTO_TEST_CASE(unreachable_worker_is_removed_after_its_leases_have_expired)
{
    Agent agent;
    agent.attach();
    Instant leaseEnd = agent.state_.workers_.at(incarnation).leaseEnd_;
    for (int64_t time = 600; time < 9500; time += 400) {
        agent.handle(ListFailed { incarnation, false }, time);
        agent.sendReply(time + 50);
        agent.handle(SupervisorTick {}, time + 150);
        BOOST_TEST(agent.state_.workers_.count(incarnation) == 1U);
    }
    // Unanswered calls must not extend the lease end.
    BOOST_TEST((agent.state_.workers_.at(incarnation).leaseEnd_ == leaseEnd));
    for (int64_t time = 9500; time < 11'500; time += 400) {
        agent.handle(ListFailed { incarnation, false }, time);
        agent.sendReply(time + 50);
        agent.handle(SupervisorTick {}, time + 150);
    }
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 0U);
    BOOST_TEST(agent.state_.endedWorkers_.count(incarnation) == 1U);
}

BOOST_AUTO_TEST_CASE(later_incarnation_replaces_an_earlier_one)
{
    Agent agent;
    agent.attach();
    WorkerIncarnation later { "w-1", 2000 };
    agent.replaceWorker(200, later);
    BOOST_TEST(agent.state_.endedWorkers_.count(incarnation) == 1U);
    BOOST_TEST(agent.state_.workers_.count(later) == 1U);
    // A late heartbeat of the earlier incarnation changes nothing.
    agent.sendHeartbeat(210, false, incarnation);
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 0U);
}

// Guards against tasks that are started twice: the notice that an incarnation leaves was delayed by a partition, and arrives
// while a later incarnation runs tasks under the same name.
BOOST_AUTO_TEST_CASE(late_leave_notice_does_not_end_a_later_incarnation)
{
    Agent agent;
    agent.attach();
    agent.sendReply(110, { start(1) });
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 120);
    agent.handle(workflow::Leaving { incarnation.name_ }, 200);
    for (int64_t time = 210; time < 20'000; time += 500) {
        BOOST_TEST(agent.state_.workers_.count(incarnation) == 1U);
        BOOST_TEST(agent.state_.endedWorkers_.empty());
        agent.sendReply(time);
        agent.deliverList(time + 10, { { firstRun, "", 0, 0, 100 } });
        // Without an answer nothing is known of the worker, whose runs have a lease.
        agent.handle(ListFailed { incarnation, false, false, "timeout" }, time + 20);
    }
    // A refusal long after the notice may be that of a worker that is overloaded or restarts its server.
    agent.handle(ListFailed { incarnation, false, true, "connection refused" }, 20'000);
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 1U);
}

// Guards against tasks of a worker that has left which wait for the end of its leases.
BOOST_AUTO_TEST_CASE(worker_that_leaves_has_ended_once_its_host_refuses_connections)
{
    Agent agent;
    agent.attach();
    agent.handle(workflow::Leaving { incarnation.name_ }, 200);
    // It answers requests until its process ends.
    agent.deliverList(210);
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 1U);
    BOOST_REQUIRE(agent.actionsOf<CallList>().size() == 1U);
    agent.handle(ListFailed { incarnation, false, false, "connection closed" }, 220);
    agent.handle(SupervisorTick {}, 330);
    BOOST_REQUIRE(agent.actionsOf<CallList>().size() == 1U);
    agent.handle(ListFailed { incarnation, false, true, "connection refused" }, 340);
    BOOST_TEST(agent.state_.workers_.count(incarnation) == 0U);
    BOOST_TEST(agent.state_.endedWorkers_.count(incarnation) == 1U);
}

// Lets the agent start a run at 110 ms and deliver a list at `listAt`, after which the worker is replaced at 3000 ms.
// \return the runs that the agent's reports name as just started when the worker crashed.
static std::vector<RunKey> crashedRunsAfterList(int64_t listAt, bool isDraining)
{
    Agent agent;
    agent.attach();
    agent.sendReply(110, { start(1) });
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 115);
    agent.deliverList(listAt, { { firstRun, "", 0, 0, 100 } });
    if (isDraining)
        agent.sendHeartbeat(listAt + 1, true);
    agent.handle(ListFailed { incarnation, false }, 900);
    agent.sendReply(950);
    agent.replaceWorker(3000, { "w-1", 3900 });
    agent.sendReply(3010);
    return agent.actionsOf<SendReport>().at(0).report_.crashedRuns_;
}

// Guards against a leader that cannot tell which run crashed a worker.
BOOST_AUTO_TEST_CASE(runs_that_had_just_been_started_are_reported_after_a_crash)
{
    std::vector<RunKey> suspects { firstRun };
    BOOST_TEST((crashedRunsAfterList(150, false) == suspects));
}

// Guards against runs that are blamed for a crash although their worker had outlived their start.
BOOST_AUTO_TEST_CASE(runs_that_the_worker_has_outlived_are_not_reported_after_a_crash)
{
    BOOST_TEST(crashedRunsAfterList(250, false).empty());
}

// Guards against a task that is blamed for the crashes of workers which its start never reached.
BOOST_AUTO_TEST_CASE(run_without_a_confirmed_start_is_reported_as_such_after_a_crash)
{
    enum class Confirmation { None,
        ByAnswer,
        ByList };
    for (Confirmation confirmation : { Confirmation::None, Confirmation::ByAnswer, Confirmation::ByList }) {
        Agent agent;
        agent.attach();
        agent.sendReply(110, { start(1) });
        if (confirmation == Confirmation::ByList)
            agent.deliverList(112, { { firstRun, "", 0, 0, 100 } });
        workflow::StartOutcome outcome = workflow::NoAnswer { "timeout" };
        if (confirmation == Confirmation::ByAnswer)
            outcome = workflow::Started {};
        agent.handle(StartCompleted { Fence(5), start(1), outcome }, 510);
        agent.handle(ListFailed { incarnation, false }, 900);
        agent.sendReply(950);
        agent.replaceWorker(3000, { "w-1", 3900 });
        for (int64_t time = 3010; time < 3050 && agent.actionsOf<SendReport>().empty(); time += 10)
            agent.sendReply(time);
        BOOST_REQUIRE(agent.actionsOf<SendReport>().size() == 1U);
        const workflow::AgentReport report = agent.actionsOf<SendReport>()[0].report_;
        BOOST_TEST((report.crashedRuns_ == std::vector<RunKey> { firstRun }));
        BOOST_TEST(report.unconfirmedStarts_.count(firstRun) == (confirmation == Confirmation::None ? 1U : 0U));
    }
}

// Guards against a planned shutdown that counts as a crash.
BOOST_AUTO_TEST_CASE(no_runs_are_reported_after_a_drained_worker_was_replaced)
{
    BOOST_TEST(crashedRunsAfterList(150, true).empty());
}

// Guards against runs that are blamed as their worker left or was lost for good.
BOOST_AUTO_TEST_CASE(no_runs_are_reported_as_crashed_without_a_successor_of_their_worker)
{
    for (bool leaves : { false, true }) {
        Agent agent;
        agent.attach();
        agent.sendReply(110, { start(1) });
        agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 115);
        if (leaves)
            agent.leave(120);
        for (int64_t time = 200; time < 12'000 && !leaves; time += 400) {
            agent.handle(ListFailed { incarnation, false }, time);
            agent.handle(SupervisorTick {}, time + 150);
        }
        BOOST_TEST(agent.state_.workers_.empty());
        BOOST_TEST(agent.state_.crashedRuns_.empty());
    }
}

// Guards against a run that is blamed for a crash although it was never started.
BOOST_AUTO_TEST_CASE(refused_run_is_not_reported_after_a_crash)
{
    Agent agent;
    agent.attach();
    agent.sendReply(110, { start(1) });
    agent.handle(StartCompleted { Fence(5), start(1), workflow::StartRefusal::NoRoom }, 115);
    agent.replaceWorker(3000, { "w-1", 3900 });
    BOOST_TEST(agent.state_.crashedRuns_.empty());
}

BOOST_AUTO_TEST_CASE(pending_stops_of_a_removed_worker_complete)
{
    Agent agent;
    agent.attach();
    agent.sendReply(110, { start(1), workflow::StopRun { OrderNumber(2), incarnation, firstRun } });
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 120);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(1)));
    agent.leave(200);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(2)));
    BOOST_TEST(agent.state_.pendingStops_.empty());
}

BOOST_AUTO_TEST_CASE(new_fence_voids_orders_and_requests_new_lists)
{
    Agent agent;
    agent.attach();
    agent.sendReply(110, { start(1) });
    agent.sendReply(120, {}, 6);
    BOOST_TEST(!agent.state_.workers_.at(incarnation).isListed_);
    agent.handle(StartCompleted { Fence(5), start(1), workflow::Started {} }, 130);
    BOOST_TEST((agent.state_.lastCompletedOrder_ == OrderNumber(0)));
    BOOST_TEST(agent.state_.workers_.at(incarnation).confirmedRuns_.empty());
}

BOOST_AUTO_TEST_CASE(reply_with_an_earlier_fence_is_ignored)
{
    Agent agent;
    agent.attach();
    agent.sendReply(110, { start(1) }, 4);
    BOOST_TEST(agent.actionsOf<CallStart>().empty());
}

// Guards against a leader that takes runs for lost whose ends their worker has not listed yet.
BOOST_AUTO_TEST_CASE(report_says_that_a_list_of_ends_may_be_cut)
{
    Agent agent;
    agent.attach();
    agent.sendReply(105);
    for (bool hasAllEnds : { false, true }) {
        workflow::WorkerLists lists { 110, incarnation.bornMs_, {}, { { 1, firstRun, workflow::RunEnd::Done, "" } }, hasAllEnds };
        agent.handle(ListArrived { incarnation, Fence(5), at(100), lists }, 110);
        auto reports = agent.actionsOf<SendReport>();
        BOOST_REQUIRE(reports.size() == 1U);
        BOOST_TEST(reports[0].report_.workers_.at(0).hasAllEnds_ == hasAllEnds);
        agent.sendReply(120);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::supervision
