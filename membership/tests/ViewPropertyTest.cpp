// Properties of the view over seeded sequences of announcements that are lost, repeated, reordered or of old lives.
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

// What a listener of the view's actions believes to be present.
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
        RC_ASSERT(member.present_ == run.present_.contains(worker));
        if (member.announcement_.leaving_)
            run.left_.insert_or_assign(worker, member.announcement_.incarnation_);
        auto before = run.view_.members().find(worker);
        if (before != run.view_.members().end())
            RC_ASSERT(!before->second.announcement_.isNewerThan(member.announcement_));
    }
    RC_ASSERT(decision.state_.present() == run.present_.size());
    run.view_ = decision.state_;
}

ViewMessage anyMessage()
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return Swept {};
    case 1: {
        Announcement one = anyAnnouncement(false);
        return KeptAlive { one.worker_, one.incarnation_, one.sequence_ };
    }
    case 2:
        return Learned { anyAnnouncement(*rc::gen::arbitrary<bool>()), *rc::gen::arbitrary<bool>() };
    case 3:
        return Announced { anyAnnouncement(true) };
    default:
        return Announced { anyAnnouncement(false) };
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(view_properties)

BOOST_AUTO_TEST_CASE(listener_and_view_agree_and_no_worker_returns_from_leaving)
{
    bool holds = rc::check("the listener and the view agree; a worker that left returns in a later life only; knowledge never gets older", [] {
        Run run;
        int steps = *rc::gen::inRange(1, 150);
        for (int count = 0; count < steps; ++count) {
            run.now_ = run.now_ + Duration(*rc::gen::inRange(0, 1'500'000));
            step(run, anyMessage());
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(copy_by_changes_equals_the_view)
{
    bool holds = rc::check("an entry that takes in all changes of a peer knows the same workers", [] {
        Run run;
        int steps = *rc::gen::inRange(1, 100);
        View copy;
        for (int count = 0; count < steps; ++count) {
            uint64_t version = run.view_.version();
            step(run, anyMessage());
            for (const Learned& change : run.view_.changesAfter(version))
                copy = decide(copy, change, run.now_).state_;
        }
        for (const auto& [worker, member] : run.view_.members())
            RC_ASSERT(copy.members().at(worker).present_ == member.present_);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
