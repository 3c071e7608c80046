#include "Driver.h"

#include <algorithm>

namespace persimmondoor::colocation {

static constexpr double secondsPerHour = 3600;

namespace {

    struct WaitingTask {
        size_t task_ { 0 };
        double harm_ { 0 };
        double workLeft_ { 0 };
    };

    struct PooledCapacity {
        double cores_ { 0 };
        /// Processor-seconds that a class with harm 1 may use.
        double harm_ { 0 };
    };

} // namespace

static PooledCapacity pooledCapacityAt(const Trace& trace, const User& user, int second, double slowdown)
{
    PooledCapacity capacity;
    bool out = trace.domainOut_.contains(second);
    for (size_t worker = out ? workersPerDomain : 0; worker < workers; ++worker) {
        double load = trace.load_[static_cast<size_t>(second)][worker] * (out ? static_cast<double>(workers) / (workers - workersPerDomain) : 1);
        capacity.harm_ += (slowdown - 1) * user.cores_ / GroundTruth::loadFactor(load);
        capacity.cores_ += batchCapacity(user);
    }
    return capacity;
}

double workUpperBound(const Trace& trace, const User& user, double slowdown)
{
    GroundTruth truth = GroundTruth::create(trace.seed_);
    std::vector<WaitingTask> waiting;
    double done = 0;
    size_t next = 0;
    for (int second = 0; second < trace.seconds_; ++second) {
        size_t waitingBefore = waiting.size();
        for (; next < trace.tasks_.size() && trace.tasks_[next].arrivesAt_ <= second; ++next)
            waiting.push_back({ next, truth.harm(trace.tasks_[next].class_, 1), trace.tasks_[next].work_ });
        if (waiting.size() > waitingBefore)
            std::stable_sort(waiting.begin(), waiting.end(), [](const WaitingTask& left, const WaitingTask& right) { return left.harm_ < right.harm_; });
        PooledCapacity capacity = pooledCapacityAt(trace, user, second, slowdown);
        for (WaitingTask& each : waiting) {
            double use = std::min({ trace.tasks_[each.task_].cores_, each.workLeft_, capacity.cores_, capacity.harm_ / each.harm_ });
            each.workLeft_ -= use;
            capacity.cores_ -= use;
            capacity.harm_ -= use * each.harm_;
            done += use;
        }
        std::erase_if(waiting, [](const WaitingTask& each) { return each.workLeft_ <= 0; });
    }
    return done / secondsPerHour;
}

} // namespace persimmondoor::colocation
