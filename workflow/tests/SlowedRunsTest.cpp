#include "FillingWorld.h"

#include "decisions/PlacementRound.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

static const std::string neighbourJob = "00000000000000dd";

namespace {

    // Three tasks of the image "heavy" are paused beside "search", as it turned out that they disturb it. The worker of
    // "ranking", where they do no harm, is filled by other tasks.
    class PausedWorld : public FillingWorld {
    public:
        // \param neighbours the tasks on the worker of "ranking", which has room for three.
        explicit PausedWorld(uint32_t neighbours)
        {
            state_.interference_.sensitivities_["search"].factors_ = { { "heavy", 0.02 }, { "other", 3 } };
            state_.interference_.sensitivities_["ranking"].factors_ = { { "heavy", 3 }, { "other", 0.02 } };
            submit({ fillingStep(3, "heavy") }, 200, fillingJob);
            submit({ fillingStep(neighbours, "other") }, 201, neighbourJob);
            commit(210);
            BOOST_REQUIRE(starts(search_, 211).size() == 3U);
            BOOST_REQUIRE(starts(ranking_, 211).size() == neighbours);
            lastCompletedOrder_ = OrderNumber(4);
            state_.interference_.sensitivities_["search"].factors_["heavy"] = 0.9;
            state_.interference_.sensitivities_["ranking"].factors_["heavy"] = 0.02;
            for (uint32_t index = 0; index < 3; ++index)
                paused_.push_back({ runOf(fillingJob, index), "ck", 10, 0, 0 });
            for (uint32_t index = 0; index < neighbours; ++index)
                neighbours_.push_back({ runOf(neighbourJob, index), "ck", 10, 1000, 100 });
            for (int64_t time = 700; time <= 1700; time += 500)
                reportReadings(time, paused_, neighbours_);
        }

        // \return how many runs the next reply orders the worker of "search" to stop.
        size_t checkAndCountStops(int64_t milliseconds)
        {
            handle(Tick { 1'000'000 + milliseconds }, milliseconds);
            size_t stops = 0;
            for (const Order& order : reply(search_, milliseconds + 1))
                stops += std::holds_alternative<StopRun>(order) ? 1 : 0;
            return stops;
        }

        std::vector<ActiveRun> paused_;
        std::vector<ActiveRun> neighbours_;
    };

} // namespace

BOOST_AUTO_TEST_SUITE(slowed_runs)

BOOST_AUTO_TEST_CASE(as_many_slowed_tasks_are_moved_as_there_are_places)
{
    PausedWorld world(1);
    BOOST_TEST(world.checkAndCountStops(1910) == 2U);
    BOOST_TEST(world.logged("run.stop").size() == 2U);
    BOOST_TEST(world.logged("run.stop").front() == concat("slowed down, worker ", world.ranking_, " has room; worker ", world.search_));
}

// A stop takes several checks, within which the place still looks free.
BOOST_AUTO_TEST_CASE(place_of_a_task_that_is_being_stopped_is_not_counted_again)
{
    PausedWorld world(2);
    BOOST_TEST(world.checkAndCountStops(1910) == 1U);
    for (int64_t time = 2200; time <= 3100; time += 300) {
        world.reportReadings(time, world.paused_, world.neighbours_);
        world.checkAndCountStops(time + 10);
        BOOST_TEST(world.logged("run.stop").size() == 1U);
    }
}

// Guards against more stops than the step may have tasks on the worker, although there is room for all.
BOOST_AUTO_TEST_CASE(claims_count_for_the_bound_of_their_step)
{
    FillingWorld world;
    Interference& interference = world.state_.interference_;
    interference.sensitivities_["search"].factors_["heavy"] = 0.02;
    interference.sensitivities_["ranking"].factors_["heavy"] = 3;
    Step step = fillingStep(2, "heavy");
    step.maxPerWorker_ = 1;
    world.submit({ step }, 200, fillingJob);
    interference.sensitivities_["search"].factors_["heavy"] = 3;
    interference.sensitivities_["ranking"].factors_["heavy"] = 0.02;
    const Job& job = world.state_.jobs_.at(JobId::of(fillingJob));
    PlacementRound round(world.state_, at(201));
    auto first = round.chooseWorker(job, runOf(fillingJob, 0).task_, Disturbance::Avoided);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->name_ == world.ranking_);
    round.claim(*first, runOf(fillingJob, 0).task_, step.demand_);
    BOOST_TEST(!round.chooseWorker(job, runOf(fillingJob, 1).task_, Disturbance::Avoided).has_value());
}

BOOST_AUTO_TEST_CASE(slowed_tasks_stay_where_no_place_is_free)
{
    PausedWorld world(3);
    BOOST_TEST(world.checkAndCountStops(1910) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
