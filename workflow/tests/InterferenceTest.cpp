#include "persimmondoor/workflow/Interference.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

namespace persimmondoor::workflow {

static const RunKey searchRun { { JobId::of("00000000000000aa"), 0, 0, 0 }, 1 };
static const RunKey rankingRun { { JobId::of("00000000000000bb"), 0, 0, 0 }, 1 };
static constexpr uint32_t target = 18;
static constexpr double unloaded = 4;

// Harm of the filling images to "search"; "ranking" is disturbed by none.
static const std::map<std::string, double> truth { { "light", 0.05 }, { "heavy", 0.9 } };

static uint32_t tailOf(double busyPart)
{
    return static_cast<uint32_t>(std::lround(unloaded / (1 - std::min(busyPart, 0.97))));
}

// What a worker shows whose long-running tasks are busy for `own` of their time without filling tasks.
static LoadReading readingOf(double own, const std::map<std::string, double>& filling)
{
    double busy = own;
    for (const auto& [image, share] : filling)
        busy += truth.at(image) * share;
    return { { { searchRun, { "search", tailOf(busy), target } }, { rankingRun, { "ranking", tailOf(own), target } } }, filling };
}

static Interference learnFrom(const std::vector<LoadReading>& readings)
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
    return learnFrom(readings);
}

BOOST_AUTO_TEST_SUITE(interference)

BOOST_AUTO_TEST_CASE(pairs_are_judged_apart)
{
    Interference estimates = observeBoth();
    BOOST_TEST(std::abs(interferenceFactorOf(estimates, "heavy", "search") - 0.9) < 0.2);
    BOOST_TEST(isHarmless(estimates, "light", "search"));
    BOOST_TEST(!isHarmless(estimates, "heavy", "search"));
    BOOST_TEST(isHarmless(estimates, "heavy", "ranking"));
}

BOOST_AUTO_TEST_CASE(images_that_come_together_are_told_apart_by_readings_of_one_of_them)
{
    std::vector<LoadReading> readings { readingOf(0, {}), readingOf(0, {}) };
    for (int round = 0; round < 4; ++round) {
        readings.push_back(readingOf(0.2, {}));
        readings.push_back(readingOf(0.2, { { "light", 0.3 }, { "heavy", 0.3 } }));
    }
    Interference together = learnFrom(readings);
    for (int round = 0; round < 2; ++round) {
        readings.push_back(readingOf(0.2, {}));
        readings.push_back(readingOf(0.2, { { "heavy", 0.4 } }));
    }
    Interference apart = learnFrom(readings);
    // What one image turns out to cause is taken off the other, although that one was not there.
    BOOST_TEST(interferenceFactorOf(apart, "light", "search") < interferenceFactorOf(together, "light", "search") - 0.1);
    BOOST_TEST(isHarmless(apart, "light", "search"));
}

BOOST_AUTO_TEST_CASE(queue_that_drains_teaches_nothing)
{
    Interference estimates = observeBoth();
    LoadReading congested = readingOf(0.9, { { "light", 0.4 } });
    Interference after = observe(estimates, congested, readingOf(0.2, {}));
    BOOST_TEST(interferenceFactorOf(after, "light", "search") == interferenceFactorOf(estimates, "light", "search"));
}

BOOST_AUTO_TEST_CASE(harm_that_has_gone_is_noticed)
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
    auto tolerances = tolerancesOf(estimates, reading, reading);
    auto paces = maximumPaces(estimates, tolerances, { { "light", 0.4 }, { "heavy", 0.5 } });
    BOOST_TEST(paces.at("light") == 1);
    BOOST_TEST(paces.at("heavy") > 0.2);
    BOOST_TEST(paces.at("heavy") < 0.8);
    BOOST_TEST(maximumPaces(estimates, tolerances, { { "heavy", 0.05 } }).at("heavy") == 1);
    BOOST_TEST(maximumPaces(estimates, {}, { { "heavy", 0.5 } }).at("heavy") == 1);
}

BOOST_AUTO_TEST_CASE(bearable_pace_keeps_the_target)
{
    Interference estimates = observeBoth();
    for (double own : { 0.1, 0.3, 0.5, 0.6 }) {
        LoadReading reading = readingOf(own, {});
        auto tolerances = tolerancesOf(estimates, reading, reading);
        double pace = maximumPaces(estimates, tolerances, { { "heavy", 0.8 } }).at("heavy");
        BOOST_TEST(tailOf(own + truth.at("heavy") * 0.8 * pace) <= target);
    }
}

BOOST_AUTO_TEST_CASE(rising_load_leaves_less_room)
{
    Interference estimates = observeBoth();
    auto steady = tolerancesOf(estimates, readingOf(0.4, {}), readingOf(0.4, {}));
    auto rising = tolerancesOf(estimates, readingOf(0.3, {}), readingOf(0.4, {}));
    auto falling = tolerancesOf(estimates, readingOf(0.5, {}), readingOf(0.4, {}));
    BOOST_TEST(rising.front().busyPart_ < steady.front().busyPart_);
    BOOST_TEST(falling.front().busyPart_ == steady.front().busyPart_);
}

BOOST_AUTO_TEST_CASE(task_that_is_over_its_target_by_itself_bears_nothing)
{
    Interference estimates = observeBoth();
    LoadReading reading = readingOf(0.8, {});
    auto tolerances = tolerancesOf(estimates, reading, reading);
    BOOST_TEST(maximumPaces(estimates, tolerances, { { "heavy", 0.1 } }).at("heavy") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
