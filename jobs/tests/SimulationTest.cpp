#include "Simulation.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace persimmondoor::jobs::simulation;

namespace {

// Number of seeds in CI; the environment variable PERSIMMONDOOR_SEEDS sets another number, for longer runs.
constexpr int seedsInCI = 60;

int seedCount()
{
    const char* text = std::getenv("PERSIMMONDOOR_SEEDS");
    return text ? std::atoi(text) : seedsInCI;
}

std::vector<Fault> randomFaults(std::mt19937_64& random, size_t count)
{
    std::vector<Fault> faults;
    for (size_t index = 0; index < count; ++index)
        faults.push_back({ static_cast<uint32_t>(random() % 500), static_cast<FaultKind>(random() % faultKinds), static_cast<uint32_t>(random() % 1000) });
    return faults;
}

void checkInvariants(uint64_t seed, std::vector<Fault> faults)
{
    // Every run has some jobs, whatever the faults.
    faults.push_back({ 30, FaultKind::JobSubmitted, static_cast<uint32_t>(seed) });
    faults.push_back({ 590, FaultKind::JobSubmitted, static_cast<uint32_t>(seed) });
    Simulation simulation(seed, faults);
    auto failure = simulation.run();
    BOOST_CHECK_MESSAGE(!failure, "seed " << seed << ": " << failure.value_or(""));
    BOOST_CHECK_GT(simulation.starts(), 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(simulation)

BOOST_AUTO_TEST_CASE(work_ends_without_faults)
{
    checkInvariants(1, {});
}

BOOST_AUTO_TEST_CASE(invariants_hold_under_each_kind_of_fault)
{
    for (int kind = 0; kind < faultKinds; ++kind) {
        for (uint64_t seed = 0; seed < 4; ++seed) {
            BOOST_TEST_CONTEXT("fault " << kind)
            {
                std::vector<Fault> faults;
                for (uint32_t step = 3; step < 400; step += 60 + static_cast<uint32_t>(seed) * 7)
                    faults.push_back({ step, static_cast<FaultKind>(kind), step });
                checkInvariants(seed, faults);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(owner_crashes_at_each_step_between_journal_and_start)
{
    for (uint32_t step = 0; step < 40; ++step)
        checkInvariants(step, { { step, FaultKind::OwnerCrashes, 0 }, { step, FaultKind::OwnerCrashes, 1 } });
}

BOOST_AUTO_TEST_CASE(drain_during_takeover_and_cancellation_during_start)
{
    for (uint32_t step = 0; step < 20; ++step) {
        checkInvariants(step, { { step, FaultKind::TakeoverWhileOwnerRuns, 1 }, { step, FaultKind::DomainDrained, step }, { step + 3, FaultKind::JobCancelled, step }, { step + 60, FaultKind::DomainRestored, step }, { step + 10, FaultKind::JobSubmitted, step } });
    }
}

BOOST_AUTO_TEST_CASE(workers_are_cut_off_together_with_their_owner)
{
    for (uint32_t step = 5; step < 45; ++step) {
        std::vector<Fault> faults { { step + 2, FaultKind::OwnerCrashes, 0 }, { step + 2, FaultKind::OwnerCrashes, 1 } };
        for (uint32_t host = 0; host < 6; ++host)
            faults.push_back({ step, FaultKind::HostUnreachable, 48 + host });
        checkInvariants(step, faults);
    }
}

BOOST_AUTO_TEST_CASE(workers_are_cut_off_while_their_owner_is_paused)
{
    for (uint32_t step = 5; step < 45; ++step) {
        std::vector<Fault> faults { { step, FaultKind::OwnerPauses, 30 }, { step, FaultKind::MessagesDuplicatedAndDelayed, 0 } };
        for (uint32_t host = 0; host < 6; ++host)
            faults.push_back({ step + 20 + host * 10, FaultKind::HostUnreachable, 48 + host });
        checkInvariants(step, faults);
    }
}

BOOST_AUTO_TEST_CASE(invariants_hold_under_all_faults_together)
{
    for (int seed = 0; seed < seedCount(); ++seed) {
        std::mt19937_64 random(static_cast<uint64_t>(seed) + 1000);
        checkInvariants(static_cast<uint64_t>(seed), randomFaults(random, 4 + seed % 40));
    }
}

BOOST_AUTO_TEST_CASE(invariants_hold_for_generated_faults)
{
    auto fault = rc::gen::construct<Fault>(rc::gen::inRange<uint32_t>(0, 500), rc::gen::map(rc::gen::inRange(0, faultKinds), [](int kind) { return static_cast<FaultKind>(kind); }),
        rc::gen::inRange<uint32_t>(0, 1000));
    BOOST_CHECK(rc::check("invariants hold for generated faults", [&] {
        auto faults = *rc::gen::container<std::vector<Fault>>(fault);
        auto seed = *rc::gen::inRange<uint64_t>(0, 1'000'000);
        auto failure = Simulation(seed, faults).run();
        if (failure)
            RC_FAIL(*failure);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
