// Idempotency keys: a repeat through any entry does not run the request again, also while the store fails, loses replies
// or answers late.
#include "../../admission/tests/FakeBackend.h"
#include "../src/ClaimCodec.h"
#include "persimmondoor/admission/GateActor.h"
#include "persimmondoor/routing/ClaimsActor.h"
#include "persimmondoor/rpc/Loop.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::routing;
using namespace persimmondoor::admission::testing;
namespace asio = boost::asio;

namespace {

admission::ServiceRequest request(const std::string& id, const std::string& body = "draw")
{
    return { RequestId::of(id), ServiceName::of("s"), {}, Tier::Paying, false, std::chrono::seconds(2), "POST", "/", {}, body };
}

constexpr int64_t day = 24LL * 3600 * 1000;

// Two entries that share a table and one worker.
struct Fixture {
    Fixture()
    {
        rpc::Interfaces interfaces;
        admission::offerAdmission(interfaces, executor_, gate_);
        server_ = *rpc::Server::listen(executor_, *Address::parse("127.0.0.1:0"), std::move(interfaces));
        for (int index = 0; index < 2; ++index) {
            routers_.emplace_back(executor_, SteadyClock(), RouterOptions {});
            routers_.back().tryUpdate(ServiceDefined { ServiceName::of("s"), Tier::Paying, std::chrono::seconds(2) });
            claims_.emplace_back(executor_, SteadyClock(), table_);
        }
    }

    void addWorker()
    {
        for (const RouterActor& router : routers_) {
            router.tryUpdate(membership::WorkerUp { { WorkerName::of("w"), FailureDomainName::of("d"), RackName::of("r"), Incarnation(1), Sequence(1), server_->address(),
                { { EndpointName::of("e"), ServiceName::of("s"), TeamName::of("t"), 2, 2 } }, false } });
        }
    }

    static asio::awaitable<void> collectOutcome(ClaimsActor claims, RouterActor router, admission::ServiceRequest request, std::string key, std::shared_ptr<std::vector<RequestOutcome>> outcomes)
    {
        outcomes->push_back(co_await routeClaimed(std::move(claims), std::move(router), std::move(request), std::move(key)));
    }

    void submit(size_t entry, const admission::ServiceRequest& serviceRequest, const std::string& key)
    {
        spawn(executor_, "claimed", collectOutcome(claims_.at(entry), routers_.at(entry), serviceRequest, key, outcomes_));
    }

    void runUntilOutcomes(size_t count)
    {
        for (int iteration = 0; iteration < 1000 && outcomes_->size() < count; ++iteration)
            runFor(std::chrono::milliseconds(5));
        BOOST_REQUIRE(outcomes_->size() == count);
    }

    void runFor(std::chrono::milliseconds time)
    {
        loop_.context().restart();
        loop_.context().run_for(time);
    }

    RequestOutcome route(size_t entry, const admission::ServiceRequest& serviceRequest, const std::string& key)
    {
        size_t count = outcomes_->size() + 1;
        submit(entry, serviceRequest, key);
        runUntilOutcomes(count);
        // The request does not wait until its answer is written, so the test leaves time for that transaction.
        runFor(std::chrono::milliseconds(60));
        return outcomes_->back();
    }

