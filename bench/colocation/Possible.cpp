#include "Driver.h"

#include <algorithm>
#include <numeric>

namespace persimmondoor::colocation {

static constexpr double secondsPerHour = 3600;

// Harm that may be done in the whole run, in processor-seconds of a class with harm 1 at load factor 1.
static double allowedHarm(const Trace& trace, const User& user, double slowdown)
{
    double sum = 0;
    for (int second = 0; second < trace.seconds_; ++second) {
        bool out = trace.domainOut_.contains(second);
        for (size_t worker = 0; worker < workers; ++worker) {
            if (out && worker < workersPerDomain)
                continue;
            double load = trace.load_[static_cast<size_t>(second)][worker] * (out ? static_cast<double>(workers) / (workers - workersPerDomain) : 1);
            sum += (slowdown - 1) * user.cores_ / Law::loadFactor(load);
        }
    }
    return sum;
}

double possibleWork(const Trace& trace, const User& user, double slowdown)
{
    Law law = Law::create(trace.seed_);
    std::array<double, taskClasses> work {};
    for (const BatchTask& task : trace.tasks_)
        work[task.class_] += task.work_;
    std::array<size_t, taskClasses> order {};
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::sort(order.begin(), order.end(), [&](size_t left, size_t right) { return law.harm(left, 1) < law.harm(right, 1); });
    double harmLeft = allowedHarm(trace, user, slowdown);
    double possible = 0;
    for (size_t taskClass : order) {
        double harm = law.harm(taskClass, 1);
        double done = std::min(work[taskClass], harmLeft / harm);
        harmLeft -= done * harm;
        possible += done;
    }
    return possible / secondsPerHour;
}

} // namespace persimmondoor::colocation
