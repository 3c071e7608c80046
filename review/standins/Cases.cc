#include "Cases.h"

#include "World.h"

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <optional>

namespace persimmondoor::review {

namespace {

    struct Start {
        size_t worker_ { 0 };
        std::string task_;
        uint32_t run_ { 0 };
    };

    // The starts that workers have taken, for the thread that runs the case.
    class Starts {
    public:
        void add(Start start)
        {
            {
                std::lock_guard lock(mutex_);
                starts_.push_back(std::move(start));
            }
            changed_.notify_all();
        }

        // The next start of a task of the job.
        std::optional<Start> next(const std::string& job, int64_t limitMs)
        {
            auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
            std::unique_lock lock(mutex_);
            while (true) {
                while (!starts_.empty()) {
                    Start start = std::move(starts_.front());
                    starts_.pop_front();
                    if (start.task_.starts_with(job))
                        return start;
                }
                if (changed_.wait_until(lock, end) == std::cv_status::timeout && starts_.empty())
                    return std::nullopt;
            }
        }

    private:
        std::mutex mutex_;
        std::condition_variable changed_;
        std::deque<Start> starts_;
    };

} // namespace

// Says what the check has found, and returns whether the rule was broken.
static bool conclude(World& world, bool isBroken, const std::string& what)
{
    world.record().write(std::string(isBroken ? "BROKEN: " : "held: ") + what);
    return isBroken;
}

bool runGangCase(const std::string& folder, bool hasTrouble)
{
    const std::string job = "00000000000000c2";
    constexpr uint32_t members = 3;
    // Runs that start this long after the worker is back have no disruption near them.
    constexpr int64_t calmMs = 8000;
    World world({ folder, 2, 8, 3 });
    Starts starts;
    world.onStart_ = [&](size_t worker, const std::string& task, uint32_t run) { starts.add({ worker, task, run }); };
    world.start();
    // Each member takes over half of a worker, so that the members are on different workers.
    world.fleet().setWork(job + ".0.0", { 6000, 40'000, 1000, true, members, 16 });
    if (!world.submit(job, R"([{"count":3,"cpu":40000,"memMb":1000,"estRuntimeMs":6000,"gang":true,"savesProgress":true}])"))
        throw CannotRun("the job was not accepted");
    std::optional<Start> last;
    for (uint32_t member = 0; member < members; ++member) {
        last = starts.next(job, 10'000);
        if (!last)
            throw CannotRun("the gang was not started");
    }
    // By then the members have saved work twice.
    std::this_thread::sleep_for(std::chrono::milliseconds(2700));
    if (hasTrouble)
        world.crash(last->worker_, 1500);
    int64_t calmFromMs = steadyMs() + calmMs;
    std::string state = world.waitForEnd(job, 40'000);
    size_t alone = 0;
    std::map<uint32_t, std::set<std::string>> values;
    for (const RunSpan& span : world.fleet().spans()) {
        if (!span.task_.starts_with(job))
            continue;
        values[span.run_].insert(span.saved_);
        alone += span.how_ == "alone" && span.startMs_ >= calmFromMs ? 1 : 0;
    }
    auto differing = std::count_if(values.begin(), values.end(), [](const auto& entry) { return entry.second.size() > 1; });
    return conclude(world, alone > 0, std::to_string(alone) + " runs that started over 8 s after the only disruption ended `alone`; " + std::to_string(differing) + " of the gang's " + std::to_string(values.size()) + " runs were started with different values of `saved`; the job of 6 s of work is shown as '" + state + "' at the end, up to 40 s after the disruption");
}

// Records the tasks that had two runs at the same time, and returns their number.
static size_t countOverlaps(World& world)
{
    size_t overlaps = 0;
    std::vector<RunSpan> spans = world.fleet().spans();
    for (const RunSpan& first : spans) {
        for (const RunSpan& second : spans) {
            bool isLater = first.task_ == second.task_ && first.run_ < second.run_;
            if (!isLater || (first.endMs_ != 0 && second.startMs_ >= first.endMs_))
                continue;
            ++overlaps;
            int64_t end = std::min(first.endMs_ == 0 ? steadyMs() : first.endMs_, second.endMs_ == 0 ? steadyMs() : second.endMs_);
            world.record().write("two runs at the same time: " + first.task_ + " run " + std::to_string(first.run_) + " on " + first.worker_ + " and run " + std::to_string(second.run_) + " on " + second.worker_ + ", for " + std::to_string(end - second.startMs_) + " ms");
        }
    }
    return overlaps;
}

bool runLeaveCase(const std::string& folder, bool hasTrouble)
{
    const std::string job = "00000000000000c5";
    constexpr size_t restarted = 0;
    World world({ folder, 2, 8, 3 });
    world.start();
    const WorkerPlace& place = world.place(restarted);
    // The worker drains and says that it leaves. A cut between it and its agent holds the notice up; the worker ends
    // without an answer, some seconds later, and is started again once the cut has healed. The bytes of the notice, which
    // its system sends again at growing intervals, arrive 3.2 s after the cut: 6.2 s after they were first sent.
    world.worker(restarted).drain();
    std::this_thread::sleep_for(std::chrono::milliseconds(3500));
    int64_t sentMs = steadyMs();
    world.worker(restarted).cutOff();
    world.record().write("worker " + place.id_ + " sends DELETE, which the cut of 3 s holds up");
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    world.crash(restarted, 1000);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    world.fleet().setWork(job + ".0.0", { 6000, 20'000, 1000, false, 0, 16 });
    if (!world.submit(job, R"([{"count":16,"cpu":20000,"memMb":1000,"estRuntimeMs":6000}])"))
        throw CannotRun("the job was not accepted");
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<int64_t>(0, sentMs + 6200 - steadyMs())));
    if (world.worker(restarted).runningCount() == 0)
        throw CannotRun("no task was placed on the worker");
    if (hasTrouble) {
        Response response = exchange(place.ip_, place.controlPort_, { "DELETE", "/instances/" + place.id_, { { "Host", "control" } }, "" }, 1000);
        world.record().write("the DELETE of the earlier life of " + place.id_ + " arrives -> " + std::to_string(response.status_));
    }
    std::string state = world.waitForEnd(job, 30'000);
    size_t overlaps = countOverlaps(world);
    return conclude(world, overlaps > 0, std::to_string(overlaps) + " tasks had two runs at the same time, on workers that were up; the job is shown as '" + state + "'");
}

bool runDeadlyCase(const std::string& folder, bool hasTrouble)
{
    const std::string job = "00000000000000c8";
    // The task crashes each worker this long after its start.
    constexpr int64_t crashAfterMs = 1500;
    constexpr size_t crashedWorkers = 3;
    constexpr size_t furtherStarts = 3;
    World world({ folder, 2, 8, 3 });
    Starts starts;
    world.onStart_ = [&](size_t worker, const std::string& task, uint32_t run) { starts.add({ worker, task, run }); };
    world.start();
    world.fleet().setWork(job + ".0.0", { 4000, 1000, 100, false, 0, 16 });
    if (!world.submit(job, R"([{"count":1,"cpu":1000,"memMb":100,"estRuntimeMs":4000}])"))
        throw CannotRun("the job was not accepted");
    int64_t end = steadyMs() + 60'000;
    std::set<size_t> crashed;
    size_t crashes = 0;
    size_t further = 0;
    while (hasTrouble && steadyMs() < end && further < furtherStarts) {
        std::optional<Start> start = starts.next(job, 10'000);
        if (!start)
            break;
        // A worker is one life of a machine.
        further += crashes >= crashedWorkers ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(crashAfterMs));
        world.crash(start->worker_, 2000);
        crashed.insert(start->worker_);
        ++crashes;
    }
    std::string state = hasTrouble ? world.stateOf(job) : world.waitForEnd(job, 15'000);
    return conclude(world, further >= furtherStarts, "the task has crashed workers " + std::to_string(crashes) + " times, on " + std::to_string(crashed.size()) + " machines, and was started " + std::to_string(further) + " times after the first " + std::to_string(crashedWorkers) + " of these crashes; the job is shown as '" + state + "'");
}

bool runNotedCase(const std::string& folder, bool hasTrouble)
{
    const std::string job = "00000000000000c7";
    constexpr uint32_t members = 3;
    constexpr int64_t workMs = 4000;
    World world({ folder, 3, 8, 3 });
    Starts starts;
    world.onStart_ = [&](size_t worker, const std::string& task, uint32_t run) { starts.add({ worker, task, run }); };
    world.start();
    world.fleet().setWork(job + ".0.0", { workMs, 40'000, 1000, false, members, 16 });
    if (!world.submit(job, R"([{"count":3,"cpu":40000,"memMb":1000,"estRuntimeMs":4000,"gang":true}])"))
        throw CannotRun("the job was not accepted");
    std::vector<Start> gang;
    for (uint32_t member = 0; member < members; ++member) {
        std::optional<Start> start = starts.next(job, 10'000);
        if (!start)
            throw CannotRun("the gang was not started");
        gang.push_back(*start);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(workMs - 500));
    if (hasTrouble) {
        world.store().setDown(true);
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        for (const Start& start : gang) {
            if (!world.worker(start.worker_).hasNotedEnd(start.task_))
                world.crash(start.worker_, 500);
        }
        world.signalEntry(world.leader(), SIGKILL);
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        world.store().setDown(false);
    }
    std::string state = world.waitForEnd(job, 40'000);
    std::vector<RunSpan> spans = world.fleet().spans();
    size_t repeated = 0;
    for (const RunSpan& done : spans) {
        bool isNoted = done.task_.starts_with(job) && done.how_ == "done" && world.worker(world.indexOf(done.worker_)).hasNotedEnd(done.task_);
        for (const RunSpan& later : spans) {
            if (!isNoted || later.task_ != done.task_ || later.startMs_ <= done.endMs_)
                continue;
            ++repeated;
            world.record().write(done.task_ + " run " + std::to_string(done.run_) + " ended `done`, which was taken note of; run " + std::to_string(later.run_) + " starts " + std::to_string(later.startMs_ - done.endMs_) + " ms later");
        }
    }
    return conclude(world, repeated > 0, std::to_string(repeated) + " starts of tasks whose end `done` had been taken note of; the job is shown as '" + state + "'");
}

// For how long the rule on tasks that last was broken: it allows 6 s after the task's last run and 4 s after the last disruption,
// and then 3 s.
static int64_t overdueMs(const RunSpan& ended, int64_t nextStartMs, int64_t calmFromMs)
{
    return nextStartMs - std::max(ended.endMs_ + 6000, calmFromMs + 4000) - 3000;
}

bool runAwayCase(const std::string& folder, bool hasTrouble)
{
    const std::string job = "00000000000000c9";
    World world({ folder, 3, 8, 3 });
    Starts starts;
    world.onStart_ = [&](size_t worker, const std::string& task, uint32_t run) { starts.add({ worker, task, run }); };
    world.start();
    world.fleet().setWork(job + ".0.0", { 0, 20'000, 1000, false, 0, 16, true });
    if (!world.submit(job, R"([{"count":4,"cpu":20000,"memMb":1000,"estRuntimeMs":1000,"longRunning":true}])"))
        throw CannotRun("the job was not accepted");
    std::optional<Start> start = starts.next(job, 10'000);
    if (!start)
        throw CannotRun("no task was started");
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    size_t leaving = start->worker_;
    int64_t drainMs = steadyMs();
    auto waitUntil = [&](int64_t afterMs) { std::this_thread::sleep_for(std::chrono::milliseconds(std::max<int64_t>(0, drainMs + afterMs - steadyMs()))); };
    world.record().write("worker " + world.place(leaving).id_ + " drains");
    world.worker(leaving).drain();
    waitUntil(200);
    if (hasTrouble)
        world.store().setDown(true);
    waitUntil(1000);
    if (hasTrouble)
        world.signalEntry(world.leader(), SIGKILL);
    waitUntil(3500);
    world.leave(leaving);
    waitUntil(4500);
    world.signalAgent(leaving, SIGTERM);
    waitUntil(4700);
    world.store().setDown(false);
    int64_t calmFromMs = steadyMs();
    std::this_thread::sleep_for(std::chrono::milliseconds(22'000));
    std::vector<RunSpan> spans = world.fleet().spans();
    size_t overdue = 0;
    for (const RunSpan& ended : spans) {
        if (!ended.task_.starts_with(job) || ended.endMs_ == 0)
            continue;
        auto next = std::find_if(spans.begin(), spans.end(), [&](const RunSpan& span) { return span.task_ == ended.task_ && span.run_ > ended.run_; });
        int64_t nextStartMs = next == spans.end() ? steadyMs() : next->startMs_;
        world.record().write(ended.task_ + " run " + std::to_string(ended.run_) + " ended " + ended.how_ + "; no run for " + std::to_string(nextStartMs - ended.endMs_) + " ms");
        overdue += overdueMs(ended, nextStartMs, calmFromMs) > 0 ? 1 : 0;
    }
    return conclude(world, overdue > 0, std::to_string(overdue) + " tasks that last were without a run for longer than the rule allows, with room for them on seven workers");
}

} // namespace persimmondoor::review
