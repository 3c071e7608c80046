#include "persimmondoor/scheduler/Leadership.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

namespace persimmondoor::scheduler {

using workflow::LeaderEpoch;
using workflow::LeaderView;

static Instant at(int64_t milliseconds)
{
    return Instant::fromMicroseconds((1'000'000 + milliseconds) * 1000);
}

static const Address self = *Address::parse("127.0.0.1:1");
static const Address leader = *Address::parse("127.0.0.1:2");
static const Address peer = *Address::parse("127.0.0.1:3");

static LeadershipState followingState(int64_t milliseconds)
{
    LeadershipState state;
    state.self_ = self;
    return observeRow(std::move(state), LeaderEpoch(3), leader, store::RowVersion(9), at(milliseconds));
}

// State of an entry whose leader was first observed longer than `newLeaderPeriod_` ago.
static LeadershipState afterNewLeaderPeriod(int64_t milliseconds)
{
    LeadershipState state = followingState(milliseconds - 10'000);
    LeaderView view { LeaderEpoch(3), leader, true, Duration(0), Duration(0) };
    return observeView(std::move(state), leader, view, at(milliseconds));
}

static bool keepsFollowing(const LeadershipState& state, int64_t milliseconds)
{
    return std::holds_alternative<KeepFollowing>(nextStep(state, at(milliseconds)));
}

static LeaderView viewOfLeader(int64_t writeAgeMs)
{
    return { LeaderEpoch(3), leader, true, std::chrono::milliseconds(writeAgeMs), Duration(0) };
}

static LeaderView viewWithClock(LeaderEpoch epoch, int64_t leaderTimeMs)
{
    return { epoch, leader, true, Duration(0), Duration(0), at(leaderTimeMs) };
}

static workflow::ClientCall makeCancellation(std::optional<workflow::CallExpiry> expiry)
{
    return { "h.example", "/tests/00000000000000aa", workflow::Cancel {}, std::chrono::seconds(3), true, expiry };
}

BOOST_AUTO_TEST_SUITE(leadership)

// Guards against a call that takes effect after its entry has given it up: of several views the one that arrived fastest tells most
// about the leader's clock, and none may make the expiry later than the deadline.
BOOST_AUTO_TEST_CASE(call_expires_at_its_deadline_by_the_clock_of_the_leader)
{
    LeadershipState state = followingState(0);
    BOOST_TEST(!expiryOf(state, at(3000)).has_value());
    // The leader's clock is 50,000 ms ahead; the views take 300, 20 and 400 ms.
    state = observeView(std::move(state), leader, viewWithClock(LeaderEpoch(3), 50'100), at(400));
    BOOST_TEST((expiryOf(state, at(3000)) == workflow::CallExpiry { LeaderEpoch(3), at(52'700) }));
    state = observeView(std::move(state), leader, viewWithClock(LeaderEpoch(3), 50'500), at(520));
    BOOST_TEST((expiryOf(state, at(3000)) == workflow::CallExpiry { LeaderEpoch(3), at(52'980) }));
    state = observeView(std::move(state), leader, viewWithClock(LeaderEpoch(3), 50'700), at(1100));
    BOOST_TEST((expiryOf(state, at(3000)) == workflow::CallExpiry { LeaderEpoch(3), at(52'980) }));
}

// Guards against clocks that drift apart during a long term.
BOOST_AUTO_TEST_CASE(bound_on_the_clock_of_the_leader_is_renewed)
{
    LeadershipState state = observeView(followingState(0), leader, viewWithClock(LeaderEpoch(3), 50'000), at(0));
    state = observeView(std::move(state), leader, viewWithClock(LeaderEpoch(3), 59'990), at(10'000));
    BOOST_TEST((expiryOf(state, at(20'000)) == workflow::CallExpiry { LeaderEpoch(3), at(70'000) }));
    state = observeView(std::move(state), leader, viewWithClock(LeaderEpoch(3), 60'240), at(10'250));
    BOOST_TEST((expiryOf(state, at(20'000)) == workflow::CallExpiry { LeaderEpoch(3), at(69'990) }));
}

// Guards against a time by the clock of one leader that is compared with that of the next.
BOOST_AUTO_TEST_CASE(clock_of_an_earlier_leader_gives_no_expiry)
{
    LeadershipState state = observeView(followingState(0), leader, viewWithClock(LeaderEpoch(3), 50'000), at(10));
    LeaderView withoutClock { LeaderEpoch(4), peer, false, Duration(0), Duration(0) };
    state = observeView(std::move(state), peer, withoutClock, at(20));
    BOOST_TEST(!expiryOf(state, at(3000)).has_value());
    state = observeView(std::move(state), leader, viewWithClock(LeaderEpoch(4), 100), at(200));
    BOOST_TEST((expiryOf(state, at(3000)) == workflow::CallExpiry { LeaderEpoch(4), at(2900) }));
    // A late view of the earlier leader changes nothing.
    state = observeView(std::move(state), leader, viewWithClock(LeaderEpoch(3), 90'000), at(300));
    BOOST_TEST((expiryOf(state, at(3000)) == workflow::CallExpiry { LeaderEpoch(4), at(2900) }));
}

BOOST_AUTO_TEST_CASE(late_calls_with_an_effect_have_expired)
{
    auto expiry = workflow::CallExpiry { LeaderEpoch(3), at(1000) };
    BOOST_TEST(!hasExpired(makeCancellation(expiry), LeaderEpoch(3), at(1000)));
    BOOST_TEST(hasExpired(makeCancellation(expiry), LeaderEpoch(3), at(1001)));
    BOOST_TEST(hasExpired(makeCancellation(expiry), LeaderEpoch(4), at(10)));
    BOOST_TEST(hasExpired(makeCancellation(expiry), LeaderEpoch(2), at(10)));
    BOOST_TEST(!hasExpired(makeCancellation(std::nullopt), LeaderEpoch(3), at(5000)));
    workflow::ClientCall status = makeCancellation(expiry);
    status.verb_ = workflow::GetStatus {};
    BOOST_TEST(!hasExpired(status, LeaderEpoch(3), at(5000)));
}

BOOST_AUTO_TEST_CASE(row_is_read_first)
{
    BOOST_TEST(!keepsFollowing(LeadershipState(), 0));
    BOOST_TEST(keepsFollowing(followingState(0), 100));
}

BOOST_AUTO_TEST_CASE(new_leader_gets_a_longer_timeout)
{
    LeadershipState state = followingState(0);
    BOOST_TEST(keepsFollowing(state, 1900));
    BOOST_TEST(!keepsFollowing(state, 2500 + 450 + 1));
    // The longer time-out does not apply once the leader's host has refused a connection.
    state = observeRefusal(followingState(0), at(100));
    BOOST_TEST(!keepsFollowing(state, 100 + 200 + 450 + 1));
}

BOOST_AUTO_TEST_CASE(silent_leader_is_replaced)
{
    LeadershipState state = afterNewLeaderPeriod(0);
    state = observeView(std::move(state), leader, viewOfLeader(100), at(500));
    BOOST_TEST(keepsFollowing(state, 1300));
    BOOST_TEST(!keepsFollowing(state, 500 + 900 + 450 + 1));
}

BOOST_AUTO_TEST_CASE(leader_still_reached_by_another_entry_is_kept)
{
    LeadershipState state = followingState(0);
    LeaderView indirect { LeaderEpoch(3), leader, false, std::chrono::milliseconds(100), std::chrono::milliseconds(50) };
    for (int64_t time = 0; time < 5000; time += 300)
        state = observeView(std::move(state), peer, indirect, at(time));
    BOOST_TEST(keepsFollowing(state, 5000));
}

BOOST_AUTO_TEST_CASE(leader_without_writes_is_replaced)
{
    LeadershipState state = followingState(0);
    for (int64_t time = 0; time <= 3000; time += 250)
        state = observeView(std::move(state), leader, viewOfLeader(time), at(time));
    BOOST_TEST(!keepsFollowing(state, 3000));
}

BOOST_AUTO_TEST_CASE(contacts_before_a_refused_connection_are_ignored)
{
    LeadershipState state = followingState(0);
    state = observeRefusal(std::move(state), at(400));
    LeaderView before { LeaderEpoch(3), leader, false, Duration(0), std::chrono::milliseconds(300) };
    state = observeView(std::move(state), peer, before, at(450));
    BOOST_TEST(!keepsFollowing(state, 400 + 200 + 450 + 1));
}

BOOST_AUTO_TEST_CASE(restarted_leader_is_replaced_at_once)
{
    LeadershipState state = followingState(0);
    LeaderView restarted { LeaderEpoch(0), std::nullopt, false, Duration(0), Duration(0) };
    state = observeView(std::move(state), leader, restarted, at(300));
    BOOST_TEST(!keepsFollowing(state, 300 + 450 + 1));
}

BOOST_AUTO_TEST_CASE(leader_that_resigned_is_replaced_at_once)
{
    LeadershipState state = followingState(0);
    state = observeRow(std::move(state), LeaderEpoch(3), std::nullopt, store::RowVersion(10), at(300));
    BOOST_TEST(!keepsFollowing(state, 300 + 450 + 1));
}

BOOST_AUTO_TEST_CASE(small_entries_claim_after_the_others)
{
    LeadershipState state = afterNewLeaderPeriod(0);
    state.processors_ = 0.12;
    BOOST_TEST(keepsFollowing(state, 900 + 450 + 1));
    BOOST_TEST(!keepsFollowing(state, 900 + 450 + 1000 + 1));
}

BOOST_AUTO_TEST_CASE(later_epoch_is_followed)
{
    LeadershipState state = followingState(0);
    LeaderView later { LeaderEpoch(4), peer, true, Duration(0), Duration(0) };
    state = observeView(std::move(state), peer, later, at(300));
    BOOST_TEST((state.leader_ == peer));
    state = observeView(std::move(state), leader, viewOfLeader(0), at(400));
    BOOST_TEST((state.epoch_ == LeaderEpoch(4)));
}

// Observes a leader that answers but has not written since `writtenAt`.
static LeadershipState observeStalledLeader(LeadershipState state, int64_t writtenAt, int64_t now)
{
    LeaderView view { LeaderEpoch(3), leader, true, std::chrono::milliseconds(now - writtenAt), Duration(0) };
    return observeView(std::move(state), leader, view, at(now));
}

BOOST_AUTO_TEST_CASE(leader_is_given_time_to_write_once_the_store_is_back)
{
    LeadershipState state = observeStalledLeader(afterNewLeaderPeriod(0), 0, 4000);
    BOOST_TEST(!keepsFollowing(state, 4000));
    state = observeStoreFailure(std::move(state));
    BOOST_TEST(!keepsFollowing(state, 4000));
    state = observeRow(std::move(state), LeaderEpoch(3), leader, store::RowVersion(9), at(4100));
    BOOST_TEST(keepsFollowing(state, 4100));
    state = observeStalledLeader(std::move(state), 0, 4100 + 1000 + 450 + 1);
    BOOST_TEST(!keepsFollowing(state, 4100 + 1000 + 450 + 1));
}

BOOST_AUTO_TEST_CASE(silent_leader_gets_no_write_grace_when_the_store_is_back)
{
    LeadershipState state = observeStoreFailure(afterNewLeaderPeriod(0));
    state = observeRow(std::move(state), LeaderEpoch(3), leader, store::RowVersion(9), at(4100));
    BOOST_TEST(!keepsFollowing(state, 4100));
}

BOOST_AUTO_TEST_CASE(leader_is_pinged_again_once_a_ping_has_ended)
{
    LeadershipState state = followingState(0);
    BOOST_TEST((duePing(state, at(0)) == leader));
    state = beginPing(std::move(state), leader, at(0));
    BOOST_TEST(!duePing(state, at(1000)));
    state = endPing(std::move(state), leader);
    BOOST_TEST(!duePing(state, at(249)));
    BOOST_TEST((duePing(state, at(250)) == leader));
}

BOOST_AUTO_TEST_CASE(new_leader_is_pinged_while_a_ping_to_the_former_one_is_in_flight)
{
    LeadershipState state = beginPing(followingState(0), leader, at(0));
    state = observeRow(std::move(state), LeaderEpoch(4), peer, store::RowVersion(10), at(300));
    BOOST_TEST((duePing(state, at(300)) == peer));
    state = beginPing(std::move(state), peer, at(300));
    // The ping to the former leader times out only now.
    state = endPing(std::move(state), leader);
    BOOST_TEST(!duePing(state, at(600)));
    state = endPing(std::move(state), peer);
    BOOST_TEST((duePing(state, at(600)) == peer));
}

BOOST_AUTO_TEST_CASE(entry_does_not_ping_itself)
{
    LeadershipState state = followingState(0);
    state.leader_ = self;
    BOOST_TEST(!duePing(state, at(1000)));
}

// Guards against calls to a slow leader that are multiplied by the number of entries.
BOOST_AUTO_TEST_CASE(call_is_sent_through_few_entries_and_calls_through_all_in_turn)
{
    std::vector<Address> peers;
    for (int host = 1; host <= 34; ++host)
        peers.push_back(*Address::parse("10.0.0." + std::to_string(host) + ":7000"));
    std::set<Address> used;
    for (size_t turn = 0; turn < peers.size(); ++turn) {
        std::vector<Address> relays = chooseRelays(peers, peers[5], turn);
        BOOST_TEST(relays.size() <= maximumRelays);
        used.insert(relays.begin(), relays.end());
    }
    BOOST_TEST(used.size() == peers.size() - 1);
    BOOST_TEST(chooseRelays({}, peers[5], 1).empty());
    BOOST_TEST(chooseRelays({ peers[5] }, peers[5], 1).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::scheduler
