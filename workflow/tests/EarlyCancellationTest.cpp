// Cancellations of jobs whose submission is still on its way.
#include "LeaderWorld.h"

namespace persimmondoor::workflow {

static const std::string refusal = "not accepted: the job was cancelled before its submission arrived";

static JobId idOf(const std::string& text)
{
    return JobId::of(text);
}

BOOST_AUTO_TEST_SUITE(early_cancellation)

// Guards against a job that runs although its cancellation was acknowledged: a frozen entry hands its submission in later.
BOOST_AUTO_TEST_CASE(submission_that_arrives_after_its_acknowledged_cancellation_is_refused)
{
    LeaderWorld world;
    world.report("w-1", 10);
    uint64_t cancellation = world.call(Cancel {}, 20);
    world.commit(30);
    BOOST_TEST(world.answer(cancellation) == "no such job");
    for (int64_t time : { 40, 5000, 100'000 }) {
        world.report("w-1", time);
        uint64_t submission = world.submit({ stepOfTasks(1) }, time);
        world.commit(time + 1);
        BOOST_TEST(world.answer(submission) == refusal);
        BOOST_TEST(world.starts("w-1", time + 2).empty());
    }
    // Nobody has submitted the job, as far as the clients know.
    uint64_t status = world.call(GetStatus {}, 100'010);
    BOOST_TEST(world.answer(status) == "no such job");
}

// Guards against an acknowledgement by a leader that is lost, or has been replaced, before the cancellation is stored.
BOOST_AUTO_TEST_CASE(cancellation_of_an_unknown_job_is_acknowledged_once_it_is_stored)
{
    LeaderWorld world;
    uint64_t first = world.call(Cancel {}, 10);
    uint64_t repeated = world.call(Cancel {}, 11);
    BOOST_TEST(world.answer(first) == "none");
    Batch lost = extractBatch(world.state_);
    restage(world.state_, std::move(lost), true);
    uint64_t afterLoss = world.call(Cancel {}, 20);
    for (uint64_t token : { first, repeated, afterLoss })
        BOOST_TEST(world.answer(token) == "none");
    world.commit(30);
    for (uint64_t token : { first, repeated, afterLoss })
        BOOST_TEST(world.answer(token) == "no such job");
    BOOST_TEST(world.answer(world.call(Cancel {}, 40)) == "no such job");
    BOOST_TEST(world.state_.staged_.empty());
}

// Guards against a submission that overtakes the write of its cancellation.
BOOST_AUTO_TEST_CASE(submission_is_refused_before_its_cancellation_is_stored)
{
    LeaderWorld world;
    uint64_t cancellation = world.call(Cancel {}, 10);
    uint64_t submission = world.submit({ stepOfTasks(1) }, 15);
    BOOST_TEST(world.answer(submission) == refusal);
    world.commit(30);
    BOOST_TEST(world.answer(cancellation) == "no such job");
    BOOST_TEST(world.state_.jobs_.empty());
}

// Guards against a successor that takes the late submission, as its predecessor has died or hangs.
BOOST_AUTO_TEST_CASE(successor_refuses_a_submission_whose_cancellation_its_predecessor_has_stored)
{
    LeaderWorld successor({}, 2);
    restoreEarlyCancellations(successor.state_, { idOf("00000000000000aa") }, at(0));
    successor.report("w-1", 10);
    uint64_t submission = successor.submit({ stepOfTasks(1) }, 20);
    BOOST_TEST(successor.answer(submission) == refusal);
    BOOST_TEST(successor.answer(successor.call(Cancel {}, 30)) == "no such job");
}

BOOST_AUTO_TEST_CASE(cancellation_of_an_unknown_job_is_kept_for_the_retention_time)
{
    LeaderWorld world;
    int64_t retentionMs = std::chrono::duration_cast<std::chrono::milliseconds>(world.state_.tuning_.finishedJobRetention_).count();
    world.call(Cancel {}, 10);
    world.commit(20);
    world.handle(Tick { 1'000'000 }, retentionMs - 10);
    BOOST_TEST(world.answer(world.submit({ stepOfTasks(1) }, retentionMs - 5)) == refusal);
    world.handle(Tick { 1'000'000 }, retentionMs + 1000);
    BOOST_TEST(world.state_.earlyCancellations_.empty());
    // Its row is deleted.
    Batch batch = extractBatch(world.state_);
    BOOST_REQUIRE(batch.items_.size() == 1U);
    BOOST_TEST(batch.items_[0].staged_.writesCancellation_);
    world.handle(BatchDurable { batch, at(retentionMs + 1010) }, retentionMs + 1010);
    uint64_t submission = world.submit({ stepOfTasks(1) }, retentionMs + 1020);
    world.commit(retentionMs + 1030);
    BOOST_TEST(world.answer(submission) == "accepted");
}

// Guards against an acknowledgement that is not stored yet: the row of an expired cancellation of the same job is being deleted.
BOOST_AUTO_TEST_CASE(deletion_of_an_expired_cancellation_does_not_confirm_a_new_one, *boost::unit_test::disabled())
{
    LeaderWorld world;
    int64_t retentionMs = std::chrono::duration_cast<std::chrono::milliseconds>(world.state_.tuning_.finishedJobRetention_).count();
    world.call(Cancel {}, 10);
    world.commit(20);
    world.handle(Tick { 1'000'000 }, retentionMs + 1000);
    Batch deletion = extractBatch(world.state_);
    uint64_t again = world.call(Cancel {}, retentionMs + 1001);
    world.handle(BatchDurable { std::move(deletion), at(retentionMs + 1000) }, retentionMs + 1010);
    uint64_t repeated = world.call(Cancel {}, retentionMs + 1011);
    BOOST_TEST(world.answer(again) == "none");
    BOOST_TEST(world.answer(repeated) == "none");
    world.commit(retentionMs + 1020);
    BOOST_TEST(world.answer(again) == "no such job");
    BOOST_TEST(world.answer(repeated) == "no such job");
}

// Guards against a flood of cancellations that fills the leader's memory or keeps clients from cancelling their jobs.
BOOST_AUTO_TEST_CASE(cancellations_of_unknown_jobs_are_bounded)
{
    LeaderWorld world;
    world.state_.tuning_.maximumEarlyCancellations_ = 3;
    world.submit({ stepOfTasks(1) }, 5, "00000000000000ff");
    world.commit(6);
    for (const char* id : { "00000000000000a1", "00000000000000a2", "00000000000000a3" })
        world.call(Cancel {}, 10, id);
    world.commit(20);
    uint64_t beyond = world.call(Cancel {}, 30, "00000000000000a4");
    BOOST_TEST(world.answer(beyond) == "not accepted: too many cancellations of unknown jobs");
    BOOST_TEST(world.state_.earlyCancellations_.size() == 3U);
    uint64_t known = world.call(Cancel {}, 40, "00000000000000ff");
    uint64_t repeated = world.call(Cancel {}, 40, "00000000000000a1");
    world.commit(50);
    BOOST_TEST(world.answer(known) == "cancellation stored");
    BOOST_TEST(world.answer(repeated) == "no such job");
}

// Guards against a client that waits until its deadline for a cancellation that cannot be stored.
BOOST_AUTO_TEST_CASE(cancellation_of_an_unknown_job_is_refused_at_once_while_the_store_fails)
{
    LeaderWorld world;
    world.handle(StoreFailed {}, 10);
    uint64_t cancellation = world.call(Cancel {}, 2000);
    BOOST_TEST(world.answer(cancellation) == "not accepted: the store does not answer");
    BOOST_TEST(world.state_.earlyCancellations_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
