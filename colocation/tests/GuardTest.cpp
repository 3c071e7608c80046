#include "persimmondoor/colocation/Guard.h"
#include "decisions/LearnedPlan.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <rapidcheck.h>

using namespace persimmondoor;
using namespace persimmondoor::colocation;

namespace {

const ServiceName service = ServiceName::of("packs");
const TaskClassName quiet = TaskClassName::of("quiet");
const TaskClassName noisy = TaskClassName::of("noisy");
constexpr double cores = 64;
constexpr double baseTail = 20;
constexpr double usualLoad = 0.5;

Instant second(int64_t number)
{
    return Instant::fromMicroseconds(number * 1'000'000);
}

Guard makeGuard(const Policy& policy)
{
    return *Guard::create({ cores, { service }, policy, 11, 3 });
}

Policy learned()
{
    return *Learned::create({ 1, 1, 1 });
}

TaskStarted started(const std::string& task, const TaskClassName& taskClass, double taskCores, Tier tier = Tier::Trial)
{
    return { TaskId::of(task), taskClass, tier, taskCores, std::chrono::hours(1), true };
}

// A model trained with a harmless class `quiet` and a harmful class `noisy`.
SlowdownModel trainedModel(double noisyHarm)
{
    SlowdownModel model = SlowdownModel::create();
    for (int64_t index = 0; index < 1000; ++index) {
        double quietShare = 0.1 * static_cast<double>(index % 5);
        double noisyShare = 0.1 * static_cast<double>(index % 3);
        double load = 0.3 + 0.05 * static_cast<double>(index % 7);
        model.observe({ second(index), load, 0.5, { { quiet, quietShare }, { noisy, noisyShare } }, baseTail * (1 + noisyHarm * noisyShare) });
    }
    return model;
}

Guard trainedGuard(double noisyHarm = 4)
{
    Guard guard = makeGuard(learned());
    guard = decide(guard, ModelPublished { service, trainedModel(noisyHarm) }, second(0)).state_;
    return decide(guard, LoadSampled { service, usualLoad }, second(0)).state_;
}

template <typename Action>
std::vector<Action> actionsOf(const GuardDecision& decision)
{
    std::vector<Action> found;
    for (const GuardAction& action : decision.actions_) {
        if (const auto* match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(guard)

BOOST_AUTO_TEST_CASE(invalid_settings_are_rejected)
{
    BOOST_TEST(!Guard::create({ 0, { service }, Uncontrolled {}, 1, 1 }).ok());
    BOOST_TEST(!Guard::create({ 1, { service, service }, Uncontrolled {}, 1, 1 }).ok());
    BOOST_TEST(!Learned::create({ 0, 0, 0 }).ok());
    BOOST_TEST(!Learned::create({ -1, 1, 1 }).ok());
}

BOOST_AUTO_TEST_CASE(weights_of_the_tail_lower_the_target)
{
    Learned throughput = *Learned::create({ 1, 2, 2 });
    Learned tail = *Learned::create({ 3, 1, 1 });
    BOOST_TEST(tail.target() < throughput.target());
    BOOST_TEST(tail.uncertaintyFactor() > throughput.uncertaintyFactor());
    BOOST_TEST(throughput.target() < 1.1);
    BOOST_TEST(throughput.evictionsPerHour() < tail.evictionsPerHour());
}

BOOST_AUTO_TEST_CASE(no_colocation_admits_nothing_beside_a_service)
{
    BOOST_TEST(!makeGuard(NoColocation {}).admits(quiet, Tier::Paying, 1));
    BOOST_TEST(makeGuard(Uncontrolled {}).admits(noisy, Tier::Trial, cores));
}

BOOST_AUTO_TEST_CASE(unknown_class_is_admitted_in_small_amounts_only)
{
    Guard guard = makeGuard(learned());
    BOOST_TEST(guard.admits(noisy, Tier::Trial, 2));
    BOOST_TEST(!guard.admits(noisy, Tier::Trial, cores));
}

BOOST_AUTO_TEST_CASE(noisy_class_is_refused_and_quiet_one_admitted)
{
    Guard guard = trainedGuard();
    BOOST_TEST(guard.admits(quiet, Tier::Trial, 16));
    BOOST_TEST(!guard.admits(noisy, Tier::Trial, 16));
}

BOOST_AUTO_TEST_CASE(noisy_task_is_throttled_at_its_start_and_the_action_is_explained)
{
    Guard guard = decide(trainedGuard(), started("q", quiet, 16), second(1)).state_;
    GuardDecision decision = decide(guard, started("n", noisy, 16), second(1));
    std::vector<SetShare> shares = actionsOf<SetShare>(decision);
    BOOST_REQUIRE(shares.size() == 1U);
    BOOST_TEST((shares[0].task_ == TaskId::of("n")));
    BOOST_TEST(shares[0].share_ < 0.5);
    BOOST_TEST(shares[0].share_ >= minimumShare);
    const Explanation& explanation = shares[0].explanation_;
    BOOST_TEST((explanation.cause_ == Cause::TaskArrived));
    BOOST_TEST((explanation.service_ == service));
    BOOST_TEST(explanation.slowdown_.mean_ > explanation.target_);
    BOOST_REQUIRE(explanation.compared_.size() == 2U);
    BOOST_TEST(explanation.compared_[0].harm_.mean_ > explanation.compared_[1].harm_.mean_);
    BOOST_TEST(decision.state_.share(TaskId::of("q")) == 1);
}

BOOST_AUTO_TEST_CASE(trial_task_is_throttled_before_an_equal_paying_one)
{
    Guard guard = decide(trainedGuard(2), started("a-trial", noisy, 8, Tier::Trial), second(1)).state_;
    guard = decide(guard, started("b-paying", noisy, 8, Tier::Paying), second(1)).state_;
    guard = decide(guard, LoadSampled { service, usualLoad }, second(2)).state_;
    BOOST_TEST(guard.share(TaskId::of("a-trial")) < guard.share(TaskId::of("b-paying")));
}

BOOST_AUTO_TEST_CASE(one_cause_is_corrected_once_within_the_lag)
{
    Guard guard = trainedGuard(0.3);
    guard = decide(guard, started("n", noisy, 12), second(1)).state_;
    guard = decide(guard, LoadSampled { service, usualLoad }, second(2)).state_;
    GuardDecision decision = decide(guard, ModelPublished { service, trainedModel(1.2) }, second(10));
    decision = decide(decision.state_, LoadSampled { service, usualLoad }, second(10));
    BOOST_TEST(actionsOf<SetShare>(decision).size() == 1U);
    decision = decide(decision.state_, ModelPublished { service, trainedModel(4) }, second(11));
    for (int64_t at = 11; at < 15; ++at) {
        decision = decide(decision.state_, LoadSampled { service, usualLoad }, second(at));
        BOOST_TEST(actionsOf<SetShare>(decision).empty());
    }
    decision = decide(decision.state_, LoadSampled { service, usualLoad }, second(18));
    BOOST_TEST(actionsOf<SetShare>(decision).size() == 1U);
}

BOOST_AUTO_TEST_CASE(share_is_raised_in_steps_after_a_pause)
{
    Guard guard = decide(trainedGuard(), started("n", noisy, 16), second(1)).state_;
    double throttled = guard.share(TaskId::of("n"));
    guard = decide(guard, ModelPublished { service, trainedModel(0) }, second(100)).state_;
    guard = decide(guard, LoadSampled { service, usualLoad }, second(100)).state_;
    double first = guard.share(TaskId::of("n"));
    BOOST_TEST(first > throttled);
    BOOST_TEST(first <= 2 * throttled + 1e-9);
    guard = decide(guard, LoadSampled { service, usualLoad }, second(101)).state_;
    BOOST_TEST(guard.share(TaskId::of("n")) == first);
    guard = decide(guard, LoadSampled { service, usualLoad }, second(110)).state_;
    BOOST_TEST(guard.share(TaskId::of("n")) > first);
}

BOOST_AUTO_TEST_CASE(eviction_is_the_last_resort_and_is_rate_limited)
{
    Guard guard = trainedGuard(20);
    for (int index = 0; index < 4; ++index)
        guard = decide(guard, started("n" + std::to_string(index), noisy, 12), second(1)).state_;
    std::vector<int64_t> evictedAt;
    for (int64_t at = 2; at < 600; ++at) {
        GuardDecision decision = decide(guard, LoadSampled { service, usualLoad }, second(at));
        guard = decision.state_;
        for (const Evict& evict : actionsOf<Evict>(decision)) {
            evictedAt.push_back(at);
            BOOST_TEST(!evict.explanation_.compared_.empty());
            guard = decide(guard, TaskEnded { evict.task_ }, second(at)).state_;
        }
    }
    BOOST_REQUIRE(!evictedAt.empty());
    BOOST_TEST(evictedAt[0] >= 31);
    BOOST_TEST(evictedAt.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(task_about_to_end_and_tasks_with_old_checkpoints_are_not_evicted)
{
    Guard guard = trainedGuard(20);
    TaskStarted ending = started("a-ending", noisy, 12);
    ending.runTime_ = std::chrono::seconds(100);
    guard = decide(guard, ending, second(1)).state_;
    guard = decide(guard, started("b-old", noisy, 12), second(1)).state_;
    guard = decide(guard, started("c-fresh", noisy, 12), second(1)).state_;
    guard = decide(guard, started("d-old", noisy, 12), second(1)).state_;
    std::optional<TaskId> evicted;
    for (int64_t at = 2; at < 60 && !evicted; ++at) {
        guard = decide(guard, TaskCheckpointed { TaskId::of("c-fresh") }, second(at)).state_;
        GuardDecision decision = decide(guard, LoadSampled { service, usualLoad }, second(at));
        guard = decision.state_;
        for (const Evict& evict : actionsOf<Evict>(decision))
            evicted = evict.task_;
    }
    BOOST_REQUIRE(evicted.has_value());
    BOOST_TEST(evicted->value() == "c-fresh");
}

BOOST_AUTO_TEST_CASE(repeated_or_future_measurement_is_ignored)
{
    Guard guard = decide(makeGuard(learned()), LoadSampled { service, usualLoad }, second(1)).state_;
    guard = decide(guard, TailMeasured { service, second(1), baseTail, 8 }, second(6)).state_;
    BOOST_TEST((decide(guard, TailMeasured { service, second(1), 90, 8 }, second(7)).state_ == guard));
    BOOST_TEST((decide(guard, TailMeasured { service, second(9), 90, 8 }, second(7)).state_ == guard));
    BOOST_TEST((decide(guard, TailMeasured { ServiceName::of("other"), second(6), 90, 8 }, second(7)).state_ == guard));
}

BOOST_AUTO_TEST_CASE(full_use_is_estimated_only_from_usage_measured_after_a_change_of_the_share)
{
    Guard guard = decide(trainedGuard(), started("n", noisy, 16), second(10)).state_;
    double share = guard.share(TaskId::of("n"));
    BOOST_TEST((decide(guard, UsageSampled { second(11), { { TaskId::of("n"), 16 } } }, second(16)).state_ == guard));
    for (int64_t at = 20; at < 200; ++at) {
        guard = decide(guard, UsageSampled { second(at), { { TaskId::of("n"), share } } }, second(at + 5)).state_;
        guard = decide(guard, LoadSampled { service, usualLoad }, second(at + 5)).state_;
        share = guard.share(TaskId::of("n"));
    }
    BOOST_TEST(share == 1);
}

BOOST_AUTO_TEST_CASE(guard_trains_its_own_model_while_none_is_published)
{
    Guard guard = makeGuard(learned());
    constexpr double taskCores = 4;
    constexpr double trueHarm = 6;
    for (int64_t at = 1; at < 600; ++at) {
        double use = guard.tasks() == 0 ? 0 : taskCores * guard.share(TaskId::of("n"));
        guard = decide(guard, LoadSampled { service, usualLoad }, second(at)).state_;
        guard = decide(guard, TailMeasured { service, second(at), baseTail * (1 + trueHarm * use / cores), 8 }, second(at)).state_;
        if (at % 20 == 0)
            guard = decide(guard, started("n", noisy, taskCores), second(at)).state_;
        if (at % 20 == 10)
            guard = decide(guard, TaskEnded { TaskId::of("n") }, second(at)).state_;
    }
    BOOST_REQUIRE(guard.tasks() == 0U);
    BOOST_TEST(!guard.admits(noisy, Tier::Trial, 4));
    BOOST_TEST(guard.admits(noisy, Tier::Trial, 0.5));
}

BOOST_AUTO_TEST_CASE(fixed_threshold_stops_accepting_throttles_evicts_and_recovers)
{
    Guard guard = makeGuard(FixedThreshold { 22 });
    guard = decide(guard, started("small", quiet, 2), second(0)).state_;
    guard = decide(guard, started("large", noisy, 8), second(0)).state_;
    GuardDecision decision = decide(guard, TailMeasured { service, second(1), 23, 8 }, second(6));
    BOOST_TEST(!decision.state_.accepting());
    BOOST_TEST((actionsOf<SetShare>(decision).at(0).task_ == TaskId::of("large")));
    decision = decide(decision.state_, TailMeasured { service, second(2), 90, 8 }, second(7));
    BOOST_TEST(actionsOf<Evict>(decision).empty());
    decision = decide(decision.state_, TailMeasured { service, second(20), 90, 8 }, second(25));
    BOOST_TEST(actionsOf<Evict>(decision).size() == 1U);
    for (int64_t at = 30; at < 90; ++at)
        decision = decide(decision.state_, TailMeasured { service, second(at), 15, 8 }, second(at));
    BOOST_TEST(decision.state_.accepting());
}

BOOST_AUTO_TEST_CASE(shares_stay_in_range_and_corrections_of_one_cause_are_spaced_for_any_messages)
{
    bool holds = rc::check("shares stay in range, corrections are apart", [] {
        Guard guard = makeGuard(learned());
        int64_t at = 0;
        int64_t lastMeasuredCause = -1000;
        int64_t lag = 5;
        int64_t lastMeasuredAt = 0;
        size_t evictions = 0;
        int steps = *rc::gen::inRange(0, 150);
        for (int step = 0; step < steps; ++step) {
            at += *rc::gen::inRange(0, 4);
            TaskId task = TaskId::of("t" + std::to_string(*rc::gen::inRange(0, 6)));
            GuardMessage message = LoadSampled { service, *rc::gen::inRange(0, 120) / 100.0 };
            switch (*rc::gen::inRange(0, 9)) {
            case 0:
                message = TaskStarted { task, *rc::gen::element(quiet, noisy), *rc::gen::element(Tier::Paying, Tier::Trial), static_cast<double>(*rc::gen::inRange(1, 30)), Duration(0), true };
                break;
            case 1:
                message = TaskEnded { task };
                break;
            case 2:
                if (int64_t measuredAt = at - *rc::gen::inRange(0, 16); measuredAt > lastMeasuredAt) {
                    lag = at - measuredAt;
                    lastMeasuredAt = measuredAt;
                    message = TailMeasured { service, second(measuredAt), *rc::gen::inRange(1, 200) / 1.0, 8 };
                }
                break;
            case 3:
                message = UsageSampled { second(at - *rc::gen::inRange(0, 16)), { { task, 4 } } };
                break;
            case 4:
                message = EvictionFailed { task };
                break;
            default:
                break;
            }
            GuardDecision decision = decide(guard, message, second(at));
            RC_ASSERT(decision == decide(guard, message, second(at)));
            bool measuredCause = false;
            for (const SetShare& set : actionsOf<SetShare>(decision)) {
                RC_ASSERT(set.share_ >= minimumShare - 1e-9);
                RC_ASSERT(set.share_ <= 1);
                RC_ASSERT(!set.explanation_.compared_.empty());
                measuredCause = measuredCause || set.explanation_.cause_ == Cause::Measurement;
            }
            if (measuredCause) {
                RC_ASSERT(at - lastMeasuredCause >= lag);
                lastMeasuredCause = at;
            }
            evictions += actionsOf<Evict>(decision).size();
            guard = decision.state_;
        }
        RC_ASSERT(evictions <= 2U);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
