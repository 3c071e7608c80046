#include "FleetWorld.h"

#include <random>

namespace persimmondoor::workflow {

namespace {

    constexpr int64_t crashAges[] = { 200, 700, 1500, 3000, 10'000 };

    // What happens to the system while a task crashes its workers.
    enum class Change : uint8_t {
        None,
        NewLeader,
        AgentsRestart,
    };

    // Lets the deadly jobs crash workers beside innocent jobs. The change happens once the first of them has crashed two.
    void checkDeadlyJobs(size_t deadlyJobs, int64_t crashAfterMs, Change change)
    {
        BOOST_TEST_CONTEXT(deadlyJobs << " deadly jobs, crash after " << crashAfterMs << " ms, change " << static_cast<int>(change))
        {
            FleetWorld world(8);
            std::vector<std::string> innocent;
            for (size_t number = 0; number < 8; ++number)
                innocent.push_back(world.submit(0));
            std::vector<std::string> deadly;
            for (size_t number = 0; number < deadlyJobs; ++number)
                deadly.push_back(world.submit(crashAfterMs));
            constexpr int64_t roundsOfCrashes = 14;
            bool isChanged = change == Change::None;
            for (int64_t passed = 0; passed < roundsOfCrashes * (crashAfterMs + 4000); passed += 100) {
                world.pass(100);
                if (isChanged || world.crashesOf(deadly.front()) < 2)
                    continue;
                isChanged = true;
                if (change == Change::NewLeader)
                    world.changeLeader();
                else
                    world.restartAgents();
            }
            for (const std::string& job : deadly) {
                BOOST_TEST(world.hasFailed(job));
                BOOST_TEST(world.startsAfterThirdCrash(job) <= 2U);
            }
            for (const std::string& job : innocent)
                BOOST_TEST(!world.hasFailed(job));
        }
    }

} // namespace

BOOST_AUTO_TEST_SUITE(late_crashes)

// Guards against a task that crashes one worker after the other without end, as it does so some time after its start.
BOOST_AUTO_TEST_CASE(task_that_crashes_its_workers_late_is_given_up)
{
    for (int64_t crashAfterMs : crashAges)
        checkDeadlyJobs(1, crashAfterMs, Change::None);
}

// Guards against a new leader under which the crashes of a task's workers are counted anew.
BOOST_AUTO_TEST_CASE(task_that_crashes_its_workers_late_is_given_up_across_leaders)
{
    for (int64_t crashAfterMs : crashAges)
        checkDeadlyJobs(1, crashAfterMs, Change::NewLeader);
}

// Guards against agents that forget, as they restart, which workers a task has crashed.
BOOST_AUTO_TEST_CASE(task_that_crashes_its_workers_late_is_given_up_after_a_restart_of_the_agents)
{
    for (int64_t crashAfterMs : crashAges)
        checkDeadlyJobs(1, crashAfterMs, Change::AgentsRestart);
}

// Guards against tasks that crash workers at the same time and so pass for a loss that none of them has caused.
BOOST_AUTO_TEST_CASE(several_tasks_that_crash_their_workers_late_are_given_up)
{
    for (size_t deadlyJobs : { 2, 3, 5 }) {
        for (int64_t crashAfterMs : crashAges) {
            for (Change change : { Change::None, Change::NewLeader, Change::AgentsRestart })
                checkDeadlyJobs(deadlyJobs, crashAfterMs, change);
        }
    }
}

// Guards against jobs that are given up as waves of crashes have hit their workers again and again.
BOOST_AUTO_TEST_CASE(tasks_that_waves_of_crashes_hit_are_not_given_up)
{
    constexpr uint32_t seeds = 60;
    size_t givenUp = 0;
    size_t jobsInAll = 0;
    for (size_t workers : { 4, 10, 26 }) {
        for (uint32_t seed = 1; seed <= seeds; ++seed) {
            std::mt19937 random(seed);
            FleetWorld world(workers);
            std::vector<std::string> jobs;
            for (size_t number = 0; number < 2 * workers; ++number)
                jobs.push_back(world.submit(0));
            world.pass(1000);
            std::vector<size_t> numbers(workers);
            for (size_t number = 0; number < workers; ++number)
                numbers[number] = number;
            // Half of the seeds have waves at equal intervals, under which the ages of the lost runs resemble each other most.
            bool isRegular = seed % 2 == 0;
            for (int wave = 0; wave < 6; ++wave) {
                std::shuffle(numbers.begin(), numbers.end(), random);
                size_t share = 10 + random() % 26;
                size_t lost = std::max<size_t>(1, workers * share / 100);
                world.crashTogether({ numbers.begin(), numbers.begin() + static_cast<std::ptrdiff_t>(lost) });
                world.pass(isRegular ? 4000 : 3000 + static_cast<int64_t>(random() % 3000));
            }
            jobsInAll += jobs.size();
            for (const std::string& job : jobs)
                givenUp += world.hasFailed(job) ? 1 : 0;
        }
    }
    BOOST_TEST_MESSAGE(givenUp << " of " << jobsInAll << " jobs given up");
    BOOST_TEST(givenUp == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