    rpc::Loop loop_;
    asio::any_io_executor executor_ = loop_.context().get_executor();
    store::MemoryTable table_ = store::MemoryTable::create();
    FakeBackend backend_ { executor_ };
    admission::GateActor gate_ = *admission::GateActor::create(executor_, SteadyClock(), { { { EndpointName::of("e"), 2, 2 }, backend_.address() } });
    std::unique_ptr<rpc::Server> server_;
    std::vector<RouterActor> routers_;
    std::vector<ClaimsActor> claims_;
    std::shared_ptr<std::vector<RequestOutcome>> outcomes_ = std::make_shared<std::vector<RequestOutcome>>();
};

NotRunReason reasonOf(const RequestOutcome& outcome)
{
    const auto* notRun = std::get_if<NotRun>(&outcome);
    return notRun ? notRun->reason_ : NotRunReason::Unspecified;
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim)

BOOST_AUTO_TEST_CASE(row_round_trips_through_its_encoding)
{
    ClaimRequest claim = *makeClaimRequest(request("r1"), "k");
    ClaimRow row = withAnswer(claim, Done { 201, { { "A", "b" } }, std::string("\0\xFF", 2) }, 5);
    BOOST_TEST((*decodeClaim(encodeClaim(row)) == row));
    for (const char* bad : { "", "{}", "[1]", R"({"claimant":"","digest":1,"at":1,"state":0})", R"({"claimant":"r","digest":1,"at":1,"state":9})" })
        BOOST_TEST(!decodeClaim(bad).ok());
}

BOOST_AUTO_TEST_CASE(row_of_another_request_decides_the_outcome)
{
    ClaimRequest claim = *makeClaimRequest(request("r2"), "k");
    ClaimRow open { RequestId::of("r1"), claim.digest_, 0, ClaimState::Open, {} };
    auto outcomeOf = [&](const ClaimRow& row, int64_t wall) { return std::get<ClaimRefused>(evaluateClaim(claim, row, store::RowVersion(3), wall)).outcome_; };
    BOOST_TEST(std::holds_alternative<Unknown>(outcomeOf(open, 1)));
    ClaimRow other = open;
    other.digest_ = claim.digest_ + 1;
    BOOST_TEST((reasonOf(outcomeOf(other, 1)) == NotRunReason::BadRequest));
    ClaimRow kept = withAnswer(*makeClaimRequest(request("r1"), "k"), Done { 200, {}, "ok" }, 0);
    BOOST_TEST(std::get<Done>(outcomeOf(kept, 1)).body_ == "ok");
    ClaimRow large = withAnswer(*makeClaimRequest(request("r1"), "k"), Done { 200, {}, std::string(maximumKeptAnswerBytes + 1, 'x') }, 0);
    BOOST_TEST(std::holds_alternative<Unknown>(outcomeOf(large, 1)));
    BOOST_TEST((evaluateClaim(claim, open, store::RowVersion(3), day + 1) == ClaimVerdict(ClaimExpired { store::RowVersion(3) })));
    BOOST_TEST((evaluateClaim(*makeClaimRequest(request("r1"), "k"), open, store::RowVersion(3), 1) == ClaimVerdict(ClaimMade { store::RowVersion(3) })));
}

BOOST_AUTO_TEST_CASE(key_must_be_a_name)
{
    BOOST_TEST(!makeClaimRequest(request("r"), "").ok());
    BOOST_TEST(!makeClaimRequest(request("r"), "a b").ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(claims_actor, Fixture)

BOOST_AUTO_TEST_CASE(repeat_through_another_entry_gets_the_first_answer)
{
    addWorker();
    BOOST_TEST(std::get<Done>(route(0, request("r1"), "k")).body_ == "plain");
    BOOST_TEST(std::get<Done>(route(1, request("r2"), "k")).body_ == "plain");
    BOOST_TEST(backend_.requests() == 1);
    BOOST_TEST((reasonOf(route(1, request("r3", "other draw"), "k")) == NotRunReason::BadRequest));
    BOOST_TEST(std::get<Done>(route(1, request("r4"), "k2")).body_ == "plain");
    BOOST_TEST(backend_.requests() == 2);
}

BOOST_AUTO_TEST_CASE(concurrent_requests_with_one_key_run_once)
{
    addWorker();
    backend_.script({ Send { okAnswer("slow"), std::chrono::milliseconds(50) } });
    for (size_t index = 0; index < 10; ++index)
        submit(index % 2, request("r" + std::to_string(index)), "k");
    runUntilOutcomes(10);
    BOOST_TEST(backend_.requests() == 1);
    for (const RequestOutcome& outcome : *outcomes_)
        BOOST_TEST(!std::holds_alternative<NotRun>(outcome));
}

BOOST_AUTO_TEST_CASE(unavailable_store_gives_not_run)
{
    addWorker();
    table_.inject({ true, Duration(0), 0 });
    BOOST_TEST((reasonOf(route(0, request("r1"), "k")) == NotRunReason::StoreUnavailable));
    BOOST_TEST(backend_.requests() == 0);
    table_.inject({});
    BOOST_TEST(std::get<Done>(route(0, request("r2"), "k")).body_ == "plain");
}

BOOST_AUTO_TEST_CASE(lost_reply_to_a_claim_is_read_back)
{
    addWorker();
    table_.inject({ false, Duration(0), 1 });
    BOOST_TEST(std::get<Done>(route(0, request("r1"), "k")).body_ == "plain");
    BOOST_TEST(std::get<Done>(route(1, request("r2"), "k")).body_ == "plain");
    BOOST_TEST(backend_.requests() == 1);
}

// The claim is committed after the request's deadline: it is released, and a repeat runs.
BOOST_AUTO_TEST_CASE(claim_committed_after_the_deadline_is_released)
{
    addWorker();
    table_.inject({ false, std::chrono::milliseconds(300), 0 });
    admission::ServiceRequest hurried = request("r1");
    hurried.timeLeft_ = std::chrono::milliseconds(100);
    BOOST_TEST((reasonOf(route(0, hurried, "k")) == NotRunReason::StoreUnavailable));
    runFor(std::chrono::milliseconds(800));
    table_.inject({});
    BOOST_TEST(std::get<Done>(route(1, request("r2"), "k")).body_ == "plain");
    BOOST_TEST(backend_.requests() == 1);
}

BOOST_AUTO_TEST_CASE(request_that_was_not_run_releases_its_key)
{
    BOOST_TEST((reasonOf(route(0, request("r1"), "k")) == NotRunReason::NoEndpoint));
    addWorker();
    BOOST_TEST(std::get<Done>(route(1, request("r2"), "k")).body_ == "plain");
}

BOOST_AUTO_TEST_CASE(request_with_unknown_outcome_keeps_its_key)
{
    addWorker();
    backend_.script({ Close {} });
    BOOST_TEST(std::holds_alternative<Unknown>(route(0, request("r1"), "k")));
    BOOST_TEST(std::holds_alternative<Unknown>(route(1, request("r2"), "k")));
    BOOST_TEST(backend_.requests() == 1);
}

BOOST_AUTO_TEST_CASE(concurrent_claims_share_transactions)
{
    addWorker();
    for (size_t index = 0; index < 200; ++index)
        submit(0, request("r" + std::to_string(index)), "k" + std::to_string(index));
    runUntilOutcomes(200);
    runFor(std::chrono::milliseconds(100));
    // One transaction for the first claim, two for the others, and those that keep the answers or release the keys.
    BOOST_TEST(table_.state().counts().transactions_ <= 40U);
}

BOOST_AUTO_TEST_SUITE_END()
