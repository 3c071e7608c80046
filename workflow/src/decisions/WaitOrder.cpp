#include "WaitOrder.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <array>

namespace persimmondoor::workflow {

// Bound on the jobs that one line names.
static constexpr size_t maximumNamedJobs = 3;

static std::string_view describe(Precedence reason)
{
    static constexpr std::array<std::string_view, 6> texts { "higher priority", "more value left", "urgent in a rush", "queue with the smaller share in a rush", "has started", "order of deadlines" };
    return texts.at(static_cast<size_t>(reason));
}

Precedence precedenceOf(const Urgency& first, const Urgency& second)
{
    if (first.priority_ != second.priority_)
        return Precedence::Priority;
    if (first.prospect_ != second.prospect_)
        return second.prospect_ == Prospect::Yielding ? Precedence::Rush : Precedence::Prospect;
    if (first.queueShare_ != second.queueShare_)
        return Precedence::QueueShare;
    return first.hasNotStarted_ == second.hasNotStarted_ ? Precedence::Deadline : Precedence::Started;
}

WaitOrder::WaitOrder(const LeaderState& state)
    : state_(state)
{
    ready_.reserve(state.readyJobs_.size());
    for (const JobId& id : state.readyJobs_) {
        auto job = state.jobs_.find(id);
        if (job != state.jobs_.end())
            ready_.push_back(urgencyOf(state, job->second));
    }
    std::sort(ready_.begin(), ready_.end());
}

JobsAhead WaitOrder::aheadOf(const Job& job) const
{
    JobsAhead ahead;
    const Urgency own = urgencyOf(state_, job);
    const Rush* rush = state_.urgentRoom_.rushOf(job.queue_.service_);
    for (auto other = ready_.begin(); other != ready_.end() && *other < own; ++other) {
        const Job& otherJob = state_.jobs_.at(other->job_);
        if (otherJob.queue_.service_ != job.queue_.service_)
            continue;
        Precedence reason = precedenceOf(*other, own);
        if (rush && (reason == Precedence::Rush || reason == Precedence::QueueShare))
            ahead.rushEndsBy_ = rush->since_ + state_.tuning_.maximumRush_;
        if (++ahead.count_ <= maximumNamedJobs)
            ahead.first_.push_back({ other->job_, otherJob.queue_.name_, reason });
    }
    return ahead;
}

std::string describe(const JobsAhead& ahead, Instant now)
{
    if (ahead.count_ == 0)
        return {};
    std::string text = concat("; behind ", ahead.count_, " jobs of the service: ");
    for (size_t number = 0; number < ahead.first_.size(); ++number) {
        const JobAhead& job = ahead.first_[number];
        text += concat(number == 0 ? "" : ", ", job.job_.value(), " (queue ", job.queue_, ", ", describe(job.reason_), ")");
    }
    if (ahead.rushEndsBy_)
        text += concat("; the rush ends within ", milliseconds(std::max(Duration(0), *ahead.rushEndsBy_ - now)), " ms");
    return text;
}

} // namespace persimmondoor::workflow
