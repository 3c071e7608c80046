#include "SchedulerWorld.h"

#include "LeaderRow.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

// A submission whose record takes at least that many bytes.
static workflow::ClientCall makeSubmission(const std::string& id, size_t bytes)
{
    workflow::Step step;
    step.demand_ = *Resources::create(500, 1000, 0);
    step.image_ = std::string(bytes, 'i');
    return { "h.example", concat("/tests/", id), workflow::Submit { *workflow::JobSpec::create("spec", { step }, {}) }, std::chrono::seconds(3) };
}

static asio::awaitable<std::string> submitWithRetries(SchedulerActor entry, std::string id, size_t bytes)
{
    std::string answer;
    for (int attempt = 0; attempt < 10 && answer != "accepted"; ++attempt) {
        workflow::ClientAnswer result = co_await serveClient(entry, makeSubmission(id, bytes));
        answer = workflow::describe(result);
    }
    co_return answer;
}

static asio::awaitable<void> submitOnce(SchedulerActor entry, std::string id, size_t bytes, size_t& accepted, size_t& answered)
{
    workflow::ClientAnswer result = co_await serveClient(entry, makeSubmission(id, bytes));
    accepted += std::holds_alternative<workflow::Accepted>(result) ? 1 : 0;
    ++answered;
}

BOOST_AUTO_TEST_SUITE(large_rows)

// Guards against a job that can never be stored and is tried by one leader after another.
BOOST_AUTO_TEST_CASE(job_larger_than_a_row_is_invalid_at_once)
{
    SchedulerWorld world(1);
    world.run([](SchedulerWorld& world) -> asio::awaitable<void> {
        std::string first = co_await submitWithRetries(world.entry(0), "00000000000000aa", 0);
        BOOST_TEST(first == "accepted");
        uint64_t commits = world.store().commits();
        workflow::ClientAnswer large = co_await serveClient(world.entry(0), makeSubmission("00000000000000bb", 50'000));
        BOOST_TEST(std::holds_alternative<workflow::Malformed>(large), workflow::describe(large));
        // Up to the limit a job is accepted.
        workflow::ClientAnswer fitting = co_await serveClient(world.entry(0), makeSubmission("00000000000000cc", 46'000));
        BOOST_TEST(std::holds_alternative<workflow::Accepted>(fitting), workflow::describe(fitting));
        BOOST_TEST(world.store().commits() > commits);
    }(world));
}

// Guards against a leader that repeats a write without end which the store rejects: all other jobs wait, also under each successor.
BOOST_AUTO_TEST_CASE(job_whose_rows_the_store_rejects_costs_only_that_job)
{
    SchedulerWorld world(1);
    world.run([](SchedulerWorld& world) -> asio::awaitable<void> {
        std::string first = co_await submitWithRetries(world.entry(0), "00000000000000aa", 0);
        BOOST_TEST(first == "accepted");
        std::string claim = world.store().read("leader", "leader");
        // As from an entry that lets larger jobs pass.
        workflow::ClientAnswer large = co_await world.entry(0).call(makeSubmission("00000000000000bb", 60'000), false);
        BOOST_TEST(std::holds_alternative<workflow::Malformed>(large), workflow::describe(large));
        workflow::ClientAnswer next = co_await serveClient(world.entry(0), makeSubmission("00000000000000cc", 0));
        BOOST_TEST(std::holds_alternative<workflow::Accepted>(next), workflow::describe(next));
        BOOST_TEST(world.store().read("leader", "leader") == claim);
        BOOST_TEST(world.store().count("jobs") == 2U);
    }(world));
}

// Guards against jobs that fit each by itself and are sent in one transaction which the store rejects, again and again.
BOOST_AUTO_TEST_CASE(batch_larger_than_a_transaction_is_sent_in_parts)
{
    SchedulerWorld world(1);
    world.run([](SchedulerWorld& world) -> asio::awaitable<void> {
        std::string first = co_await submitWithRetries(world.entry(0), "00000000000000aa", 0);
        BOOST_TEST(first == "accepted");
        constexpr size_t jobs = 36;
        size_t accepted = 0;
        size_t answered = 0;
        for (size_t job = 0; job < jobs; ++job)
            spawn(world.executor(), "submit", submitOnce(world.entry(0), concat("00000000000001", 10 + job), 44'000, accepted, answered));
        for (int wait = 0; wait < 500 && answered < jobs; ++wait)
            co_await sleepFor(std::chrono::milliseconds(20));
        BOOST_TEST(accepted == jobs);
        BOOST_TEST(world.store().count("jobs") == jobs + 1);
    }(world));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::scheduler
