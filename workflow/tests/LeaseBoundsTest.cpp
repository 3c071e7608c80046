#include "LeaderWorld.h"

namespace persimmondoor::workflow {

static const JobId watchJob = JobId::of("00000000000000aa");

// A long-running task that takes a whole worker.
static Step watchStep()
{
    Step step = stepOfTasks(1);
    step.longRunning_ = true;
    step.demand_ = *Resources::create(4000, 1000, 0);
    return step;
}

// A leader whose long-running task runs on w-1, with a lease that was granted at 40 ms.
static LeaderWorld worldWithWatch()
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ watchStep() }, 10);
    world.commit(20);
    world.reply("w-1", 21);
    world.lastCompletedOrder_ = OrderNumber(1);
    world.report("w-1", 30, { { { { watchJob, 0, 0, 0 }, 1 }, "", 100, 0, 100 } });
    world.reply("w-1", 40);
    return world;
}

BOOST_AUTO_TEST_SUITE(lease_bounds)

// Guards against a bound that is too early: a report that was overtaken by a newer one hid the worker from the reply that
// granted it a lease.
BOOST_AUTO_TEST_CASE(lease_is_noted_although_an_earlier_report_arrives_late)
{
    LeaderWorld world = worldWithWatch();
    world.commit(500);
    world.report("w-1", 510);
    AgentReport late { "w-1", "north", 7, world.state_.epoch_, world.fenceOf("w-1"), Sequence(1), OrderNumber(), {}, {}, true, {} };
    world.handle(ReportArrived { late }, 520);
    BOOST_REQUIRE((makeReportReply(world.state_, "w-1", at(530)).lease_ == Tuning().taskLease_));
    BOOST_TEST((world.state_.workers_.at({ "w-1", 1000, "" }).leaseEnd_ >= at(530) + Tuning().taskLease_));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
