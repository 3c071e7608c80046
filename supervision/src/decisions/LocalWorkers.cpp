#include "SupervisorRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <tuple>

namespace persimmondoor::supervision {

using workflow::ActiveRun;
using workflow::EndedRun;
using workflow::OrderNumber;
using workflow::RunKey;
using workflow::WorkerIncarnation;

std::string describe(const WorkerIncarnation& incarnation)
{
    return concat(incarnation.name_, "@", incarnation.bornMs_);
}

void removeWorker(const DecisionContext& context, const WorkerIncarnation& incarnation, WorkerEnd end, std::string_view reason)
{
    auto removed = context.state_.workers_.extract(incarnation);
    if (removed.empty())
        return;
    bool hasCrashed = end == WorkerEnd::Replaced && !removed.mapped().draining_;
    for (const auto& [run, start] : removed.mapped().recentStarts_) {
        if (hasCrashed)
            context.state_.crashedRuns_[run] = { context.now_, start.isConfirmed_ };
    }
    // Nothing runs on the worker any more, so its pending stops have completed.
    std::vector<OrderNumber> stopped;
    for (const auto& [number, stop] : context.state_.pendingStops_) {
        if (stop.first.worker_ == incarnation)
            stopped.push_back(number);
    }
    for (OrderNumber number : stopped) {
        context.state_.pendingStops_.erase(number);
        completeOrder(context, number);
    }
    // An unconfirmed worker may hold leases of an earlier process of the agent; only their expiry ends it for the leader.
    if (removed.mapped().isConfirmed_ || end == WorkerEnd::LeasesExpired) {
        context.state_.endedWorkers_[incarnation] = context.now_;
        context.state_.hasChanges_ = true;
    }
    context.addAction(RemoveWorker { incarnation });
    context.logEvent("worker.gone", describe(incarnation), std::string(reason));
}

// Ends the session with the leader after a worker was removed. The worker may reconnect in the same incarnation while
// orders for runs that the leader counts as ended are still in flight; under the fence of the next session such orders
// are void.
static void endSession(const DecisionContext& context)
{
    ++context.state_.session_;
    context.state_.voidFence_ = std::max(context.state_.voidFence_, context.state_.fence_);
    context.state_.fence_ = workflow::Fence();
}

// Converts a time of this host to the worker's clock. The worker read its clock a little before its answer arrived, so
// the result is early rather than late.
static int64_t onWorkerClock(const LocalWorker& worker, Instant time)
{
    return worker.workerTimeMs_ + std::chrono::duration_cast<std::chrono::milliseconds>(time - worker.clockReadAt_).count();
}

// An unreachable worker gets no lease: any call to it may be executed late and would postpone the time after which its
// tasks are known to have ended.
int64_t grantLease(const DecisionContext& context, LocalWorker& worker)
{
    if (worker.leaseHorizon_ <= context.now_ || !worker.isReachable_)
        return 0;
    worker.leaseEnd_ = std::max(worker.leaseEnd_, worker.leaseHorizon_);
    return onWorkerClock(worker, worker.leaseHorizon_);
}

void requestLists(const DecisionContext& context, const WorkerIncarnation& incarnation, LocalWorker& worker)
{
    if (worker.isListCallInFlight_ || context.state_.fence_ == workflow::Fence() || context.now_ < worker.nextListAt_)
        return;
    worker.isListCallInFlight_ = true;
    Duration wait = worker.isListed_ ? context.state_.tuning_.listWait_ : Duration(0);
    context.addAction(CallList { incarnation, { context.state_.fence_, worker.durableEnd_, grantLease(context, worker), wait } });
}

// The notice may concern an earlier incarnation, so the worker is removed only once its host refuses connections.
void handleLeaving(const DecisionContext& context, const workflow::Leaving& message)
{
    for (auto& [incarnation, worker] : context.state_.workers_) {
        if (incarnation.name_ != message.name_)
            continue;
        context.logEvent("worker.leaving", describe(incarnation), worker.draining_ ? "notice of a draining worker" : "notice of a worker that is not draining");
        worker.leaveNoticedAt_ = context.now_;
        worker.nextListAt_ = context.now_;
        requestLists(context, incarnation, worker);
    }
}

static uint64_t lastEnd(const std::vector<EndedRun>& ended)
{
    return ended.empty() ? 0 : ended.back().number_;
}

void confirmStart(LocalWorker& worker, const RunKey& run)
{
    if (auto start = worker.recentStarts_.find(run); start != worker.recentStarts_.end())
        start->second.isConfirmed_ = true;
}

static void updateLists(const DecisionContext& context, const workflow::WorkerLists& lists, Instant askedAt, LocalWorker& worker)
{
    std::map<RunKey, ActiveRun> active;
    bool isReadingDue = context.now_ >= worker.nextReadingAt_;
    for (const ActiveRun& run : lists.active_) {
        ActiveRun& current = active[run.run_] = run;
        confirmStart(worker, run.run_);
        auto pace = worker.runPaces_.find(run.run_);
        auto previous = worker.active_.find(run.run_);
        if (isReadingDue)
            current.pace_ = pace == worker.runPaces_.end() ? fullPace : pace->second;
        else
            std::tie(current.load_, current.pace_) = previous == worker.active_.end() ? std::pair(0U, fullPace) : std::pair(previous->second.load_, previous->second.pace_);
    }
    for (const EndedRun& end : lists.ended_)
        worker.confirmedRuns_.erase(end.run_);
    std::erase_if(worker.confirmedRuns_, [&](const auto& entry) { return entry.second < askedAt || active.count(entry.first) > 0; });
    bool sameRuns = std::equal(active.begin(), active.end(), worker.active_.begin(), worker.active_.end(), [](const auto& left, const auto& right) { return left.first == right.first; });
    bool changed = !worker.isListed_ || !sameRuns || lastEnd(lists.ended_) > lastEnd(worker.ended_) || lists.hasAllEnds_ != worker.hasAllEnds_;
    worker.active_ = std::move(active);
    worker.ended_ = lists.ended_;
    worker.hasAllEnds_ = lists.hasAllEnds_;
    worker.isListed_ = true;
    if (lastEnd(worker.ended_) > worker.durableEnd_)
        worker.nextListAt_ = context.now_ + context.state_.tuning_.listInterval_;
    context.state_.hasChanges_ = context.state_.hasChanges_ || (changed && worker.isConfirmed_);
}

// The leader places runs by what the last report says, so that a change is reported at once.
static void setReachable(const DecisionContext& context, LocalWorker& worker, bool isReachable)
{
    context.state_.hasChanges_ = context.state_.hasChanges_ || (worker.isConfirmed_ && worker.isReachable_ != isReachable);
    worker.isReachable_ = isReachable;
}

void handleListArrived(const DecisionContext& context, const ListArrived& message)
{
    auto found = context.state_.workers_.find(message.worker_);
    if (found == context.state_.workers_.end())
        return;
    const workflow::WorkerLists& lists = message.lists_;
    if (lists.bornMs_ != 0 && lists.bornMs_ != message.worker_.bornMs_)
        return removeWorker(context, message.worker_, WorkerEnd::Replaced, "another incarnation answers at its address");
    LocalWorker& worker = found->second;
    worker.isListCallInFlight_ = false;
    if (lists.bornMs_ != 0)
        context.state_.firstAnswers_.try_emplace(worker.address_, message.worker_);
    noteAnswer(context, message, worker);
    if (!worker.isReachable_)
        context.logEvent("worker.reached", describe(message.worker_), concat(lists.active_.size(), " runs"));
    setReachable(context, worker, true);
    worker.workerTimeMs_ = lists.workerTimeMs_;
    worker.clockReadAt_ = context.now_;
    std::erase_if(worker.recentStarts_, [&](const auto& entry) { return context.now_ - entry.second.calledAt_ >= context.state_.tuning_.crashWindow_; });
    if (message.fence_ == context.state_.fence_) {
        if (worker.hasAllEnds_ && !lists.hasAllEnds_)
            context.logEvent("worker.ends_cut", describe(message.worker_), concat("lists the first ", lists.ended_.size(), " ends after ", worker.durableEnd_, "; there may be more"));
        updateLists(context, lists, message.askedAt_, worker);
        if (context.now_ >= worker.nextReadingAt_)
            updateReading(context, message.worker_, worker);
        else
            paceFillingRuns(context, message.worker_, worker);
    }
    requestLists(context, message.worker_, worker);
}

void handleListFailed(const DecisionContext& context, const ListFailed& failure)
{
    auto found = context.state_.workers_.find(failure.worker_);
    if (found == context.state_.workers_.end())
        return;
    LocalWorker& worker = found->second;
    worker.isListCallInFlight_ = false;
    worker.hasListFailed_ = true;
    worker.nextListAt_ = context.now_ + context.state_.tuning_.retryInterval_;
    if (worker.isReachable_)
        context.logEvent("worker.unreachable", describe(failure.worker_), concat("the list request failed: ", failure.reason_));
    setReachable(context, worker, false);
    bool isLeaving = worker.leaveNoticedAt_ && context.now_ - *worker.leaveNoticedAt_ <= context.state_.tuning_.leaveNoticeValidity_;
    if (failure.isOtherWorker_)
        removeWorker(context, failure.worker_, WorkerEnd::Replaced, "another worker answers at its address");
    else if (failure.isRefused_ && isLeaving)
        removeWorker(context, failure.worker_, WorkerEnd::Left, "the worker announced that it leaves, and its host refuses connections");
    confirmSuccessorsOf(context, failure.worker_);
}

void dropExpiredWorkers(const DecisionContext& context)
{
    std::vector<WorkerIncarnation> expired;
    for (const auto& [incarnation, worker] : context.state_.workers_) {
        Duration margin = context.state_.tuning_.leaseSlack_ + context.state_.tuning_.longestLease_ * context.state_.tuning_.clockDriftPercent_ / 100;
        if (!worker.isReachable_ && worker.hasListFailed_ && context.now_ > worker.leaseEnd_ + margin)
            expired.push_back(incarnation);
    }
    // The leader gives no orders for a worker that was never listed.
    bool hadOrders = std::any_of(expired.begin(), expired.end(), [&](const WorkerIncarnation& incarnation) { return context.state_.workers_.at(incarnation).clockReadAt_ != Instant(); });
    for (const WorkerIncarnation& incarnation : expired)
        removeWorker(context, incarnation, WorkerEnd::LeasesExpired, "unreachable, and all its leases have expired");
    if (hadOrders)
        endSession(context);
}

} // namespace persimmondoor::supervision
