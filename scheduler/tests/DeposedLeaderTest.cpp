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

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::scheduler
