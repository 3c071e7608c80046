#include "persimmondoor/jobs/Owner.h"
#include "Store.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/store/TableState.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::jobs;

namespace {

constexpr Instant start = Instant::fromMicroseconds(0);
const TeamName team = TeamName::of("team");

JobSpec makeJob(const std::string& name, uint32_t tasks)
{
    JobSpec spec;
    spec.id_ = *jobId(team, name);
    spec.team_ = team;
    spec.command_ = "sleep 1";
    spec.taskCount_ = tasks;
    spec.resources_ = *Resources::create(1000, 1'000'000, 0);
    return spec;
}

placement::Site site(int number)
{
    return { WorkerName::of(concat("worker-", number)), RackName::of("rack"), FailureDomainName::of("domain") };
}

// Handles a message, with every commit answered as written at once. Returns the number of commits.
size_t handleAndCommit(Owner& owner, OwnerMessage message, Instant now)
{
    size_t writes = 0;
    std::vector<OwnerMessage> queue { std::move(message) };
    while (!queue.empty()) {
        OwnerMessage next = std::move(queue.back());
        queue.pop_back();
        OwnerDecision decision = decide(std::move(owner), next, { now, 0 });
        owner = std::move(decision.state_);
        for (const OwnerAction& action : decision.actions_) {
            if (const auto* commit = std::get_if<CommitBatch>(&action)) {
                ++writes;
                queue.emplace_back(JournalAnswered { BatchWritten { commit->batch_.sequence_ } });
            }
        }
    }
    return writes;
}

Owner emptyOwner()
{
    return Owner::create({ PartitionNumber(1), Epoch(1), Sequence(1), 0, Duration(0) }, Ledger(), start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(owner)

BOOST_AUTO_TEST_CASE(cancellation_of_a_job_of_ten_thousand_tasks_is_one_transaction)
{
    Owner owner = emptyOwner();
    handleAndCommit(owner, SubmitRequested { Ticket(1), makeJob("wave", 10'000) }, start);
    handleAndCommit(owner, TimePassed {}, start + batchWindow);
    BOOST_TEST(owner.ledger().liveTasks() == 10'000U);
    size_t writes = handleAndCommit(owner, CancelRequested { Ticket(2), { *jobId(team, "wave") } }, start + 2 * batchWindow);
    writes += handleAndCommit(owner, TimePassed {}, start + 3 * batchWindow);
    BOOST_TEST(writes == 1U);
    BOOST_TEST(owner.ledger().liveTasks() == 0U);
}

BOOST_AUTO_TEST_CASE(cancellation_of_ten_thousand_jobs_is_few_transactions)
{
    Owner owner = emptyOwner();
    CancelRequested cancel { Ticket(1), {} };
    for (int index = 0; index < 10'000; ++index) {
        handleAndCommit(owner, SubmitRequested { Ticket(2), makeJob(concat("job-", index), 1) }, start);
        cancel.jobs_.push_back(*jobId(team, concat("job-", index)));
    }
    handleAndCommit(owner, TimePassed {}, start + batchWindow);
    size_t writes = handleAndCommit(owner, cancel, start + 2 * batchWindow);
    writes += handleAndCommit(owner, TimePassed {}, start + 3 * batchWindow);
    // 10,000 records of about 80 bytes in batches of 128 KiB.
    BOOST_TEST(writes <= 8U);
    BOOST_TEST(owner.ledger().liveTasks() == 0U);
}

BOOST_AUTO_TEST_CASE(sixty_starts_a_second_need_few_writes)
{
    // The store accepts several hundred writes per second, and the cell starts 3,900 tasks per second: at most 75 writes per
    // 1,000 starts.
    Owner owner = emptyOwner();
    size_t writes = 0;
    for (int second = 0; second < 10; ++second) {
        Instant now = start + second * batchWindow;
        writes += handleAndCommit(owner, SubmitRequested { Ticket(1), makeJob(concat("job-", second), 60) }, now);
        writes += handleAndCommit(owner, TimePassed {}, now + batchWindow - Duration(1));
    }
    BOOST_TEST(writes * 1000 / 600 <= 75U);
}

BOOST_AUTO_TEST_CASE(job_that_fails_everywhere_is_stopped_with_a_reason)
{
    Ledger ledger = applyRecords(Ledger(), { JobSubmitted { makeJob("bad", 100), 0 } }).ledger_;
    for (uint32_t index = 0; index < jobFailureLimit; ++index) {
        TaskKey key { *jobId(team, "bad"), index };
        ledger = applyRecords(ledger, { TaskAssigned { key, Attempt(1), site(static_cast<int>(index % 4)) }, TaskFailed { key, Attempt(1), "no such library", true, 5 } }).ledger_;
    }
    BOOST_TEST(ledger.liveTasks() == 0U);
    const auto* failed = std::get_if<Failed>(&ledger.find(TaskKey { *jobId(team, "bad"), 99 })->phase_);
    BOOST_REQUIRE(failed);
    BOOST_TEST(failed->reason_.find("no such library") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(quarantine_keeps_to_its_cap_and_ends_with_a_success)
{
    Quarantine quarantine;
    for (int worker = 0; worker < 5; ++worker) {
        for (int job = 0; job < 3; ++job)
            quarantine = recordFailure(quarantine, site(worker).worker_, *jobId(team, concat("job-", job)), 20, start);
    }
    BOOST_TEST(quarantine.size() == 2U);
    BOOST_TEST(quarantine.avoidedWorkers(start).contains(site(0).worker_));
    BOOST_TEST(!quarantine.avoidedWorkers(start + firstQuarantineTime).contains(site(0).worker_));
    BOOST_TEST(!recordSuccess(quarantine, site(0).worker_).contains(site(0).worker_));
}

BOOST_AUTO_TEST_CASE(stale_attempt_and_second_end_change_nothing)
{
    TaskKey key { *jobId(team, "once"), 0 };
    Ledger ledger = applyRecords(Ledger(), { JobSubmitted { makeJob("once", 1), 0 }, TaskAssigned { key, Attempt(1), site(1) }, TaskReleased { key, Attempt(1), ReleaseCause::Stopped, "c", 0 }, TaskAssigned { key, Attempt(2), site(2) } })
                        .ledger_;
    BOOST_TEST((applyRecords(ledger, { TaskFinished { key, Attempt(1), 0, "late", 0 } }).ledger_ == ledger));
    Ledger ended = applyRecords(ledger, { TaskFinished { key, Attempt(2), 0, "r", 0 } }).ledger_;
    BOOST_TEST((applyRecords(ended, { TaskFinished { key, Attempt(2), 1, "s", 0 } }).ledger_ == ended));
    BOOST_TEST(ended.find(key)->checkpoint_ == "c");
}

BOOST_AUTO_TEST_CASE(batch_and_snapshot_survive_their_encoding)
{
    TaskKey key { *jobId(team, "kept"), 1 };
    JobSpec spec = makeJob("kept", 3);
    spec.constraint_ = placement::Spread { placement::GroupLevel::Rack, 2 };
    Batch batch { Epoch(4), Sequence(9), { JobSubmitted { spec, 7 }, TaskAssigned { key, Attempt(1), site(1) }, CheckpointSaved { key, Attempt(1), "ref" }, TaskReleased { key, Attempt(1), ReleaseCause::LeaseLapsed, "", 8 }, TaskAssigned { key, Attempt(2), site(2) }, TaskFailed { key, Attempt(2), "why", false, 9 }, JobCancelled { spec.id_, 10 }, JobUnplaceable { spec.id_, "never", 11 }, JobExpired { spec.id_ } } };
    auto decoded = decodeBatch(encode(batch));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((*decoded == batch));
    batch.records_.resize(6);
    Ledger ledger = applyRecords(Ledger(), batch.records_).ledger_;
    auto restored = decodeSnapshot(encodeSnapshot(ledger));
    BOOST_REQUIRE(restored.ok());
    BOOST_TEST((restored->jobs() == ledger.jobs()));
    BOOST_TEST((restored->queue() == ledger.queue()));
    BOOST_TEST(!decodeBatch("not a batch").ok());
}

BOOST_AUTO_TEST_SUITE_END()
