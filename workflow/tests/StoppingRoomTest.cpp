#include "FillingWorld.h"

#include <algorithm>

namespace persimmondoor::workflow {

namespace {

    // A gang of two on two workers. The first member is done, so that the second one, on `worker_`, is ordered to stop.
    class StoppingWorld : public LeaderWorld {
    public:
        StoppingWorld()
        {
            Step gang = stepOfTasks(2);
            gang.gang_ = true;
            gang.demand_ = *Resources::create(3000, 1000, 0);
            report("w-1", 10);
            report("w-2", 10);
            submit({ gang }, 20, searchJob);
            commit(30);
            std::vector<RunKey> first = starts("w-1", 31);
            std::vector<RunKey> second = starts("w-2", 31);
            BOOST_REQUIRE((first.size() == 1U && second.size() == 1U));
            run_ = { second.front(), "", 10, 0, 100 };
            lastCompletedOrder_ = OrderNumber(1);
            report("w-2", 100, { run_ });
            report("w-1", 110, {}, { { 1, first.front(), RunEnd::Done, "" } });
            commit(120);
            BOOST_REQUIRE(stopsOrdered(121) == 1U);
            BOOST_REQUIRE(reservedCores() == 3000);
        }

        size_t stopsOrdered(int64_t time)
        {
            std::vector<Order> orders = reply(worker_, time);
            return static_cast<size_t>(std::count_if(orders.begin(), orders.end(), [](const Order& order) { return std::holds_alternative<StopRun>(order); }));
        }

        // Cores that are reserved on the newest incarnation of the worker; -1 if it is not known.
        int64_t reservedCores() const
        {
            int64_t cores = -1;
            for (const auto& [incarnation, worker] : state_.workers_) {
                if (incarnation.name_ == worker_)
                    cores = worker.reserved_.milliCores();
            }
            return cores;
        }

