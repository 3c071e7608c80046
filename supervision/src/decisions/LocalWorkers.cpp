#include "SupervisorRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <tuple>

namespace persimmondoor::supervision {

using workflow::ActiveRun;
using workflow::EndedRun;
using workflow::OrderNumber;
using workflow::RunKey;
using workflow::WorkerLife;

std::string describe(const WorkerLife& life)
{
    return concat(life.name_, "@", life.bornMs_);
}

void forget(const Turn& turn, const WorkerLife& life, std::string_view why)
{
    if (turn.state_.workers_.erase(life) == 0)
        return;
    // Nothing runs there any more, so its stops have their outcome.
    std::vector<OrderNumber> stopped;
    for (const auto& [number, stop] : turn.state_.stops_) {
        if (stop.first.worker_ == life)
            stopped.push_back(number);
    }
    for (OrderNumber number : stopped) {
        turn.state_.stops_.erase(number);
        settle(turn, number);
    }
    turn.state_.gone_[life] = turn.now_;
    turn.state_.hasNews_ = true;
    turn.act(ForgetWorker { life });
    turn.remark("worker.gone", describe(life), std::string(why));
}

// A worker that has been given up may be back later in the same life. Orders that are still on their way to it belong to
// runs that the owner has given up too, so the session ends with it: they are void under the fence of the next one.
static void endSession(const Turn& turn)
{
    ++turn.state_.session_;
    turn.state_.voided_ = std::max(turn.state_.voided_, turn.state_.fence_);
    turn.state_.fence_ = workflow::Fence();
}

// A time of this host on the worker's clock. The clock was read a little before its reading arrived, so the result is
// early rather than late.
static int64_t onWorkerClock(const LocalWorker& worker, Instant time)
{
    return worker.workerTimeMs_ + std::chrono::duration_cast<std::chrono::milliseconds>(time - worker.clockReadAt_).count();
}

// A worker that does not answer gets none: each call to
// it may be carried out late and would put off the time from which its tasks are known to have ended.
int64_t grantLease(const Turn& turn, LocalWorker& worker)
{
    if (turn.state_.horizon_ <= turn.now_ || !worker.reachable_)
        return 0;
    worker.leaseEnd_ = std::max(worker.leaseEnd_, turn.state_.horizon_);
    return onWorkerClock(worker, turn.state_.horizon_);
}

void askForList(const Turn& turn, const WorkerLife& life, LocalWorker& worker)
{
    if (worker.listing_ || turn.state_.fence_ == workflow::Fence() || turn.now_ < worker.listAgainAt_)
        return;
    worker.listing_ = true;
    Duration wait = worker.listed_ ? turn.state_.tuning_.listWait_ : Duration(0);
    turn.act(CallList { life, { turn.state_.fence_, worker.durableEnd_, grantLease(turn, worker), wait } });
}

void takeHeartbeat(const Turn& turn, const workflow::Heartbeat& beat)
{
    std::vector<WorkerLife> replaced;
    for (const auto& [life, worker] : turn.state_.workers_) {
        bool sameAddress = worker.address_ == beat.address_;
        if (life.succeeds(beat.life_) || (sameAddress && life.bornMs_ > beat.life_.bornMs_))
            return;
        if (beat.life_.succeeds(life) || (sameAddress && life.bornMs_ < beat.life_.bornMs_))
            replaced.push_back(life);
    }
    for (const WorkerLife& life : replaced)
        forget(turn, life, concat("replaced by ", describe(beat.life_)));
    if (turn.state_.gone_.count(beat.life_) > 0 && turn.state_.workers_.count(beat.life_) == 0 && beat.draining_)
        return;
    auto [found, isNew] = turn.state_.workers_.try_emplace(beat.life_);
    LocalWorker& worker = found->second;
    if (!isNew && beat.sequence_ <= worker.heartbeat_)
        return;
    if (isNew) {
        worker.address_ = beat.address_;
        worker.leaseEnd_ = turn.now_ + turn.state_.tuning_.longestLease_;
        turn.state_.gone_.erase(beat.life_);
        turn.act(MeetWorker { beat.life_, beat.address_ });
        turn.remark("worker.seen", describe(beat.life_), concat("address ", beat.address_.text(), ", service ", beat.traits_.service_));
    }
    bool changed = isNew || worker.draining_ != beat.draining_ || !(worker.traits_ == beat.traits_);
    if (beat.draining_ && !worker.draining_)
        turn.remark("worker.draining", describe(beat.life_), concat(beat.remainingMs_, " ms left"));
    worker.heartbeat_ = beat.sequence_;
    worker.traits_ = beat.traits_;
    worker.draining_ = beat.draining_;
    worker.leavesAt_ = turn.now_ + std::chrono::milliseconds(beat.remainingMs_);
    turn.state_.hasNews_ = turn.state_.hasNews_ || changed;
    askForList(turn, beat.life_, worker);
}

void takeLeaving(const Turn& turn, const workflow::Leaving& message)
{
    std::vector<WorkerLife> left;
    for (const auto& [life, worker] : turn.state_.workers_) {
        if (life.name_ == message.name_)
            left.push_back(life);
    }
    for (const WorkerLife& life : left)
        forget(turn, life, "it has left");
}

static uint64_t lastEnd(const std::vector<EndedRun>& ended)
{
    return ended.empty() ? 0 : ended.back().number_;
}

static void takeLists(const Turn& turn, const workflow::Lists& lists, Instant askedAt, LocalWorker& worker)
{
    std::map<RunKey, ActiveRun> active;
    bool isReading = turn.now_ >= worker.readAgainAt_;
    for (const ActiveRun& run : lists.active_) {
        ActiveRun& taken = active[run.run_] = run;
        auto pace = worker.paces_.find(run.run_);
        auto earlier = worker.active_.find(run.run_);
        if (isReading)
            taken.pace_ = pace == worker.paces_.end() ? fullPace : pace->second;
        else
            std::tie(taken.load_, taken.pace_) = earlier == worker.active_.end() ? std::pair(0U, 0U) : std::pair(earlier->second.load_, earlier->second.pace_);
    }
    for (const EndedRun& end : lists.ended_)
        worker.confirmed_.erase(end.run_);
    std::erase_if(worker.confirmed_, [&](const auto& entry) { return entry.second < askedAt || active.count(entry.first) > 0; });
    bool sameRuns = std::equal(active.begin(), active.end(), worker.active_.begin(), worker.active_.end(), [](const auto& left, const auto& right) { return left.first == right.first; });
    bool changed = !worker.listed_ || !sameRuns || lastEnd(lists.ended_) > lastEnd(worker.ended_);
    worker.active_ = std::move(active);
    worker.ended_ = lists.ended_;
    worker.listed_ = true;
    if (lastEnd(worker.ended_) > worker.durableEnd_)
        worker.listAgainAt_ = turn.now_ + turn.state_.tuning_.listInterval_;
    turn.state_.hasNews_ = turn.state_.hasNews_ || changed;
}

void takeListArrived(const Turn& turn, const ListArrived& message)
{
    auto found = turn.state_.workers_.find(message.worker_);
    if (found == turn.state_.workers_.end())
        return;
    const workflow::Lists& lists = message.lists_;
    if (lists.bornMs_ != 0 && lists.bornMs_ != message.worker_.bornMs_)
        return forget(turn, message.worker_, "another life answers at its address");
    LocalWorker& worker = found->second;
    worker.listing_ = false;
    if (!worker.reachable_)
        turn.remark("worker.reached", describe(message.worker_), concat(lists.active_.size(), " runs"));
    worker.reachable_ = true;
    worker.workerTimeMs_ = lists.workerTimeMs_;
    worker.clockReadAt_ = turn.now_;
    if (message.fence_ == turn.state_.fence_) {
        takeLists(turn, lists, message.askedAt_, worker);
        if (turn.now_ >= worker.readAgainAt_)
            takeReading(turn, message.worker_, worker);
        else
            paceFillingRuns(turn, message.worker_, worker);
    }
    askForList(turn, message.worker_, worker);
}

void takeListFailed(const Turn& turn, const ListFailed& failure)
{
    auto found = turn.state_.workers_.find(failure.worker_);
    if (found == turn.state_.workers_.end())
        return;
    LocalWorker& worker = found->second;
    worker.listing_ = false;
    worker.listAgainAt_ = turn.now_ + turn.state_.tuning_.retryInterval_;
    if (worker.reachable_)
        turn.remark("worker.unreachable", describe(failure.worker_), "its lists cannot be read");
    worker.reachable_ = false;
    if (failure.isOther_)
        forget(turn, failure.worker_, "another worker answers at its address");
}

void dropLapsedWorkers(const Turn& turn)
{
    std::vector<WorkerLife> lapsed;
    for (const auto& [life, worker] : turn.state_.workers_) {
        Duration margin = turn.state_.tuning_.leaseSlack_ + turn.state_.tuning_.longestLease_ * turn.state_.tuning_.clockDriftPercent_ / 100;
        if (!worker.reachable_ && worker.clockReadAt_ != Instant() && turn.now_ > worker.leaseEnd_ + margin)
            lapsed.push_back(life);
    }
    for (const WorkerLife& life : lapsed)
        forget(turn, life, "it cannot be reached and its leases have expired");
    if (!lapsed.empty())
        endSession(turn);
}

} // namespace persimmondoor::supervision
