#include "ProtocolModel.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace persimmondoor::supervision {

// Histories played in CI; PERSIMMONDOOR_HISTORIES sets another number for runs by hand.
static uint64_t histories()
{
    const char* text = std::getenv("PERSIMMONDOOR_HISTORIES");
    return text ? std::strtoull(text, nullptr, 10) : 600;
}

// The first seed whose history breaks a promise, and what it broke.
static std::string firstBroken(uint64_t seeds, PlantedFault planted)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        ProtocolModel model(seed, planted);
        model.play();
        if (!model.broken().empty())
            return "seed " + std::to_string(seed) + ": " + model.broken().front();
    }
    return "";
}

BOOST_AUTO_TEST_SUITE(protocol_model)

BOOST_AUTO_TEST_CASE(promises_hold_in_all_histories)
{
    std::string broken = firstBroken(histories(), PlantedFault::None);
    BOOST_TEST(broken == "");
}

BOOST_AUTO_TEST_CASE(histories_are_not_idle)
{
    ProtocolModel model(1, PlantedFault::None);
    model.play();
    BOOST_TEST(model.starts() >= 10U);
    BOOST_TEST(model.takeovers() >= 2U);
}

BOOST_AUTO_TEST_CASE(planted_faults_are_noticed)
{
    for (PlantedFault planted : { PlantedFault::WorkersIgnoreFences, PlantedFault::WorkersIgnoreLeases, PlantedFault::EndsAcknowledgedEarly })
        BOOST_TEST(firstBroken(500, planted) != "", "fault " << static_cast<int>(planted));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::supervision
