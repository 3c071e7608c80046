#include "FillingWorld.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::workflow {

namespace {

    const std::string waitingJob = "00000000000000aa";

    // A worker of four cores that always runs four short tasks, one of which ends every 100 ms; more of them always wait. A
    // long-running task of two cores is submitted at 200 ms.
    class CrowdedWorld : public LeaderWorld {
    public:
        CrowdedWorld()
        {
            report("w-1", 10);
            for (uint32_t number = 0; number < 10; ++number)
                submitShort(20);
            commit(30);
            startOrdered(31);
            Step large = longRunningStep("search");
            large.demand_ = *Resources::create(2000, 1000, 0);
            submit({ large }, 200, waitingJob);
            commit(210);
        }

        // Lets a short task end every 100 ms until `end`, and submits another one each time.
        // \return when the long-running task was started; 0 if it was not.
        int64_t runUntil(int64_t end)
        {
            for (int64_t time = 300; time <= end; time += 100) {
                ActiveRun ended = active_.front();
                active_.erase(active_.begin());
                ends_.push_back({ ++lastEnd_, ended.run_, RunEnd::Done, "" });
                submitShort(time);
                report("w-1", time, active_, ends_);
                handle(Tick { 1'000'000 + time }, time + 1);
                commit(time + 2);
                if (startOrdered(time + 3))
                    return time;
                if (active_.empty())
                    return 0;
            }
            return 0;
        }

        uint32_t shortPriority_ { 0 };

    private:
        void submitShort(int64_t time)
        {
            std::string digits = std::to_string(++jobCount_);
            submit({ stepOfTasks(1) }, time, "b" + std::string(15 - digits.size(), '0') + digits);
        }

        // Takes the ordered starts as begun.
        // \return true if the long-running task is one of them.
        bool startOrdered(int64_t time)
        {
            bool hasWaitingTask = false;
            for (const RunKey& run : starts("w-1", time)) {
                lastCompletedOrder_ = lastCompletedOrder_.next();
                active_.push_back({ run, "", 10, 0, 100 });
                hasWaitingTask = hasWaitingTask || run.task_.job_.value() == waitingJob;
            }
            return hasWaitingTask;
        }

        std::vector<ActiveRun> active_;
        std::vector<EndedRun> ends_;
        uint64_t lastEnd_ { 0 };
        uint32_t jobCount_ { 0 };
    };

    // A worker of four cores with four short tasks, on which room is held for a long-running task of two cores.
    class HoldingWorld : public LeaderWorld {
    public:
        HoldingWorld()
        {
            report("w-1", 10);
            submit({ stepOfTasks(4) }, 20, "00000000000000bb");
            commit(30);
            starts("w-1", 31);
            lastCompletedOrder_ = OrderNumber(4);
            reportShort(700, { 0, 1, 2, 3 });
            Step large = longRunningStep("search");
            large.demand_ = *Resources::create(2000, 1000, 0);
            submit({ large }, 40, waitingJob);
            handle(Tick { 1'000'800 }, 800);
            BOOST_REQUIRE(holds().size() == 1U);
        }

        const std::map<TaskKey, RoomHold>& holds() const { return state_.workers_.at({ "w-1", bornMs_, host_ }).holds_; }

        // Reports the short tasks that are still active; the others are done.
        void reportShort(int64_t milliseconds, const std::vector<uint32_t>& active)
        {
            std::vector<ActiveRun> runs;
            std::vector<EndedRun> ends;
            for (uint32_t index = 0; index < 4; ++index) {
                if (std::find(active.begin(), active.end(), index) != active.end())
                    runs.push_back({ runOf("00000000000000bb", index), "", static_cast<uint32_t>(milliseconds / 100), 0, 100 });
                else
                    ends.push_back({ index + 1, runOf("00000000000000bb", index), RunEnd::Done, "" });
            }
            report("w-1", milliseconds, runs, ends);
        }
    };

} // namespace

