#include "SchedulerWorld.h"

#include "LeaderRow.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::scheduler {

namespace asio = boost::asio;
using workflow::LeaderEpoch;

static workflow::ClientCall makeCall(workflow::ClientVerb verb)
{
    return { "h.example", "/tests/00000000000000aa", std::move(verb), std::chrono::milliseconds(2500) };
}

static workflow::ClientVerb makeSubmit()
{
    workflow::Step step;
    step.demand_ = *Resources::create(500, 1000, 0);
    return workflow::Submit { *workflow::JobSpec::create("spec", { step }, {}) };
}

// Plays the leader of the queues for the entries of a world: the first call is left without an answer, as if its bytes were held
// up on the way, and each later one gets `answer_`.
class SilentLeader {
public:
    SilentLeader(SchedulerWorld& world, workflow::ClientAnswer answer)
        : answer_(std::move(answer))
        , address_(findFreeAddress(world.executor()))
    {
        rpc::Interfaces interfaces;
        workflow::offerScheduler(interfaces, world.executor(), { [this](workflow::ClientCall call) { return reply(std::move(call)); }, [](workflow::AgentReport) -> asio::awaitable<workflow::ExchangeAnswer> { co_return workflow::ExchangeAnswer {}; }, [this](Address from, workflow::LeaderView) { return pong(std::move(from)); } });
        auto server = rpc::Server::listen(world.executor(), address_, std::move(interfaces));
        BOOST_REQUIRE(server.ok());
        server_ = *std::move(server);
        world.store().put("leader", "leader", encodeClaim({ epoch_, address_, 1 }));
    }

    // Waits until that many entries follow this leader and have had the answer to a ping.
    asio::awaitable<void> awaitFollowers(size_t entries)
    {
        for (int attempt = 0; attempt < 250 && pings_.size() < entries; ++attempt)
            co_await sleepFor(std::chrono::milliseconds(20));
        BOOST_REQUIRE(pings_.size() == entries);
        co_await sleepFor(std::chrono::milliseconds(100));
    }

    int calls() const { return calls_; }
    // The expiry of the last call.
    const std::optional<workflow::CallExpiry>& expiry() const { return expiry_; }
    // By the leader's clock.
    Instant time() const { return now(SteadyClock()) + clockLead; }
    workflow::LeaderEpoch epoch() const { return epoch_; }

private:
    static constexpr Duration clockLead = std::chrono::hours(5);

    asio::awaitable<workflow::ClientAnswer> reply(workflow::ClientCall call)
    {
        expiry_ = call.expiry_;
        if (++calls_ == 1)
            co_await sleepFor(std::chrono::seconds(10));
        co_return answer_;
    }
    asio::awaitable<workflow::PingAnswer> pong(Address from)
    {
        pings_.insert(std::move(from));
        workflow::PingAnswer answer { { epoch_, address_, true, Duration(0), Duration(0), time() }, {} };
        co_return answer;
    }

    workflow::ClientAnswer answer_;
    Address address_;
    workflow::LeaderEpoch epoch_ { 1 };
    std::set<Address> pings_;
    int calls_ { 0 };
    std::optional<workflow::CallExpiry> expiry_;
    std::unique_ptr<rpc::Server> server_;
};

// Makes the call at the first of several entries. The leader leaves the first attempt unanswered and gives the next ones `answer`.
static workflow::ClientAnswer answerAfterUnansweredAttempt(size_t entries, workflow::ClientVerb verb, workflow::ClientAnswer answer)
{
    SchedulerWorld world(entries);
    SilentLeader leader(world, std::move(answer));
    workflow::ClientAnswer result;
    world.run([](SchedulerWorld& world, SilentLeader& leader, workflow::ClientVerb verb, size_t entries, workflow::ClientAnswer& result) -> asio::awaitable<void> {
        co_await leader.awaitFollowers(entries);
        result = co_await serveClient(world.entry(0), makeCall(std::move(verb)));
        BOOST_TEST(leader.calls() > 1);
    }(world, leader, std::move(verb), entries, result));
    return result;
}

BOOST_AUTO_TEST_SUITE(earlier_attempt)

// Guards against an entry that says "never runs" of a job whose first attempt is still on its way to the leader: another entry has
// relayed the leader's refusal of the second.
BOOST_AUTO_TEST_CASE(refusal_through_a_peer_is_withheld_while_the_direct_attempt_may_arrive)
{
    auto answer = answerAfterUnansweredAttempt(2, makeSubmit(), workflow::NotAccepted { "the store does not answer", std::chrono::seconds(1) });
    BOOST_TEST(std::holds_alternative<workflow::OutcomeUnknown>(answer), workflow::describe(answer));
}

