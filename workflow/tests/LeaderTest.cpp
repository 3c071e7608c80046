#include "LeaderWorld.h"

namespace persimmondoor::workflow {

static RunKey runOf(uint32_t step, uint32_t index, uint32_t run, const std::string& job = "00000000000000aa")
{
    return { { JobId::of(job), 0, step, index }, run };
}

BOOST_AUTO_TEST_SUITE(workflow_leader)

BOOST_AUTO_TEST_CASE(job_is_accepted_once_it_is_durable)
{
    LeaderWorld world;
    uint64_t first = world.submit({ stepOfTasks(1) }, 10);
    uint64_t again = world.submit({ stepOfTasks(1) }, 11);
    BOOST_TEST(world.answer(first) == "none");
    world.commit(20);
    BOOST_TEST(world.answer(first) == "accepted");
    BOOST_TEST(world.answer(again) == "accepted");
    uint64_t later = world.submit({ stepOfTasks(1) }, 30);
    BOOST_TEST(world.answer(later) == "accepted");
    BOOST_TEST(world.rows().size() == 1U);
}

BOOST_AUTO_TEST_CASE(order_is_sent_only_after_its_row_is_durable)
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ stepOfTasks(2) }, 10);
    BOOST_TEST(world.starts("w-1", 11).empty());
    world.commit(20);
    BOOST_TEST(world.starts("w-1", 21).size() == 2U);
}

BOOST_AUTO_TEST_CASE(next_step_waits_for_all_tasks_of_the_first)
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ stepOfTasks(2), stepOfTasks(1, { 0 }) }, 10);
    world.commit(20);
    world.reply("w-1", 21);
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", 30, { { runOf(0, 1, 1), "", 50, 0, 100 } }, { { 1, runOf(0, 0, 1), RunEnd::Done, "" } });
    world.commit(40);
    BOOST_TEST(world.starts("w-1", 41).empty());
    world.report("w-1", 50, {}, { { 1, runOf(0, 0, 1), RunEnd::Done, "" }, { 2, runOf(0, 1, 1), RunEnd::Done, "" } });
    world.commit(60);
    auto starts = world.starts("w-1", 61);
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST((starts[0] == runOf(1, 0, 1)));
}

BOOST_AUTO_TEST_CASE(end_is_acknowledged_only_when_durable)
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ stepOfTasks(1) }, 10);
    world.commit(20);
    world.reply("w-1", 21);
    world.lastCompletedOrder_ = OrderNumber(1);
    world.report("w-1", 30, {}, { { 1, runOf(0, 0, 1), RunEnd::Done, "" } });
    ReportReply before = makeReportReply(world.state_, "w-1", at(31));
    BOOST_REQUIRE(before.durableEnds_.size() == 1U);
    BOOST_TEST(before.durableEnds_[0].number_ == 0U);
    BOOST_TEST(world.answer(world.call(GetStatus {}, 32)) == "running");
    world.commit(40);
    BOOST_TEST(makeReportReply(world.state_, "w-1", at(41)).durableEnds_[0].number_ == 1U);
    BOOST_TEST(world.answer(world.call(GetStatus {}, 42)) == "completed");
}

BOOST_AUTO_TEST_CASE(failed_task_is_retried_until_its_attempts_are_used_up)
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ stepOfTasks(1) }, 10);
    world.commit(20);
    world.reply("w-1", 21);
    world.lastCompletedOrder_ = OrderNumber(1);
    world.report("w-1", 30, {}, { { 1, runOf(0, 0, 1), RunEnd::Failed, "" } });
    world.commit(40);
    auto second = world.starts("w-1", 41);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].run_ == 2U);
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", 50, {}, { { 2, runOf(0, 0, 2), RunEnd::Failed, "" } });
    world.commit(60);
    BOOST_TEST(world.starts("w-1", 61).empty());
    BOOST_TEST(world.answer(world.call(GetStatus {}, 62)) == "failed");
}

BOOST_AUTO_TEST_CASE(successor_adopts_the_runs_that_its_workers_list)
{
    LeaderWorld first;
    first.report("w-1", 5);
    first.submit({ stepOfTasks(2) }, 10);
    first.commit(20);
    first.reply("w-1", 21);
    LeaderWorld second(first.rows(), 2);
    BOOST_TEST(second.state_.openJobs_.size() == 1U);
    // The worker runs one of the two tasks; the order to start the other never arrived.
    second.report("w-1", 100, { { runOf(0, 0, 1), "", 10, 0, 100 } });
    second.commit(110);
    auto starts = second.starts("w-1", 111);
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST((starts[0] == runOf(0, 1, 2)));
}

