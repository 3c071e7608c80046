// Properties of the view over seeded random sequences of announcements that are lost, repeated, reordered or of earlier
// incarnations.
#include "persimmondoor/membership/View.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace persimmondoor;
using namespace persimmondoor::membership;

namespace {

Announcement anyAnnouncement(bool leaving)
{
    std::string number = std::to_string(*rc::gen::inRange(0, 3));
    return { WorkerName::of("w" + number), FailureDomainName::of("d"), RackName::of("r"), Incarnation(static_cast<uint64_t>(*rc::gen::inRange(1, 4))),
        Sequence(static_cast<uint64_t>(*rc::gen::inRange(1, 30))), *Address::parse("127.0.0.1:1"), {}, leaving };
}

// A view, and the workers that its actions imply to be present.
struct Run {
    View view_;
    Instant now_;
    std::set<WorkerName> present_;
    std::map<WorkerName, Incarnation> left_;
};

void step(Run& run, const ViewMessage& message)
{
    ViewDecision decision = decide(run.view_, message, run.now_);
    for (const ViewAction& action : decision.actions_) {
        if (const auto* up = std::get_if<WorkerUp>(&action)) {
            run.present_.insert(up->announcement_.worker_);
            auto left = run.left_.find(up->announcement_.worker_);
            RC_ASSERT(left == run.left_.end() || up->announcement_.incarnation_ > left->second);
        }
        if (const auto* gone = std::get_if<WorkerGone>(&action))
            RC_ASSERT(run.present_.erase(gone->worker_) == 1U);
    }
    for (const auto& [worker, member] : decision.state_.members()) {
        RC_ASSERT(member.isPresent_ == run.present_.contains(worker));
        if (member.announcement_.isLeaving_)
            run.left_.insert_or_assign(worker, member.announcement_.incarnation_);
        auto before = run.view_.members().find(worker);
        if (before != run.view_.members().end())
            RC_ASSERT(!before->second.announcement_.isNewerThan(member.announcement_));
    }
    RC_ASSERT(decision.state_.presentCount() == run.present_.size());
    run.view_ = decision.state_;
}

ViewMessage anyMessage()
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return ExpiryCheckDue {};
    case 1: {
        Announcement one = anyAnnouncement(false);
        return KeepAlive { one.worker_, one.incarnation_, one.sequence_ };
    }
    case 2:
        return PeerMember { anyAnnouncement(*rc::gen::arbitrary<bool>()), *rc::gen::arbitrary<bool>() };
    case 3:
        return Announced { anyAnnouncement(true) };
    default:
        return Announced { anyAnnouncement(false) };
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(view_properties)

BOOST_AUTO_TEST_CASE(listener_agrees_with_view_and_no_worker_rejoins_after_leaving)
{
    bool holds = rc::check("the listener and the view agree; a worker that left rejoins in a later incarnation only; no member is replaced by an older announcement", [] {
        Run run;
        int steps = *rc::gen::inRange(1, 150);
        for (int count = 0; count < steps; ++count) {
            run.now_ = run.now_ + Duration(*rc::gen::inRange(0, 1'500'000));
            step(run, anyMessage());
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(view_built_from_changes_equals_its_source)
{
    bool holds = rc::check("an entry that applies all changes of a peer has the same workers present", [] {
        Run run;
        int steps = *rc::gen::inRange(1, 100);
        View copy;
        for (int count = 0; count < steps; ++count) {
            uint64_t version = run.view_.version();
            step(run, anyMessage());
            for (const PeerMember& change : run.view_.changesAfter(version))
                copy = decide(copy, change, run.now_).state_;
        }
        for (const auto& [worker, member] : run.view_.members())
            RC_ASSERT(copy.members().at(worker).isPresent_ == member.isPresent_);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
