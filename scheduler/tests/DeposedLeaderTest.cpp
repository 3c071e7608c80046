#include "SchedulerWorld.h"

#include "LeaderRow.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

static workflow::ClientCall makeSubmission(const std::string& id)
{
    workflow::Step step;
    step.demand_ = *Resources::create(500, 1000, 0);
    return { "h.example", concat("/tests/", id), workflow::Submit { *workflow::JobSpec::create("spec", { step }, {}) }, std::chrono::seconds(3) };
}

BOOST_AUTO_TEST_SUITE(deposed_leader)

// Guards against a leader that says "never runs" of a job that its successor has accepted: the leader has lost the store, and
// the client repeats a submission whose answer it did not get.
BOOST_AUTO_TEST_CASE(job_that_a_successor_has_accepted_is_not_refused, *boost::unit_test::disabled())
{
    SchedulerWorld world(1);
    world.run([](SchedulerWorld& world) -> asio::awaitable<void> {
        std::string answer;
        for (int attempt = 0; attempt < 10 && answer != "accepted"; ++attempt) {
            workflow::ClientAnswer result = co_await serveClient(world.entry(0), makeSubmission("00000000000000aa"));
            answer = workflow::describe(result);
        }
        BOOST_TEST(answer == "accepted");
        // Only this entry loses the store. The successor is played by writes to the rows.
        platform::StoreFaults faults;
        faults.isDown_ = true;
        world.store().setFaults(faults);
        auto claim = decodeClaim(world.store().read("leader", "leader"));
        BOOST_REQUIRE(claim.ok());
        world.store().put("leader", "leader", encodeClaim({ claim->epoch_.next(), *Address::parse("127.0.0.1:9"), 1 }));
        world.store().put("jobs", "00000000000000bb", workflow::encodeRecord({ JobId::of("00000000000000bb"), {}, 0, {} }));
        co_await sleepFor(std::chrono::milliseconds(2500));
        auto repeated = co_await serveClient(world.entry(0), makeSubmission("00000000000000bb"));
        BOOST_TEST(!std::holds_alternative<workflow::NotAccepted>(repeated), workflow::describe(repeated));
    }(world));
}

// Lets the only entry lead.
static asio::awaitable<void> awaitLeader(SchedulerWorld& world)
{
    std::string answer;
    for (int attempt = 0; attempt < 10 && answer != "accepted"; ++attempt) {
        workflow::ClientAnswer result = co_await serveClient(world.entry(0), makeSubmission("00000000000000aa"));
        answer = workflow::describe(result);
    }
    BOOST_TEST(answer == "accepted");
}

static workflow::ClientCall makeCall(const std::string& id, workflow::ClientVerb verb)
{
    return { "h.example", concat("/tests/", id), std::move(verb), std::chrono::seconds(2) };
}

// Guards against a cancellation that is acknowledged by a leader which does not know yet that it has been replaced: its successor
// has accepted the job, which runs on.
BOOST_AUTO_TEST_CASE(cancellation_of_a_job_that_a_successor_has_accepted_is_not_lost)
{
    SchedulerWorld world(1);
    world.run([](SchedulerWorld& world) -> asio::awaitable<void> {
        co_await awaitLeader(world);
        auto claim = decodeClaim(world.store().read("leader", "leader"));
        BOOST_REQUIRE(claim.ok());
        world.store().put("leader", "leader", encodeClaim({ claim->epoch_.next(), *Address::parse("127.0.0.1:9"), 1 }));
        const workflow::JobSpec spec = std::get<workflow::Submit>(makeSubmission("00000000000000bb").verb_).spec_;
        workflow::Progress progress;
        progress.tasks_.resize(1);
        world.store().put("jobs", "00000000000000bb", workflow::encodeRecord({ JobId::of("00000000000000bb"), {}, 0, spec }));
        world.store().put("progress", "00000000000000bb", workflow::encodeProgress(progress));
        auto answer = co_await serveClient(world.entry(0), makeCall("00000000000000bb", workflow::Cancel {}));
        BOOST_TEST(!std::holds_alternative<workflow::NoSuchJob>(answer), workflow::describe(answer));
        BOOST_TEST(world.store().count("cancelled") == 0U);
        // This entry has taken over again by then.
        if (std::holds_alternative<workflow::CancelAccepted>(answer)) {
            auto stored = workflow::decodeProgress(world.store().read("progress", "00000000000000bb"));
            BOOST_TEST((stored.ok() && stored->isCancelled_));
        }
    }(world));
}

// Guards against a job that is said not to exist by a leader which could not write for long, though it reads the operators' rows.
BOOST_AUTO_TEST_CASE(job_is_not_denied_by_a_leader_that_has_not_written_lately)
{
    SchedulerWorld world(1);
    world.run([](SchedulerWorld& world) -> asio::awaitable<void> {
        co_await awaitLeader(world);
        platform::StoreFaults faults;
        faults.refusesWrites_ = true;
        world.store().setFaults(faults);
        co_await sleepFor(std::chrono::milliseconds(1800));
        auto answer = co_await serveClient(world.entry(0), makeCall("00000000000000bb", workflow::GetStatus {}));
        BOOST_TEST(!std::holds_alternative<workflow::NoSuchJob>(answer), workflow::describe(answer));
    }(world));
}

// Guards against a late submission that a successor takes, although its predecessor has acknowledged the cancellation.
BOOST_AUTO_TEST_CASE(successor_refuses_a_submission_whose_cancellation_was_acknowledged)
{
    SchedulerWorld world(2);
    world.run([](SchedulerWorld& world) -> asio::awaitable<void> {
        co_await awaitLeader(world);
        auto cancelled = co_await serveClient(world.entry(0), makeCall("00000000000000bb", workflow::Cancel {}));
        BOOST_TEST(std::holds_alternative<workflow::NoSuchJob>(cancelled), workflow::describe(cancelled));
        BOOST_TEST(world.store().count("cancelled") == 1U);
        auto claim = decodeClaim(world.store().read("leader", "leader"));
        BOOST_REQUIRE(claim.ok());
        size_t leader = claim->address_ == world.address(0) ? 0 : 1;
        world.kill(leader);
        std::string answer;
        for (int attempt = 0; attempt < 10 && answer.find("cancelled") == std::string::npos; ++attempt) {
            workflow::ClientAnswer result = co_await serveClient(world.entry(1 - leader), makeSubmission("00000000000000bb"));
            answer = workflow::describe(result);
            BOOST_TEST(answer != "accepted");
        }
        BOOST_TEST(answer == "not accepted: the job was cancelled before its submission arrived");
    }(world));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::scheduler
