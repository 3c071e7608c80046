#include "FillingWorld.h"

#include <map>

namespace persimmondoor::workflow {

namespace {

    const std::string waitingJob = "00000000000000dd";
    const std::string otherJob = "00000000000000ee";
    // A job with nothing running counts as lost after this time (stated by the platform).
    constexpr int64_t lostAfterMs = 3000;
    // Waits in series, each below that time, must not add up to it for callers who look twice.
    constexpr int64_t longestStandstillMs = 1000;
    constexpr int64_t reportIntervalMs = 500;

    // Two workers that paused filling tasks have filled, beside long-running tasks without headroom that take a quarter of the
    // cores and next to no memory.
    class StandstillWorld : public FillingWorld {
    public:
        StandstillWorld()
        {
            for (const char* image : { "search", "ranking" })
                state_.interference_.sensitivities_[image].factors_ = { { "heavy", 0.02 }, { "light", 0.02 } };
            submit({ fillingStep(6, "heavy") }, 200, fillingJob);
            commit(210);
            tailMs_ = 14;
            for (const std::string& worker : { search_, ranking_ }) {
                std::vector<RunKey> runs = starts(worker, 211);
                BOOST_REQUIRE(runs.size() == 3U);
                for (const RunKey& run : runs)
                    active_[worker].push_back({ run, "ck", 10, 0, 0 });
            }
            lastCompletedOrder_ = OrderNumber(4);
            for (int64_t time = 700; time <= 1700; time += reportIntervalMs)
                reportAll(time);
        }

        void reportAll(int64_t time)
        {
            if (lost_.empty()) {
                reportReadings(time, active_[search_], active_[ranking_]);
            } else {
                const std::string& other = lost_ == search_ ? ranking_ : search_;
                readingNumber_ = static_cast<uint64_t>(time);
                report(other, time, withLongRunning(other));
                reachable_ = false;
                if (!isSilent_)
                    report(lost_, time, withLongRunning(lost_));
                reachable_ = true;
            }
            if (!evacuated_.empty()) {
                domain_ = "south";
                report(evacuated_, time);
                domain_ = "north";
            }
            commit(time + 10);
        }

        // Reports until a task of the waiting job is ordered to start, on `startedOn_`.
        // \return when it was; `end` if none was.
        int64_t reportUntilStarted(int64_t begin, int64_t end)
        {
            for (int64_t time = begin; time < end; time += reportIntervalMs) {
                reportAll(time);
                for (const std::string& worker : { search_, ranking_ }) {
                    std::vector<RunKey> runs = starts(worker, time + 20);
                    if (runs.empty())
                        continue;
                    BOOST_TEST(runs.size() == 1U);
                    started_ = runs.front();
                    startedOn_ = worker;
                    lastCompletedOrder_ = OrderNumber(100);
                    return time;
                }
            }
            return end;
        }

        std::map<std::string, std::vector<ActiveRun>> active_;
        // The worker that its agent reports as unreachable; empty if none.
        std::string lost_;
        // That worker is not reported at all.
        bool isSilent_ { false };
        // A worker without runs in a domain of its own; empty if there is none.
        std::string evacuated_;
        std::string startedOn_;
        RunKey started_;

