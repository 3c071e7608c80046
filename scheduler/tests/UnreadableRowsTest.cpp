#include "SchedulerWorld.h"

#include "QueueRows.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

static workflow::JobSpec makeSpec()
{
    workflow::Step step;
    step.demand_ = *Resources::create(500, 1000, 0);
    return *workflow::JobSpec::create("spec", { step }, {});
}

static workflow::ClientCall makeCall(const std::string& id, workflow::ClientVerb verb, Duration timeLeft = std::chrono::seconds(3))
{
    return { "h.example", concat("/tests/", id), std::move(verb), timeLeft };
}

// Longer than `SchedulerWorld::run` allows for a test: a call that is repeated until its deadline fails the test.
static constexpr Duration beyondTestLimit = std::chrono::minutes(10);

static asio::awaitable<std::string> answerTo(SchedulerActor entry, workflow::ClientCall call)
{
    workflow::ClientAnswer answer = co_await serveClient(entry, std::move(call));
    co_return workflow::describe(answer);
}

static asio::awaitable<std::string> submitWithRetries(SchedulerActor entry, std::string id)
{
    std::string answer;
    for (int attempt = 0; attempt < 10 && answer != "accepted"; ++attempt) {
        workflow::ClientCall call = makeCall(id, workflow::Submit { makeSpec() });
        answer = co_await answerTo(entry, std::move(call));
    }
    co_return answer;
}

// Kills the leader after `damage` to the rows of a job. Then the other entry must lead the other job and answer calls for
// the damaged one as unknown, at once and without a write.
static asio::awaitable<void> checkTakeoverAfter(SchedulerWorld& world, std::function<void()> damage, std::string table)
{
    for (const char* id : { "00000000000000aa", "00000000000000bb" }) {
        std::string answer = co_await submitWithRetries(world.entry(0), id);
        BOOST_TEST(answer == "accepted");
    }
    auto leader = co_await locateLeader(platform::RowStore::create(world.executor(), world.store().address()));
    size_t index = world.address(0) == leader ? 0 : 1;
    damage();
    std::string damaged = world.store().read(table, "00000000000000bb");
    world.kill(index);
    SchedulerActor other = world.entry(1 - index);
    std::string answer = co_await submitWithRetries(other, "00000000000000cc");
    BOOST_TEST(answer == "accepted");
    workflow::ClientCall status = makeCall("00000000000000aa", workflow::GetStatus {});
    answer = co_await answerTo(other, std::move(status));
    BOOST_TEST(answer == "pending");
    workflow::ClientCall damagedStatus = makeCall("00000000000000bb", workflow::GetStatus {}, beyondTestLimit);
    answer = co_await answerTo(other, std::move(damagedStatus));
    BOOST_TEST(answer == "unknown: the rows of the job cannot be read");
    workflow::ClientCall again = makeCall("00000000000000bb", workflow::Submit { makeSpec() }, beyondTestLimit);
    answer = co_await answerTo(other, std::move(again));
    BOOST_TEST(answer == "unknown: the rows of the job cannot be read");
    workflow::ClientCall cancellation = makeCall("00000000000000bb", workflow::Cancel {}, beyondTestLimit);
    answer = co_await answerTo(other, std::move(cancellation));
    BOOST_TEST(answer == "unknown: the rows of the job cannot be read");
    BOOST_TEST(world.store().read(table, "00000000000000bb") == damaged);
}

BOOST_AUTO_TEST_SUITE(unreadable_rows)

// Guards against queues that no entry can load because of one row.
BOOST_AUTO_TEST_CASE(unreadable_progress_costs_only_its_job)
{
    SchedulerWorld world(2);
    world.run(checkTakeoverAfter(
        world, [&] { world.store().put("progress", "00000000000000bb", R"({"cancelled":false,)"); }, "progress"));
}

// Guards against queues that no entry can load because of one row.
BOOST_AUTO_TEST_CASE(unreadable_record_costs_only_its_job)
{
    SchedulerWorld world(2);
    world.run(checkTakeoverAfter(
        world, [&] { world.store().put("jobs", "00000000000000bb", "x"); }, "jobs"));
}

// Guards against a job that makes one leader after another hang or fail: each would load it again.
BOOST_AUTO_TEST_CASE(hung_job_is_left_out_by_the_successor)
{
    SchedulerWorld world(2);
    world.run(checkTakeoverAfter(
        world, [&] { world.store().put("hung", "00000000000000bb", R"({"reason":"a decision did not end","entry":"e"})"); }, "jobs"));
}

// Guards against rows that can be read one by one and don't fit together, such as too few tasks: the rest would run again.
BOOST_AUTO_TEST_CASE(rows_that_contradict_each_other_are_left_out)
{
    auto recordOf = [](const std::string& id) { return workflow::encodeRecord({ JobId::of(id), {}, 0, makeSpec() }); };
    workflow::Progress progress;
    std::string noTasks = workflow::encodeProgress(progress);
    progress.tasks_.resize(1);
    std::string oneTask = workflow::encodeProgress(progress);
    LoadedRows loaded;
    joinRows({ { "jobs/a1", recordOf("a1"), {} }, { "jobs/a2", recordOf("a2"), {} }, { "jobs/a3", recordOf("a1"), {} }, { "jobs/a4", recordOf("a4"), {} }, { "jobs/?", "", {} } },
        { { "progress/a1", oneTask, {} }, { "progress/a2", noTasks, {} }, { "progress/a3", oneTask, {} }, { "progress/a5", oneTask, {} }, { "progress/?", "", {} } }, loaded);
    BOOST_REQUIRE(loaded.jobs_.size() == 1U);
    BOOST_TEST(loaded.jobs_[0].record_.id_.value() == "a1");
    BOOST_TEST(loaded.unreadableJobs_.size() == 3U);
    BOOST_TEST(loaded.unreadableJobs_.count(JobId::of("a2")) == 1U);
    BOOST_TEST(loaded.unreadableJobs_.count(JobId::of("a3")) == 1U);
    // A record without progress is one that was erased between the reads of the two tables.
    BOOST_TEST(loaded.unreadableJobs_.count(JobId::of("a4")) == 0U);
    BOOST_TEST(loaded.unreadableJobs_.count(JobId::of("a5")) == 1U);
    BOOST_TEST((loaded.unreadableJobs_.at(JobId::of("a2")).spec_ == makeSpec()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::scheduler
