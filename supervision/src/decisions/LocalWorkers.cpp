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

void removeWorker(const DecisionContext& context, const WorkerIncarnation& incarnation, std::string_view why)
{
    if (context.state_.workers_.erase(incarnation) == 0)
        return;
    // Nothing runs there any more, so its stops have their outcome.
    std::vector<OrderNumber> stopped;
    for (const auto& [number, stop] : context.state_.pendingStops_) {
        if (stop.first.worker_ == incarnation)
            stopped.push_back(number);
    }
    for (OrderNumber number : stopped) {
        context.state_.pendingStops_.erase(number);
        completeOrder(context, number);
    }
    context.state_.endedWorkers_[incarnation] = context.now_;
    context.state_.hasChanges_ = true;
    context.addAction(RemoveWorker { incarnation });
    context.logEvent("worker.gone", describe(incarnation), std::string(why));
}

// A worker that has been given up may be back later in the same life. Orders that are still on their way to it belong to
// runs that the owner has given up too, so the session ends with it: they are void under the fence of the next one.
static void endSession(const DecisionContext& context)
{
    ++context.state_.session_;
    context.state_.voidFence_ = std::max(context.state_.voidFence_, context.state_.fence_);
    context.state_.fence_ = workflow::Fence();
}

// A time of this host on the worker's clock. The clock was read a little before its reading arrived, so the result is
// early rather than late.
static int64_t onWorkerClock(const LocalWorker& worker, Instant time)
{
    return worker.workerTimeMs_ + std::chrono::duration_cast<std::chrono::milliseconds>(time - worker.clockReadAt_).count();
}

// A worker that does not answer gets none: each call to
// it may be carried out late and would put off the time from which its tasks are known to have ended.
int64_t grantLease(const DecisionContext& context, LocalWorker& worker)
{
    if (context.state_.leaseHorizon_ <= context.now_ || !worker.isReachable_)
        return 0;
    worker.leaseEnd_ = std::max(worker.leaseEnd_, context.state_.leaseHorizon_);
    return onWorkerClock(worker, context.state_.leaseHorizon_);
}

void askForList(const DecisionContext& context, const WorkerIncarnation& incarnation, LocalWorker& worker)
{
    if (worker.isListCallInFlight_ || context.state_.fence_ == workflow::Fence() || context.now_ < worker.nextListAt_)
        return;
    worker.isListCallInFlight_ = true;
    Duration wait = worker.isListed_ ? context.state_.tuning_.listWait_ : Duration(0);
    context.addAction(CallList { incarnation, { context.state_.fence_, worker.durableEnd_, grantLease(context, worker), wait } });
}

void handleHeartbeat(const DecisionContext& context, const workflow::Heartbeat& beat)
{
    std::vector<WorkerIncarnation> replaced;
    for (const auto& [incarnation, worker] : context.state_.workers_) {
        bool sameAddress = worker.address_ == beat.address_;
        if (incarnation.succeeds(beat.incarnation_) || (sameAddress && incarnation.bornMs_ > beat.incarnation_.bornMs_))
            return;
        if (beat.incarnation_.succeeds(incarnation) || (sameAddress && incarnation.bornMs_ < beat.incarnation_.bornMs_))
            replaced.push_back(incarnation);
    }
    for (const WorkerIncarnation& incarnation : replaced)
        removeWorker(context, incarnation, concat("replaced by ", describe(beat.incarnation_)));
    if (context.state_.endedWorkers_.count(beat.incarnation_) > 0 && context.state_.workers_.count(beat.incarnation_) == 0 && beat.draining_)
        return;
    auto [found, isNew] = context.state_.workers_.try_emplace(beat.incarnation_);
    LocalWorker& worker = found->second;
    if (!isNew && beat.sequence_ <= worker.lastHeartbeat_)
        return;
    if (isNew) {
        worker.address_ = beat.address_;
        worker.leaseEnd_ = context.now_ + context.state_.tuning_.longestLease_;
        context.state_.endedWorkers_.erase(beat.incarnation_);
        context.addAction(AddWorker { beat.incarnation_, beat.address_ });
        context.logEvent("worker.seen", describe(beat.incarnation_), concat("address ", beat.address_.text(), ", service ", beat.traits_.service_));
    }
    bool changed = isNew || worker.draining_ != beat.draining_ || !(worker.traits_ == beat.traits_);
    if (beat.draining_ && !worker.draining_)
        context.logEvent("worker.draining", describe(beat.incarnation_), concat(beat.remainingMs_, " ms left"));
    worker.lastHeartbeat_ = beat.sequence_;
    worker.traits_ = beat.traits_;
    worker.draining_ = beat.draining_;
    worker.leavesAt_ = context.now_ + std::chrono::milliseconds(beat.remainingMs_);
    context.state_.hasChanges_ = context.state_.hasChanges_ || changed;
    askForList(context, beat.incarnation_, worker);
}

