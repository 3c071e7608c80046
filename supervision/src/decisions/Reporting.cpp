#include "SupervisorRules.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::WorkerIncarnation;

static workflow::WorkerReport reportOf(const SupervisorState& state, const WorkerIncarnation& incarnation, const LocalWorker& worker, Instant now)
{
    workflow::WorkerReport report;
    report.incarnation_ = incarnation;
    report.traits_ = worker.traits_;
    report.draining_ = worker.draining_;
    report.remainingMs_ = std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(worker.leavesAt_ - now).count());
    report.isListed_ = worker.isListed_ && state.fence_ != workflow::Fence();
    report.isReachable_ = worker.isReachable_;
    report.readingNumber_ = worker.readingNumber_;
    for (const auto& [run, active] : worker.active_)
        report.active_.push_back(active);
    for (const auto& [run, time] : worker.confirmedRuns_) {
        if (worker.active_.count(run) == 0)
            report.active_.push_back({ run, "", 0, 0, fullPace });
    }
    report.ended_ = worker.ended_;
    report.hasAllEnds_ = worker.hasAllEnds_;
    for (const auto& [refused, reportedIn] : worker.refused_)
        report.refused_.push_back(refused);
    return report;
}

static std::set<workflow::OrderNumber> completedOrdersOf(const SupervisorState& state)
{
    std::set<workflow::OrderNumber> completed;
    for (const auto& [number, isCompleted] : state.completionByOrder_) {
        if (completed.size() == workflow::maximumCompletedOrders)
            break;
        if (isCompleted)
            completed.insert(number);
    }
    return completed;
}

static void sendReport(const DecisionContext& context)
{
    SupervisorState& state = context.state_;
    state.sequence_ = state.sequence_.next();
    state.reportsSentAt_[state.sequence_] = context.now_;
    state.hasChanges_ = false;
    ++state.reportsInFlight_;
    workflow::AgentReport report { state.name_, state.domain_, state.session_, state.epoch_, state.fence_, state.sequence_, state.lastCompletedOrder_, {}, {}, true, {}, completedOrdersOf(state) };
    for (auto& [incarnation, worker] : state.workers_) {
        if (!worker.isConfirmed_)
            continue;
        report.workers_.push_back(reportOf(state, incarnation, worker, context.now_));
        if (worker.firstReport_ == Sequence())
            worker.firstReport_ = state.sequence_;
        for (auto& [refused, reportedIn] : worker.refused_) {
            if (reportedIn == Sequence())
                reportedIn = state.sequence_;
        }
    }
    for (const auto& [incarnation, time] : state.endedWorkers_)
        report.endedWorkers_.push_back(incarnation);
    for (const auto& [run, crashed] : state.crashedRuns_) {
        report.crashedRuns_.push_back(run);
        if (!crashed.isConfirmed_)
            report.unconfirmedStarts_.insert(run);
    }
    context.addAction(SendReport { std::move(report) });
}

void reportIfDue(const DecisionContext& context)
{
    SupervisorState& state = context.state_;
    bool due = state.reportsInFlight_ == 0 || (state.hasChanges_ && state.reportsInFlight_ < state.tuning_.maximumReportsInFlight_);
    if (due && context.now_ >= state.nextReportAt_)
        sendReport(context);
}

} // namespace persimmondoor::supervision
