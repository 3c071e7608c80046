#include "FillingWorld.h"

#include <map>
#include <set>

namespace persimmondoor::workflow {

namespace {

    const std::string waitingJob = "00000000000000dd";
    constexpr int64_t stepMs = 100;

    // Workers of four cores that refuse each start, beside one that has room for a long-running task but is not empty.
    class RefusingWorld : public LeaderWorld {
    public:
        RefusingWorld(std::vector<std::string> refusing, StartRefusal reason, std::vector<StoredJob> rows = {}, uint64_t epoch = 1)
            : LeaderWorld(std::move(rows), epoch)
            , refusing_(std::move(refusing))
            , reason_(reason)
        {
        }

        // Reports all workers, and carries out what is ordered.
        void step(int64_t time)
        {
            std::vector<std::string> workers = refusing_;
            workers.push_back("w-9");
            state_.lastDurableWriteAt_ = at(time);
            for (const std::string& worker : workers) {
                auto agent = state_.agents_.find(worker);
                lastCompletedOrder_ = agent == state_.agents_.end() ? OrderNumber() : agent->second.lastOrder_;
                refused_ = std::exchange(refusals_[worker], {});
                report(worker, time, active_[worker]);
            }
            handle(Tick { 1'000'000 + time }, time + 1);
            commit(time + 2);
            for (const std::string& worker : workers)
                carryOut(worker, starts(worker, time + 3), time);
        }

        // \return when the worker that refuses nothing started the waiting task; 0 if it did not.
        int64_t runUntil(int64_t begin, int64_t end)
        {
            for (int64_t time = begin; time <= end && startedAt_ == 0; time += stepMs)
                step(time);
            return startedAt_;
        }

        std::map<std::string, std::vector<ActiveRun>> active_;

    private:
        void carryOut(const std::string& worker, const std::vector<RunKey>& runs, int64_t time)
        {
            for (const RunKey& run : runs) {
                if (worker != "w-9") {
                    refusals_[worker].push_back({ run, reason_ });
                    continue;
                }
                active_[worker].push_back({ run, "", 100, 0, 100 });
                if (run.task_.job_.value() == waitingJob)
                    startedAt_ = time;
            }
        }

        std::vector<std::string> refusing_;
        StartRefusal reason_;
        std::map<std::string, std::vector<RefusedStart>> refusals_;
        int64_t startedAt_ { 0 };
    };

    Step waitingStep()
    {
        Step step = longRunningStep("search");
        step.demand_ = *Resources::create(2000, 1000, 0);
        return step;
    }

    const std::vector<std::string> stoppingWorkers { "w-1", "w-2", "w-3", "w-4", "w-5" };

    // Rows of a job with one task for each of the stopping workers that takes all its cores, all of them done.
    std::vector<StoredJob> rowsOfDoneJob()
    {
        LeaderWorld first;
        auto count = static_cast<uint32_t>(stoppingWorkers.size());
        Step step = stepOfTasks(count);
        step.demand_ = first.capacity_;
        for (const std::string& worker : stoppingWorkers)
            first.report(worker, 10);
        first.submit({ step }, 20, searchJob);
        first.commit(30);
        first.lastCompletedOrder_ = OrderNumber(1);
        for (const std::string& worker : stoppingWorkers) {
            std::vector<RunKey> runs = first.starts(worker, 31);
            BOOST_REQUIRE(runs.size() == 1U);
            first.report(worker, 40, {}, { { 1, runs.front(), RunEnd::Done, "" } });
        }
        first.commit(50);
        return first.rows();
    }

} // namespace

BOOST_AUTO_TEST_SUITE(starvation)

// Guards against a long-running task that is sent in turn to workers whose room is still taken by runs that are being
// stopped, and never to one that has room.
BOOST_AUTO_TEST_CASE(long_running_task_is_not_sent_to_workers_whose_runs_are_still_being_stopped)
{
    RefusingWorld world(stoppingWorkers, StartRefusal::NoRoom, rowsOfDoneJob(), 2);
    for (uint32_t index = 0; index < stoppingWorkers.size(); ++index)
        world.active_[stoppingWorkers[index]] = { { runOf(searchJob, index), "", 10, 0, 100 } };
    world.step(100);
    world.submit({ waitingStep() }, 150, waitingJob);
    int64_t startedAt = world.runUntil(200, 6200);
    BOOST_TEST(startedAt > 0);
    BOOST_TEST(world.logged("run.lost").empty());
}

// Guards against a long-running task that is sent in turn to the same workers, which refuse it, and never to one that has
// room.
BOOST_AUTO_TEST_CASE(long_running_task_that_some_workers_refuse_is_started_on_another)
{
    for (size_t count = 1; count <= 12; ++count) {
        std::vector<std::string> refusing;
        for (size_t number = 1; number <= count; ++number)
            refusing.push_back("w-" + std::to_string(number));
        RefusingWorld world(refusing, StartRefusal::Unavailable);
        // The other worker is not empty, which makes it the last choice.
        world.step(100);
        Step other = longRunningStep("ranking");
        world.submit({ other }, 120, rankingJob);
        world.step(200);
        world.submit({ waitingStep() }, 250, waitingJob);
        int64_t startedAt = world.runUntil(300, 6300);
        BOOST_TEST(startedAt > 0, count << " workers refuse; refused " << world.logged("run.lost").size() << " times");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
