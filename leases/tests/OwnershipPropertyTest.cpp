#include "Cell.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace persimmondoor;
using namespace persimmondoor::leases;

namespace {

constexpr Duration second = std::chrono::seconds(1);

enum class StepKind { Pass,
    Begin,
    Perform,
    LoseReply,
    Refuse,
    Pause,
    Resume,
    Crash,
    Restart,
    ReleasePartitions,
    Last };

struct Step {
    StepKind kind_;
    size_t process_;
    int seconds_;
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    return stream << "{" << static_cast<int>(step.kind_) << " process " << step.process_ << " seconds " << step.seconds_ << "}";
}

rc::Gen<Step> anyStep()
{
    // Begin and Perform have high weights, so that processes make progress between faults.
    auto kind = rc::gen::weightedElement<StepKind>({ { 6, StepKind::Pass }, { 8, StepKind::Begin }, { 20, StepKind::Perform }, { 3, StepKind::LoseReply },
        { 2, StepKind::Refuse }, { 1, StepKind::Pause }, { 2, StepKind::Resume }, { 1, StepKind::Crash }, { 2, StepKind::Restart }, { 1, StepKind::ReleasePartitions } });
    return rc::gen::build<Step>(rc::gen::set(&Step::kind_, kind), rc::gen::set(&Step::process_, rc::gen::inRange<size_t>(0, 3)), rc::gen::set(&Step::seconds_, rc::gen::inRange(1, 16)));
}

void run(Cell& cell, const Step& step)
{
    Process& process = cell.processes_[step.process_];
    switch (step.kind_) {
    case StepKind::Pass:
        cell.now_ = cell.now_ + step.seconds_ * second;
        break;
    case StepKind::Begin:
        cell.beginStep(step.process_);
        break;
    case StepKind::Perform:
        cell.perform(step.process_, CallResult::Done);
        break;
    case StepKind::LoseReply:
        cell.perform(step.process_, CallResult::ReplyLost);
        break;
    case StepKind::Refuse:
        cell.perform(step.process_, CallResult::Refused);
        break;
    case StepKind::Pause:
        process.paused_ = true;
        break;
    case StepKind::Resume:
        process.paused_ = false;
        break;
    case StepKind::Crash:
        cell.crash(step.process_);
        break;
    case StepKind::Restart:
        if (process.crashed_ || process.isLeaving_)
            cell.restart(step.process_);
        break;
    case StepKind::ReleasePartitions:
        if (!process.crashed_ && !process.paused_ && process.actions_.empty()) {
            process.isLeaving_ = true;
            cell.deliver(step.process_, ReleaseRequested {});
        }
        break;
    case StepKind::Last:
        break;
    }
}

void check(Cell& cell)
{
    for (const std::string& violation : cell.findViolations())
        RC_FAIL(violation);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ownership_property)

BOOST_AUTO_TEST_CASE(no_two_owners_and_all_is_owned_after_faults_end)
{
    bool passed = rc::check("ownership invariants hold through lost replies, outages, pauses, crashes and releases", [] {
        OwnershipSettings settings;
        settings.partitionCount_ = 4;
        Cell cell(3, settings);
        auto steps = *rc::gen::resize(300, rc::gen::container<std::vector<Step>>(anyStep()));
        for (const Step& step : steps) {
            run(cell, step);
            check(cell);
        }
        // No more faults: all processes run.
        for (size_t index = 0; index < cell.processes_.size(); ++index) {
            cell.processes_[index].paused_ = false;
            if (cell.processes_[index].crashed_ || cell.processes_[index].isLeaving_)
                cell.restart(index);
        }
        for (int passed = 0; passed < 90; ++passed) {
            cell.advance(second);
            check(cell);
        }
        RC_ASSERT(cell.isEveryPartitionOwned());
        for (size_t index = 0; index < cell.processes_.size(); ++index)
            RC_ASSERT(cell.heldBy(index) >= 1U);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
