#include "Fixtures.h"
#include "persimmondoor/settings/Distribution.h"

#include <algorithm>
#include <rapidcheck.h>

using namespace persimmondoor;
using namespace persimmondoor::settings;
using namespace persimmondoor::settings::fixtures;

BOOST_AUTO_TEST_SUITE(tree)

BOOST_AUTO_TEST_CASE(an_older_revision_never_replaces_a_newer_one)
{
    Tree tree = decide(Tree(), SubtreesReceived { { subtree("a", 3) } }).state_;
    TreeDecision stale = decide(tree, SubtreesReceived { { subtree("a", 2, slowerTeam), subtree("a", 3, slowerTeam) } });
    BOOST_TEST(stale.actions_.empty());
    BOOST_TEST((stale.state_ == tree));
}

BOOST_AUTO_TEST_CASE(messages_in_any_order_lost_or_repeated_only_raise_revisions)
{
    BOOST_REQUIRE(rc::check("revisions rise", [] {
        auto revisions = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 9)));
        Tree tree;
        std::map<SubtreeName, Revision> highest;
        for (auto [name, revision] : revisions) {
            Subtree item = subtree("team-" + std::to_string(name), static_cast<uint64_t>(revision));
            // A later revision has an earlier wall-clock time, as after a clock step; the order must not depend on it.
            item.acceptedMilliseconds_ = -revision;
            Revision before = tree.revisionOf(item.name_);
            TreeDecision decision = decide(tree, SubtreesReceived { { item } });
            tree = decision.state_;
            highest[item.name_] = std::max(highest[item.name_], item.revision_);
            RC_ASSERT(tree.revisionOf(item.name_) >= before);
            RC_ASSERT(tree.revisionOf(item.name_) == highest[item.name_]);
            RC_ASSERT(decision.actions_.empty() == (tree.revisionOf(item.name_) == before));
        }
    }));
}

BOOST_AUTO_TEST_CASE(digest_depends_on_revisions_and_not_on_their_order)
{
    Tree one = decide(Tree(), SubtreesReceived { { subtree("a", 1), subtree("b", 2) } }).state_;
    Tree other = decide(decide(Tree(), SubtreesReceived { { subtree("b", 2) } }).state_, SubtreesReceived { { subtree("a", 1) } }).state_;
    BOOST_TEST(one.digest() == other.digest());
    BOOST_TEST(one.digest() != decide(one, SubtreesReceived { { subtree("a", 2) } }).state_.digest());
    BOOST_TEST(Tree().digest() == 0U);
}

BOOST_AUTO_TEST_CASE(changes_since_a_remembered_digest_are_returned_and_others_are_not)
{
    Tree old = decide(Tree(), SubtreesReceived { { subtree("a", 1), subtree("b", 1) } }).state_;
    Tree tree = decide(old, SubtreesReceived { { subtree("b", 2) } }).state_;
    auto changed = tree.changedSince(old.digest());
    BOOST_REQUIRE(changed.has_value());
    BOOST_TEST((*changed == std::vector<Subtree> { subtree("b", 2) }));
    BOOST_TEST(tree.changedSince(tree.digest())->empty());
    BOOST_TEST(!tree.changedSince(12345).has_value());
    BOOST_TEST(tree.newerThan({ { SubtreeName::of("a"), Revision(1) }, { SubtreeName::of("b"), Revision(9) } }).empty());
}

BOOST_AUTO_TEST_CASE(memory_of_changes_is_bounded)
{
    Tree tree;
    for (uint64_t revision = 1; revision <= rememberedChanges + 2; ++revision)
        tree = decide(std::move(tree), SubtreesReceived { { subtree("a", revision) } }).state_;
    BOOST_TEST(!tree.changedSince(decide(Tree(), SubtreesReceived { { subtree("a", 1) } }).state_.digest()).has_value());
    BOOST_TEST(tree.changedSince(decide(Tree(), SubtreesReceived { { subtree("a", rememberedChanges + 1) } }).state_.digest()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr Digest newDigest = 7;

DigestAnnouncement announcement(int number, Digest digest)
{
    return { ProcessName::of("w" + std::to_string(number)), *Address::parse("127.0.0.1:" + std::to_string(1000 + number)), digest };
}

// Simulates agents that each announce themselves once an interval; a fetch succeeds at once unless `lost`.
// Returns the number of intervals until all agents have the digest, and the number of fetches from the entry.
std::pair<int, int> simulate(int agents, bool (*lost)(int interval, int agent))
{
    Distribution state;
    std::vector<Digest> digests(static_cast<size_t>(agents), 1);
    int direct = 0;
    for (int interval = 1; interval <= 60; ++interval) {
        Instant now = Instant::fromMicroseconds(interval * std::chrono::microseconds(directInterval).count());
        std::vector<Digest> next = digests;
        for (int agent = 0; agent < agents; ++agent) {
            DistributionDecision decision = decide(std::move(state), announcement(agent, digests[static_cast<size_t>(agent)]), newDigest, now);
            state = std::move(decision.state_);
            direct += std::holds_alternative<FetchHere>(decision.hint_) ? 1 : 0;
            bool fetches = std::holds_alternative<FetchHere>(decision.hint_) || std::holds_alternative<FetchFrom>(decision.hint_);
            if (fetches && !lost(interval, agent))
                next[static_cast<size_t>(agent)] = newDigest;
        }
        digests = std::move(next);
        if (std::all_of(digests.begin(), digests.end(), [](Digest digest) { return digest == newDigest; }))
            return { interval, direct };
    }
    return { 1000, direct };
}

} // namespace

BOOST_AUTO_TEST_SUITE(distribution)

// A change must be in force within 16 s. Besides the write and the push, that leaves time for 12 announcements, one a
// second.
BOOST_AUTO_TEST_CASE(six_thousand_agents_have_a_change_within_the_target_and_few_fetch_from_the_entry)
{
    auto [intervals, direct] = simulate(6300, [](int, int) { return false; });
    BOOST_TEST(intervals <= 12);
    BOOST_TEST(direct <= 12 * static_cast<int>(directFetchesPerInterval));
}

BOOST_AUTO_TEST_CASE(half_of_the_fetches_lost_still_meets_the_target)
{
    auto [intervals, direct] = simulate(6300, [](int interval, int agent) { return (interval * 7 + agent * 13) % 2 == 0; });
    BOOST_TEST(intervals <= 12);
    BOOST_TEST(direct <= 12 * static_cast<int>(directFetchesPerInterval));
}

BOOST_AUTO_TEST_CASE(failed_fetches_from_all_holders_do_not_stop_the_distribution)
{
    auto [intervals, direct] = simulate(100, [](int interval, int) { return interval < 10; });
    BOOST_TEST(intervals < 1000);
}

BOOST_AUTO_TEST_CASE(processes_without_announcements_expire)
{
    Distribution state = decide(Distribution(), announcement(1, 1), 1, Instant()).state_;
    state = decide(state, announcement(2, 1), 1, Instant() + processExpiry + Duration(1)).state_;
    BOOST_TEST(state.processes().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
