#include "persimmondoor/workflow/Urgency.h"

#include "LeaderRules.h"

#include <algorithm>

namespace persimmondoor::workflow {

// Estimated run time of the longest chain of dependent steps of one occurrence. If `onlyUnfinished`, the steps that are
// done in the first occurrence count as 0.
static Duration longestChain(const Job& job, bool onlyUnfinished)
{
    const std::vector<Step>& steps = job.record_.spec_.steps();
    std::vector<Duration> ends(steps.size());
    Duration longest(0);
    for (size_t number = 0; number < steps.size(); ++number) {
        Duration start(0);
        for (uint32_t earlier : steps[number].dependencies_)
            start = std::max(start, ends[earlier]);
        bool counts = !onlyUnfinished || job.unfinishedTasks_[number] > 0;
        ends[number] = start + (counts ? steps[number].estimate_ : Duration(0));
        longest = std::max(longest, ends[number]);
    }
    return longest;
}

Duration longestChainOf(const Job& job)
{
    return longestChain(job, false);
}

Duration objectiveOf(const Job& job)
{
    auto stretched = static_cast<int64_t>(job.queue_.stretch_ * static_cast<double>(milliseconds(longestChain(job, false))));
    return std::chrono::milliseconds(stretched) + job.queue_.targetLatency_;
}

bool isLongRunning(const JobSpec& spec)
{
    return std::any_of(spec.steps().begin(), spec.steps().end(), [](const Step& step) { return step.longRunning_; });
}

bool yieldsTo(const Rush* rush, const Queue& longRunning)
{
    return rush && rush->priority_ <= longRunning.priority_;
}

static int64_t shareIn(const Rush* rush, const Queue& queue)
{
    if (!rush)
        return 0;
    auto known = rush->shares_.find(queue.name_);
    return known == rush->shares_.end() ? 0 : known->second;
}

Urgency urgencyOf(const LeaderState& state, const Job& job)
{
    int64_t accepted = job.record_.spec_.isTimed() ? job.record_.spec_.schedule().firstDueMs_ : job.record_.acceptedMs_;
    int64_t objective = milliseconds(objectiveOf(job));
    int64_t earliestEnd = state.wallMs_ + milliseconds(longestChain(job, true));
    int64_t deadline = accepted + objective;
    const Rush* rush = state.urgentRoom_.rushOf(job.queue_.service_);
    Urgency urgency { job.record_.queue_.priority_, Prospect::OnTime, shareIn(rush, job.queue_), !job.hasStarted_, job.hasStarted_ ? deadline : -deadline, job.record_.id_ };
    if (isLongRunning(job.record_.spec_)) {
        urgency.prospect_ = yieldsTo(rush, job.record_.queue_) ? Prospect::Yielding : Prospect::OnTime;
        return urgency;
    }
    if (earliestEnd <= deadline)
        return urgency;
    if (earliestEnd <= accepted + objective * lateFactor) {
        urgency.prospect_ = Prospect::Late;
        return urgency;
    }
    return { urgency.priority_, Prospect::Worthless, 0, false, accepted, urgency.job_ };
}

} // namespace persimmondoor::workflow