// The same for a queue that the leader does not know, which the client would take for a refusal as well.
BOOST_AUTO_TEST_CASE(unknown_queue_through_a_peer_is_withheld_while_the_direct_attempt_may_arrive)
{
    auto answer = answerAfterUnansweredAttempt(2, makeSubmit(), workflow::NoSuchQueue {});
    BOOST_TEST(std::holds_alternative<workflow::OutcomeUnknown>(answer), workflow::describe(answer));
}

// The same for a cancellation, which the client would take for one that has not been carried out.
BOOST_AUTO_TEST_CASE(refused_cancellation_is_withheld_while_the_direct_attempt_may_arrive)
{
    auto answer = answerAfterUnansweredAttempt(2, workflow::Cancel {}, workflow::NotAccepted { "no configuration received yet", std::chrono::seconds(1) });
    BOOST_TEST(std::holds_alternative<workflow::OutcomeUnknown>(answer), workflow::describe(answer));
}

// Guards against the same in the retries of one entry, without a peer.
BOOST_AUTO_TEST_CASE(refusal_of_a_retry_is_withheld_while_the_first_attempt_may_arrive)
{
    auto answer = answerAfterUnansweredAttempt(1, makeSubmit(), workflow::NoSuchQueue {});
    BOOST_TEST(std::holds_alternative<workflow::OutcomeUnknown>(answer), workflow::describe(answer));
}

// A status call has no effect that a late attempt could have.
BOOST_AUTO_TEST_CASE(status_call_gets_the_answer_of_a_retry)
{
    auto answer = answerAfterUnansweredAttempt(2, workflow::GetStatus {}, workflow::NoSuchJob {});
    BOOST_TEST(std::holds_alternative<workflow::NoSuchJob>(answer), workflow::describe(answer));
}

// Guards against a client that has to wait for its deadline although a retry was accepted.
BOOST_AUTO_TEST_CASE(accepted_retry_is_answered)
{
    auto answer = answerAfterUnansweredAttempt(2, makeSubmit(), workflow::Accepted {});
    BOOST_TEST(std::holds_alternative<workflow::Accepted>(answer), workflow::describe(answer));
}

// Guards against a request that takes effect after its client has been answered, and asked again and been refused elsewhere.
BOOST_AUTO_TEST_CASE(call_to_the_leader_expires_when_its_client_is_answered)
{
    SchedulerWorld world(2);
    SilentLeader leader(world, workflow::Accepted {});
    world.run([](SchedulerWorld& world, SilentLeader& leader) -> asio::awaitable<void> {
        co_await leader.awaitFollowers(2);
        workflow::ClientCall call = makeCall(makeSubmit());
        Instant end = leader.time() + call.timeLeft_;
        co_await serveClient(world.entry(0), std::move(call));
        // The second attempt went through the other entry.
        BOOST_TEST(leader.calls() == 2);
        BOOST_REQUIRE(leader.expiry().has_value());
        BOOST_TEST((leader.expiry()->epoch_ == leader.epoch()));
        BOOST_TEST((leader.expiry()->at_ <= end));
        BOOST_TEST((leader.expiry()->at_ > end - std::chrono::seconds(1)));
    }(world, leader));
}

// Guards against a late submission that is stored, and one in time that is not.
BOOST_AUTO_TEST_CASE(expired_submission_is_not_stored)
{
    SchedulerWorld world(1);
    world.run([](SchedulerWorld& world) -> asio::awaitable<void> {
        std::string answer;
        for (int attempt = 0; attempt < 10 && answer != "accepted"; ++attempt) {
            workflow::ClientCall first = makeCall(makeSubmit());
            first.path_ = "/tests/00000000000000bb";
            workflow::ClientAnswer result = co_await serveClient(world.entry(0), std::move(first));
            answer = workflow::describe(result);
        }
        BOOST_REQUIRE(answer == "accepted");
        auto claim = decodeClaim(world.store().read("leader", "leader"));
        BOOST_REQUIRE(claim.ok());
        Instant time = now(SteadyClock());
        for (const workflow::CallExpiry& late : { workflow::CallExpiry { claim->epoch_, time - std::chrono::milliseconds(1) }, workflow::CallExpiry { LeaderEpoch(0), time + std::chrono::seconds(10) } }) {
            workflow::ClientCall call = makeCall(makeSubmit());
            call.expiry_ = late;
            workflow::ClientAnswer result = co_await world.entry(0).call(std::move(call), false);
            BOOST_TEST(std::holds_alternative<workflow::NotLeader>(result), workflow::describe(result));
        }
        co_await sleepFor(std::chrono::milliseconds(200));
        BOOST_TEST(world.store().count("jobs") == 1U);
        workflow::ClientCall call = makeCall(makeSubmit());
        call.expiry_ = workflow::CallExpiry { claim->epoch_, time + std::chrono::seconds(10) };
        workflow::ClientAnswer result = co_await world.entry(0).call(std::move(call), false);
        BOOST_TEST(workflow::describe(result) == "accepted");
        BOOST_TEST(world.store().count("jobs") == 2U);
    }(world));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::scheduler
