#include "ProtocolModel.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace persimmondoor::supervision {

// Number of simulated histories in CI; PERSIMMONDOOR_HISTORIES sets another number for manual runs.
static uint64_t histories()
{
    const char* text = std::getenv("PERSIMMONDOOR_HISTORIES");
    return text ? std::strtoull(text, nullptr, 10) : 600;
}

// The first seed whose history violates an invariant, and the violation.
static std::string firstViolation(uint64_t seeds, InjectedFault injected)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        ProtocolModel model(seed, injected);
        model.simulate();
        if (!model.violations().empty())
            return "seed " + std::to_string(seed) + ": " + model.violations().front();
    }
    return "";
}

BOOST_AUTO_TEST_SUITE(protocol_model)

BOOST_AUTO_TEST_CASE(invariants_hold_in_all_histories)
{
    std::string violation = firstViolation(histories(), InjectedFault::None);
    BOOST_TEST(violation == "");
}

BOOST_AUTO_TEST_CASE(histories_start_runs_and_change_leaders)
{
    ProtocolModel model(1, InjectedFault::None);
    model.simulate();
    BOOST_TEST(model.starts() >= 10U);
    BOOST_TEST(model.leaderEpochs() >= 2U);
}

BOOST_AUTO_TEST_CASE(injected_faults_are_detected)
{
    for (InjectedFault injected : { InjectedFault::WorkersIgnoreFences, InjectedFault::WorkersIgnoreLeases, InjectedFault::EndsAcknowledgedEarly, InjectedFault::LeasesOutliveTheirBound, InjectedFault::SilentWorkersStayNamed, InjectedFault::LeaveNoticesTakenForPresentIncarnation, InjectedFault::OpenOrdersReportedAsCompleted, InjectedFault::CutListsTakenForWhole })
        BOOST_TEST(firstViolation(500, injected) != "", "fault " << static_cast<int>(injected));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::supervision
