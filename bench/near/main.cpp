// What the choice between near and far places does for jobs, beside never waiting, always waiting and a fixed wait (delay
// scheduling). Generated jobs run on a few racks of equal slots in steps of simulated time; a run takes its estimate with a
// seeded error, and longer on another rack than that of its data.
//
//     bench_near 3            each load, on four seeds, with runs that take 3 times as long far from their data
#include "persimmondoor/workflow/NearPlace.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <variant>
#include <vector>

using namespace persimmondoor;
using namespace persimmondoor::workflow;

namespace {

constexpr size_t racks = 4;
constexpr size_t slotsPerRack = 12;
constexpr Duration stepTime = std::chrono::milliseconds(20);
constexpr Duration arrivals = std::chrono::seconds(30);
constexpr Duration longestPlay = std::chrono::seconds(120);
constexpr Instant beginning = Instant::fromMicroseconds(1'000'000'000);
constexpr size_t anyRack = racks;
constexpr uint32_t seeds = 4;

struct NeverWait { };
struct AlwaysWait { };
struct FixedWait {
    Duration wait_;
};
struct ByWorth { };
using Policy = std::variant<NeverWait, AlwaysWait, FixedWait, ByWorth>;

// A load: its name, the share of jobs whose data is on the first rack, the time of a job's arrival after the one before, and
// when it has a rush of tasks without data or loses the first rack, if it does.
struct Load {
    const char* name_;
    double hotShare_;
    Duration interval_;
    Duration rushAt_;
    Duration rackLostAt_;
};

struct PlayTask {
    Duration estimate_ { 0 };
    Duration runTime_ { 0 };
    std::optional<Instant> waitingSince_;
    std::optional<Instant> endsAt_;
    size_t slot_ { 0 };
    bool isDone_ { false };
};

struct PlayJob {
    Instant arrival_;
    Instant onTimeBy_;
    size_t rack_ { anyRack };
    bool isMeasured_ { true };
    std::vector<PlayTask> tasks_;
    size_t unfinished_ { 0 };
    Instant lastRunAt_;
    Instant end_;
};

struct Figures {
    double meanSeconds_ { 0 };
    double tailSeconds_ { 0 };
    double onTimePercent_ { 0 };
    double idleCoreSeconds_ { 0 };
};

std::vector<PlayJob> generate(const Load& load, uint32_t seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<PlayJob> jobs;
    auto add = [&](Instant arrival, size_t rack, bool isUrgent, size_t tasks, double seconds, bool isMeasured) {
        auto estimate = Duration(static_cast<int64_t>(seconds * 1e6));
        PlayJob job { arrival, arrival + (isUrgent ? estimate * 2 + std::chrono::milliseconds(300) : estimate * 4 + std::chrono::seconds(3)), rack, isMeasured, {}, tasks, arrival, {} };
        for (size_t task = 0; task < tasks; ++task)
            job.tasks_.push_back({ estimate, Duration(static_cast<int64_t>(seconds * 1e6 * (0.8 + 0.5 * uniform(random)))), {}, {}, 0, false });
        jobs.push_back(std::move(job));
    };
    for (Instant arrival = beginning; arrival < beginning + arrivals; arrival = arrival + Duration(static_cast<int64_t>(static_cast<double>(load.interval_.count()) * 2 * uniform(random)))) {
        size_t rack = uniform(random) < load.hotShare_ ? 0 : static_cast<size_t>(uniform(random) * racks);
        add(arrival, rack, uniform(random) < 0.5, 1 + static_cast<size_t>(uniform(random) * 8), 0.2 + 2 * uniform(random) * uniform(random), true);
    }
    for (size_t job = 0; load.rushAt_ > Duration(0) && job < 30; ++job)
        add(beginning + load.rushAt_, anyRack, false, 8, 1, false);
    std::sort(jobs.begin(), jobs.end(), [](const PlayJob& left, const PlayJob& right) { return left.onTimeBy_ < right.onTimeBy_; });
    return jobs;
}

// One play of the jobs. Jobs are placed in the order of their objectives.
class Play {
public:
    Play(const Load& load, Policy policy, double farFactor, uint32_t seed)
        : load_(load)
        , policy_(policy)
        , farFactor_(farFactor)
        , jobs_(generate(load, seed))
        , endsBySlot_(racks * slotsPerRack)
        , isBusy_(racks * slotsPerRack)
    {
    }

    Figures run()
    {
        for (now_ = beginning; now_ < beginning + longestPlay; now_ = now_ + stepTime) {
            endRuns();
            waitingBefore_.assign(racks, 0);
            // The tasks that found no slot in the last step.
            backlog_ = std::exchange(unplaced_, 0);
            for (PlayJob& job : jobs_) {
                if (job.arrival_ <= now_ && job.unfinished_ > 0)
                    place(job);
            }
            if (unplaced_ + waiting() > 0)
                idle_ += static_cast<double>(freeSlots()) * seconds(stepTime);
        }
        return figures();
    }

private:
    static double seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }
    bool isLost(size_t rack) const { return rack == 0 && load_.rackLostAt_ > Duration(0) && now_ >= beginning + load_.rackLostAt_ && now_ < beginning + load_.rackLostAt_ + std::chrono::seconds(10); }
    size_t waiting() const
    {
        size_t sum = 0;
        for (size_t count : waitingBefore_)
            sum += count;
        return sum;
    }
    size_t freeSlots() const
    {
        size_t count = 0;
        for (size_t slot = 0; slot < isBusy_.size(); ++slot)
            count += !isBusy_[slot] && !isLost(slot / slotsPerRack) ? 1 : 0;
        return count;
    }
    std::optional<size_t> freeSlot(size_t rack) const
    {
        for (size_t slot = rack * slotsPerRack; !isLost(rack) && slot < (rack + 1) * slotsPerRack; ++slot) {
            if (!isBusy_[slot])
                return slot;
        }
        return std::nullopt;
    }
    std::optional<size_t> freeFarSlot(size_t rack) const
    {
        for (size_t offset = 1; offset <= racks; ++offset) {
            if (auto slot = freeSlot((rack + offset) % racks))
                return slot;
        }
        return std::nullopt;
    }

    void endRuns()
    {
        for (PlayJob& job : jobs_) {
            for (PlayTask& task : job.tasks_) {
                if (!task.endsAt_ || task.isDone_)
                    continue;
                bool isRunLost = isLost(task.slot_ / slotsPerRack);
                if (!isRunLost && *task.endsAt_ > now_)
                    continue;
                isBusy_[task.slot_] = false;
                job.lastRunAt_ = now_;
                task.endsAt_.reset();
                task.waitingSince_.reset();
                task.isDone_ = !isRunLost;
                if (task.isDone_ && --job.unfinished_ == 0)
                    job.end_ = now_;
            }
        }
    }

    void place(PlayJob& job)
    {
        for (PlayTask& task : job.tasks_) {
            if (task.isDone_ || task.endsAt_)
                continue;
            size_t home = job.rack_ % racks;
            std::optional<size_t> near = job.rack_ == anyRack ? freeFarSlot(home) : freeSlot(home);
            std::optional<size_t> slot = near ? near : freeFarSlot(home);
            if (!slot) {
                ++unplaced_;
                continue;
            }
            if (!task.waitingSince_)
                task.waitingSince_ = now_;
            if (!near && mustWait(job, task)) {
                ++waitingBefore_[job.rack_];
                continue;
            }
            bool isFar = job.rack_ != anyRack && *slot / slotsPerRack != job.rack_;
            double factor = isFar ? farFactor_ : 1;
            task.slot_ = *slot;
            task.endsAt_ = now_ + scaled(task.runTime_, factor);
            endsBySlot_[*slot] = now_ + scaled(task.estimate_, factor);
            isBusy_[*slot] = true;
        }
    }

    static Duration scaled(Duration duration, double factor) { return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor)); }

    // When the rack has a slot for the task after those that wait before it, by the estimates.
    std::optional<Instant> opensAt(size_t rack, Duration estimate) const
    {
        if (isLost(rack))
            return std::nullopt;
        std::vector<Instant> ends;
        for (size_t slot = rack * slotsPerRack; slot < (rack + 1) * slotsPerRack; ++slot) {
            Instant end = endsBySlot_[slot];
            ends.push_back(end > now_ ? end : now_ + std::max(now_ - end, Duration(std::chrono::milliseconds(50))));
        }
        for (size_t before = 0; before < waitingBefore_[rack]; ++before) {
            auto first = std::min_element(ends.begin(), ends.end());
            *first = *first + estimate;
        }
        return *std::min_element(ends.begin(), ends.end());
    }

    bool mustWait(const PlayJob& job, const PlayTask& task) const
    {
        struct Visitor {
            const Play& play_;
            const PlayJob& job_;
            const PlayTask& task_;

            bool operator()(const NeverWait&) const { return false; }
            bool operator()(const AlwaysWait&) const { return true; }
            bool operator()(const FixedWait& fixed) const { return play_.now_ - *task_.waitingSince_ < fixed.wait_; }
            bool operator()(const ByWorth&) const
            {
                bool isAtWork = std::any_of(job_.tasks_.begin(), job_.tasks_.end(), [](const PlayTask& task) { return task.endsAt_.has_value(); });
                PlaceOptions options { play_.now_, task_.estimate_, play_.farFactor_, false, play_.opensAt(job_.rack_, task_.estimate_), job_.onTimeBy_, *task_.waitingSince_, isAtWork ? std::nullopt : std::optional(job_.lastRunAt_), play_.backlog_ > 0 };
                return std::holds_alternative<WaitUntil>(choosePlace(options, Tuning()));
            }
        };
        return std::visit(Visitor { *this, job, task }, policy_);
    }

    Figures figures() const
    {
        std::vector<double> times;
        size_t onTime = 0;
        for (const PlayJob& job : jobs_) {
            if (!job.isMeasured_)
                continue;
            Instant end = job.unfinished_ == 0 ? job.end_ : beginning + longestPlay;
            times.push_back(seconds(end - job.arrival_));
            onTime += job.unfinished_ == 0 && end <= job.onTimeBy_ ? 1 : 0;
        }
        std::sort(times.begin(), times.end());
        double sum = 0;
        for (double time : times)
            sum += time;
        auto count = static_cast<double>(times.size());
        return { sum / count, times[times.size() * 95 / 100], 100 * static_cast<double>(onTime) / count, idle_ };
    }

    const Load& load_;
    Policy policy_;
    double farFactor_;
    std::vector<PlayJob> jobs_;
    // Expected end of the newest run on each slot.
    std::vector<Instant> endsBySlot_;
    std::vector<bool> isBusy_;
    std::vector<size_t> waitingBefore_;
    size_t unplaced_ { 0 };
    size_t backlog_ { 0 };
    double idle_ { 0 };
    Instant now_;
};

} // namespace

