#include "persimmondoor/supervision/Pacing.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::supervision {

BOOST_AUTO_TEST_SUITE(pacing)

BOOST_AUTO_TEST_CASE(without_a_target_filling_tasks_run_at_full_pace)
{
    BOOST_TEST((nextPaces({ 0, 20 }, 0, true) == Paces { 100, 100 }));
}

BOOST_AUTO_TEST_CASE(suspects_are_slowed_down_first)
{
    BOOST_TEST((nextPaces({ 100, 100 }, 110, true) == Paces { 50, 100 }));
    BOOST_TEST((nextPaces({ 100, 100 }, 1400, true) == Paces { 0, 100 }));
    BOOST_TEST((nextPaces({ 0, 100 }, 110, true) == Paces { 0, 50 }));
    BOOST_TEST((nextPaces({ 100, 100 }, 110, false) == Paces { 0, 50 }));
}

BOOST_AUTO_TEST_CASE(paces_rise_again_once_tails_are_low)
{
    Paces paces { 0, 0 };
    for (int reading = 0; reading < 5; ++reading)
        paces = nextPaces(paces, 40, true);
    BOOST_TEST((paces == Paces { 100, 100 }));
    BOOST_TEST((nextPaces({ 40, 70 }, 80, true) == Paces { 40, 70 }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::supervision
