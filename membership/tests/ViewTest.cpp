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

BOOST_AUTO_TEST_SUITE_END()
