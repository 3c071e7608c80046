#include "Driver.h"

#include <algorithm>

namespace persimmondoor::colocation {

static constexpr double secondsPerHour = 3600;

namespace {

    struct Waiting {
        size_t task_ { 0 };
        double harm_ { 0 };
        double workLeft_ { 0 };
    };

    struct Room {
        double cores_ { 0 };
        /// Processor-seconds that a class with harm 1 may use.
        double harm_ { 0 };
    };

} // namespace

static Room roomAt(const Trace& trace, const User& user, int second, double slowdown)
{
    Room room;
    bool out = trace.domainOut_.contains(second);
    for (size_t worker = out ? workersPerDomain : 0; worker < workers; ++worker) {
        double load = trace.load_[static_cast<size_t>(second)][worker] * (out ? static_cast<double>(workers) / (workers - workersPerDomain) : 1);
        room.harm_ += (slowdown - 1) * user.cores_ / Law::loadFactor(load);
        room.cores_ += batchRoom(user);
    }
    return room;
}

double possibleWork(const Trace& trace, const User& user, double slowdown)
{
    Law law = Law::create(trace.seed_);
    std::vector<Waiting> waiting;
    double done = 0;
    size_t next = 0;
    for (int second = 0; second < trace.seconds_; ++second) {
        size_t known = waiting.size();
        for (; next < trace.tasks_.size() && trace.tasks_[next].arrivesAt_ <= second; ++next)
            waiting.push_back({ next, law.harm(trace.tasks_[next].class_, 1), trace.tasks_[next].work_ });
        if (waiting.size() > known)
            std::stable_sort(waiting.begin(), waiting.end(), [](const Waiting& left, const Waiting& right) { return left.harm_ < right.harm_; });
        Room room = roomAt(trace, user, second, slowdown);
        for (Waiting& each : waiting) {
            double use = std::min({ trace.tasks_[each.task_].cores_, each.workLeft_, room.cores_, room.harm_ / each.harm_ });
            each.workLeft_ -= use;
            room.cores_ -= use;
            room.harm_ -= use * each.harm_;
            done += use;
        }
        std::erase_if(waiting, [](const Waiting& each) { return each.workLeft_ <= 0; });
    }
    return done / secondsPerHour;
}

} // namespace persimmondoor::colocation