BOOST_AUTO_TEST_CASE(successor_waits_until_the_leases_of_unreachable_workers_have_expired)
{
    LeaderWorld first;
    first.report("w-1", 5);
    first.submit({ stepOfTasks(1) }, 10);
    first.commit(20);
    first.reply("w-1", 21);
    LeaderWorld second(first.rows(), 2);
    Tuning tuning;
    int64_t bound = (tuning.grantPeriodWithoutBound_ + tuning.taskLease_ * (100 + tuning.clockDriftPercent_) / 100).count() / 1000;
    for (int64_t time = 100; time < bound; time += 500) {
        second.commit(time);
        second.report("w-2", time);
        second.handle(Tick { 0 }, time);
        BOOST_TEST(second.starts("w-2", time).empty());
    }
    for (int64_t time = bound + 1000; time < bound + 3000; time += 500) {
        second.commit(time);
        second.report("w-2", time);
        second.handle(Tick { 0 }, time);
    }
    second.commit(bound + 3000);
    BOOST_TEST(second.state_.jobs_.at(JobId::of("00000000000000aa")).tasks_[0].progress_.run_ == 2U);
}

BOOST_AUTO_TEST_CASE(worker_unknown_to_its_restarted_agent_is_dropped_once_its_leases_have_expired)
{
    LeaderWorld world;
    world.reportBy("agent", 7, "w-1", 5);
    world.submit({ stepOfTasks(1) }, 10);
    world.commit(20);
    world.reply("agent", 21);
    // The host has lost power and runs another worker now.
    int64_t bound = 21 + Tuning().taskLease_.count() / 1000 * 102 / 100;
    for (int64_t time = 1000; time < bound; time += 500) {
        world.commit(time);
        world.reportBy("agent", 8, "w-2", time);
        world.handle(Tick { 0 }, time);
        BOOST_TEST(world.starts("agent", time).empty());
    }
    for (int64_t time = bound + 500; time < bound + 2500; time += 500) {
        world.commit(time);
        world.reportBy("agent", 8, "w-2", time);
        world.handle(Tick { 0 }, time);
    }
    world.commit(bound + 2500);
    BOOST_TEST(world.state_.jobs_.at(JobId::of("00000000000000aa")).tasks_[0].progress_.run_ == 2U);
}

BOOST_AUTO_TEST_CASE(cancelled_job_is_stopped_and_starts_nothing)
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ stepOfTasks(1), stepOfTasks(1, { 0 }) }, 10);
    world.commit(20);
    world.reply("w-1", 21);
    uint64_t cancel = world.call(Cancel {}, 30);
    auto orders = world.reply("w-1", 31);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(std::holds_alternative<StopRun>(orders[0]));
    BOOST_TEST(world.answer(cancel) == "none");
    world.commit(40);
    BOOST_TEST(world.answer(cancel) == "cancellation stored");
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", 50, {}, { { 1, runOf(0, 0, 1), RunEnd::Done, "" } });
    world.commit(60);
    BOOST_TEST(world.starts("w-1", 61).empty());
    BOOST_TEST(world.answer(world.call(GetStatus {}, 62)) == "cancelled");
    BOOST_TEST(world.state_.openJobs_.empty());
}

BOOST_AUTO_TEST_CASE(run_still_listed_after_its_stop_is_stopped_again)
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ stepOfTasks(1) }, 10);
    world.commit(20);
    world.reply("w-1", 21);
    world.call(Cancel {}, 30);
    world.commit(31);
    BOOST_TEST(world.reply("w-1", 32).size() == 1U);
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", 500, { { runOf(0, 0, 1), "", 10, 0, 100 } });
    BOOST_TEST(world.reply("w-1", 501).empty());
    world.report("w-1", 2000, { { runOf(0, 0, 1), "", 10, 0, 100 } });
    BOOST_TEST(world.reply("w-1", 2001).size() == 1U);
}

BOOST_AUTO_TEST_CASE(no_start_in_an_evacuated_domain)
{
    LeaderWorld world;
    world.report("w-1", 5);
    world.submit({ stepOfTasks(1) }, 10);
    // The domain is evacuated after the start was decided and before its batch is durable.
    world.handle(EvacuationsChanged { { "north" } }, 15);
    world.commit(20);
    BOOST_TEST(world.starts("w-1", 21).empty());
    world.handle(EvacuationsChanged { {} }, 30);
    world.commit(40);
    BOOST_TEST(world.starts("w-1", 41).size() == 1U);
}

