#include "SchedulerWorld.h"

#include "LeaderRow.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

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
        workflow::offerScheduler(interfaces, world.executor(), { [this](workflow::ClientCall) { return reply(); }, [](workflow::AgentReport) -> asio::awaitable<workflow::ExchangeAnswer> { co_return workflow::ExchangeAnswer {}; }, [this](Address, workflow::LeaderView) { return pong(); } });
        auto server = rpc::Server::listen(world.executor(), address_, std::move(interfaces));
        BOOST_REQUIRE(server.ok());
        server_ = *std::move(server);
        world.store().put("leader", "leader", encodeClaim({ epoch_, address_, 1 }));
    }

    // Waits until the entry follows this leader.
    asio::awaitable<void> awaitFollower(SchedulerActor entry)
    {
        for (int attempt = 0; attempt < 250 && !co_await entry.isReady(); ++attempt)
            co_await sleepFor(std::chrono::milliseconds(20));
    }

    int calls() const { return calls_; }

private:
    asio::awaitable<workflow::ClientAnswer> reply()
    {
        if (++calls_ == 1)
            co_await sleepFor(std::chrono::seconds(10));
        co_return answer_;
    }
    asio::awaitable<workflow::PingAnswer> pong()
    {
        workflow::PingAnswer answer { { epoch_, address_, true, Duration(0), Duration(0) }, {} };
        co_return answer;
    }

    workflow::ClientAnswer answer_;
    Address address_;
    workflow::LeaderEpoch epoch_ { 1 };
    int calls_ { 0 };
    std::unique_ptr<rpc::Server> server_;
};

// Makes the call at the first of several entries. The leader leaves the first attempt unanswered and gives the next ones `answer`.
static workflow::ClientAnswer answerAfterUnansweredAttempt(size_t entries, workflow::ClientVerb verb, workflow::ClientAnswer answer)
{
    SchedulerWorld world(entries);
    SilentLeader leader(world, std::move(answer));
    workflow::ClientAnswer result;
    world.run([](SchedulerWorld& world, SilentLeader& leader, workflow::ClientVerb verb, size_t entries, workflow::ClientAnswer& result) -> asio::awaitable<void> {
        for (size_t index = 0; index < entries; ++index)
            co_await leader.awaitFollower(world.entry(index));
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::scheduler
