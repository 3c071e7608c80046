#include "decisions/JobDraws.h"

#include <boost/test/unit_test.hpp>

namespace persimmondoor::soak {

static constexpr size_t steadyJobs = 60;

static std::vector<JobPlan> drawJobs(uint64_t seed)
{
    JobDraws draws(seed, { "rack-0", "rack-1" });
    std::vector<JobPlan> plans;
    plans.reserve(steadyJobs + 1);
    for (size_t number = 0; number < steadyJobs; ++number)
        plans.push_back(draws.next());
    plans.push_back(draws.nextOfRush());
    return plans;
}

BOOST_AUTO_TEST_SUITE(job_draws)

// Guards against jobs that depend on the order in which calls are answered.
BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_jobs)
{
    BOOST_TEST((drawJobs(17) == drawJobs(17)));
    BOOST_TEST((drawJobs(17) != drawJobs(18)));
}

BOOST_AUTO_TEST_CASE(each_kind_of_job_is_drawn)
{
    bool hasLongRunning = false;
    bool hasGang = false;
    bool hasData = false;
    for (const JobPlan& plan : drawJobs(17)) {
        const workflow::Step& first = plan.steps_.front();
        hasLongRunning = hasLongRunning || first.longRunning_;
        hasGang = hasGang || (first.gang_ && first.rackSensitive_ && first.count_ > 1);
        hasData = hasData || plan.behaviours_.front().dataRack_.starts_with("rack-");
    }
    BOOST_TEST(hasLongRunning);
    BOOST_TEST(hasGang);
    BOOST_TEST(hasData);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::soak
