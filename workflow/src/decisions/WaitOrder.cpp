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
    for (const JobId& id : state.readyJobs_) {
        auto job = state.jobs_.find(id);
        if (job != state.jobs_.end())
            ready_[job->second.queue_.service_].push_back(urgencyOf(state, job->second));
    }
    for (auto& [service, ready] : ready_)
        std::sort(ready.begin(), ready.end());
}

JobsAhead WaitOrder::aheadOf(const Job& job) const
{
    JobsAhead ahead;
    auto ready = ready_.find(job.queue_.service_);
    if (ready == ready_.end())
        return ahead;
    const Urgency own = urgencyOf(state_, job);
    const auto begin = ready->second.begin();
    const auto end = std::lower_bound(begin, ready->second.end(), own);
    ahead.count_ = static_cast<size_t>(end - begin);
    for (auto other = begin; other != end && ahead.first_.size() < maximumNamedJobs; ++other)
        ahead.first_.push_back({ other->job_, state_.jobs_.at(other->job_).queue_.name_, precedenceOf(*other, own) });
    // The reasons are in the order in which they are compared.
    const auto behindRush = std::partition_point(begin, end, [&](const Urgency& other) { return precedenceOf(other, own) < Precedence::Rush; });
    const Rush* rush = state_.urgentRoom_.rushOf(job.queue_.service_);
    if (rush && behindRush != end && precedenceOf(*behindRush, own) <= Precedence::QueueShare)
        ahead.rushEndsBy_ = rush->since_ + state_.tuning_.maximumRush_;
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
