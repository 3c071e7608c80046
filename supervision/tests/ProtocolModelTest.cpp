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

// Other processes send heartbeats that name the workers of the model in part: an earlier or later birth, another name or address, a
// service that is known or not. What they name does not answer.
class ModelWithStrangers : public ProtocolModel {
public:
    ModelWithStrangers(uint64_t seed, InjectedFault injected)
        : ProtocolModel(seed, injected)
    {
    }

private:
    void injectFaults() override
    {
        ProtocolModel::injectFaults();
        for (size_t index = 0; index < agents_.size(); ++index) {
            if (chance(0.02))
                sendToAgent(index, agents_[index].incarnation_, strangerOf(index));
        }
    }

    workflow::Heartbeat strangerOf(size_t index)
    {
        workflow::Heartbeat heartbeat { workers_[index].incarnation_, { "packs", "north", {}, *Resources::create(4000, 1'000'000, 0) }, *Address::parse("127.0.0.1:9"), chance(0.3), 0, 1'000'000 };
        heartbeat.incarnation_.bornMs_ += chance(0.5) ? 5000 : -1;
        if (chance(0.3))
            heartbeat.incarnation_.name_ = "stranger";
        if (chance(0.5))
            heartbeat.address_ = *Address::parse("127.0.0.1:" + std::to_string(8000 + index));
        if (chance(0.5))
            heartbeat.traits_.service_ = "another-system";
        return heartbeat;
    }
};

// The first seed whose history violates an invariant, and the violation.
template <typename Model = ProtocolModel>
static std::string firstViolation(uint64_t first, uint64_t seeds, InjectedFault injected)
{
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        Model model(seed, injected);
        model.simulate();
        if (!model.violations().empty())
            return "seed " + std::to_string(seed) + ": " + model.violations().front();
    }
    return "";
}

BOOST_AUTO_TEST_SUITE(protocol_model)

BOOST_AUTO_TEST_CASE(invariants_hold_in_all_histories)
{
    std::string violation = firstViolation(1, histories(), InjectedFault::None);
    BOOST_TEST(violation == "");
}

// Guards against tasks that run twice or never, as heartbeats of other processes end or hide the workers that they name.
BOOST_AUTO_TEST_CASE(invariants_hold_beside_heartbeats_of_strangers)
{
    std::string violation = firstViolation<ModelWithStrangers>(1, histories(), InjectedFault::None);
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
    // With the first seed of each; without an injected fault none of the histories is violated.
    const std::pair<InjectedFault, uint64_t> firstSeeds[] = {
        { InjectedFault::WorkersIgnoreFences, 501 },
        { InjectedFault::WorkersIgnoreLeases, 1 },
        { InjectedFault::EndsAcknowledgedEarly, 1 },
        { InjectedFault::LeasesOutliveTheirBound, 1 },
        { InjectedFault::SilentWorkersStayNamed, 1 },
        { InjectedFault::LeaveNoticesTakenForPresentIncarnation, 1 },
        { InjectedFault::OpenOrdersReportedAsCompleted, 1 },
        { InjectedFault::CutListsTakenForWhole, 1 },
    };
    for (const auto& [injected, first] : firstSeeds)
        BOOST_TEST(firstViolation(first, 500, injected) != "", "fault " << static_cast<int>(injected));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::supervision
