#include "persimmondoor/workflow/Interference.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::workflow {

static Interference after(Interference learnt, int readings, const std::vector<FillingTask>& tasks, uint64_t tailPercent, const std::string& longRunning = "search")
{
    for (int reading = 0; reading < readings; ++reading)
        learnt = observe(std::move(learnt), tasks, { { longRunning, tailPercent } });
    return learnt;
}

BOOST_AUTO_TEST_SUITE(interference)

BOOST_AUTO_TEST_CASE(pairs_are_judged_apart)
{
    Interference learnt = after({}, 3, { { "encoder", 100 } }, 400);
    learnt = after(std::move(learnt), 3, { { "encoder", 100 } }, 40, "ranking");
    BOOST_TEST((harmOf(learnt, "encoder", "search") == Harm::Harmful));
    BOOST_TEST((harmOf(learnt, "encoder", "ranking") == Harm::Harmless));
    BOOST_TEST((harmOf(learnt, "other", "search") == Harm::Unknown));
    BOOST_TEST((worstHarm(learnt, "encoder", { "ranking", "search" }) == Harm::Harmful));
    BOOST_TEST((worstHarm(learnt, "encoder", {}) == Harm::Harmless));
}

BOOST_AUTO_TEST_CASE(cleared_images_are_not_blamed_for_another)
{
    Interference learnt = after({}, 4, { { "light", 100 } }, 30);
    learnt = after(std::move(learnt), 3, { { "light", 100 }, { "heavy", 100 } }, 500);
    BOOST_TEST((harmOf(learnt, "light", "search") == Harm::Harmless));
    BOOST_TEST((harmOf(learnt, "heavy", "search") == Harm::Harmful));
}

BOOST_AUTO_TEST_CASE(slowed_tasks_clear_nothing)
{
    Interference learnt = after({}, 5, { { "encoder", 10 } }, 30);
    BOOST_TEST((harmOf(learnt, "encoder", "search") == Harm::Unknown));
}

BOOST_AUTO_TEST_CASE(verdicts_follow_newer_readings)
{
    Interference learnt = after({}, 3, { { "encoder", 100 } }, 400);
    learnt = after(std::move(learnt), 12, { { "encoder", 100 } }, 30);
    BOOST_TEST((harmOf(learnt, "encoder", "search") == Harm::Harmless));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
