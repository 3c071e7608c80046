#include "persimmondoor/workflow/RunTimeEstimates.h"

#include <algorithm>

namespace persimmondoor::workflow {

// Factor by which each new run multiplies the weight of the older ones of its queue.
static constexpr double retention = 0.99;
// Bound on the ratio of one run.
static constexpr int64_t maximumRatio = 8;

static double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool RunTimeEstimates::isKnown(const std::string& queue) const
{
    auto known = byQueue_.find(queue);
    return known != byQueue_.end() && known->second.runs_ >= minimumRuns;
}

Duration RunTimeEstimates::expect(const std::string& queue, Duration declared) const
{
    if (!isKnown(queue))
        return declared;
    const RunTimeSums& sums = byQueue_.at(queue);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds(declared) * sums.held_ / sums.declared_));
}

RunTimeEstimates observeRun(RunTimeEstimates estimates, const std::string& queue, Duration declared, Duration held)
{
    bool hasRoom = estimates.byQueue_.size() < RunTimeEstimates::maximumQueues || estimates.byQueue_.count(queue) > 0;
    if (declared <= Duration(0) || !hasRoom)
        return estimates;
    RunTimeSums& sums = estimates.byQueue_[queue];
    sums.declared_ = sums.declared_ * retention + seconds(declared);
    sums.held_ = sums.held_ * retention + seconds(std::clamp(held, Duration(0), declared * maximumRatio));
    sums.runs_ = std::min(sums.runs_ + 1, RunTimeEstimates::minimumRuns);
    return estimates;
}

} // namespace persimmondoor::workflow
