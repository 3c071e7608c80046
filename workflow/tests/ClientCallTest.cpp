#include "ExchangeCodec.h"
#include "LeaderWorld.h"

#include <capnp/message.h>

namespace persimmondoor::workflow {

BOOST_AUTO_TEST_SUITE(client_calls)

// Guards against a call that loses its expiry on the way and takes effect late.
BOOST_AUTO_TEST_CASE(expiry_survives_the_encoding_of_a_call)
{
    for (const std::optional<CallExpiry>& expiry : { std::optional<CallExpiry>(), std::optional<CallExpiry>({ LeaderEpoch(7), at(1234) }) }) {
        ClientCall call { "h.example", "/tests/00000000000000aa", Cancel {}, std::chrono::seconds(3), true, expiry };
        capnp::MallocMessageBuilder message;
        encode(call, message.initRoot<wire::ClientCall>());
        auto decoded = decode(message.getRoot<wire::ClientCall>().asReader());
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((*decoded == call));
    }
}

BOOST_AUTO_TEST_CASE(clock_survives_the_encoding_of_a_view)
{
    for (const std::optional<Instant>& clock : { std::optional<Instant>(), std::optional<Instant>(at(1234)) }) {
        LeaderView view { LeaderEpoch(7), *Address::parse("127.0.0.1:9"), true, std::chrono::seconds(1), std::chrono::seconds(2), clock };
        capnp::MallocMessageBuilder message;
        encode(view, message.initRoot<wire::Leader>());
        auto decoded = decode(message.getRoot<wire::Leader>().asReader());
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((*decoded == view));
    }
}

// Guards against an agent that takes the heartbeats of other systems for those of workers, as it does not learn the services.
BOOST_AUTO_TEST_CASE(services_survive_the_encoding_of_a_reply)
{
    LeaderWorld world;
    world.report("w-1", 10);
    ReportReply reply = makeReportReply(world.state_, "w-1", at(20));
    BOOST_TEST((reply.services_ == std::set<std::string> { "packs" }));
    capnp::MallocMessageBuilder message;
    encode(reply, message.initRoot<wire::Directive>());
    auto decoded = decode(message.getRoot<wire::Directive>().asReader());
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((*decoded == reply));
}

// Guards against an answer that is not recognised as one that denies an effect which an earlier attempt may have.
BOOST_AUTO_TEST_CASE(denials_are_told_from_other_answers)
{
    const ClientVerb submission = Submit { *JobSpec::create("spec", { stepOfTasks(1) }, {}) };
    const ClientVerb cancellation = Cancel {};
    const ClientVerb status = GetStatus {};
    for (const ClientAnswer& answer : { ClientAnswer(NotAccepted {}), ClientAnswer(NotLeader {}), ClientAnswer(NoSuchQueue {}), ClientAnswer(Malformed {}) }) {
        BOOST_TEST(deniesEffect(submission, answer));
        BOOST_TEST(deniesEffect(cancellation, answer));
        BOOST_TEST(!deniesEffect(status, answer));
    }
    for (const ClientAnswer& answer : { ClientAnswer(Accepted {}), ClientAnswer(CancelAccepted {}), ClientAnswer(NoSuchJob {}), ClientAnswer(OutcomeUnknown {}), ClientAnswer(JobUnreadable {}), ClientAnswer(JobStatus {}) }) {
        BOOST_TEST(!deniesEffect(submission, answer));
        BOOST_TEST(!deniesEffect(cancellation, answer));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