BOOST_AUTO_TEST_CASE(draining_worker_gets_no_runs_and_long_running_tasks_move)
{
    LeaderWorld world;
    Step step = stepOfTasks(1);
    step.longRunning_ = true;
    world.report("w-1", 5);
    world.submit({ step }, 10);
    world.commit(20);
    world.reply("w-1", 21);
    world.lastCompletedOrder_ = OrderNumber(1);
    world.draining_ = true;
    world.report("w-1", 30, { { runOf(0, 0, 1), "", 100, 0, 100 } });
    auto orders = world.reply("w-1", 31);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(std::holds_alternative<StopRun>(orders[0]));
    world.lastCompletedOrder_ = OrderNumber(2);
    world.report("w-1", 40, {}, { { 1, runOf(0, 0, 1), RunEnd::Stopped, "ck" } });
    world.draining_ = false;
    world.lastCompletedOrder_ = OrderNumber(0);
    world.report("w-2", 50);
    world.commit(60);
    auto starts = world.reply("w-2", 61);
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(std::get<StartRun>(starts[0]).checkpoint_ == "ck");
}

BOOST_AUTO_TEST_CASE(staged_submission_is_not_refused_while_the_store_does_not_answer)
{
    LeaderWorld world;
    uint64_t first = world.submit({ stepOfTasks(1) }, 10);
    // The last durable write is too old: a new job is refused, while a submission that is already staged stays pending.
    uint64_t again = world.submit({ stepOfTasks(1) }, 2500);
    uint64_t other = world.submit({ stepOfTasks(1) }, 2500, "00000000000000bb");
    BOOST_TEST(world.answer(again) == "none");
    BOOST_TEST(world.answer(other) == "not accepted: the store does not answer");
    world.commit(3000);
    BOOST_TEST(world.answer(first) == "accepted");
    BOOST_TEST(world.answer(again) == "accepted");
}

BOOST_AUTO_TEST_CASE(job_never_sent_to_a_failing_store_is_refused_before_the_client_times_out)
{
    LeaderWorld world;
    world.report("w-1", 5);
    uint64_t first = world.submit({ stepOfTasks(1) }, 10);
    Batch sent = extractBatch(world.state_);
    uint64_t second = world.submit({ stepOfTasks(1) }, 20, "00000000000000bb");
    uint64_t repeated = world.submit({ stepOfTasks(1) }, 30, "00000000000000bb");
    world.handle(StoreFailed {}, 100);
    restage(world.state_, std::move(sent), true);
    world.handle(Tick { 1'000'000 }, 750);
    BOOST_TEST(world.answer(second) == "none");
    world.handle(Tick { 1'000'000 }, 1000);
    // The outcome of the first job is unknown; the second was never sent to the store.
    BOOST_TEST(world.answer(first) == "none");
    BOOST_TEST(world.answer(second) == "not accepted: the store does not answer");
    BOOST_TEST(world.answer(repeated) == "not accepted: the store does not answer");
    uint64_t third = world.submit({ stepOfTasks(1) }, 1010, "00000000000000cc");
    BOOST_TEST(world.answer(third) == "not accepted: the store does not answer");
    world.commit(1020);
    BOOST_TEST(world.answer(first) == "accepted");
    BOOST_TEST(world.starts("w-1", 1030).size() == 1U);
    // The refused job may be submitted again and is then a new job.
    uint64_t again = world.submit({ stepOfTasks(1) }, 1040, "00000000000000bb");
    world.commit(1050);
    BOOST_TEST(world.answer(again) == "accepted");
}

BOOST_AUTO_TEST_CASE(cancelled_job_is_not_refused_while_the_store_fails)
{
    LeaderWorld world;
    uint64_t submitted = world.submit({ stepOfTasks(1) }, 10);
    uint64_t cancelled = world.call(Cancel {}, 20);
    world.handle(StoreFailed {}, 100);
    world.handle(Tick { 1'000'000 }, 1000);
    BOOST_TEST(world.answer(submitted) == "none");
    world.commit(1100);
    BOOST_TEST(world.answer(submitted) == "accepted");
    BOOST_TEST(world.answer(cancelled) == "cancellation stored");
}

