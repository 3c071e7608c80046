#include "LeaderWorld.h"

namespace persimmondoor::workflow {

static const JobId job = JobId::of("00000000000000aa");

static RunKey runOf(uint32_t index, uint32_t run)
{
    return { { job, 0, 0, index }, run };
}

// A leader that has ordered the worker to start the first runs of two tasks; no order has completed.
class OrderedWorld : public LeaderWorld {
public:
    OrderedWorld()
    {
        report("w-1", 5);
        submit({ stepOfTasks(2) }, 10);
        commit(20);
        BOOST_REQUIRE(starts("w-1", 21).size() == 2U);
    }

    const TaskProgress& progress(uint32_t index) const { return state_.jobs_.at(job).tasks_[index].progress_; }
    bool isRun(uint32_t index, uint32_t run) const { return progress(index).phase_ == TaskPhase::Assigned && progress(index).run_ == run; }
};

BOOST_AUTO_TEST_SUITE(unstarted_runs)

// Guards against a task that waits although its start was refused, as an earlier order of the agent is still open.
BOOST_AUTO_TEST_CASE(refused_run_is_lost_while_an_earlier_order_is_open)
{
    OrderedWorld world;
    world.refused_ = { { runOf(1, 1), StartRefusal::Unavailable } };
    world.report("w-1", 30);
    BOOST_TEST((world.progress(1).phase_ == TaskPhase::Waiting));
    BOOST_TEST((world.logged("run.lost") == std::vector<std::string> { "refused by the worker; worker w-1" }));
    BOOST_TEST(world.isRun(0, 1));
}

// Guards against a run that is started a second time beside one that its worker runs.
BOOST_AUTO_TEST_CASE(refused_run_that_is_active_is_not_lost)
{
    OrderedWorld world;
    world.refused_ = { { runOf(1, 1), StartRefusal::Unavailable } };
    world.report("w-1", 30, { { runOf(1, 1), "", 10, 0, 100 } });
    BOOST_TEST(world.isRun(1, 1));
}

// Guards against a run that is lost because an earlier run of its task was refused.
BOOST_AUTO_TEST_CASE(refusal_of_an_earlier_run_does_not_concern_the_current_one)
{
    OrderedWorld world;
    world.refused_ = { { runOf(1, 1), StartRefusal::StaleRun } };
    world.report("w-1", 30);
    world.commit(31);
    BOOST_REQUIRE(world.starts("w-1", 32).size() == 1U);
    world.report("w-1", 40);
    BOOST_TEST(world.isRun(1, 2));
}

// Guards against a refusal that is applied to a run on another incarnation of the worker.
BOOST_AUTO_TEST_CASE(refusal_by_another_worker_does_not_concern_the_run)
{
    OrderedWorld world;
    world.refused_ = { { runOf(1, 1), StartRefusal::Unavailable } };
    world.report("w-2", 30);
    BOOST_TEST(world.isRun(1, 1));
}

// Guards against a run that is started a second time because a delayed report is taken for a newer one.
BOOST_AUTO_TEST_CASE(refusal_in_a_report_that_was_overtaken_is_dropped)
{
    OrderedWorld world;
    world.report("w-1", 30);
    WorkerReport worker { { "w-1", 1000, "" }, { "packs", "north", { "a", "r1" }, *Resources::create(4000, 1'000'000, 0) }, false, 0, true, true, 0, {}, {}, { { runOf(1, 1), StartRefusal::Unavailable } } };
    world.handle(ReportArrived { { "w-1", "north", 7, world.state_.epoch_, world.fenceOf("w-1"), Sequence(1), OrderNumber(), { worker }, {}, true } }, 40);
    BOOST_TEST(world.isRun(1, 1));
}

// Guards against a run that is lost before its order was released to the agent.
BOOST_AUTO_TEST_CASE(run_whose_start_is_not_released_is_not_lost)
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ stepOfTasks(1) }, 10);
    world.refused_ = { { runOf(0, 1), StartRefusal::StaleRun } };
    world.report("w-1", 15);
    BOOST_TEST((world.state_.jobs_.at(job).tasks_[0].progress_.phase_ == TaskPhase::Assigned));
    BOOST_TEST(world.logged("run.lost").empty());
}

// Guards against a start that is left unanswered and is sent to the same worker again at once.
BOOST_AUTO_TEST_CASE(run_that_never_appeared_is_not_repeated_on_its_worker_at_once)
{
    OrderedWorld world;
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", 30);
    world.commit(31);
    BOOST_TEST((world.logged("run.lost") == std::vector<std::string>(2, "not on the worker; worker w-1")));
    BOOST_TEST(world.starts("w-1", 32).empty());
    // The worker is used again after the backoff, as there is no other.
    world.report("w-1", 400);
    world.commit(401);
    BOOST_TEST(world.starts("w-1", 402).size() == 2U);
}