        const std::string worker_ { "w-2" };
        ActiveRun run_;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(stopping_room)

// Guards against room that stays taken after a stop whose run ended between two lists.
BOOST_AUTO_TEST_CASE(room_is_free_once_the_run_is_gone_and_its_stop_is_completed)
{
    StoppingWorld world;
    world.report("w-2", 200);
    BOOST_TEST(world.reservedCores() == 3000);
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-2", 300);
    BOOST_TEST(world.reservedCores() == 0);
}

// Guards against room that stays taken after a run that outlived its stop for a while.
BOOST_AUTO_TEST_CASE(room_is_free_once_a_run_that_outlived_its_stop_is_gone)
{
    StoppingWorld world;
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-2", 200, { world.run_ });
    world.report("w-2", 2000, { world.run_ });
    BOOST_TEST(world.reservedCores() == 3000);
    // The run was ordered to stop again.
    BOOST_TEST(world.stopsOrdered(2001) > 0U);
    world.report("w-2", 2100, {}, { { 1, world.run_.run_, RunEnd::Stopped, "" } });
    BOOST_TEST(world.reservedCores() == 0);
}

// Guards against room that waits for an order of a session that has ended.
BOOST_AUTO_TEST_CASE(room_is_free_if_the_agent_restarts_before_the_stop_is_confirmed)
{
    StoppingWorld world;
    world.lastCompletedOrder_ = OrderNumber();
    world.reportBy("w-2", 8, "w-2", 200);
    BOOST_TEST(world.reservedCores() == 0);
}

// Guards against room that waits for an order of a session that has ended, while the run is still listed.
BOOST_AUTO_TEST_CASE(room_is_free_once_the_run_is_gone_after_the_agent_has_restarted)
{
    StoppingWorld world;
    world.lastCompletedOrder_ = OrderNumber();
    world.reportBy("w-2", 8, "w-2", 200, { world.run_ });
    BOOST_TEST(world.reservedCores() == 3000);
    world.reportBy("w-2", 8, "w-2", 1300);
    BOOST_TEST(world.reservedCores() == 0);
}

// Guards against room of a worker's former incarnation that is taken on its successor.
BOOST_AUTO_TEST_CASE(later_incarnation_takes_over_no_room_of_stopping_runs)
{
    StoppingWorld world;
    world.bornMs_ = 2000;
    world.lastCompletedOrder_ = OrderNumber();
    world.report("w-2", 200);
    BOOST_TEST(world.reservedCores() == 0);
    BOOST_TEST(world.logged("worker.gone").size() == 1U);
}

// Guards against room that stays taken on a worker that was reported as ended and is back in the same incarnation.
BOOST_AUTO_TEST_CASE(worker_that_has_ended_and_is_back_has_its_room)
{
    StoppingWorld world;
    world.endedWorkers_ = { { "w-2", 1000, "" } };
    world.lastCompletedOrder_ = OrderNumber(2);
    world.handle(ReportArrived { { "w-2", world.domain_, 7, world.state_.epoch_, world.fenceOf("w-2"), Sequence(500), OrderNumber(2), {}, world.endedWorkers_, true, {} } }, 200);
    BOOST_TEST(world.reservedCores() == -1);
    world.endedWorkers_.clear();
    world.lastCompletedOrder_ = OrderNumber();
    world.reportBy("w-2", 8, "w-2", 400);
    BOOST_TEST(world.reservedCores() == 0);
}

// Guards against room that stays taken on a worker that was silent beyond its leases and is back in the same incarnation.
BOOST_AUTO_TEST_CASE(worker_that_was_silent_and_is_back_has_its_room)
{
    StoppingWorld world;
    for (int64_t time = 200; time <= 13'000; time += 200)
        world.handle(Tick { 1'000'000 + time }, time);
    BOOST_REQUIRE(world.reservedCores() == -1);
    world.lastCompletedOrder_ = OrderNumber();
    world.report("w-2", 13'100, { world.run_ });
    BOOST_TEST(world.reservedCores() == 3000);
    world.report("w-2", 14'200);
    BOOST_TEST(world.reservedCores() == 0);
}

// Guards against room that stays taken for a run whose job the leader has forgotten meanwhile.
BOOST_AUTO_TEST_CASE(room_is_free_once_the_run_of_a_removed_job_is_gone)
{
    StoppingWorld world;
    int64_t time = 200;
    for (; time <= 130'000; time += 1000) {
        world.state_.lastDurableWriteAt_ = at(time);
        world.report("w-2", time, { world.run_ });
        world.handle(Tick { 1'000'000 + time }, time + 1);
        world.reply("w-2", time + 2);
    }
    BOOST_REQUIRE(world.state_.jobs_.empty());
    BOOST_TEST(world.reservedCores() == 3000);
    world.lastCompletedOrder_ = OrderNumber(1000);
    world.report("w-2", time);
    BOOST_TEST(world.reservedCores() == 0);
}

// Guards against room that a new leader takes for a finished task's run and does not give back.
BOOST_AUTO_TEST_CASE(room_is_free_under_a_new_leader_once_the_run_is_gone)
{
    StoppingWorld first;
    LeaderWorld second(first.rows(), 2);
    second.report("w-2", 200, { first.run_ });
    const WorkerIncarnation worker { "w-2", 1000, "" };
    BOOST_TEST(second.state_.workers_.at(worker).reserved_.milliCores() == 3000);
    second.report("w-2", 1300);
    BOOST_TEST(second.state_.workers_.at(worker).reserved_.milliCores() == 0);
}

// Guards against room that stays taken after its run has ended, as an order to another worker of the agent is still open.
BOOST_AUTO_TEST_CASE(room_is_free_once_the_end_is_listed_while_an_earlier_order_of_the_agent_is_open)
{
    StoppingWorld world;
    world.report("w-2", 200, {}, { { 1, world.run_.run_, RunEnd::Stopped, "" } });
    BOOST_TEST(world.reservedCores() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
