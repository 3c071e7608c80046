#include "persimmondoor/colocation/SlowdownModel.h"
#include "persimmondoor/colocation/LoadForecast.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <rapidcheck.h>

using namespace persimmondoor;
using namespace persimmondoor::colocation;

namespace {

const TaskClassName quiet = TaskClassName::of("quiet");
const TaskClassName noisy = TaskClassName::of("noisy");
constexpr double baseTail = 20;

Instant second(int64_t number)
{
    return Instant::fromMicroseconds(number * 1'000'000);
}

// Feeds `count` noiseless measurements with varying exposures.
void feedMeasurements(SlowdownModel& model, int64_t from, int64_t count, double load, double quietHarm, double noisyHarm)
{
    for (int64_t index = from; index < from + count; ++index) {
        double quietShare = 0.1 * static_cast<double>(index % 5);
        double noisyShare = 0.1 * static_cast<double>(index % 3);
        double tail = baseTail * (1 + quietHarm * quietShare + noisyHarm * noisyShare);
        model.observe({ second(index), load, 0.5, { { quiet, quietShare }, { noisy, noisyShare } }, tail });
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(slowdown_model)

BOOST_AUTO_TEST_CASE(unknown_class_is_assumed_harmful_and_uncertain)
{
    SlowdownModel model = SlowdownModel::create();
    BOOST_TEST((model.harm(noisy, 0.5) == SlowdownModel::priorHarm));
    feedMeasurements(model, 0, 100, 0.5, 0, 1);
    BOOST_TEST((model.harm(TaskClassName::of("other"), 0.5) == SlowdownModel::priorHarm));
}

BOOST_AUTO_TEST_CASE(effects_of_classes_that_run_together_are_separated)
{
    SlowdownModel model = SlowdownModel::create();
    feedMeasurements(model, 0, 600, 0.475, 0.1, 2);
    BOOST_TEST(std::abs(model.harm(quiet, 0.475).mean_ - 0.1) < 0.05);
    BOOST_TEST(std::abs(model.harm(noisy, 0.475).mean_ - 2) < 0.1);
    BOOST_TEST(model.harm(noisy, 0.475).deviation_ < 0.15);
    BOOST_TEST(std::abs(model.baseline(0.475) - baseTail) < 0.5);
}

BOOST_AUTO_TEST_CASE(old_measurements_are_discounted)
{
    SlowdownModel model = SlowdownModel::create();
    feedMeasurements(model, 0, 600, 0.475, 0.1, 2);
    feedMeasurements(model, 600, 3600, 0.475, 0.1, 0.5);
    BOOST_TEST(std::abs(model.harm(noisy, 0.475).mean_ - 0.5) < 0.2);
}

BOOST_AUTO_TEST_CASE(uncertainty_grows_while_a_class_is_not_observed_and_stays_below_the_prior)
{
    SlowdownModel model = SlowdownModel::create();
    feedMeasurements(model, 0, 600, 0.475, 0.1, 2);
    double before = model.harm(noisy, 0.475).deviation_;
    for (int64_t index = 600; index < 600 + 7200; ++index)
        model.observe({ second(index), 0.475, 0.5, {}, baseTail });
    double after = model.harm(noisy, 0.475).deviation_;
    BOOST_TEST(after > 1.5 * before);
    BOOST_TEST(after <= SlowdownModel::priorHarm.deviation_ * 1.1);
}

BOOST_AUTO_TEST_CASE(band_entered_for_the_first_time_starts_from_its_neighbour)
{
    SlowdownModel model = SlowdownModel::create();
    feedMeasurements(model, 0, 600, 0.475, 0.1, 2);
    model.observe({ second(600), 0.9, 0.5, { { noisy, 0.1 } }, baseTail * 1.2 });
    BOOST_TEST(model.harm(noisy, 1.0).mean_ > 1);
    BOOST_TEST(model.harm(noisy, 1.0).deviation_ > model.harm(noisy, 0.475).deviation_);
}

BOOST_AUTO_TEST_CASE(number_of_classes_is_bounded)
{
    SlowdownModel model = SlowdownModel::create();
    auto name = [](size_t index) { return TaskClassName::of("c" + std::to_string(index)); };
    for (size_t index = 0; index <= SlowdownModel::maximumClasses; ++index) {
        for (int64_t step = 0; step < 50; ++step)
            model.observe({ second(static_cast<int64_t>(index) * 50 + step), 0.5, 0.5, { { name(index), 0.2 } }, baseTail });
    }
    BOOST_TEST((model.harm(name(0), 0.5) == SlowdownModel::priorHarm));
    BOOST_TEST((model.harm(name(SlowdownModel::maximumClasses), 0.5) != SlowdownModel::priorHarm));
}

BOOST_AUTO_TEST_CASE(any_measurements_leave_finite_estimates)
{
    bool holds = rc::check("estimates stay finite and not negative", [] {
        SlowdownModel model = SlowdownModel::create();
        int count = *rc::gen::inRange(0, 60);
        for (int index = 0; index < count; ++index) {
            double share = *rc::gen::inRange(0, 100) / 100.0;
            double tail = *rc::gen::element(-1.0, 0.0, 1e-3, 5.0, 20.0, 1e6);
            int64_t at = *rc::gen::inRange(0, 10'000);
            model.observe({ second(at), *rc::gen::inRange(0, 200) / 100.0, *rc::gen::inRange(0, 150) / 100.0, { { quiet, share } }, tail });
            double load = *rc::gen::inRange(0, 200) / 100.0;
            Estimate harm = model.harm(quiet, load);
            RC_ASSERT(std::isfinite(harm.mean_) && harm.mean_ >= 0);
            RC_ASSERT(std::isfinite(harm.deviation_) && harm.deviation_ >= 0);
            RC_ASSERT(std::isfinite(model.baseline(load)));
            RC_ASSERT(std::isfinite(model.slowdown(load, 1, { { quiet, 1 } }).mean_));
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(forecast_covers_rises_and_discounts_old_ones)
{
    LoadForecast forecast;
    for (int64_t index = 0; index < 300; ++index)
        forecast.observe(index % 30 < 15 ? 0.3 : 0.5, second(index));
    BOOST_TEST(std::abs(forecast.rise() - 0.2) <= LoadForecast::stepSize);
    for (int64_t index = 300; index < 6000; ++index)
        forecast.observe(0.3, second(index));
    BOOST_TEST(forecast.rise() == 0);
}

BOOST_AUTO_TEST_CASE(load_of_a_lost_domain_is_shared_by_the_rest)
{
    BOOST_TEST(std::abs(domainLossLoad(0.8, 11, 3) - 0.3) < 1e-9);
    BOOST_TEST(domainLossLoad(0.8, 3, 3) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
