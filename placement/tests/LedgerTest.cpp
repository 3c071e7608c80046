#include "Fixtures.h"
#include "persimmondoor/placement/Estimates.h"
#include "persimmondoor/placement/Feasibility.h"
#include "persimmondoor/placement/Preemption.h"

#include <boost/test/unit_test.hpp>

using namespace persimmondoor;
using namespace persimmondoor::placement;

namespace {

const TeamName team = TeamName::of("team");

RunningTask trialTask(const std::string& task, const std::string& worker, const Resources& held, int secondsSinceCheckpoint)
{
    return { TaskId::of(task), WorkerName::of(worker), Tier::Trial, held, std::chrono::seconds(secondsSinceCheckpoint), Duration(0), true };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ledger)

BOOST_AUTO_TEST_CASE(reserve_and_release_are_idempotent)
{
    QuotaLedger quotas = QuotaLedger::create({ { team, resources(4, 16) } });
    BOOST_TEST(quotas.reserve(team, TaskId::of("t"), resources(3, 4)));
    BOOST_TEST(quotas.reserve(team, TaskId::of("t"), resources(3, 4)));
    BOOST_TEST((quotas.used(team) == resources(3, 4)));
    BOOST_TEST(!quotas.reserve(team, TaskId::of("u"), resources(2, 1)));
    quotas.release(TaskId::of("t"));
    quotas.release(TaskId::of("t"));
    BOOST_TEST((quotas == QuotaLedger::create({ { team, resources(4, 16) } })));
    BOOST_TEST(!quotas.reserve(TeamName::of("unnamed"), TaskId::of("t"), resources(1, 0)));
}

BOOST_AUTO_TEST_CASE(smaller_quota_keeps_what_is_reserved_and_admits_no_more_of_that_part)
{
    QuotaLedger quotas = QuotaLedger::create({ { team, resources(4, 16) } });
    BOOST_TEST(quotas.reserve(team, TaskId::of("t"), resources(3, 4)));
    quotas = quotas.withQuotas({ { team, resources(2, 16) } });
    BOOST_TEST((quotas.used(team) == resources(3, 4)));
    BOOST_TEST(quotas.reserve(team, TaskId::of("u"), resources(0, 1)));
    BOOST_TEST(!quotas.reserve(team, TaskId::of("v"), resources(1, 0)));
}

BOOST_AUTO_TEST_CASE(reservation_of_nothing_is_released_like_any_other)
{
    QuotaLedger quotas = QuotaLedger::create({ { team, resources(4, 16) } });
    BOOST_TEST(quotas.reserve(team, TaskId::of("empty"), Resources()));
    BOOST_TEST(quotas.reserve(team, TaskId::of("t"), resources(1, 1)));
    quotas.release(TaskId::of("t"));
    quotas.release(TaskId::of("empty"));
    BOOST_TEST(quotas.reservationCount() == 0U);
}

BOOST_AUTO_TEST_CASE(any_order_of_reserve_and_release_keeps_the_quota)
{
    bool holds = rc::check("quota is never exceeded", [] {
        Resources quota = *anyResources(20, 40, 3);
        QuotaLedger quotas = QuotaLedger::create({ { team, quota } });
        std::map<TaskId, Resources> held;
        int steps = *rc::gen::inRange(0, 40);
        for (int step = 0; step < steps; ++step) {
            TaskId task = TaskId::of("t" + std::to_string(*rc::gen::inRange(0, 8)));
            if (*rc::gen::arbitrary<bool>()) {
                quotas.release(task);
                held.erase(task);
            } else {
                Resources wanted = *anyResources(8, 16, 2);
                if (quotas.reserve(team, task, wanted))
                    held.emplace(task, wanted);
            }
            Resources sum;
            for (const auto& [name, amount] : held)
                sum = sum + amount;
            RC_ASSERT(quotas.used(team) == sum);
            RC_ASSERT(sum.fitsIn(quota));
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(preemption_loses_the_least_work_and_spares_paying_tasks)
{
    std::vector<Offer> offers { offer("w1", "a", resources(0, 0), resources(8, 32)), offer("w2", "a", resources(0, 0), resources(8, 32)) };
    std::vector<RunningTask> running { trialTask("old", "w1", resources(8, 32), 3600), trialTask("new", "w2", resources(8, 32), 60) };
    PreemptionChoice choice = proposePreemption(request("t", resources(4, 4)), offers, running);
    BOOST_TEST((std::get<Preemption>(choice).victims_ == std::vector<TaskId> { TaskId::of("new") }));
    running[1].tier_ = Tier::Paying;
    choice = proposePreemption(request("t", resources(4, 4)), offers, running);
    BOOST_TEST((std::get<Preemption>(choice).victims_ == std::vector<TaskId> { TaskId::of("old") }));
    choice = proposePreemption(request("t", resources(4, 4), { Tier::Trial, Urgency::Urgent }), offers, running);
    BOOST_TEST((std::get<NotPlaced>(choice).reason_ == WaitReason::MayNotPreempt));
}

BOOST_AUTO_TEST_CASE(victims_of_a_preemption_are_sufficient_and_necessary)
{
    bool holds = rc::check("victims are needed and enough", [] {
        std::vector<Offer> offers = anyOffers();
        std::vector<RunningTask> running;
        for (const Offer& each : offers) {
            Resources left = each.capacity_ - each.free_;
            for (int index = 0; index < 4; ++index) {
                Resources held = left - (left - *anyResources(6, 24, 1));
                left = left - held;
                running.push_back(trialTask(each.worker_.value() + "-" + std::to_string(index), each.worker_.value(), held, *rc::gen::inRange(0, 1000)));
                running.back().tier_ = *rc::gen::element(Tier::Paying, Tier::Trial);
            }
        }
        PlacementRequest wanted = request("t", *anyResources(12, 48, 2));
        PreemptionChoice choice = proposePreemption(wanted, offers, running);
        const auto* preemption = std::get_if<Preemption>(&choice);
        if (!preemption)
            return;
        auto site = std::find_if(offers.begin(), offers.end(), [&](const Offer& each) { return each.worker_ == preemption->site_.worker_; });
        RC_ASSERT(site->accepting_);
        auto freeWithout = [&](const std::vector<TaskId>& victims) {
            Resources free = site->free_;
            for (const RunningTask& task : running) {
                if (std::count(victims.begin(), victims.end(), task.task_) > 0) {
                    RC_ASSERT(task.tier_ == Tier::Trial);
                    free = free + task.resources_;
                }
            }
            return free;
        };
        RC_ASSERT(wanted.resources_.fitsIn(freeWithout(preemption->victims_)));
        for (size_t index = 0; index < preemption->victims_.size(); ++index) {
            std::vector<TaskId> fewer = preemption->victims_;
            fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(index));
            RC_ASSERT(!wanted.resources_.fitsIn(freeWithout(fewer)));
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(job_that_can_never_run_gets_a_reason)
{
    WorkerShapes shapes;
    QuotaLedger quotas = QuotaLedger::create({ { team, resources(100, 400, 2) } });
    BOOST_TEST(!findUnplaceable(request("t", resources(65, 1)), 1, shapes, quotas).has_value());
    shapes.add(FailureDomainName::of("a"), resources(64, 64));
    shapes.add(FailureDomainName::of("b"), resources(32, 250, 1));
    BOOST_TEST(!findUnplaceable(request("t", resources(64, 64)), 1, shapes, quotas).has_value());
    BOOST_TEST(findUnplaceable(request("t", resources(33, 65)), 1, shapes, quotas).has_value());
    BOOST_TEST(findUnplaceable(request("t", resources(1, 1, 2)), 1, shapes, quotas).has_value());
    PlacementRequest spread = request("t", resources(1, 1));
    spread.constraint_ = Spread { GroupLevel::Domain, 1 };
    BOOST_TEST(!findUnplaceable(spread, 2, shapes, quotas).has_value());
    BOOST_TEST(findUnplaceable(spread, 3, shapes, quotas)->detail_ == "the spread allows 2 tasks in 2 failure domains; the job has 3");
    PlacementRequest gang = request("t", resources(30, 1));
    gang.constraint_ = Gang {};
    BOOST_TEST(findUnplaceable(gang, 4, shapes, quotas)->detail_ == "the gang starts 4 tasks together; the team's quota holds 3");
}

BOOST_AUTO_TEST_CASE(estimates_start_at_the_declared_values_and_follow_observations)
{
    Estimates estimates;
    TaskClassName name = TaskClassName::of("team/rebuild");
    TaskUsage declared { resources(8, 100), std::chrono::hours(1) };
    BOOST_TEST((estimates.estimateResources(name, declared.resources_) == declared.resources_));
    for (int index = 0; index < 100; ++index)
        estimates.observe(name, declared, { resources(2, 25), std::chrono::hours(4) });
    BOOST_TEST((estimates.estimateResources(name, declared.resources_).milliCores() <= 2'400));
    BOOST_TEST((estimates.estimateResources(name, declared.resources_).milliCores() >= 2'000));
    BOOST_TEST((estimates.estimateRunTime(name, declared.runTime_).median_ >= std::chrono::hours(4)));
    for (int index = 0; index < 100; ++index)
        estimates.observe(name, declared, { resources(16, 200), std::chrono::hours(1) });
    BOOST_TEST((estimates.estimateResources(name, declared.resources_).milliCores() >= 16'000));
    BOOST_TEST((estimates.estimateRunTime(name, declared.runTime_).median_ <= std::chrono::hours(1) * 5 / 4));
}

BOOST_AUTO_TEST_CASE(estimates_keep_a_bounded_number_of_classes)
{
    Estimates estimates;
    TaskUsage declared { resources(1, 1), std::chrono::seconds(1) };
    TaskUsage observed { resources(2, 2), std::chrono::seconds(2) };
    auto name = [](size_t index) { return TaskClassName::of("c" + std::to_string(index)); };
    for (size_t index = 0; index <= Estimates::maximumClasses; ++index)
        estimates.observe(name(index), declared, observed);
    BOOST_TEST(estimates.classCount() == Estimates::maximumClasses);
    BOOST_TEST((estimates.estimateResources(name(0), declared.resources_) == declared.resources_));
    BOOST_TEST((estimates.estimateResources(name(1), declared.resources_) != declared.resources_));
}

BOOST_AUTO_TEST_SUITE_END()
