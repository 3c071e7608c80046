#include "Fixtures.h"
#include "persimmondoor/settings/Follower.h"
#include "persimmondoor/settings/SettingsActor.h"
#include "persimmondoor/settings/Subtrees.h"

#include "persimmondoor/core/Coroutine.h"

using namespace persimmondoor;
using namespace persimmondoor::settings;
using namespace persimmondoor::settings::fixtures;
using boost::asio::awaitable;

namespace {

struct Cell {
    rpc::Loop loop_;
    store::MemoryTable table_ = store::MemoryTable::create();

    WriteOutcome write(WriteRequest request) { return runToEnd(loop_.context(), writeSubtree(table_, std::move(request))); }
    std::vector<Subtree> stored() { return *runToEnd(loop_.context(), loadNewer(table_, Tree())); }
};

WriteRefusal refusalOf(const WriteOutcome& outcome)
{
    BOOST_REQUIRE(std::holds_alternative<WriteRefused>(outcome));
    return std::get<WriteRefused>(outcome).reason_;
}

uint64_t acceptedRevision(const WriteOutcome& outcome)
{
    BOOST_REQUIRE(std::holds_alternative<WriteAccepted>(outcome));
    return std::get<WriteAccepted>(outcome).subtree_.revision_.value();
}

std::string operatorsText(const std::string& branch, const std::string& token)
{
    return R"({"amara":{"token_sha256":")" + digestOfToken(token) + R"(","branches":[")" + branch + R"("]}})";
}

awaitable<Snapshot> snapshotAfter(SettingsActor settings, Duration wait)
{
    co_await sleepFor(wait);
    co_return co_await settings.snapshot();
}

// Waits until the actor has settings and returns its snapshot.
awaitable<Snapshot> snapshotWhenKnown(SettingsActor settings)
{
    for (;;) {
        Snapshot snapshot = co_await settings.snapshot();
        if (snapshot.isKnown_)
            co_return snapshot;
        co_await sleepFor(std::chrono::milliseconds(10));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_store)

BOOST_AUTO_TEST_CASE(racing_writes_give_one_success_and_one_conflict)
{
    Cell cell;
    BOOST_TEST(acceptedRevision(cell.write(change(0, "first"))) == 1U);
    int accepted = 0;
    int conflicts = 0;
    auto race = [&](const std::exception_ptr&, const WriteOutcome& outcome) {
        accepted += std::holds_alternative<WriteAccepted>(outcome) ? 1 : 0;
        conflicts += std::holds_alternative<WriteRefused>(outcome) && refusalOf(outcome) == WriteRefusal::Conflict ? 1 : 0;
    };
    // The delay makes both writes read the same revision before either commits.
    store::TableFaults slow;
    slow.delay_ = std::chrono::milliseconds(5);
    cell.table_.inject(slow);
    boost::asio::co_spawn(cell.loop_.context(), writeSubtree(cell.table_, change(1, "left", slowerTeam)), race);
    boost::asio::co_spawn(cell.loop_.context(), writeSubtree(cell.table_, change(1, "right")), race);
    cell.loop_.context().restart();
    cell.loop_.context().run();
    BOOST_TEST(accepted == 1);
    BOOST_TEST(conflicts == 1);
    BOOST_TEST(cell.stored().at(0).revision_.value() == 2U);
}

BOOST_AUTO_TEST_CASE(stale_expectation_is_a_conflict)
{
    Cell cell;
    cell.write(change(0, "first"));
    BOOST_TEST((refusalOf(cell.write(change(0, "second"))) == WriteRefusal::Conflict));
}

BOOST_AUTO_TEST_CASE(lost_reply_is_read_back_and_the_change_is_made_once)
{
    Cell cell;
    store::TableFaults faults;
    faults.repliesToLose_ = 1;
    cell.table_.inject(faults);
    BOOST_TEST(acceptedRevision(cell.write(change(0, "first"))) == 1U);
    BOOST_TEST(acceptedRevision(cell.write(change(0, "first"))) == 1U);
    BOOST_TEST(cell.stored().at(0).revision_.value() == 1U);
}

BOOST_AUTO_TEST_CASE(repeating_a_change_by_its_write_id_does_not_make_it_twice)
{
    Cell cell;
    cell.write(change(0, "first"));
    cell.write(change(1, "second", slowerTeam));
    BOOST_TEST(acceptedRevision(cell.write(change(1, "second", slowerTeam))) == 2U);
    BOOST_TEST(cell.stored().at(0).revision_.value() == 2U);
}

BOOST_AUTO_TEST_CASE(store_that_is_down_refuses_and_writes_nothing)
{
    Cell cell;
    store::TableFaults faults;
    faults.down_ = true;
    cell.table_.inject(faults);
    BOOST_TEST((refusalOf(cell.write(change(0, "first"))) == WriteRefusal::StoreUnavailable));
    cell.table_.inject({});
    BOOST_TEST(cell.stored().empty());
}

BOOST_AUTO_TEST_CASE(token_limits_writes_to_the_branches_of_its_operator)
{
    Cell cell;
    WriteRequest operators { operatorsName, operatorsText("lankacell", "secret"), Revision(0), WriteId::of("op"), "", false };
    BOOST_TEST(acceptedRevision(cell.write(operators)) == 1U);
    BOOST_TEST((refusalOf(cell.write(change(0, "none"))) == WriteRefusal::NoToken));
    WriteRequest wrong = change(0, "wrong");
    wrong.tokenDigest_ = digestOfToken("guess");
    BOOST_TEST((refusalOf(cell.write(wrong)) == WriteRefusal::NoToken));
    WriteRequest own = change(0, "own");
    own.tokenDigest_ = digestOfToken("secret");
    BOOST_TEST(acceptedRevision(cell.write(own)) == 1U);
    WriteRequest foreign = own;
    foreign.name_ = SubtreeName::of("sorteos");
    BOOST_TEST((refusalOf(cell.write(foreign)) == WriteRefusal::Forbidden));
    foreign.name_ = operatorsName;
    foreign.text_ = operatorsText("*", "secret");
    BOOST_TEST((refusalOf(cell.write(foreign)) == WriteRefusal::Forbidden));
}

BOOST_AUTO_TEST_CASE(dry_run_checks_and_writes_nothing)
{
    Cell cell;
    WriteRequest request = change(0, "dry");
    request.dryRun_ = true;
    WriteOutcome outcome = cell.write(request);
    BOOST_TEST(std::get<WriteAccepted>(outcome).dryRun_);
    BOOST_TEST(cell.stored().empty());
}

BOOST_AUTO_TEST_CASE(bad_contents_are_refused_with_all_faults)
{
    Cell cell;
    WriteOutcome outcome = cell.write(change(0, "bad", R"({"services":{"s":{"tier":"gold","deadline_ms":0,"extra":1}},"quota":{}})"));
    const auto& refused = std::get<WriteRefused>(outcome);
    for (const char* fault : { "services.s.tier", "services.s.deadline_ms", "services.s.extra: unknown key", "quota.cores" })
        BOOST_TEST(refused.detail_.find(fault) != std::string::npos, fault);
    BOOST_TEST((refusalOf(cell.write(change(0, "deep", std::string(10'000, '[')))) == WriteRefusal::Invalid));
    BOOST_TEST((refusalOf(cell.write(change(0, "large", std::string(maximumSubtreeBytes + 1, ' ')))) == WriteRefusal::Invalid));
}

BOOST_AUTO_TEST_CASE(history_keeps_each_revision_and_a_rollback_is_a_new_one)
{
    Cell cell;
    cell.write(change(0, "one"));
    cell.write(change(1, "two", slowerTeam));
    cell.write(change(2, "back"));
    auto history = runToEnd(cell.loop_.context(), loadHistory(cell.table_, team, Revision(3), 100));
    BOOST_REQUIRE(history.ok());
    BOOST_REQUIRE(history->size() == 3U);
    BOOST_TEST(history->at(0).text_ == history->at(2).text_);
    BOOST_TEST(history->at(2).revision_.value() == 3U);
    auto differences = compareSubtrees(history->at(0).text_, history->at(1).text_);
    BOOST_REQUIRE(differences.ok());
    BOOST_TEST((*differences == std::vector<Difference> { { "services.packs.deadline_ms", "500", "900" } }));
}

BOOST_AUTO_TEST_CASE(seeds_are_written_only_where_the_store_has_no_row)
{
    Cell cell;
    cell.write(change(0, "first", slowerTeam));
    BOOST_TEST(runToEnd(cell.loop_.context(), seedSubtree(cell.table_, team, validTeam)).ok());
    BOOST_TEST(runToEnd(cell.loop_.context(), seedSubtree(cell.table_, SubtreeName::of("sorteos"), validTeam)).ok());
    auto stored = cell.stored();
    BOOST_REQUIRE(stored.size() == 2U);
    BOOST_TEST(stored.at(0).text_ == slowerTeam);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(following)

BOOST_AUTO_TEST_CASE(process_that_starts_without_the_store_fetches_the_settings_from_a_peer)
{
    Cell cell;
    auto executor = cell.loop_.context().get_executor();
    SettingsActor peer(executor, SteadyClock(), [](const InForce&, Digest) {});
    peer.apply({ subtree("lankacell", 5) });
    rpc::Interfaces interfaces;
    offerSettings(interfaces, executor, peer);
    auto server = rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), std::move(interfaces));
    BOOST_REQUIRE(server.ok());

    store::TableFaults faults;
    faults.down_ = true;
    cell.table_.inject(faults);
    SettingsActor starting(executor, SteadyClock(), [](const InForce&, Digest) {});
    spawn(executor, "settings synchronizer", synchronizeSettings(starting, cell.table_, { (*server)->address() }, { { SubtreeName::of("lankacell"), slowerTeam } }));
    Snapshot snapshot = runToEnd(cell.loop_.context(), snapshotWhenKnown(starting));
    BOOST_TEST(snapshot.isKnown_);
    BOOST_TEST(snapshot.tree_.revisionOf(SubtreeName::of("lankacell")).value() == 5U);
}

BOOST_AUTO_TEST_CASE(process_without_store_and_peers_reports_unknown_settings)
{
    Cell cell;
    auto executor = cell.loop_.context().get_executor();
    store::TableFaults faults;
    faults.down_ = true;
    cell.table_.inject(faults);
    // The answer of a peer that has no settings itself must not count as known settings.
    SettingsActor peer(executor, SteadyClock(), [](const InForce&, Digest) {});
    rpc::Interfaces interfaces;
    offerSettings(interfaces, executor, peer);
    auto server = rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), std::move(interfaces));
    SettingsActor starting(executor, SteadyClock(), [](const InForce&, Digest) {});
    spawn(executor, "settings synchronizer", synchronizeSettings(starting, cell.table_, { (*server)->address() }, { { SubtreeName::of("lankacell"), slowerTeam } }));
    Snapshot snapshot = runToEnd(cell.loop_.context(), snapshotAfter(starting, std::chrono::milliseconds(300)));
    BOOST_TEST(!snapshot.isKnown_);
    BOOST_TEST(snapshot.tree_.subtrees().empty());
}

BOOST_AUTO_TEST_CASE(stale_peer_does_not_revert_what_is_in_force)
{
    Cell cell;
    auto executor = cell.loop_.context().get_executor();
    SettingsActor stale(executor, SteadyClock(), [](const InForce&, Digest) {});
    stale.apply({ subtree("lankacell", 2) });
    rpc::Interfaces interfaces;
    offerSettings(interfaces, executor, stale);
    auto server = rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), std::move(interfaces));
    SettingsActor settings(executor, SteadyClock(), [](const InForce&, Digest) {});
    settings.apply({ subtree("lankacell", 4, slowerTeam) });
    Follower follower(executor, settings);
    follower.hint((*server)->address(), FetchHere {});
    Snapshot snapshot = runToEnd(cell.loop_.context(), snapshotAfter(settings, std::chrono::milliseconds(200)));
    BOOST_TEST(snapshot.tree_.subtrees().at(SubtreeName::of("lankacell")).text_ == slowerTeam);
}

BOOST_AUTO_TEST_SUITE_END()
