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

static Instant leaseEndOfWatch()
{
    return at(40) + Tuning().taskLease_ * 102 / 100 + Tuning().leaseSlack_;
}

static uint32_t runOfWatch(const LeaderWorld& world)
{
    return world.state_.jobs_.at(watchJob).tasks_[0].progress_.run_;
}

// Lets the leader work beside w-2 in [from, to), with a durable write at least every 200 ms.
static void lead(LeaderWorld& world, int64_t from, int64_t to)
{
    for (int64_t time = from; time < to; time += 100) {
        world.report("w-2", time);
        world.reply("w-2", time);
        world.handle(Tick { 1'000'000 + time }, time);
        world.commit(time);
    }
}

// Lets the first leader work until `killedAt` without a report of w-1, and its successor from a second later on.
// \return when the successor starts the task again.
static Instant restartAfterTakeover(int64_t killedAt)
{
    LeaderWorld first = worldWithWatch();
    lead(first, 100, killedAt);
    BOOST_REQUIRE(runOfWatch(first) == 1U);
    int64_t time = killedAt + 1000;
    LeaderWorld second(first.rows(), 2, first.storedBounds_);
    while (runOfWatch(second) == 1U && time < 60'000) {
        lead(second, time, time + 100);
        time += 100;
    }
    return at(time);
}

BOOST_AUTO_TEST_SUITE(lease_bounds)

// Guards against a long-running task that stays without a run for seconds: its worker and agent were gone before the leader
// changed, and the successor waited for leases that could not have been granted.
BOOST_AUTO_TEST_CASE(task_of_a_worker_lost_before_a_takeover_is_started_once_its_leases_have_expired)
{
    for (int64_t killedAt : { 2000, 4000, 6000, 7900 }) {
        Instant restart = restartAfterTakeover(killedAt);
        BOOST_TEST((restart > leaseEndOfWatch()), "killed at " << killedAt);
        // Placement waits for the next check; the successor begins a second after the kill.
        Instant latest = std::max(leaseEndOfWatch(), at(killedAt + 1000)) + std::chrono::milliseconds(600);
        BOOST_TEST((restart <= latest), "killed at " << killedAt << ", started at " << (restart - at(0)).count() / 1000 << " ms");
    }
}

// Guards against the same wait for a worker that is lost at the moment at which the leader is.
BOOST_AUTO_TEST_CASE(task_of_a_worker_lost_with_the_leader_is_started_within_the_leases_of_its_last_write)
{
    Instant restart = restartAfterTakeover(200);
    BOOST_TEST((restart > leaseEndOfWatch()));
    BOOST_TEST((restart <= at(9000)));
}

// Guards against a wait that begins anew with each change of the leader.
BOOST_AUTO_TEST_CASE(bound_of_a_silent_worker_outlives_several_leaders)
{
    LeaderWorld first = worldWithWatch();
    lead(first, 100, 2000);
    LeaseBounds bounds = first.storedBounds_;
    for (uint64_t epoch = 2; epoch < 5; ++epoch) {
        LeaderWorld next(first.rows(), epoch, bounds);
        auto begin = static_cast<int64_t>(epoch) * 1500;
        lead(next, begin, begin + 500);
        bounds = next.storedBounds_;
        BOOST_REQUIRE(bounds.silentWorkers_.size() == 1U);
        BOOST_TEST((bounds.silentWorkers_.begin()->second == leaseEndOfWatch()));
    }
}

// Guards against a task that runs twice: a successor would trust the earlier bound of a worker that has a later lease.
BOOST_AUTO_TEST_CASE(worker_that_is_back_gets_no_lease_until_the_store_no_longer_names_it)
{
    LeaderWorld world = worldWithWatch();
    lead(world, 100, 2000);
    WorkerIncarnation incarnation { "w-1", 1000, "" };
    BOOST_REQUIRE(world.storedBounds_.silentWorkers_.count(incarnation) == 1U);
    ActiveRun watch { { { watchJob, 0, 0, 0 }, 1 }, "", 100, 0, 100 };
    world.report("w-1", 2000, { watch });
    BOOST_TEST((makeReportReply(world.state_, "w-1", at(2010)).lease_ == Duration(0)));
    BOOST_TEST((world.state_.workers_.at(incarnation).leaseEnd_ == leaseEndOfWatch()));
    BOOST_TEST(world.state_.hasLeaseChanges_);
    // A batch that was sent while the worker was silent names it still.
    Batch earlier;
    earlier.silentWorkers_.emplace(incarnation, leaseEndOfWatch());
    world.handle(BatchDurable { earlier, at(1990) }, 2015);
    BOOST_TEST((makeReportReply(world.state_, "w-1", at(2016)).lease_ == Duration(0)));
    world.commit(2020);
    BOOST_TEST(world.storedBounds_.silentWorkers_.empty());
    BOOST_TEST(isReplyDue(world.state_, "w-1", at(2021)));
    BOOST_TEST((makeReportReply(world.state_, "w-1", at(2021)).lease_ == Tuning().taskLease_));
    BOOST_TEST((world.state_.workers_.at(incarnation).leaseEnd_ > leaseEndOfWatch()));
}

// Guards against a task that runs twice: a leader without the store goes on granting leases beyond the bound in the store.
BOOST_AUTO_TEST_CASE(leases_end_by_the_stored_bound)
{
    LeaderWorld world = worldWithWatch();
    lead(world, 100, 1000);
    world.report("w-1", 1000);
    world.commit(1010);
    BOOST_REQUIRE((makeReportReply(world.state_, "w-1", at(1020)).lease_ == Tuning().taskLease_));
    Duration shortest = Tuning().taskLease_;
    for (int64_t time = 1100; time < 15'000; time += 100) {
        world.report("w-1", time);
        Duration lease = makeReportReply(world.state_, "w-1", at(time)).lease_;
        BOOST_TEST((lease <= shortest));
        BOOST_TEST((world.state_.workers_.at({ "w-1", 1000, "" }).leaseEnd_ <= world.storedBounds_.latest_));
        shortest = lease;
    }
    BOOST_TEST((shortest == Duration(0)));
}

// Guards against a lease that a leader grants before the store has its bound.
BOOST_AUTO_TEST_CASE(new_leader_grants_no_lease_before_its_first_durable_write)
{
    LeaderWorld world;
    world.state_.leasesEndBy_ = Instant();
    world.report("w-1", 100);
    BOOST_TEST((makeReportReply(world.state_, "w-1", at(110)).lease_ == Duration(0)));
    world.commit(120);
    BOOST_TEST((makeReportReply(world.state_, "w-1", at(130)).lease_ == Tuning().taskLease_));
}

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
