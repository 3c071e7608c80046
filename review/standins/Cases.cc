#include "Cases.h"

#include "World.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <optional>

namespace persimmondoor::review {

namespace {

    struct Start {
        size_t minion_ { 0 };
        std::string task_;
        uint32_t run_ { 0 };
    };

    // The starts that minions have taken, for the thread that runs the case.
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

static size_t countEnds(World& world, const std::string& job, const std::string& how)
{
    std::vector<RunSpan> spans = world.fleet().spans();
    return static_cast<size_t>(std::count_if(spans.begin(), spans.end(), [&](const RunSpan& span) { return span.task_.starts_with(job) && span.how_ == how; }));
}

// Says what the check has found, and returns whether the rule was broken.
static bool conclude(World& world, bool isBroken, const std::string& what)
{
    world.record().write(std::string(isBroken ? "BROKEN: " : "held: ") + what);
    return isBroken;
}

bool runCrashCase(const std::string& folder, bool hasTrouble)
{
    // Within the time in which a minion that has taken a start has answered no list request sent after it.
    constexpr int64_t crashAfterMs = 50;
    constexpr int64_t downMs = 1500;
    constexpr int crashes = 2;
    const std::string job = "00000000000000c1";
    World world({ folder, 2, 8, 3 });
    Starts starts;
    world.onStart_ = [&](size_t minion, const std::string& task, uint32_t run) { starts.add({ minion, task, run }); };
    world.start();
    world.fleet().setWork(job + ".0.0", { 2500, 1000, 100, false, 0, 16 });
    if (!world.submit(job, R"([{"count":1,"cpu":1000,"memMb":100,"estRuntimeMs":2500}])"))
        throw CannotRun("the job was not accepted");
    for (int count = 0; hasTrouble && count < crashes; ++count) {
        std::optional<Start> start = starts.next(job, 15'000);
        if (!start)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(crashAfterMs));
        world.crash(start->minion_, downMs);
    }
    std::string state = world.waitForEnd(job, 30'000);
    size_t failed = countEnds(world, job, "failed");
    return conclude(world, state == "failed" && failed < 3, "the job is shown as '" + state + "'; " + std::to_string(failed) + " of its runs have ended `failed`, of 3 attempts; " + std::to_string(countEnds(world, job, "crash")) + " were lost as their minion crashed");
}

bool runGangCase(const std::string& folder, bool hasTrouble)
{
    const std::string job = "00000000000000c2";
    constexpr uint32_t members = 3;
    // Runs that start this long after the minion is back have no disruption near them.
    constexpr int64_t calmMs = 8000;
    World world({ folder, 2, 8, 3 });
    Starts starts;
    world.onStart_ = [&](size_t minion, const std::string& task, uint32_t run) { starts.add({ minion, task, run }); };
    world.start();
    // Each member takes over half of a minion, so that the members are on different minions.
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
        world.crash(last->minion_, 1500);
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
            world.record().write("two runs at the same time: " + first.task_ + " run " + std::to_string(first.run_) + " on " + first.minion_ + " and run " + std::to_string(second.run_) + " on " + second.minion_ + ", for " + std::to_string(end - second.startMs_) + " ms");
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
    const MinionPlace& place = world.place(restarted);
    // The minion drains and says that it leaves. A cut between it and its agent holds the notice up; the minion ends
    // without an answer, some seconds later, and is started again once the cut has healed. The bytes of the notice, which
    // its system sends again at growing intervals, arrive 3.2 s after the cut: 6.2 s after they were first sent.
    world.minion(restarted).drain();
    std::this_thread::sleep_for(std::chrono::milliseconds(3500));
    int64_t sentMs = steadyMs();
    world.record().write("minion " + place.id_ + " sends DELETE, which a cut of 3 s holds up");
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    world.crash(restarted, 1000);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    world.fleet().setWork(job + ".0.0", { 6000, 20'000, 1000, false, 0, 16 });
    if (!world.submit(job, R"([{"count":16,"cpu":20000,"memMb":1000,"estRuntimeMs":6000}])"))
        throw CannotRun("the job was not accepted");
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<int64_t>(0, sentMs + 6200 - steadyMs())));
    if (world.minion(restarted).runningCount() == 0)
        throw CannotRun("no task was placed on the minion");
    if (hasTrouble) {
        Response response = exchange(place.ip_, place.controlPort_, { "DELETE", "/instances/" + place.id_, { { "Host", "control" } }, "" }, 1000);
        world.record().write("the DELETE of the earlier life of " + place.id_ + " arrives -> " + std::to_string(response.status_));
    }
    std::string state = world.waitForEnd(job, 30'000);
    size_t overlaps = countOverlaps(world);
    return conclude(world, overlaps > 0, std::to_string(overlaps) + " tasks had two runs at the same time, on minions that were up; the job is shown as '" + state + "'");
}

} // namespace persimmondoor::review
