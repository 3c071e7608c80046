#include "persimmondoor/workflow/LeaseBounds.h"

#include "LeaderRules.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::workflow {

Duration longestLease(const Tuning& tuning, Duration lease)
{
    return lease * (100 + tuning.clockDriftPercent_) / 100 + tuning.leaseSlack_;
}

Instant leaseEndOf(const LeaseBounds& bounds, const WorkerIncarnation& worker)
{
    auto silent = bounds.silentWorkers_.find(worker);
    return silent == bounds.silentWorkers_.end() ? bounds.latest_ : std::min(bounds.latest_, silent->second);
}

Instant leaseBoundAfterWrite(const Tuning& tuning, Instant writeSentAt)
{
    return writeSentAt + tuning.fullLeasePeriod_ + longestLease(tuning, tuning.taskLease_);
}

LeaseBounds boundsWithoutRecord(const Tuning& tuning, Duration grantPeriod, Instant now)
{
    return { now + grantPeriod + longestLease(tuning, tuning.taskLease_), {} };
}

bool isInNewestReport(const Agent& agent, const Worker& worker)
{
    return worker.lastReportAt_ >= agent.newestReportAt_;
}

Duration grantableLease(const LeaderState& state, const Agent& agent, Instant now)
{
    if (!agent.hasReported_)
        return Duration(0);
    for (const WorkerIncarnation& incarnation : agent.workers_) {
        auto worker = state.workers_.find(incarnation);
        if (worker != state.workers_.end() && isInNewestReport(agent, worker->second) && worker->second.leaseGrants_ != LeaseGrants::Allowed)
            return Duration(0);
    }
    return std::clamp<Duration>(state.leasesEndBy_ - now, Duration(0), state.tuning_.taskLease_);
}

void suspendLeasesOfSilentWorkers(const DecisionContext& context)
{
    for (auto& [incarnation, worker] : context.state_.workers_) {
        bool isAwaited = worker.agent_.empty() && context.now_ < context.state_.awaitsWorkersUntil_;
        bool isSilent = context.now_ - worker.lastReportAt_ > context.state_.tuning_.suspendLeasesAfter_;
        if (worker.leaseGrants_ == LeaseGrants::Suspended || isAwaited || !isSilent)
            continue;
        worker.leaseGrants_ = LeaseGrants::Suspended;
        context.state_.hasLeaseChanges_ = true;
        context.logEvent("leases.suspended", concat(incarnation.name_, "@", incarnation.bornMs_), concat("not reported; its leases end within ", std::max<int64_t>(0, (worker.leaseEnd_ - context.now_).count() / 1000), " ms"));
    }
}

void requestLeaseGrants(const DecisionContext& context, Worker& worker)
{
    if (worker.leaseGrants_ != LeaseGrants::Suspended)
        return;
    worker.leaseGrants_ = LeaseGrants::Requested;
    context.state_.hasLeaseChanges_ = true;
}

void allowLeaseGrants(const DecisionContext& context, const Batch& durable)
{
    for (auto& [incarnation, worker] : context.state_.workers_) {
        if (worker.leaseGrants_ != LeaseGrants::Requested || durable.silentWorkers_.count(incarnation) > 0)
            continue;
        worker.leaseGrants_ = LeaseGrants::Allowed;
        auto agent = context.state_.agents_.find(worker.agent_);
        if (agent == context.state_.agents_.end())
            continue;
        agent->second.isReplyDue_ = true;
        context.addAction(AnswerAgent { worker.agent_ });
    }
}

std::map<WorkerIncarnation, Instant> silentWorkersOf(const LeaderState& state)
{
    std::map<WorkerIncarnation, Instant> silent;
    for (const auto& [incarnation, worker] : state.workers_) {
        if (worker.leaseGrants_ == LeaseGrants::Suspended && !worker.assignedTasks_.empty())
            silent.emplace(incarnation, worker.leaseEnd_);
    }
    return silent;
}

} // namespace persimmondoor::workflow
