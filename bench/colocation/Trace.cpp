#include "Trace.h"

#include <algorithm>

namespace persimmondoor::colocation {

static constexpr double steadyLoad = 0.55;
static constexpr double swing = 0.33;
/// Part of the work that belongs to noisy classes, outside and within a wave, a period in which noisy tasks dominate.
static constexpr double noisyFraction = 0.1;
static constexpr double noisyFractionInWave = 0.6;
static constexpr double payingFraction = 0.4;
/// Processors reserved for the service, as a multiple of its need at full load.
static constexpr double serviceReserve = 1.25;

User lankacell()
{
    return { "Lankacell", 64, 16, { 1, 2, 2 }, 300, 3000 };
}

User sorteos()
{
    return { "Sorteos", 32, 8, { 3, 1, 1 }, 60, 900 };
}

const char* describe(TraceKind kind)
{
    switch (kind) {
    case TraceKind::Steady:
        return "steady";
    case TraceKind::DailySwing:
        return "daily swing";
    case TraceKind::Wave:
        return "noisy waves";
    case TraceKind::OwnerLost:
        return "waves, owner lost";
    case TraceKind::DomainOut:
        return "domain out and back";
    case TraceKind::WrongSizes:
        break;
    }
    return "wrong sizes";
}

double batchCapacity(const User& user)
{
    return user.cores_ - serviceReserve * user.serviceCoresAtFullLoad_;
}

static void addLoad(Trace& trace, Random& random)
{
    std::array<double, workers> drift {};
    for (int second = 0; second < trace.seconds_; ++second) {
        double phase = 2 * std::numbers::pi * second / trace.seconds_;
        double mean = trace.kind_ == TraceKind::DailySwing ? steadyLoad - swing * std::cos(phase) : steadyLoad;
        std::array<double, workers> loads {};
        for (size_t worker = 0; worker < workers; ++worker) {
            drift[worker] = 0.99 * drift[worker] + 0.005 * random.normal();
            loads[worker] = std::clamp(mean * (1 + drift[worker]) + 0.02 * random.normal(), 0.01, 1.5);
        }
        trace.load_.push_back(loads);
    }
}

static bool isInWave(const Trace& trace, int second)
{
    if (trace.kind_ != TraceKind::Wave && trace.kind_ != TraceKind::OwnerLost)
        return false;
    int sixth = trace.seconds_ / 6;
    return second % (2 * sixth) >= sixth && second % (2 * sixth) < sixth + sixth / 2;
}

static size_t drawClass(const GroundTruth& truth, bool noisy, Random& random)
{
    size_t taskClass = random.below(taskClasses);
    while (truth.isNoisy(taskClass) != noisy)
        taskClass = random.below(taskClasses);
    return taskClass;
}

static BatchTask drawTask(const Trace& trace, const GroundTruth& truth, const User& user, int second, Random& random)
{
    BatchTask task;
    task.arrivesAt_ = second;
    task.class_ = drawClass(truth, random.unit() < (isInWave(trace, second) ? noisyFractionInWave : noisyFraction), random);
    task.tier_ = random.unit() < payingFraction ? Tier::Paying : Tier::Trial;
    task.cores_ = static_cast<double>(uint64_t { 1 } << random.below(4));
    double seconds = user.shortestRun_ * std::pow(user.longestRun_ / user.shortestRun_, random.unit());
    task.declaredCores_ = task.cores_;
    task.declaredSeconds_ = seconds;
    if (trace.kind_ == TraceKind::WrongSizes) {
        task.cores_ *= 0.4 + 1.2 * random.unit();
        task.declaredSeconds_ *= std::exp(random.normal());
    }
    task.work_ = task.cores_ * seconds;
    return task;
}

Trace makeTrace(TraceKind kind, const User& user, uint64_t seed, int seconds)
{
    Random random(seed * 7919 + static_cast<uint64_t>(kind));
    GroundTruth truth = GroundTruth::create(seed);
    Trace trace;
    trace.kind_ = kind;
    trace.seed_ = seed;
    trace.seconds_ = seconds;
    addLoad(trace, random);
    if (kind == TraceKind::DomainOut)
        trace.domainOut_ = { seconds / 3, seconds * 2 / 3 };
    if (kind == TraceKind::OwnerLost)
        trace.ownerLost_ = { seconds / 4, seconds * 3 / 4 };
    // The initial queue fills the batch capacity immediately.
    double budget = demandFraction * batchCapacity(user) * workers * user.shortestRun_ * 2;
    for (int second = 0; second < seconds; ++second) {
        budget += demandFraction * batchCapacity(user) * workers;
        while (budget > 0) {
            trace.tasks_.push_back(drawTask(trace, truth, user, second, random));
            trace.tasks_.back().number_ = trace.tasks_.size() - 1;
            budget -= trace.tasks_.back().work_;
        }
    }
    return trace;
}

} // namespace persimmondoor::colocation