// Guards against a task that goes back to the worker on which its run never appeared, although another one has room.
BOOST_AUTO_TEST_CASE(task_avoids_the_worker_on_which_its_run_never_appeared)
{
    OrderedWorld world;
    // A confirmed stop is reported as active until a list shows that the run is not there.
    world.report("w-1", 30, { { runOf(0, 1), "", 0, 0, 100 }, { runOf(1, 1), "", 0, 0, 100 } });
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", 40);
    world.lastCompletedOrder_ = OrderNumber();
    // Of workers with the same score the first one is chosen.
    world.report("w-2", 300);
    world.report("w-1", 310);
    world.commit(311);
    BOOST_TEST(world.starts("w-1", 312).empty());
    BOOST_TEST(world.starts("w-2", 313).size() == 2U);
}

// Guards against a worker that is held back for starts that a new session of its agent has made void.
BOOST_AUTO_TEST_CASE(start_voided_by_a_new_session_does_not_hold_the_worker_back)
{
    OrderedWorld world;
    world.reportBy("w-1", 8, "w-1", 30);
    world.commit(31);
    BOOST_TEST(world.starts("w-1", 32).size() == 2U);
}

// Guards against a worker that is held back for a start that the leader's own stop has made void.
BOOST_AUTO_TEST_CASE(start_voided_by_a_stop_of_the_leader_does_not_hold_the_worker_back)
{
    OrderedWorld world;
    world.call(Cancel {}, 25);
    world.commit(26);
    world.lastCompletedOrder_ = OrderNumber(4);
    world.report("w-1", 30);
    world.submit({ stepOfTasks(1) }, 31, "00000000000000bb");
    world.commit(32);
    BOOST_TEST(world.starts("w-1", 33).size() == 1U);
}

// Guards against a task that starts after its job was cancelled, as the agent never received the reply with the start and is
// sent it again.
BOOST_AUTO_TEST_CASE(start_that_may_not_have_arrived_is_not_repeated_after_a_cancel)
{
    OrderedWorld world;
    world.call(Cancel {}, 25);
    world.commit(26);
    world.reply("w-1", 30);
    std::vector<Order> repeated = world.reply("w-1", 1000);
    BOOST_TEST(repeated.size() == 4U);
    for (const Order& order : repeated)
        BOOST_TEST(std::holds_alternative<StopRun>(order));
}

// Guards against a worker that is held back after it answers again, for starts that it left unanswered until then.
BOOST_AUTO_TEST_CASE(start_left_unanswered_while_a_worker_was_unreachable_does_not_hold_it_back_once_it_answers)
{
    OrderedWorld world;
    world.reachable_ = false;
    world.report("w-1", 30);
    world.reachable_ = true;
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", 40);
    world.commit(41);
    BOOST_TEST(world.starts("w-1", 42).size() == 2U);
}

// Guards against a run that is lost because the order for another run is completed before its own.
BOOST_AUTO_TEST_CASE(run_is_not_lost_as_a_later_order_for_another_run_is_completed)
{
    OrderedWorld world;
    world.completedOrders_ = { OrderNumber(2) };
    world.report("w-1", 30);
    BOOST_TEST(world.isRun(0, 1));
    BOOST_TEST((world.progress(1).phase_ == TaskPhase::Waiting));
}

// Guards against a run that is lost while its start is open, as the stop that followed is completed.
BOOST_AUTO_TEST_CASE(run_is_not_lost_as_its_stop_is_completed_before_its_start)
{
    OrderedWorld world;
    world.call(Cancel {}, 25);
    world.commit(26);
    world.completedOrders_ = { OrderNumber(3), OrderNumber(4) };
    world.report("w-1", 30);
    BOOST_TEST(world.isRun(0, 1));
    world.completedOrders_ = { OrderNumber(1), OrderNumber(4) };
    world.report("w-1", 40);
    BOOST_TEST(!world.isRun(0, 1));
    BOOST_TEST(world.isRun(1, 1));
}

// Guards against orders that are sent again although they are completed, for as long as an earlier one is open.
BOOST_AUTO_TEST_CASE(completed_order_is_not_sent_again_while_an_earlier_one_is_open)
{
    OrderedWorld world;
    world.completedOrders_ = { OrderNumber(2) };
    world.report("w-1", 30, { { runOf(1, 1), "", 10, 0, 100 } });
    std::vector<Order> repeated = world.reply("w-1", 1000);
    BOOST_REQUIRE(repeated.size() == 1U);
    BOOST_TEST((numberOf(repeated.front()) == OrderNumber(1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
