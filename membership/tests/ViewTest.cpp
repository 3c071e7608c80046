#include "persimmondoor/membership/View.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::membership;

namespace {

Announcement announcement(uint64_t incarnation, uint64_t sequence, bool leaving = false)
{
    return { WorkerName::of("w1"), FailureDomainName::of("a"), RackName::of("r1"), Incarnation(incarnation), Sequence(sequence),
        *Address::parse("127.0.0.1:1"), { { EndpointName::of("e1"), ServiceName::of("s"), TeamName::of("t"), 8, 64 } }, leaving };
}

constexpr Instant start = Instant::fromMicroseconds(0);

} // namespace

BOOST_AUTO_TEST_SUITE(view)

BOOST_AUTO_TEST_CASE(repeated_announcement_changes_nothing)
{
    ViewDecision first = decide(View(), Announced { announcement(1, 1) }, start);
    BOOST_TEST(first.actions_.size() == 1U);
    ViewDecision second = decide(first.state_, Announced { announcement(1, 2) }, start);
    BOOST_TEST(second.actions_.empty());
}

BOOST_AUTO_TEST_CASE(late_announcement_does_not_bring_back_a_leaving_worker)
{
    View view = decide(View(), Announced { announcement(1, 1) }, start).state_;
    ViewDecision left = decide(view, Announced { announcement(1, 3, true) }, start);
    BOOST_TEST((left.actions_ == std::vector<ViewAction> { WorkerGone { WorkerName::of("w1") } }));
    BOOST_TEST(decide(left.state_, Announced { announcement(1, 2) }, start).actions_.empty());
    BOOST_TEST(decide(left.state_, Announced { announcement(1, 4) }, start).actions_.empty());
    BOOST_TEST(decide(left.state_, Announced { announcement(2, 1) }, start).actions_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(silent_worker_expires_and_rejoins)
{
    View view = decide(View(), Announced { announcement(1, 1) }, start).state_;
    BOOST_TEST(decide(view, ExpiryCheckDue {}, start + announcementExpiry).actions_.empty());
    ViewDecision expired = decide(view, ExpiryCheckDue {}, start + announcementExpiry + Duration(1));
    BOOST_TEST((expired.actions_ == std::vector<ViewAction> { WorkerGone { WorkerName::of("w1") } }));
    BOOST_TEST(decide(expired.state_, Announced { announcement(1, 2) }, start).actions_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(keepalive_extends_the_presence_of_a_known_worker_only)
{
    View view = decide(View(), Announced { announcement(1, 1) }, start).state_;
    view = decide(view, KeepAlive { WorkerName::of("w1"), Incarnation(1), Sequence(2) }, start + announcementExpiry).state_;
    BOOST_TEST(decide(view, ExpiryCheckDue {}, start + announcementExpiry + Duration(1)).actions_.empty());
    // Keepalives of another incarnation and repeated ones do not extend the presence.
    View other = decide(view, KeepAlive { WorkerName::of("w1"), Incarnation(2), Sequence(9) }, start + 2 * announcementExpiry).state_;
    other = decide(other, KeepAlive { WorkerName::of("w1"), Incarnation(1), Sequence(2) }, start + 2 * announcementExpiry).state_;
    BOOST_TEST(decide(other, ExpiryCheckDue {}, start + 2 * announcementExpiry + Duration(1)).actions_.size() == 1U);
    BOOST_TEST(!view.isKnown(WorkerName::of("w1"), Incarnation(2)));
    BOOST_TEST(!view.isKnown(WorkerName::of("w2"), Incarnation(1)));
}

BOOST_AUTO_TEST_CASE(announcement_of_an_earlier_incarnation_changes_nothing)
{
    View view = decide(View(), Announced { announcement(2, 1) }, start).state_;
    ViewDecision old = decide(view, Announced { announcement(1, 99) }, start);
    BOOST_TEST(old.actions_.empty());
    BOOST_TEST((old.state_ == view));
}

BOOST_AUTO_TEST_CASE(tombstone_from_a_peer_blocks_late_announcements)
{
    View peer = decide(View(), Announced { announcement(1, 1) }, start).state_;
    peer = decide(peer, Announced { announcement(1, 5, true) }, start).state_;
    std::vector<PeerMember> changes = peer.changesAfter(0);
    BOOST_TEST(changes.size() == 1U);
    ViewDecision receiver = decide(View(), changes.at(0), start);
    BOOST_TEST(receiver.actions_.empty());
    BOOST_TEST(decide(receiver.state_, Announced { announcement(1, 3) }, start).actions_.empty());
    BOOST_TEST(decide(receiver.state_, Announced { announcement(1, 6) }, start).actions_.empty());
    BOOST_TEST(decide(receiver.state_, Announced { announcement(2, 1) }, start).actions_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(changes_are_those_after_the_version)
{
    View view = decide(View(), Announced { announcement(1, 1) }, start).state_;
    uint64_t version = view.version();
    BOOST_TEST(view.changesAfter(version).empty());
    view = decide(view, KeepAlive { WorkerName::of("w1"), Incarnation(1), Sequence(2) }, start).state_;
    BOOST_TEST(view.changesAfter(version).empty());
    view = decide(view, Announced { announcement(1, 3, true) }, start).state_;
    BOOST_TEST(view.changesAfter(version).size() == 1U);
}

// The keepalives of 6,300 workers stay within the entry's byte budget, because the interval grows with the workers.
BOOST_AUTO_TEST_CASE(keepalives_stay_within_the_byte_budget)
{
    BOOST_TEST((keepAliveInterval(11) >= Duration(std::chrono::seconds(1))));
    double interval = static_cast<double>(keepAliveInterval(6300).count()) / 1e6;
    BOOST_TEST(6300.0 * keepAliveBytes / interval <= static_cast<double>(keepAliveBytesPerSecond) + 1);
}

// After 200 workers have left, the interval for new answers is short, but a worker that was sent the long interval must
// not expire before three of the long intervals have passed.
BOOST_AUTO_TEST_CASE(expiry_follows_the_interval_sent_to_the_worker)
{
    View view;
    for (int index = 0; index < 200; ++index) {
        Announcement one = announcement(1, 1);
        one.worker_ = WorkerName::of("w" + std::to_string(index));
        view = decide(std::move(view), Announced { one }, start).state_;
    }
    Announcement last = announcement(1, 1);
    last.worker_ = WorkerName::of("last");
    view = decide(std::move(view), Announced { last }, start).state_;
    for (int index = 0; index < 200; ++index) {
        Announcement one = announcement(1, 2, true);
        one.worker_ = WorkerName::of("w" + std::to_string(index));
        view = decide(std::move(view), Announced { one }, start).state_;
    }
    BOOST_TEST(decide(view, ExpiryCheckDue {}, start + 2 * keepAliveInterval(200)).actions_.empty());
    BOOST_TEST(decide(view, ExpiryCheckDue {}, start + 4 * keepAliveInterval(200)).actions_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