BOOST_AUTO_TEST_SUITE(room_holds)

// Guards against a long-running task that never runs, as shorter tasks take each core that becomes free before there are
// enough for it.
BOOST_AUTO_TEST_CASE(long_running_task_is_not_starved_by_short_tasks)
{
    CrowdedWorld world;
    int64_t started = world.runUntil(5000);
    BOOST_TEST(started > 0);
    // Room is held 500 ms after it began to wait, and two tasks end in 200 ms; checks are 200 ms apart.
    BOOST_TEST(started <= 1200);
    BOOST_TEST(world.logged("room.held").size() == 1U);
}

// Guards against a held room that stays idle, as the demand of a smaller task of the same image counts as unplaceable.
BOOST_AUTO_TEST_CASE(held_room_is_used_although_a_smaller_task_of_the_image_finds_none)
{
    CrowdedWorld world;
    Step small = longRunningStep("search");
    for (uint32_t number = 0; number < 20; ++number)
        world.submit({ small }, 220, concat("00000000000001", 10 + number));
    world.commit(230);
    int64_t started = world.runUntil(5000);
    BOOST_TEST(started > 0);
    BOOST_TEST(started <= 1200);
}

// Guards against a log that does not tell the room that is held from room that is free.
BOOST_AUTO_TEST_CASE(backlog_tells_the_room_that_is_held)
{
    CrowdedWorld world;
    world.handle(Tick { 1'000'800 }, 800);
    BOOST_REQUIRE(!world.logged("queues.backlog").empty());
    BOOST_TEST(world.logged("queues.backlog").back().find("held: 1 rooms, 2000 thousandths of a core;") != std::string::npos);
}

// Guards against two holds on one worker that each keep the other's task from the room that is free for either.
BOOST_AUTO_TEST_CASE(task_of_the_first_of_two_holds_starts_once_its_own_room_is_free)
{
    HoldingWorld world;
    world.state_.tuning_.maximumHeldPercent_ = 200;
    Step second = longRunningStep("ranking");
    second.demand_ = *Resources::create(2000, 1000, 0);
    world.submit({ second }, 810, "00000000000000cc");
    world.handle(Tick { 1'001'400 }, 1400);
    BOOST_REQUIRE(world.holds().size() == 2U);
    world.reportShort(1500, { 0, 1 });
    world.handle(Tick { 1'001'600 }, 1601);
    world.commit(1602);
    std::vector<RunKey> started = world.starts("w-1", 1603);
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started.front().task_.job_.value() == waitingJob);
}

// Guards against room that is kept for a long-running task while urgent work, which comes before it, is short of room.
BOOST_AUTO_TEST_CASE(rush_releases_the_holds_of_tasks_that_come_after_it)
{
    HoldingWorld world;
    world.state_.urgentRoom_.services_["packs"] = Rush { at(800), at(800), 0, "tests", {} };
    world.handle(Tick { 1'001'000 }, 1000);
    BOOST_TEST(world.holds().empty());
}

// Guards against holds that outlive their task and leave cores idle.
BOOST_AUTO_TEST_CASE(hold_ends_with_the_job_that_needs_it)
{
    CrowdedWorld world;
    world.handle(Tick { 1'000'800 }, 800);
    BOOST_TEST(world.state_.workers_.begin()->second.holds_.size() == 1U);
    world.call(Cancel {}, 850, waitingJob);
    world.commit(860);
    world.handle(Tick { 1'001'100 }, 1100);
    BOOST_TEST(world.state_.workers_.begin()->second.holds_.empty());
}