int main(int count, char** arguments)
{
    double farFactor = count == 2 ? std::strtod(arguments[1], nullptr) : 0;
    if (farFactor < 1) {
        std::fputs("usage: bench_near FAR_FACTOR, at least 1\n", stderr);
        return 2;
    }
    using std::chrono::milliseconds;
    const Load loads[] = {
        { "one hot rack", 0.7, milliseconds(180), Duration(0), Duration(0) },
        { "spread over racks", 0, milliseconds(110), Duration(0), Duration(0) },
        { "beside a rush", 0.4, milliseconds(160), std::chrono::seconds(8), Duration(0) },
        { "hot rack lost", 0.5, milliseconds(180), Duration(0), std::chrono::seconds(10) },
    };
    const std::pair<const char*, Policy> policies[] = { { "never", NeverWait {} }, { "always", AlwaysWait {} }, { "fixed 0.5 s", FixedWait { milliseconds(500) } }, { "fixed 2 s", FixedWait { milliseconds(2000) } }, { "by worth", ByWorth {} } };
    std::printf("%-18s %-12s %8s %8s %9s %9s %12s\n", "load", "policy", "mean s", "p95 s", "on time %", "(lowest)", "idle core s");
    for (const Load& load : loads) {
        for (const auto& [name, policy] : policies) {
            Figures sum;
            double lowest = 100;
            for (uint32_t seed = 1; seed <= seeds; ++seed) {
                Figures figures = Play(load, policy, farFactor, seed).run();
                sum.meanSeconds_ += figures.meanSeconds_ / seeds;
                sum.tailSeconds_ += figures.tailSeconds_ / seeds;
                sum.onTimePercent_ += figures.onTimePercent_ / seeds;
                sum.idleCoreSeconds_ += figures.idleCoreSeconds_ / seeds;
                lowest = std::min(lowest, figures.onTimePercent_);
            }
            std::printf("%-18s %-12s %8.2f %8.2f %9.1f %9.1f %12.0f\n", load.name_, name, sum.meanSeconds_, sum.tailSeconds_, sum.onTimePercent_, lowest, sum.idleCoreSeconds_);
        }
    }
    return 0;
}