    private:
        std::vector<ActiveRun> withLongRunning(const std::string& worker)
        {
            std::vector<ActiveRun> runs = active_[worker];
            runs.push_back({ runOf(worker == search_ ? searchJob : rankingJob), "", 100, tailMs_, 0 });
            return runs;
        }
    };

} // namespace

BOOST_AUTO_TEST_SUITE(standstill)

// Guards against a wait that begins anew with each start that is refused, if no other task of the job waits.
BOOST_AUTO_TEST_CASE(refused_start_of_the_only_task_does_not_begin_the_wait_anew)
{
    FillingWorld world;
    world.state_.tuning_.maximumTakenPercent_ = 20;
    // The image is harmless on the second worker only, whose free capacity is too small for a task of this size.
    Step large = fillingStep(1, "heavy");
    large.demand_ = *Resources::create(3'400, 1000, 0);
    world.state_.interference_.sensitivities_["search"].factors_["other"] = 3;
    world.submit({ fillingStep(2, "other") }, 150, fillingJob);
    world.commit(160);
    BOOST_REQUIRE(!world.starts(world.ranking_, 161).empty());
    world.submit({ large }, 200, waitingJob);
    auto reportUntilStarted = [&](int64_t begin) {
        for (int64_t time = begin; time < 10'000; time += 100) {
            world.reportReadings(time, {}, {});
            world.commit(time + 10);
            if (!world.starts(world.search_, time + 20).empty())
                return time;
        }
        return int64_t(10'000);
    };
    int64_t startedAt = reportUntilStarted(300);
    BOOST_REQUIRE(startedAt < 200 + lostAfterMs);
    world.lastCompletedOrder_ = OrderNumber(100);
    world.refused_ = { { runOf(waitingJob), StartRefusal::NoRoom } };
    world.reportReadings(startedAt + 50, {}, {});
    world.refused_.clear();
    BOOST_TEST(reportUntilStarted(startedAt + 100) < startedAt + 1000);
}

// Guards against a job that stands still until the leases of a lost worker end, as its run there counts as running.
BOOST_AUTO_TEST_CASE(job_whose_only_run_is_on_an_unreachable_worker_does_not_stand_still)
{
    StandstillWorld world;
    world.submit({ fillingStep(2, "light") }, 2000, waitingJob);
    int64_t startedAt = world.reportUntilStarted(2500, 16'000);
    BOOST_REQUIRE(startedAt < 16'000);
    world.active_[world.startedOn_].push_back({ world.started_, "", 50, 0, 100 });
    world.reportAll(startedAt + 500);
    world.lost_ = world.startedOn_;
    BOOST_TEST(world.reportUntilStarted(startedAt + 1000, startedAt + 8500) < startedAt + 1000 + lostAfterMs);
}

// Guards against a job that stands still until the leases of its run end, as no agent reports the worker any more.
BOOST_AUTO_TEST_CASE(job_whose_only_run_is_on_a_silent_worker_does_not_stand_still)
{
    StandstillWorld world;
    world.submit({ fillingStep(2, "light") }, 2000, waitingJob);
    int64_t startedAt = world.reportUntilStarted(2500, 16'000);
    BOOST_REQUIRE(startedAt < 16'000);
    world.active_[world.startedOn_].push_back({ world.started_, "", 50, 0, 100 });
    world.reportAll(startedAt + 500);
    world.lost_ = world.startedOn_;
    world.isSilent_ = true;
    BOOST_TEST(world.reportUntilStarted(startedAt + 1000, startedAt + 8500) < startedAt + 1000 + lostAfterMs);
}

// Guards against gaps in series between the tasks of a job, each of which begins a wait anew.
BOOST_AUTO_TEST_CASE(job_that_stands_still_gets_a_place_within_a_second)
{
    StandstillWorld world;
    world.submit({ fillingStep(2, "light") }, 2000, waitingJob);
    BOOST_TEST(world.reportUntilStarted(2500, 16'000) <= 2000 + longestStandstillMs);
}

// Guards against a job that waits without end where the open workers are mostly taken and a domain is evacuated, so that most of
// the service is free.
BOOST_AUTO_TEST_CASE(share_of_the_service_that_is_taken_counts_evacuated_workers)
{
    StandstillWorld world;
    // Long-running tasks take 25 percent of two workers, and of all three less than 17.
    world.state_.tuning_.maximumTakenPercent_ = 20;
    world.evacuated_ = "w-3";
    world.reportAll(2000);
    world.handle(EvacuationsChanged { { "south" } }, 2010);
    world.submit({ fillingStep(2, "light") }, 2020, waitingJob);
    BOOST_TEST(world.reportUntilStarted(2500, 16'000) < 2020 + lostAfterMs);
}

// Guards against an exception that outlasts its reason: the job is placed where it disturbs others, while a worker where it
// does no harm is full for a moment.
BOOST_AUTO_TEST_CASE(exceptional_place_ends_once_a_task_of_the_job_has_found_a_regular_one)
{
    StandstillWorld world;
    std::vector<Step> chain;
    for (uint32_t step = 0; step < 3; ++step) {
        chain.push_back(fillingStep(1, "light"));
        if (step > 0)
            chain.back().dependencies_ = { step - 1 };
    }
    world.submit(chain, 2000, waitingJob);
    int64_t startedAt = world.reportUntilStarted(2500, 16'000);
    BOOST_REQUIRE(startedAt < 16'000);
    BOOST_REQUIRE(world.state_.jobs_.at(JobId::of(waitingJob)).hasExceptionalPlace_);
    // The paused tasks end, and so does the first step; the second one finds a regular place.
    uint64_t end = 0;
    for (const std::string& worker : { world.search_, world.ranking_ }) {
        for (const ActiveRun& run : world.active_[worker])
            world.ended_[worker].push_back({ ++end, run.run_, RunEnd::Done, "" });
        world.active_[worker].clear();
    }
    world.tailMs_ = 8;
    world.reportAll(startedAt + 100);
    world.ended_[world.startedOn_].push_back({ ++end, world.started_, RunEnd::Done, "" });
    int64_t time = startedAt + reportIntervalMs;
    BOOST_REQUIRE(world.reportUntilStarted(time, startedAt + 5000) == time);
    const std::string first = world.startedOn_;
    const std::string second = first == world.search_ ? world.ranking_ : world.search_;
    world.active_[first].push_back({ world.started_, "", 50, 0, 100 });
    // Another job fills the second worker, the only one on which the third step does no harm.
    auto& sensitivities = world.state_.interference_.sensitivities_;
    sensitivities[first == world.search_ ? "search" : "ranking"].factors_ = { { "light", 0.9 }, { "other", 3 } };
    sensitivities[second == world.search_ ? "search" : "ranking"].factors_ = { { "light", 0.02 }, { "other", 0.02 } };
    world.submit({ fillingStep(3, "other") }, time + 100, otherJob);
    world.reportAll(time + 150);
    std::vector<RunKey> others = world.starts(second, time + 170);
    BOOST_REQUIRE(others.size() == 3U);
    for (const RunKey& run : others)
        world.active_[second].push_back({ run, "", 10, 0, 100 });
    world.active_[first].clear();
    world.ended_[first].push_back({ ++end, world.started_, RunEnd::Done, "" });
    BOOST_TEST(world.reportUntilStarted(time + reportIntervalMs, time + 1500) == time + 1500);
}

// Guards against room that is held without end for a long-running task, from a job that fits beside it, where what occupies the
// worker makes no progress.
BOOST_AUTO_TEST_CASE(hold_that_frees_nothing_keeps_no_short_job_waiting)
{
    LeaderWorld world;
    world.report("w-1", 10);
    Step filling = fillingStep(1, "heavy");
    filling.demand_ = *Resources::create(1000, 400'000, 0);
    world.submit({ filling }, 20, fillingJob);
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 1U);
    world.lastCompletedOrder_ = OrderNumber(1);
    Step large = longRunningStep("search");
    large.demand_ = *Resources::create(1000, 700'000, 0);
    world.submit({ large }, 40, searchJob);
    int64_t startedAt = 0;
    for (int64_t time = 100; time < 30'000 && startedAt == 0; time += 100) {
        world.readingNumber_ = static_cast<uint64_t>(time);
        world.report("w-1", time, { { runOf(fillingJob), "ck", 10, 0, 0 } });
        if (time == 1000)
            world.submit({ stepOfTasks(1) }, time + 1, waitingJob);
        world.handle(Tick { 1'000'000 + time }, time + 2);
        world.commit(time + 3);
        if (!world.starts("w-1", time + 4).empty())
            startedAt = time;
    }
    BOOST_TEST(startedAt > 0);
    BOOST_TEST(startedAt < 1000 + lostAfterMs);
}

// Lets room be held in vain for a long-running task while another one waits that fits beside it and has a sibling at work.
// \param maximumTakenPercent share of the service that may be taken for it to count as mostly free.
static void checkLongRunningTaskPassesHold(int64_t maximumTakenPercent)
{
    LeaderWorld world;
    world.state_.tuning_.maximumTakenPercent_ = maximumTakenPercent;
    world.report("w-1", 10);
    Step filling = fillingStep(1, "heavy");
    filling.demand_ = *Resources::create(1000, 300'000, 0);
    world.submit({ filling }, 20, fillingJob);
    Step small = longRunningStep("ranking");
    small.count_ = 2;
    small.demand_ = *Resources::create(500, 100'000, 0);
    world.submit({ small }, 21, rankingJob);
    world.commit(30);
    BOOST_REQUIRE(world.starts("w-1", 31).size() == 3U);
    world.lastCompletedOrder_ = OrderNumber(3);
    Step large = longRunningStep("search");
    large.demand_ = *Resources::create(1000, 700'000, 0);
    world.submit({ large }, 40, searchJob);
    constexpr int64_t endedAt = 5000;
    // A long-running task has to run again after this time (stated by the platform).
    constexpr int64_t longestAbsenceMs = 6000;
    int64_t startedAt = 0;
    for (int64_t time = 100; time < 30'000 && startedAt == 0; time += 100) {
        std::vector<ActiveRun> active { { runOf(fillingJob), "ck", 10, 0, 0 }, { runOf(rankingJob, 0), "", 100, 14, 0 } };
        std::vector<EndedRun> ended;
        if (time < endedAt)
            active.push_back({ runOf(rankingJob, 1), "", 100, 14, 0 });
        else
            ended.push_back({ 1, runOf(rankingJob, 1), RunEnd::Failed, "" });
        world.readingNumber_ = static_cast<uint64_t>(time);
        world.report("w-1", time, active, ended);
        world.handle(Tick { 1'000'000 + time }, time + 2);
        world.commit(time + 3);
        if (!world.starts("w-1", time + 4).empty())
            startedAt = time;
    }
    BOOST_TEST(startedAt > endedAt);
    BOOST_TEST(startedAt < endedAt + longestAbsenceMs);
}

// Guards against room that is held without end for a long-running task, from another one that fits beside it, as a sibling of the
// latter is at work.
BOOST_AUTO_TEST_CASE(hold_that_frees_nothing_keeps_no_long_running_task_waiting)
{
    checkLongRunningTaskPassesHold(Tuning().maximumTakenPercent_);
}

// Guards against the same where most of the service is taken: a long-running task has to run however full the service is.
BOOST_AUTO_TEST_CASE(hold_that_frees_nothing_keeps_no_long_running_task_of_a_full_service_waiting, *boost::unit_test::disabled())
{
    checkLongRunningTaskPassesHold(0);
}

// Guards against a job that stands still after a takeover, as a run of it on a worker that no agent reports counts as running.
BOOST_AUTO_TEST_CASE(job_whose_only_run_is_on_a_worker_unknown_to_the_new_leader_does_not_stand_still)
{
    LeaderWorld former;
    former.report("w-1", 10);
    former.capacity_ = *Resources::create(500, 1'000'000, 0);
    former.report("w-2", 10);
    Step other = fillingStep(4, "heavy");
    former.submit({ other }, 20, fillingJob);
    former.commit(30);
    std::vector<RunKey> otherRuns = former.starts("w-1", 31);
    BOOST_REQUIRE(otherRuns.size() == 4U);
    Step step = fillingStep(2, "light");
    step.demand_ = *Resources::create(500, 1000, 0);
    former.submit({ step }, 40, waitingJob);
    former.commit(50);
    BOOST_REQUIRE(former.starts("w-2", 51).size() == 1U);
    LeaderWorld world(former.rows(), 2);
    world.lastCompletedOrder_ = OrderNumber(100);
    std::vector<ActiveRun> active;
    active.reserve(otherRuns.size());
    for (const RunKey& run : otherRuns)
        active.push_back({ run, "", 10, 0, 100 });
    int64_t startedAt = 0;
    for (int64_t time = 100; time < 15'000 && startedAt == 0; time += 100) {
        world.readingNumber_ = static_cast<uint64_t>(time);
        world.report("w-1", time, active);
        world.handle(Tick { 1'000'000 + time }, time + 2);
        world.commit(time + 3);
        if (!world.starts("w-1", time + 4).empty())
            startedAt = time;
    }
    BOOST_TEST(startedAt > 0);
    BOOST_TEST(startedAt < lostAfterMs);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmondoor::workflow