// Guards against a hold that is dropped at the moment at which the room is free, or by a passing refusal, so that short tasks
// take what was kept.
BOOST_AUTO_TEST_CASE(hold_lasts_until_it_is_used)
{
    HoldingWorld world;
    world.refused_ = { { runOf("00000000000000ee"), StartRefusal::NoRoom } };
    world.reportShort(1000, { 0, 1, 2, 3 });
    world.refused_.clear();
    world.handle(Tick { 1'001'050 }, 1050);
    BOOST_TEST(world.holds().size() == 1U);
    // Under a backlog, the waiting task may be placed a little after there is room for it.
    for (int number = 0; number < 25; ++number)
        world.submit({ stepOfTasks(1) }, 1060, concat("00000000000001", 10 + number));
    world.commit(1070);
    world.reportShort(1295, { 1, 2, 3 });
    world.reportShort(1298, { 2, 3 });
    world.handle(Tick { 1'001'302 }, 1302);
    BOOST_TEST(world.holds().size() == 1U);
    world.reportShort(1320, { 2, 3 });
    const Task& task = world.state_.jobs_.at(JobId::of(waitingJob)).tasks_.front();
    BOOST_TEST(task.progress_.run_ == 1U);
    BOOST_TEST(!task.isRoomHeld_);
}

// Guards against holds that move from worker to worker, so that none of them becomes free.
BOOST_AUTO_TEST_CASE(hold_stays_where_it_is)
{
    HoldingWorld world;
    world.capacity_ = *Resources::create(1000, 1'000'000, 0);
    world.report("w-2", 1000);
    world.submit({ stepOfTasks(1) }, 1010, "00000000000000cc");
    world.commit(1020);
    world.lastCompletedOrder_ = OrderNumber(1);
    // The second worker has less to free than the first.
    world.capacity_ = *Resources::create(2500, 1'000'000, 0);
    world.report("w-2", 1030, { { runOf("00000000000000cc"), "", 10, 0, 100 } });
    world.handle(Tick { 1'001'300 }, 1300);
    BOOST_TEST(world.holds().size() == 1U);
    BOOST_TEST(world.state_.workers_.at({ "w-2", 1000, "" }).holds_.empty());
}

// Guards against a task that waits for a worker which frees nothing, while another one could make room.
BOOST_AUTO_TEST_CASE(hold_that_frees_nothing_is_moved)
{
    HoldingWorld world;
    world.capacity_ = *Resources::create(1000, 1'000'000, 0);
    world.report("w-2", 1000);
    world.submit({ stepOfTasks(1) }, 1010, "00000000000000cc");
    world.commit(1020);
    world.lastCompletedOrder_ = OrderNumber(1);
    world.capacity_ = *Resources::create(2500, 1'000'000, 0);
    for (int64_t time = 1100; time <= 4300; time += 100) {
        world.lastCompletedOrder_ = OrderNumber(1);
        world.report("w-2", time, { { runOf("00000000000000cc"), "", static_cast<uint32_t>(time / 100), 0, 100 } });
        world.lastCompletedOrder_ = OrderNumber(4);
        world.capacity_ = *Resources::create(4000, 1'000'000, 0);
        world.reportShort(time + 1, { 0, 1, 2, 3 });
        world.capacity_ = *Resources::create(2500, 1'000'000, 0);
        world.handle(Tick { 1'000'000 + time }, time + 2);
    }
    BOOST_TEST(world.holds().empty());
    BOOST_TEST(world.state_.workers_.at({ "w-2", 1000, "" }).holds_.size() == 1U);
}

// Guards against holds that keep too many workers idle.
BOOST_AUTO_TEST_CASE(holds_are_bounded)
{
    LeaderWorld world;
    for (int number = 0; number < 80; ++number)
        world.report(concat("w-", number), 10);
    for (int number = 0; number < 80; ++number)
        world.submit({ stepOfTasks(4) }, 20, concat("00000000000001", 10 + number));
    while (!world.state_.stagedOrder_.empty())
        world.commit(30);
    Step large = longRunningStep("search");
    large.count_ = 60;
    large.demand_ = *Resources::create(2000, 1000, 0);
    world.submit({ large }, 40, waitingJob);
    world.handle(Tick { 1'000'800 }, 800);
    auto countHolds = [&] {
        size_t count = 0;
        for (const auto& [incarnation, worker] : world.state_.workers_)
            count += worker.holds_.size();
        return count;
    };
    BOOST_TEST(countHolds() == 16U);
    world.state_.tuning_.maximumHeldPercent_ = 10;
    world.handle(Tick { 1'001'100 }, 1100);
    BOOST_TEST(countHolds() == 8U);
}

