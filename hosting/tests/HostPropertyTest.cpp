#include "HostSimulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace persimmondoor;
using namespace persimmondoor::hosting;

namespace {

constexpr Duration millisecond = std::chrono::milliseconds(1);

enum class StepKind { Start,
    RepeatOrder,
    Stop,
    Checkpoint,
    Renew,
    Perform,
    LoseReply,
    FailCall,
    Report,
    Advance,
    RestartAgent,
    RestartWorker,
    FailEverything };

struct Step {
    StepKind kind_;
    size_t task_;
    uint64_t attempt_;
    uint64_t epoch_;
    int amount_;
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    return stream << "{" << static_cast<int>(step.kind_) << " task " << step.task_ << " attempt " << step.attempt_ << " epoch " << step.epoch_ << " amount " << step.amount_ << "}";
}

rc::Gen<Step> anyStep()
{
    auto kind = rc::gen::weightedElement<StepKind>({ { 8, StepKind::Start }, { 4, StepKind::RepeatOrder }, { 3, StepKind::Stop }, { 2, StepKind::Checkpoint },
        { 4, StepKind::Renew }, { 14, StepKind::Perform }, { 3, StepKind::LoseReply }, { 2, StepKind::FailCall }, { 8, StepKind::Report }, { 5, StepKind::Advance },
        { 1, StepKind::RestartAgent }, { 1, StepKind::RestartWorker }, { 1, StepKind::FailEverything } });
    return rc::gen::build<Step>(rc::gen::set(&Step::kind_, kind), rc::gen::set(&Step::task_, rc::gen::inRange<size_t>(0, 5)),
        rc::gen::set(&Step::attempt_, rc::gen::inRange<uint64_t>(1, 4)), rc::gen::set(&Step::epoch_, rc::gen::inRange<uint64_t>(1, 4)), rc::gen::set(&Step::amount_, rc::gen::inRange(1, 4000)));
}

// Sends orders as successive owners of two partitions would, in any order and more than once. No owner sends a new
// order for an attempt whose end it has acknowledged, as its journal contains the end; a copy of an earlier order may
// still arrive.
struct Owners {
    std::vector<StartOrder> sent_;
    std::set<TaskAttempt> recordedEnds_;

    static std::string nameOf(const Step& step) { return "t" + std::to_string(step.task_); }
    static PartitionNumber partitionOf(const Step& step) { return PartitionNumber(7 + step.task_ % 2); }

    void start(HostSimulation& simulation, const Step& step)
    {
        if (recordedEnds_.contains({ TaskId::of(nameOf(step)), Attempt(step.attempt_) }))
            return;
        std::string command = (step.amount_ % 3 == 0 ? "sleep " : "compute ") + std::to_string(step.amount_);
        StartOrder order = startOrder(simulation, nameOf(step), step.attempt_, 300 + step.amount_ % 1500, command);
        order.partition_ = partitionOf(step);
        order.epoch_ = Epoch(step.epoch_);
        order.lease_ = (500 + step.amount_) * millisecond;
        sent_.push_back(order);
        simulation.start(order);
    }

    void stop(HostSimulation& simulation, const Step& step, StopKind kind)
    {
        StopOrder order = stopOrder(nameOf(step), step.attempt_, kind);
        order.partition_ = partitionOf(step);
        order.epoch_ = Epoch(step.epoch_);
        simulation.stop(order);
    }

    void renew(HostSimulation& simulation, const Step& step)
    {
        Renewal order = renewal(simulation, (500 + step.amount_) * millisecond);
        order.partition_ = partitionOf(step);
        order.epoch_ = Epoch(step.epoch_);
        if (step.amount_ % 5 == 0)
            order.unwanted_ = { { TaskId::of(nameOf(step)), Attempt(step.attempt_) } };
        RenewalOutcome outcome = simulation.renew(order);
        const auto* answer = std::get_if<RenewalAnswer>(&outcome);
        if (!answer || answer->events_.empty() || step.amount_ % 2 == 0)
            return;
        // Acknowledges the events without renewing leases.
        size_t last = static_cast<size_t>(step.amount_) % answer->events_.size();
        order.acknowledged_ = answer->events_[last].sequence_;
        for (size_t index = 0; index <= last; ++index)
            recordedEnds_.insert(answer->events_[index].task_);
        order.lease_ = Duration(0);
        simulation.renew(order);
    }
};

void run(HostSimulation& simulation, Owners& owners, const Step& step)
{
    switch (step.kind_) {
    case StepKind::Start:
        return owners.start(simulation, step);
    case StepKind::RepeatOrder:
        if (!owners.sent_.empty())
            simulation.start(owners.sent_[static_cast<size_t>(step.amount_) % owners.sent_.size()]);
        return;
    case StepKind::Stop:
        return owners.stop(simulation, step, StopKind::Stop);
    case StepKind::Checkpoint:
        return owners.stop(simulation, step, StopKind::Checkpoint);
    case StepKind::Renew:
        return owners.renew(simulation, step);
    case StepKind::Perform:
        return simulation.performNext(WorkerCallResult::Done);
    case StepKind::LoseReply:
        return simulation.performNext(WorkerCallResult::ReplyLost);
    case StepKind::FailCall:
        return simulation.performNext(WorkerCallResult::Unavailable);
    case StepKind::Report:
        return simulation.report();
    case StepKind::Advance:
        return simulation.advance(step.amount_ * millisecond);
    case StepKind::RestartAgent:
        return simulation.restartAgent();
    case StepKind::RestartWorker:
        return simulation.restartWorker();
    case StepKind::FailEverything:
        return simulation.worker_.failEverything(step.amount_ % 2 == 0);
    }
}

void check(HostSimulation& simulation)
{
    for (const std::string& violation : simulation.violations())
        RC_FAIL(violation);
}

} // namespace

BOOST_AUTO_TEST_SUITE(host_property)

BOOST_AUTO_TEST_CASE(ledger_and_worker_agree_through_faults)
{
    bool passed = rc::check("the ledger and the worker stay consistent through lost replies, outages, restarts and reordered orders", [] {
        HostSimulation simulation(*Resources::create(4000, 0, 0));
        Owners owners;
        simulation.report();
        auto steps = *rc::gen::resize(300, rc::gen::container<std::vector<Step>>(anyStep()));
        for (const Step& step : steps) {
            run(simulation, owners, step);
            check(simulation);
        }
        // After the faults, and without renewals, all leases expire and the ledger becomes empty.
        for (int round = 0; round < 40; ++round) {
            simulation.advance(250 * millisecond);
            simulation.performAll();
            simulation.report();
            check(simulation);
        }
        RC_ASSERT(simulation.host_.tasks().empty());
        RC_ASSERT(simulation.host_.committed() == Resources());
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
