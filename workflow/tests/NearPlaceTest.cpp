// How long a wait for a near place pays: the decision by itself.
#include "persimmondoor/workflow/NearPlace.h"

#include "LeaderWorld.h"

namespace persimmondoor::workflow {

using std::chrono::milliseconds;

// A task of 1 s that takes 3 s far from its data, for which a near place opens in 500 ms.
static PlaceOptions options()
{
    PlaceOptions options;
    options.now_ = at(0);
    options.runTime_ = milliseconds(1000);
    options.farFactor_ = 3;
    options.nearOpensAt_ = at(500);
    options.waitingSince_ = at(0);
    return options;
}

static PlaceDecision choose(const PlaceOptions& options)
{
    return choosePlace(options, Tuning());
}

static PlaceDecision far(FarReason reason)
{
    return StartFar { reason };
}

static PlaceDecision until(int64_t milliseconds)
{
    return WaitUntil { at(milliseconds) };
}

BOOST_AUTO_TEST_SUITE(near_place)

BOOST_AUTO_TEST_CASE(wait_for_a_place_that_opens_soon_lasts_for_as_long_as_a_near_run_saves)
{
    BOOST_TEST((choose(options()) == until(2000)));
    PlaceOptions open = options();
    open.isNearOpen_ = true;
    BOOST_TEST((choose(open) == PlaceDecision(StartNear {})));
}

// Guards against a wait that is prolonged at each change of the forecast.
BOOST_AUTO_TEST_CASE(wait_does_not_outlast_its_worth)
{
    PlaceOptions later = options();
    later.now_ = at(1900);
    later.nearOpensAt_ = at(1950);
    BOOST_TEST((choose(later) == until(2000)));
    later.nearOpensAt_ = at(2001);
    BOOST_TEST((choose(later) == far(FarReason::OpensTooLate)));
}

BOOST_AUTO_TEST_CASE(place_that_never_opens_is_not_awaited)
{
    PlaceOptions never = options();
    never.nearOpensAt_.reset();
    BOOST_TEST((choose(never) == far(FarReason::NoNearWorker)));
    never.nearOpensAt_ = at(0);
    BOOST_TEST((choose(never) == far(FarReason::ClosedToTask)));
}

BOOST_AUTO_TEST_CASE(short_task_starts_far_and_long_task_waits)
{
    PlaceOptions task = options();
    task.nearOpensAt_ = at(100);
    task.runTime_ = milliseconds(20);
    BOOST_TEST((choose(task) == far(FarReason::LittleGain)));
    task.runTime_ = milliseconds(45);
    BOOST_TEST((choose(task) == far(FarReason::OpensTooLate)));
    task.runTime_ = milliseconds(5000);
    BOOST_TEST((choose(task) == until(10'000)));
}

BOOST_AUTO_TEST_CASE(wait_ends_while_a_far_run_is_still_on_time)
{
    PlaceOptions near = options();
    near.onTimeBy_ = at(3700);
    BOOST_TEST((choose(near) == until(700)));
    near.onTimeBy_ = at(3400);
    BOOST_TEST((choose(near) == far(FarReason::ObjectiveAtRisk)));
}

BOOST_AUTO_TEST_CASE(wait_lasts_longer_where_only_a_near_run_is_on_time)
{
    PlaceOptions task = options();
    task.farFactor_ = 1.5;
    task.nearOpensAt_ = at(700);
    BOOST_TEST((choose(task) == far(FarReason::OpensTooLate)));
    task.onTimeBy_ = at(1800);
    // A far run would still be on time.
    BOOST_TEST((choose(task) == far(FarReason::ObjectiveAtRisk)));
    task.now_ = at(400);
    BOOST_TEST((choose(task) == until(800)));
    task.onTimeBy_ = at(1600);
    BOOST_TEST((choose(task) == far(FarReason::OpensTooLate)));
}

BOOST_AUTO_TEST_CASE(job_that_stands_still_is_not_held_back)
{
    PlaceOptions standing = options();
    standing.standsStillSince_ = at(0);
    BOOST_TEST((choose(standing) == until(800)));
    standing.standsStillSince_ = at(-400);
    BOOST_TEST((choose(standing) == far(FarReason::StandsStill)));
}

// Far runs take more of the room that others wait for, and others use the room that a wait leaves free.
BOOST_AUTO_TEST_CASE(wait_beside_a_rush_may_last_longer)
{
    PlaceOptions task = options();
    task.isRoomContended_ = true;
    BOOST_TEST((choose(task) == until(3000)));
}

BOOST_AUTO_TEST_CASE(cost_of_distance_is_corrected_within_bounds)
{
    Tuning tuning;
    tuning.farFactor_ = 1.5;
    DistanceCost cost;
    for (uint32_t run = 0; run < tuning.runsBeforeCorrection_; ++run) {
        BOOST_TEST(farFactorOf(cost, tuning) == 1.5);
        cost = addRun(cost, true, milliseconds(1000), milliseconds(800));
        cost = addRun(cost, false, milliseconds(2000), milliseconds(800));
    }
    BOOST_TEST(farFactorOf(cost, tuning) == 2.0, boost::test_tools::tolerance(0.001));
    BOOST_TEST(nearRunTimeOf(cost, tuning, milliseconds(400)).count() == 500'000);
    for (uint32_t run = 0; run < 100; ++run)
        cost = addRun(cost, false, milliseconds(90'000), milliseconds(800));
    BOOST_TEST(farFactorOf(cost, tuning) == 3.0);
    tuning.farFactor_ = 1;
    BOOST_TEST(farFactorOf(cost, tuning) == 1.0);
    BOOST_TEST((addRun(cost, true, milliseconds(1), Duration(0)) == cost));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