// Guards against a long-running task of a low priority that keeps urgent tasks waiting.
BOOST_AUTO_TEST_CASE(hold_leaves_room_to_tasks_of_a_higher_priority)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.submit({ stepOfTasks(3) }, 20, "00000000000000bb");
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 3U);
    world.lastCompletedOrder_ = OrderNumber(3);
    world.report("w-1", 35, { { runOf("00000000000000bb", 0), "", 10, 0, 100 }, { runOf("00000000000000bb", 1), "", 10, 0, 100 }, { runOf("00000000000000bb", 2), "", 10, 0, 100 } });
    Step large = longRunningStep("search");
    large.demand_ = *Resources::create(2000, 1000, 0);
    world.submit({ large }, 40, waitingJob);
    world.state_.jobs_.at(JobId::of(waitingJob)).record_.queue_.priority_ = 1;
    world.handle(Tick { 1'000'800 }, 800);
    BOOST_REQUIRE(world.state_.workers_.begin()->second.holds_.size() == 1U);
    world.submit({ stepOfTasks(1) }, 810, "00000000000000cc");
    world.commit(820);
    BOOST_TEST(world.starts("w-1", 821).size() == 1U);
}

// Guards against a task that has failed, or one at its step's bound, which keeps others from a hold on a worker that is closed
// to it alone.
BOOST_AUTO_TEST_CASE(hold_is_not_denied_as_a_worker_is_closed_to_another_task)
{
    HoldingWorld world;
    world.call(Cancel {}, 810, waitingJob);
    world.commit(820);
    Worker& worker = world.state_.workers_.begin()->second;
    worker.quarantineCount_ = 1;
    worker.nextProbeAt_ = at(60'000);
    worker.nextProbeOfFailedAt_ = at(60'000);
    Step large = longRunningStep("search");
    large.count_ = 2;
    large.demand_ = *Resources::create(2000, 1000, 0);
    world.submit({ large }, 900, "00000000000000cc");
    world.state_.jobs_.at(JobId::of("00000000000000cc")).tasks_[0].progress_.failures_ = 1;
    world.reportShort(1400, { 0, 1, 2, 3 });
    world.handle(Tick { 1'001'500 }, 1500);
    BOOST_REQUIRE(world.holds().size() == 1U);
    BOOST_TEST(world.holds().begin()->first.index_ == 1U);
}

BOOST_AUTO_TEST_CASE(hold_is_not_denied_as_another_step_is_at_its_bound)
{
    LeaderWorld world;
    world.report("w-1", 10);
    Step bounded = longRunningStep("search");
    bounded.count_ = 2;
    bounded.maxPerWorker_ = 1;
    world.submit({ bounded }, 20, waitingJob);
    world.submit({ stepOfTasks(3) }, 21, "00000000000000bb");
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 4U);
    world.submit({ longRunningStep("search") }, 40, "00000000000000cc");
    world.lastCompletedOrder_ = OrderNumber(4);
    world.report("w-1", 700, { { runOf(waitingJob), "", 100, 0, 100 }, { runOf("00000000000000bb", 0), "", 10, 0, 100 }, { runOf("00000000000000bb", 1), "", 10, 0, 100 }, { runOf("00000000000000bb", 2), "", 10, 0, 100 } });
    world.handle(Tick { 1'000'800 }, 800);
    const auto& holds = world.state_.workers_.begin()->second.holds_;
    BOOST_REQUIRE(holds.size() == 1U);
    BOOST_TEST(holds.begin()->first.job_.value() == "00000000000000cc");
}

// Guards against a leader that takes over and first waits for its predecessor's workers, and only then begins to hold room.
BOOST_AUTO_TEST_CASE(room_is_held_after_a_takeover_while_known_workers_are_awaited)
{
    const std::string shortJob = "00000000000000bb";
    LeaderWorld former;
    former.report("w-1", 10);
    former.submit({ stepOfTasks(4) }, 20, shortJob);
    former.commit(30);
    BOOST_REQUIRE(former.starts("w-1", 31).size() == 4U);
    Step large = longRunningStep("search");
    large.demand_ = *Resources::create(2000, 1000, 0);
    former.submit({ large }, 40, waitingJob);
    former.commit(50);
    former.capacity_ = *Resources::create(1000, 1'000'000, 0);
    former.report("w-2", 60);
    former.submit({ stepOfTasks(1) }, 70, "00000000000000cc");
    former.commit(80);

    // The second worker is lost for good together with its agent.
    LeaderWorld world(former.rows(), 2);
    auto reportShort = [&](int64_t time, uint32_t firstActive) {
        std::vector<ActiveRun> active;
        std::vector<EndedRun> ended;
        for (uint32_t index = 0; index < 4; ++index) {
            if (index >= firstActive)
                active.push_back({ runOf(shortJob, index), "", static_cast<uint32_t>(time / 100), 0, 100 });
            else
                ended.push_back({ index + 1, runOf(shortJob, index), RunEnd::Done, "" });
        }
        world.report("w-1", time, active, ended);
        world.handle(Tick { 1'000'000 + time }, time + 1);
        world.commit(time + 2);
    };
    for (int64_t time = 100; time <= 800; time += 100)
        reportShort(time, 0);
    BOOST_TEST(world.logged("room.held").size() == 1U);
    for (int64_t time = 900; time <= 1200; time += 100)
        reportShort(time, 2);
    std::vector<RunKey> started = world.starts("w-1", 1203);
    BOOST_REQUIRE(!started.empty());
    BOOST_TEST(started.front().task_.job_.value() == waitingJob);
}

// Guards against older tasks that fit nowhere and use up the searches of each update, so that a younger one that would fit
// never gets room held.
BOOST_AUTO_TEST_CASE(older_tasks_that_fit_nowhere_do_not_use_up_the_searches_of_each_update)
{
    LeaderWorld world;
    world.report("w-1", 10);
    world.submit({ longRunningStep("search") }, 20, waitingJob);
    world.submit({ stepOfTasks(3) }, 21, "00000000000000bb");
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 4U);
    world.lastCompletedOrder_ = OrderNumber(4);
    for (int64_t number = 0; number < 4; ++number) {
        Step large = longRunningStep("search");
        large.demand_ = *Resources::create(3900 - 100 * number, 1000, 0);
        world.submit({ large }, 40 + number, "00000000000000d" + std::to_string(number));
    }
    Step fitting = longRunningStep("search");
    fitting.demand_ = *Resources::create(2000, 1000, 0);
    world.submit({ fitting }, 50, "00000000000000cc");
    for (int64_t time = 700; time <= 5000; time += 200) {
        world.report("w-1", time, { { runOf(waitingJob), "", 100, 0, 100 }, { runOf("00000000000000bb", 0), "", 10, 0, 100 }, { runOf("00000000000000bb", 1), "", 10, 0, 100 }, { runOf("00000000000000bb", 2), "", 10, 0, 100 } });
        world.handle(Tick { 1'000'000 + time }, time + 1);
    }
    const auto& holds = world.state_.workers_.begin()->second.holds_;
    BOOST_REQUIRE(holds.size() == 1U);
    BOOST_TEST(holds.begin()->first.job_.value() == "00000000000000cc");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