void handleLeaving(const DecisionContext& context, const workflow::Leaving& message)
{
    std::vector<WorkerIncarnation> left;
    for (const auto& [incarnation, worker] : context.state_.workers_) {
        if (incarnation.name_ == message.name_)
            left.push_back(incarnation);
    }
    for (const WorkerIncarnation& incarnation : left)
        removeWorker(context, incarnation, "it has left");
}

static uint64_t lastEnd(const std::vector<EndedRun>& ended)
{
    return ended.empty() ? 0 : ended.back().number_;
}

static void updateLists(const DecisionContext& context, const workflow::WorkerLists& lists, Instant askedAt, LocalWorker& worker)
{
    std::map<RunKey, ActiveRun> active;
    bool isReading = context.now_ >= worker.nextReadingAt_;
    for (const ActiveRun& run : lists.active_) {
        ActiveRun& taken = active[run.run_] = run;
        auto pace = worker.runPaces_.find(run.run_);
        auto earlier = worker.active_.find(run.run_);
        if (isReading)
            taken.pace_ = pace == worker.runPaces_.end() ? fullPace : pace->second;
        else
            std::tie(taken.load_, taken.pace_) = earlier == worker.active_.end() ? std::pair(0U, 0U) : std::pair(earlier->second.load_, earlier->second.pace_);
    }
    for (const EndedRun& end : lists.ended_)
        worker.confirmedRuns_.erase(end.run_);
    std::erase_if(worker.confirmedRuns_, [&](const auto& entry) { return entry.second < askedAt || active.count(entry.first) > 0; });
    bool sameRuns = std::equal(active.begin(), active.end(), worker.active_.begin(), worker.active_.end(), [](const auto& left, const auto& right) { return left.first == right.first; });
    bool changed = !worker.isListed_ || !sameRuns || lastEnd(lists.ended_) > lastEnd(worker.ended_);
    worker.active_ = std::move(active);
    worker.ended_ = lists.ended_;
    worker.isListed_ = true;
    if (lastEnd(worker.ended_) > worker.durableEnd_)
        worker.nextListAt_ = context.now_ + context.state_.tuning_.listInterval_;
    context.state_.hasChanges_ = context.state_.hasChanges_ || changed;
}

void handleListArrived(const DecisionContext& context, const ListArrived& message)
{
    auto found = context.state_.workers_.find(message.worker_);
    if (found == context.state_.workers_.end())
        return;
    const workflow::WorkerLists& lists = message.lists_;
    if (lists.bornMs_ != 0 && lists.bornMs_ != message.worker_.bornMs_)
        return removeWorker(context, message.worker_, "another life answers at its address");
    LocalWorker& worker = found->second;
    worker.isListCallInFlight_ = false;
    if (!worker.isReachable_)
        context.logEvent("worker.reached", describe(message.worker_), concat(lists.active_.size(), " runs"));
    worker.isReachable_ = true;
    worker.workerTimeMs_ = lists.workerTimeMs_;
    worker.clockReadAt_ = context.now_;
    if (message.fence_ == context.state_.fence_) {
        updateLists(context, lists, message.askedAt_, worker);
        if (context.now_ >= worker.nextReadingAt_)
            updateReading(context, message.worker_, worker);
        else
            paceFillingRuns(context, message.worker_, worker);
    }
    askForList(context, message.worker_, worker);
}

void handleListFailed(const DecisionContext& context, const ListFailed& failure)
{
    auto found = context.state_.workers_.find(failure.worker_);
    if (found == context.state_.workers_.end())
        return;
    LocalWorker& worker = found->second;
    worker.isListCallInFlight_ = false;
    worker.nextListAt_ = context.now_ + context.state_.tuning_.retryInterval_;
    if (worker.isReachable_)
        context.logEvent("worker.unreachable", describe(failure.worker_), "its lists cannot be read");
    worker.isReachable_ = false;
    if (failure.isOtherWorker_)
        removeWorker(context, failure.worker_, "another worker answers at its address");
}

void dropExpiredWorkers(const DecisionContext& context)
{
    std::vector<WorkerIncarnation> lapsed;
    for (const auto& [incarnation, worker] : context.state_.workers_) {
        Duration margin = context.state_.tuning_.leaseSlack_ + context.state_.tuning_.longestLease_ * context.state_.tuning_.clockDriftPercent_ / 100;
        if (!worker.isReachable_ && worker.clockReadAt_ != Instant() && context.now_ > worker.leaseEnd_ + margin)
            lapsed.push_back(incarnation);
    }
    for (const WorkerIncarnation& incarnation : lapsed)
        removeWorker(context, incarnation, "it cannot be reached and its leases have expired");
    if (!lapsed.empty())
        endSession(context);
}

} // namespace persimmondoor::supervision
