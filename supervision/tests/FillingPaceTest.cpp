#include "persimmondoor/supervision/Supervisor.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace persimmondoor::supervision {

using workflow::ActiveRun;
using workflow::Fence;
using workflow::LeaderEpoch;
using workflow::RunKey;
using workflow::RunTraits;
using workflow::WorkerIncarnation;

static const WorkerIncarnation incarnation { "w-1", 1000 };
static const RunKey service { { JobId::of("00000000000000aa"), 0, 0, 0 }, 1 };
static const RunKey heavy { { JobId::of("00000000000000bb"), 0, 0, 0 }, 1 };
static const RunKey light { { JobId::of("00000000000000cc"), 0, 0, 0 }, 1 };
static constexpr int64_t fillingMilliCores = 16'000;

static Instant at(int64_t milliseconds)
{
    return Instant::fromMicroseconds((1'000'000 + milliseconds) * 1000);
}

// An agent with one worker; records the pace last sent to each run.
class PacingAgent {
public:
    PacingAgent()
    {
        state_.name_ = "agent";
        state_.session_ = 7;
        workflow::Heartbeat heartbeat { incarnation, { "packs", "north", { "a", "r1" }, *Resources::create(64'000, 1'000'000, 0) }, *Address::parse("127.0.0.1:8001"), false, 0, 1 };
        handle(heartbeat, 0);
        workflow::ReportReply reply { LeaderEpoch(1), Fence(5), state_.sequence_, std::chrono::milliseconds(7500), {}, {}, traits(), {} };
        workflow::Sensitivity& search = reply.interference_.sensitivities_["search"];
        search = { 4, { { "heavy", 0.9 }, { "light", 0.05 } }, {} };
        handle(ReportAnswered { reply }, 10);
    }

    static std::vector<RunTraits> traits()
    {
        return { { service, false, 18, "search", 13'000 }, { heavy, true, 0, "heavy", fillingMilliCores }, { light, true, 0, "light", fillingMilliCores } };
    }

    template <typename Message>
    void handle(Message message, int64_t milliseconds)
    {
        SupervisorMessage wrapped = std::move(message);
        SupervisorDecision decision = decide(std::move(state_), wrapped, at(milliseconds));
        state_ = std::move(decision.state_);
        for (const SupervisorAction& action : decision.actions_) {
            if (const auto* call = std::get_if<CallPace>(&action))
                runPaces_[call->run_] = call->pacePercent_;
        }
    }

    // Makes the leader reply with traits of further filling runs of that image.
    void addTraits(const std::vector<RunKey>& runs, const std::string& image)
    {
        workflow::ReportReply reply { LeaderEpoch(1), Fence(5), state_.sequence_, std::chrono::milliseconds(7500), {}, {}, traits(), state_.interference_ };
        for (const RunKey& run : runs)
            reply.traits_.push_back({ run, true, 0, image, fillingMilliCores });
        handle(ReportAnswered { reply }, 20);
    }

    // Delivers the worker's list, with the tail latency of the service in milliseconds.
    void deliverList(int64_t milliseconds, uint32_t tailMs, const std::vector<RunKey>& filling)
    {
        std::vector<ActiveRun> active { { service, "", 100, tailMs, 0 } };
        for (const RunKey& run : filling)
            active.push_back({ run, "", progressPercents_.count(run) > 0 ? progressPercents_.at(run) : 10, static_cast<uint32_t>(fillingMilliCores * paceOf(run) / fullPace), 0 });
        handle(ListArrived { incarnation, state_.fence_, at(milliseconds), { milliseconds, incarnation.bornMs_, std::move(active), {} } }, milliseconds);
    }

    uint32_t paceOf(const RunKey& run) const
    {
        auto lastPace = runPaces_.find(run);
        return lastPace == runPaces_.end() ? fullPace : lastPace->second;
    }

    SupervisorState state_;
    std::map<RunKey, uint32_t> runPaces_;
    // Progress of filling runs; 10 percent if not set.
    std::map<RunKey, uint32_t> progressPercents_;
};

static std::vector<RunKey> heavyRuns(uint32_t count)
{
    std::vector<RunKey> runs;
    for (uint32_t index = 0; index < count; ++index)
        runs.push_back({ { JobId::of("00000000000000bb"), 0, 0, index }, 1 });
    return runs;
}

BOOST_AUTO_TEST_SUITE(filling_pace)

BOOST_AUTO_TEST_CASE(harmful_task_is_slowed_down_on_arrival)
{
    PacingAgent agent;
    agent.deliverList(1000, 8, {});
    // The next load reading is not due yet.
    agent.deliverList(1100, 8, { heavy, light });
    BOOST_TEST(agent.paceOf(heavy) <= 25U);
    BOOST_TEST(agent.paceOf(light) == fullPace);
}

// Guards against filling tasks that work at full pace beside a long-running task that has only just been started.
BOOST_AUTO_TEST_CASE(harmful_task_is_paused_beside_a_long_running_task_without_a_reading)
{
    PacingAgent agent;
    // The tail latency is 0 until the long-running task has served requests.
    agent.deliverList(1000, 0, { heavy, light });
    BOOST_TEST(agent.paceOf(heavy) == 0U);
    BOOST_TEST(agent.paceOf(light) == fullPace);
}

BOOST_AUTO_TEST_CASE(pace_of_a_harmful_task_rises_step_by_step_and_falls_at_once)
{
    PacingAgent agent;
    agent.deliverList(1000, 5, { heavy });
    uint32_t first = agent.paceOf(heavy);
    agent.deliverList(1500, 5, { heavy });
    uint32_t second = agent.paceOf(heavy);
    BOOST_TEST(first <= 25U);
    BOOST_TEST(second > first);
    BOOST_TEST(second <= first + 25);
    agent.deliverList(2000, 30, { heavy });
    BOOST_TEST(agent.paceOf(heavy) == 0U);
}

BOOST_AUTO_TEST_CASE(pace_does_not_rise_between_readings)
{
    PacingAgent agent;
    agent.deliverList(1000, 5, { heavy });
    uint32_t first = agent.paceOf(heavy);
    agent.deliverList(1100, 5, { heavy });
    agent.deliverList(1200, 5, { heavy });
    BOOST_TEST(agent.paceOf(heavy) == first);
}

BOOST_AUTO_TEST_CASE(harmless_tasks_are_paused_before_a_tail_has_been_high_for_too_long)
{
    PacingAgent agent;
    int64_t time = 1000;
    agent.deliverList(time, 25, { light });
    BOOST_TEST(agent.paceOf(light) == fullPace);
    // Tails must not stay above their targets for 4 s; the task must be paused before that.
    while (agent.paceOf(light) > 0 && time < 5000)
        agent.deliverList(time += 500, 25, { light });
    BOOST_TEST(time <= 3000);
    agent.deliverList(time + 500, 8, { light });
    BOOST_TEST(agent.paceOf(light) == fullPace);
}

BOOST_AUTO_TEST_CASE(report_shows_load_and_pace_of_the_same_reading)
{
    PacingAgent agent;
    agent.deliverList(1000, 5, { heavy });
    uint32_t lastPace = agent.paceOf(heavy);
    uint64_t readings = agent.state_.workers_.at(incarnation).readingNumber_;
    // A list between two readings reflects the new pace for less than half a second, so its load is not used.
    agent.deliverList(1200, 30, { heavy });
    const LocalWorker& worker = agent.state_.workers_.at(incarnation);
    BOOST_TEST(worker.readingNumber_ == readings);
    BOOST_TEST(worker.active_.at(service).load_ == 5U);
    agent.deliverList(1500, 6, { heavy });
    BOOST_TEST(agent.state_.workers_.at(incarnation).active_.at(heavy).pace_ == lastPace);
}

// Guards against a worker that does nothing although its long-running tasks leave headroom: split among many tasks, none
// gets a pace that is worth running at.
BOOST_AUTO_TEST_CASE(headroom_goes_to_as_many_tasks_as_can_use_it)
{
    PacingAgent agent;
    std::vector<RunKey> runs = heavyRuns(20);
    agent.addTraits(runs, "heavy");
    auto sumOfPaces = [&] { return std::accumulate(runs.begin(), runs.end(), 0U, [&](uint32_t sum, const RunKey& run) { return sum + agent.paceOf(run); }); };
    for (int64_t time = 1000; time <= 6000; time += 500) {
        // The long-running task is busy for half of its time; each filling task at full pace adds 0.9 times a quarter.
        double utilisation = std::min(0.95, 0.5 + 0.9 * 0.25 * (time == 1000 ? 0 : sumOfPaces()) / 100);
        agent.deliverList(time, static_cast<uint32_t>(std::lround(4 / (1 - utilisation))), runs);
    }
    // The tail stays below three quarters of its target up to a utilisation of 0.7, which leaves room for most of one task.
    BOOST_TEST(sumOfPaces() >= 50U);
    BOOST_TEST(sumOfPaces() <= 100U);
}

// Guards against tasks that get headroom in turn, so that none of them ends.
BOOST_AUTO_TEST_CASE(headroom_for_one_task_stays_with_it_until_it_ends)
{
    PacingAgent agent;
    std::vector<RunKey> runs = heavyRuns(20);
    agent.addTraits(runs, "heavy");
    auto checkServed = [&](size_t served) {
        for (size_t index = 0; index < runs.size(); ++index)
            BOOST_TEST((agent.paceOf(runs[index]) > 0) == (index == served), "run " << index);
    };
    agent.progressPercents_[runs[7]] = 20;
    agent.deliverList(1000, 8, {});
    agent.deliverList(1100, 8, runs);
    checkServed(7);
    // The tail leaves room for the task that is served.
    for (int64_t time = 1500; time <= 4000; time += 500) {
        agent.progressPercents_[runs[7]] = static_cast<uint32_t>(time / 50);
        agent.deliverList(time, 13, runs);
        checkServed(7);
    }
    runs.erase(runs.begin() + 7);
    agent.deliverList(4500, 8, runs);
    checkServed(0);
}

// Guards against a filling task that works on at full pace beside a long-running task over its target, as the call that
// paused it was lost or refused under an earlier fence.
BOOST_AUTO_TEST_CASE(pace_that_the_worker_did_not_confirm_is_sent_again)
{
    PacingAgent agent;
    agent.deliverList(1000, 30, {});
    agent.deliverList(1100, 30, { heavy });
    BOOST_REQUIRE(agent.runPaces_.count(heavy) == 1U);
    agent.runPaces_.clear();
    agent.deliverList(1200, 30, { heavy });
    BOOST_TEST(agent.runPaces_.empty());
    agent.handle(PaceFailed { incarnation, heavy }, 1250);
    agent.deliverList(1300, 30, { heavy });
    BOOST_REQUIRE(agent.runPaces_.count(heavy) == 1U);
    BOOST_TEST(agent.runPaces_.at(heavy) == 0U);
    // Once only, and not for a run that has ended.
    agent.runPaces_.clear();
    agent.deliverList(1400, 30, { heavy });
    agent.handle(PaceFailed { incarnation, heavy }, 1450);
    agent.deliverList(1500, 30, {});
    BOOST_TEST(agent.runPaces_.empty());
}

// Guards against tasks that the leader takes for slowed down, and moves, although they have just started.
BOOST_AUTO_TEST_CASE(run_without_a_reading_is_reported_at_full_pace)
{
    PacingAgent agent;
    agent.deliverList(1000, 8, {});
    agent.deliverList(1100, 8, { light });
    BOOST_TEST(agent.state_.workers_.at(incarnation).active_.at(light).pace_ == fullPace);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::supervision
