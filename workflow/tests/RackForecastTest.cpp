// When room on a rack opens, with answers that are kept while nothing changes.
#include "decisions/RackForecast.h"

#include "LeaderWorld.h"

namespace persimmondoor::workflow {

// Two workers of two cores, each with a task of one core that takes 1 s on the first and 2 s on the second.
class TwoWorkers : public LeaderWorld {
public:
    TwoWorkers()
    {
        capacity_ = *Resources::create(2000, 1'000'000, 0);
        rack_ = "r1";
        report("w1", 0);
        submit({ step(1000, 1000) }, 0, "00000000000000a1");
        report("w2", 0);
        submit({ step(2000, 2000) }, 0, "00000000000000a2");
        commit(0);
        for (auto& [incarnation, worker] : state_.workers_)
            workers_.push_back(&worker);
    }

    static Step step(int64_t milliCores, int64_t estimateMs)
    {
        Step step = stepOfTasks(1);
        step.demand_ = *Resources::create(milliCores, 0, 0);
        step.estimate_ = std::chrono::milliseconds(estimateMs);
        return step;
    }

    RackForecast forecast() const { return { state_, workers_, at(0) }; }
    std::vector<const Worker*> workers_;
};

BOOST_AUTO_TEST_SUITE(rack_forecast)

// Guards against a place that is promised to a second task, as the answer for the first one was kept.
BOOST_AUTO_TEST_CASE(place_that_one_task_waits_for_is_not_promised_to_the_next)
{
    TwoWorkers world;
    RackForecast forecast = world.forecast();
    const Step task = TwoWorkers::step(2000, 500);
    std::vector<int64_t> openings;
    for (int number = 0; number < 4; ++number) {
        std::optional<Instant> opensAt = forecast.opensAt(task, 1);
        BOOST_REQUIRE(opensAt.has_value());
        openings.push_back(milliseconds(*opensAt - at(0)));
        forecast.reserve(task, 1, task.estimate_);
    }
    BOOST_TEST(openings == (std::vector<int64_t> { 1000, 1500, 2000, 2000 }), boost::test_tools::per_element());
}

// Guards against an answer for one demand that is given for another.
BOOST_AUTO_TEST_CASE(tasks_of_other_demands_get_their_own_answers)
{
    TwoWorkers world;
    RackForecast forecast = world.forecast();
    Step labelled = TwoWorkers::step(1000, 500);
    labelled.requiredLabel_ = "gpu";
    BOOST_TEST((forecast.opensAt(TwoWorkers::step(1000, 500), 1) == at(0)));
    BOOST_TEST((forecast.opensAt(TwoWorkers::step(2000, 500), 1) == at(1000)));
    BOOST_TEST(!forecast.opensAt(labelled, 1).has_value());
    BOOST_TEST(!forecast.opensAt(TwoWorkers::step(3000, 500), 1).has_value());
    BOOST_TEST((forecast.opensAt(TwoWorkers::step(1000, 500), 1) == at(0)));
}

// Guards against room that stays promised after a task has started there.
BOOST_AUTO_TEST_CASE(start_on_the_rack_takes_its_room)
{
    TwoWorkers world;
    RackForecast forecast = world.forecast();
    const Step small = TwoWorkers::step(1000, 500);
    BOOST_TEST((forecast.opensAt(small, 1) == at(0)));
    const TaskKey started { JobId::of("00000000000000a1"), 0, 0, 0 };
    forecast.addRun(*world.workers_.front(), world.state_.jobs_.at(started.job_), started);
    BOOST_TEST((forecast.opensAt(small, 1) == at(1000)));
}

// Guards against members of one gang that bar those of the next from their workers.
BOOST_AUTO_TEST_CASE(bound_on_members_per_worker_holds_for_each_gang_by_itself)
{
    TwoWorkers world;
    RackForecast forecast = world.forecast();
    Step gang = TwoWorkers::step(0, 500);
    gang.count_ = 2;
    gang.maxPerWorker_ = 1;
    BOOST_TEST((forecast.opensAt(gang, 2) == at(0)));
    forecast.reserve(gang, 2, gang.estimate_);
    BOOST_TEST((forecast.opensAt(gang, 2) == at(0)));
    BOOST_TEST(!forecast.opensAt(gang, 3).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
