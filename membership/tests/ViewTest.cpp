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

BOOST_AUTO_TEST_CASE(silent_worker_expires_and_returns)
{
    View view = decide(View(), Announced { announcement(1, 1) }, start).state_;
    BOOST_TEST(decide(view, Swept {}, start + announcementExpiry).actions_.empty());
    ViewDecision swept = decide(view, Swept {}, start + announcementExpiry + Duration(1));
    BOOST_TEST((swept.actions_ == std::vector<ViewAction> { WorkerGone { WorkerName::of("w1") } }));
    BOOST_TEST(decide(swept.state_, Announced { announcement(1, 2) }, start).actions_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(keepalive_keeps_a_known_worker_only)
{
    View view = decide(View(), Announced { announcement(1, 1) }, start).state_;
    view = decide(view, KeptAlive { WorkerName::of("w1"), Incarnation(1), Sequence(2) }, start + announcementExpiry).state_;
    BOOST_TEST(decide(view, Swept {}, start + announcementExpiry + Duration(1)).actions_.empty());
    // Of another life, or repeated: nobody was heard.
    View other = decide(view, KeptAlive { WorkerName::of("w1"), Incarnation(2), Sequence(9) }, start + 2 * announcementExpiry).state_;
    other = decide(other, KeptAlive { WorkerName::of("w1"), Incarnation(1), Sequence(2) }, start + 2 * announcementExpiry).state_;
    BOOST_TEST(decide(other, Swept {}, start + 2 * announcementExpiry + Duration(1)).actions_.size() == 1U);
    BOOST_TEST(!view.knows(WorkerName::of("w1"), Incarnation(2)));
    BOOST_TEST(!view.knows(WorkerName::of("w2"), Incarnation(1)));
}

BOOST_AUTO_TEST_CASE(announcement_of_an_old_life_changes_nothing)
{
    View view = decide(View(), Announced { announcement(2, 1) }, start).state_;
    ViewDecision old = decide(view, Announced { announcement(1, 99) }, start);
    BOOST_TEST(old.actions_.empty());
    BOOST_TEST((old.state_ == view));
}

BOOST_AUTO_TEST_CASE(tombstone_learned_from_a_peer_holds_against_late_announcements)
{
    View peer = decide(View(), Announced { announcement(1, 1) }, start).state_;
    peer = decide(peer, Announced { announcement(1, 5, true) }, start).state_;
    std::vector<Learned> changes = peer.changesAfter(0);
    BOOST_TEST(changes.size() == 1U);
    ViewDecision cold = decide(View(), changes.at(0), start);
    BOOST_TEST(cold.actions_.empty());
    BOOST_TEST(decide(cold.state_, Announced { announcement(1, 3) }, start).actions_.empty());
    BOOST_TEST(decide(cold.state_, Announced { announcement(1, 6) }, start).actions_.empty());
    BOOST_TEST(decide(cold.state_, Announced { announcement(2, 1) }, start).actions_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(changes_are_those_after_the_version)
{
    View view = decide(View(), Announced { announcement(1, 1) }, start).state_;
    uint64_t version = view.version();
    BOOST_TEST(view.changesAfter(version).empty());
    view = decide(view, KeptAlive { WorkerName::of("w1"), Incarnation(1), Sequence(2) }, start).state_;
    BOOST_TEST(view.changesAfter(version).empty());
    view = decide(view, Announced { announcement(1, 3, true) }, start).state_;
    BOOST_TEST(view.changesAfter(version).size() == 1U);
}

// 6,300 workers cost an entry no more than its share for keepalives, however long the interval becomes.
BOOST_AUTO_TEST_CASE(keepalives_stay_within_their_bytes)
{
    BOOST_TEST((keepAliveInterval(11) >= Duration(std::chrono::seconds(1))));
    double interval = static_cast<double>(keepAliveInterval(6300).count()) / 1e6;
    BOOST_TEST(6300.0 * keepAliveBytes / interval <= static_cast<double>(keepAliveBytesPerSecond) + 1);
}

// A worker told a long interval is not silent when the others have left.
BOOST_AUTO_TEST_CASE(expiry_follows_the_interval_that_was_told)
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
    BOOST_TEST(decide(view, Swept {}, start + 2 * keepAliveInterval(200)).actions_.empty());
    BOOST_TEST(decide(view, Swept {}, start + 4 * keepAliveInterval(200)).actions_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
