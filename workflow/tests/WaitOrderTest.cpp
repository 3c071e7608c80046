#include "decisions/WaitOrder.h"
#include "LeaderWorld.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

namespace {

    const std::string watchJob = "00000000000000aa";
    const std::string urgentJob = "00000000000000bb";

    // A leader without room: all jobs wait.
    class FullWorld : public LeaderWorld {
    public:
        FullWorld()
        {
            Step watch = stepOfTasks(2);
            watch.longRunning_ = true;
            submit({ watch }, 20, watchJob);
            submit({ stepOfTasks(1) }, 30, urgentJob);
        }

        JobsAhead ahead(const std::string& id) const { return WaitOrder(state_).aheadOf(state_.jobs_.at(JobId::of(id))); }
        void beginRush(std::map<std::string, int64_t> shares = {}) { state_.urgentRoom_.services_["packs"] = Rush { at(40), at(40), 0, "tests", std::move(shares) }; }
    };

    Urgency urgencyWith(uint32_t priority, Prospect prospect, int64_t share, bool hasNotStarted, int64_t rank)
    {
        return { priority, prospect, share, hasNotStarted, rank, JobId::of(urgentJob) };
    }

} // namespace

BOOST_AUTO_TEST_SUITE(wait_order)

// Guards against a reason that is not the first in which the two jobs differ.
BOOST_AUTO_TEST_CASE(reason_is_the_first_difference)
{
    const Urgency first = urgencyWith(0, Prospect::OnTime, 10, false, 5);
    BOOST_TEST((precedenceOf(first, urgencyWith(1, Prospect::Late, 5, true, 4)) == Precedence::Priority));
    BOOST_TEST((precedenceOf(first, urgencyWith(0, Prospect::Late, 5, true, 4)) == Precedence::Prospect));
    BOOST_TEST((precedenceOf(first, urgencyWith(0, Prospect::Yielding, 0, true, 4)) == Precedence::Rush));
    BOOST_TEST((precedenceOf(first, urgencyWith(0, Prospect::OnTime, 20, true, 4)) == Precedence::QueueShare));
    BOOST_TEST((precedenceOf(first, urgencyWith(0, Prospect::OnTime, 10, true, 4)) == Precedence::Started));
    BOOST_TEST((precedenceOf(first, urgencyWith(0, Prospect::OnTime, 10, false, 6)) == Precedence::Deadline));
}

// Load: a long-running job that waits while urgent work is short of room.
BOOST_AUTO_TEST_CASE(job_that_yields_in_a_rush_names_the_urgent_one_and_the_end)
{
    FullWorld world;
    world.beginRush();
    const JobsAhead ahead = world.ahead(watchJob);
    BOOST_TEST((ahead == JobsAhead { 1, { { JobId::of(urgentJob), "tests", Precedence::Rush } }, at(40) + Tuning().maximumRush_ }));
    BOOST_TEST(describe(ahead, at(1040)) == concat("; behind 1 jobs of the service: ", urgentJob, " (queue tests, urgent in a rush); the rush ends within 19000 ms"));
    BOOST_TEST(describe(world.ahead(urgentJob), at(1040)).empty());
}

// Guards against the end of a rush being named for a job that waits for another reason.
BOOST_AUTO_TEST_CASE(job_behind_a_higher_priority_waits_for_no_end_of_a_rush)
{
    FullWorld world;
    world.beginRush();
    world.state_.jobs_.at(JobId::of(watchJob)).record_.queue_.priority_ = 1;
    const JobsAhead ahead = world.ahead(watchJob);
    BOOST_REQUIRE(ahead.count_ == 1U);
    BOOST_TEST((ahead.first_.front().reason_ == Precedence::Priority));
    BOOST_TEST(!ahead.rushEndsBy_.has_value());
}

// Load: a rush behind a backlog of a higher priority, longer than a line can name.
BOOST_AUTO_TEST_CASE(end_of_a_rush_is_found_behind_a_backlog_of_a_higher_priority)
{
    FullWorld world;
    world.state_.jobs_.at(JobId::of(watchJob)).record_.queue_.priority_ = 1;
    world.state_.jobs_.at(JobId::of(urgentJob)).record_.queue_.priority_ = 1;
    for (int number = 0; number < 5; ++number)
        world.submit({ stepOfTasks(1) }, 31 + number, concat("00000000000000", 10 + number));
    world.state_.urgentRoom_.services_["packs"] = Rush { at(40), at(40), 1, "tests", {} };
    const JobsAhead ahead = world.ahead(watchJob);
    BOOST_TEST(ahead.count_ == 6U);
    BOOST_REQUIRE(ahead.first_.size() == 3U);
    BOOST_TEST((ahead.first_.back().reason_ == Precedence::Priority));
    BOOST_TEST((ahead.rushEndsBy_ == at(40) + Tuning().maximumRush_));
    BOOST_TEST(!world.ahead(urgentJob).rushEndsBy_.has_value());
}

// Guards against jobs being named that want other workers.
BOOST_AUTO_TEST_CASE(jobs_of_other_services_are_not_ahead)
{
    FullWorld world;
    world.beginRush();
    world.state_.jobs_.at(JobId::of(urgentJob)).queue_.service_ = "presses";
    BOOST_TEST((world.ahead(watchJob) == JobsAhead {}));
}

// Load: a backlog of more jobs than a line can name.
BOOST_AUTO_TEST_CASE(line_on_a_waiting_job_counts_a_backlog_and_names_its_head)
{
    LeaderWorld world;
    world.report("w-1", 5);
    Step wide = stepOfTasks(1);
    wide.demand_ = *Resources::create(5000, 1000, 0);
    for (int number = 0; number < 6; ++number)
        world.submit({ wide }, 20 + number, concat("00000000000000", 10 + number));
    for (int64_t time = 200; time <= 1400; time += 200) {
        world.report("w-1", time);
        world.handle(Tick { 1'000'000 + time }, time + 1);
    }
    std::vector<std::string> lines = world.logged("job.waits");
    BOOST_REQUIRE(lines.size() == 6U);
    // Of jobs that have not started the latest comes first.
    BOOST_TEST(lines.front().find("; behind 5 jobs of the service: 0000000000000015 (queue tests, order of deadlines), 0000000000000014 (") != std::string::npos);
    BOOST_TEST(lines.back().find("behind") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