BOOST_AUTO_TEST_CASE(job_without_a_known_queue_or_with_a_bad_id_is_refused_at_once)
{
    LeaderWorld world;
    uint64_t bad = world.submit({ stepOfTasks(1) }, 10, "short");
    BOOST_TEST(world.answer(bad) == "malformed: the id of a job is 16 hexadecimal digits");
    world.handle(CallArrived { CallToken(99), { "h.example", "/other/00000000000000aa", GetStatus {}, std::chrono::seconds(1) }, 0 }, 11);
    BOOST_TEST(world.answer(99) == "no such queue");
    BOOST_TEST(!JobSpec::create("", { stepOfTasks(10'000) }, {}).ok());
    BOOST_TEST(!JobSpec::create("", { stepOfTasks(1, { 0 }) }, {}).ok());
}

// Number of runs that a new leader starts on a worker that started later than the one to which its predecessor assigned
// the task.
static size_t startsAfterTakeover(const std::string& firstHost, const std::string& secondHost)
{
    LeaderWorld before;
    before.host_ = firstHost;
    before.report("w-1", 10);
    before.submit({ stepOfTasks(1) }, 20);
    before.commit(30);
    BOOST_REQUIRE(before.starts("w-1", 31).size() == 1U);
    LeaderWorld after(before.rows(), 2);
    after.host_ = secondHost;
    after.bornMs_ = 2000;
    after.report("w-2", 100);
    after.commit(110);
    return after.starts("w-2", 120).size();
}

BOOST_AUTO_TEST_CASE(new_worker_of_a_host_replaces_the_earlier_one)
{
    BOOST_TEST(startsAfterTakeover("host-1", "host-1") == 1U);
    BOOST_TEST(startsAfterTakeover("host-1", "host-2") == 0U);
    BOOST_TEST(startsAfterTakeover("", "") == 0U);
}

// Guards against a leader that a worker ends by listing runs that its jobs do not have.
BOOST_AUTO_TEST_CASE(runs_that_no_job_has_are_stopped_and_nothing_else)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.submit({ stepOfTasks(1) }, 20);
    world.commit(30);
    RunKey known = world.starts("w-1", 31).front();
    world.lastCompletedOrder_ = OrderNumber(1);
    constexpr uint32_t beyond = 100'000'000;
    const JobId job = known.task_.job_;
    std::vector<RunKey> unknown { { { job, beyond, 0, 0 }, 1 }, { { job, 0, beyond, 0 }, 1 }, { { job, 0, 0, beyond }, 1 }, { { JobId::of("00000000000000ff"), 0, 0, 0 }, 1 } };
    std::vector<ActiveRun> active { { known, "", 10, 0, 100 } };
    std::vector<EndedRun> ended;
    for (const RunKey& run : unknown) {
        active.push_back({ run, "", 100, 7, 100 });
        ended.push_back({ ended.size() + 1, run, RunEnd::Done, "" });
    }
    world.readingNumber_ = 1;
    world.crashedRuns_ = unknown;
    world.report("w-1", 100, active, ended);
    BOOST_TEST(world.reply("w-1", 101).size() == unknown.size());
    BOOST_TEST(world.answer(world.call(GetStatus {}, 110)) == "running");
}

// Guards against a start in a domain that was evacuated while the order waited for its agent.
BOOST_AUTO_TEST_CASE(start_that_was_never_sent_is_void_once_its_domain_is_evacuated)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.submit({ stepOfTasks(1) }, 20);
    world.commit(30);
    world.handle(EvacuationsChanged { { "north" } }, 40);
    std::vector<Order> orders = world.reply("w-1", 9000);
    BOOST_REQUIRE(!orders.empty());
    for (const Order& order : orders)
        BOOST_TEST(std::holds_alternative<StopRun>(order));
    world.lastCompletedOrder_ = numberOf(orders.back());
    world.report("w-1", 9010);
    world.domain_ = "south";
    world.report("w-2", 9020);
    world.commit(9030);
    BOOST_TEST(world.starts("w-2", 9031).size() == 1U);
}

// Guards against a cancelled job that is started, as the order waited for its agent.
BOOST_AUTO_TEST_CASE(start_that_was_never_sent_is_void_once_its_job_is_cancelled)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.submit({ stepOfTasks(2) }, 20);
    world.commit(30);
    world.call(Cancel {}, 40);
    world.commit(50);
    BOOST_TEST(world.starts("w-1", 9000).empty());
}

// Guards against clients that use up their few attempts within one outage of the store.
BOOST_AUTO_TEST_CASE(refused_clients_come_back_later_the_longer_the_store_fails)
{
    LeaderWorld world;
    world.handle(StoreFailed {}, 100);
    auto retryAfter = [&](int64_t time) { return refuseUnstorable(world.state_, at(time)).retryAfter_; };
    BOOST_TEST((retryAfter(900) == std::chrono::milliseconds(1000)));
    BOOST_TEST((retryAfter(1600) == std::chrono::milliseconds(1500)));
    BOOST_TEST((retryAfter(9000) == std::chrono::milliseconds(2000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
