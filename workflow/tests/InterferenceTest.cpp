#include "persimmondoor/workflow/Interference.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

namespace persimmondoor::workflow {

static const RunKey searchRun { { JobId::of("00000000000000aa"), 0, 0, 0 }, 1 };
static const RunKey rankingRun { { JobId::of("00000000000000bb"), 0, 0, 0 }, 1 };
static constexpr uint32_t target = 18;
static constexpr double unloaded = 4;

// Factors of the filling images for "search"; "ranking" is not disturbed by any.
static const std::map<std::string, double> trueFactors { { "light", 0.05 }, { "heavy", 0.9 } };

static uint32_t tailOf(double utilisation)
{
    return static_cast<uint32_t>(std::lround(unloaded / (1 - std::min(utilisation, 0.97))));
}

// Reading of a worker whose long-running tasks have the utilisation `own` without filling tasks.
static LoadReading readingOf(double own, const std::map<std::string, double>& filling)
{
    double utilisation = own;
    for (const auto& [image, share] : filling)
        utilisation += trueFactors.at(image) * share;
    return { { { searchRun, { "search", tailOf(utilisation), target } }, { rankingRun, { "ranking", tailOf(own), target } } }, filling };
}

static Interference estimateFrom(const std::vector<LoadReading>& readings)
{
    Interference estimates;
    for (size_t index = 1; index < readings.size(); ++index)
        estimates = observe(std::move(estimates), readings[index - 1], readings[index]);
    return estimates;
}

static Interference observeBoth()
{
    std::vector<LoadReading> readings { readingOf(0, {}), readingOf(0, {}) };
    for (int round = 0; round < 8; ++round) {
        readings.push_back(readingOf(0.2, {}));
        readings.push_back(readingOf(0.2, { { "light", 0.4 } }));
        readings.push_back(readingOf(0.2, { { "light", 0.4 }, { "heavy", 0.3 } }));
    }
    return estimateFrom(readings);
}

BOOST_AUTO_TEST_SUITE(interference)

BOOST_AUTO_TEST_CASE(factors_are_estimated_per_pair_of_images)
{
    Interference estimates = observeBoth();
    BOOST_TEST(std::abs(interferenceFactorOf(estimates, "heavy", "search") - 0.9) < 0.2);
    BOOST_TEST(isHarmless(estimates, "light", "search"));
    BOOST_TEST(!isHarmless(estimates, "heavy", "search"));
    BOOST_TEST(isHarmless(estimates, "heavy", "ranking"));
}

BOOST_AUTO_TEST_CASE(readings_of_one_image_separate_the_factors_of_images_that_ran_together)
{
    std::vector<LoadReading> readings { readingOf(0, {}), readingOf(0, {}) };
    for (int round = 0; round < 4; ++round) {
        readings.push_back(readingOf(0.2, {}));
        readings.push_back(readingOf(0.2, { { "light", 0.3 }, { "heavy", 0.3 } }));
    }
    Interference together = estimateFrom(readings);
    for (int round = 0; round < 2; ++round) {
        readings.push_back(readingOf(0.2, {}));
        readings.push_back(readingOf(0.2, { { "heavy", 0.4 } }));
    }
    Interference apart = estimateFrom(readings);
    // Readings of "heavy" alone also correct the factor of "light", as the two were estimated together.
    BOOST_TEST(interferenceFactorOf(apart, "light", "search") < interferenceFactorOf(together, "light", "search") - 0.1);
    BOOST_TEST(isHarmless(apart, "light", "search"));
}

BOOST_AUTO_TEST_CASE(draining_queue_does_not_change_the_estimates)
{
    Interference estimates = observeBoth();
    LoadReading congested = readingOf(0.9, { { "light", 0.4 } });
    Interference after = observe(estimates, congested, readingOf(0.2, {}));
    BOOST_TEST(interferenceFactorOf(after, "light", "search") == interferenceFactorOf(estimates, "light", "search"));
}

BOOST_AUTO_TEST_CASE(factor_decreases_once_the_image_does_no_more_harm)
{
    Interference estimates = observeBoth();
    LoadReading without = readingOf(0.2, {});
    LoadReading beside = readingOf(0.2, {});
    beside.filling_ = { { "heavy", 0.3 } };
    for (int round = 0; round < 25; ++round) {
        estimates = observe(std::move(estimates), without, beside);
        estimates = observe(std::move(estimates), beside, without);
    }
    BOOST_TEST(isHarmless(estimates, "heavy", "search"));
}

BOOST_AUTO_TEST_CASE(harmful_images_are_slowed_down_and_others_are_not)
{
    Interference estimates = observeBoth();
    LoadReading reading = readingOf(0.4, {});
    auto headrooms = headroomsOf(estimates, reading, reading);
    auto paces = maximumPaces(estimates, headrooms, { { "light", 0.4 }, { "heavy", 0.5 } });
    BOOST_TEST(paces.at("light") == 1);
    BOOST_TEST(paces.at("heavy") > 0.2);
    BOOST_TEST(paces.at("heavy") < 0.8);
    BOOST_TEST(maximumPaces(estimates, headrooms, { { "heavy", 0.05 } }).at("heavy") == 1);
    BOOST_TEST(maximumPaces(estimates, {}, { { "heavy", 0.5 } }).at("heavy") == 1);
}

BOOST_AUTO_TEST_CASE(maximum_pace_keeps_the_target)
{
    Interference estimates = observeBoth();
    for (double own : { 0.1, 0.3, 0.5, 0.6 }) {
        LoadReading reading = readingOf(own, {});
        auto headrooms = headroomsOf(estimates, reading, reading);
        double pace = maximumPaces(estimates, headrooms, { { "heavy", 0.8 } }).at("heavy");
        BOOST_TEST(tailOf(own + trueFactors.at("heavy") * 0.8 * pace) <= target);
    }
}

BOOST_AUTO_TEST_CASE(rising_load_leaves_less_headroom)
{
    Interference estimates = observeBoth();
    auto steady = headroomsOf(estimates, readingOf(0.4, {}), readingOf(0.4, {}));
    auto rising = headroomsOf(estimates, readingOf(0.3, {}), readingOf(0.4, {}));
    auto falling = headroomsOf(estimates, readingOf(0.5, {}), readingOf(0.4, {}));
    BOOST_TEST(rising.front().utilisation_ < steady.front().utilisation_);
    BOOST_TEST(falling.front().utilisation_ == steady.front().utilisation_);
}

BOOST_AUTO_TEST_CASE(task_over_its_target_without_filling_tasks_leaves_no_headroom)
{
    Interference estimates = observeBoth();
    LoadReading reading = readingOf(0.8, {});
    auto headrooms = headroomsOf(estimates, reading, reading);
    BOOST_TEST(maximumPaces(estimates, headrooms, { { "heavy", 0.1 } }).at("heavy") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
