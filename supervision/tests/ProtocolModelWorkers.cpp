// The workers of the protocol model.
#include "ProtocolModel.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::supervision {

using workflow::RunEnd;
using workflow::RunKey;

void ProtocolModel::tickWorker(WorkerModel& worker)
{
    if (now_ > worker.leaseEnd_ && injectedFault_ != InjectedFault::WorkersIgnoreLeases) {
        std::vector<RunKey> expired;
        for (const auto& [run, state] : worker.active_)
            expired.push_back(run);
        for (const RunKey& run : expired)
            endRun(worker, run, RunEnd::LeaseExpired);
        for (UnacknowledgedEnd& end : worker.ended_)
            end.hasLeaseExpired_ = true;
    }
    std::vector<std::pair<RunKey, bool>> ended;
    for (const auto& [run, state] : worker.active_) {
        if (state.endsAt_ <= now_)
            ended.emplace_back(run, state.fails_);
    }
    for (const auto& [run, fails] : ended)
        endRun(worker, run, fails ? RunEnd::Failed : RunEnd::Done);
}

void ProtocolModel::endRun(WorkerModel& worker, const RunKey& run, RunEnd end)
{
    worker.active_.erase(run);
    worker.ended_.push_back({ { ++worker.lastEnd_, run, end, "" }, false });
}

workflow::StartOutcome ProtocolModel::applyStart(WorkerModel& worker, const CallStart& call)
{
    if (call.fence_ < worker.fence_ && injectedFault_ != InjectedFault::WorkersIgnoreFences)
        return workflow::StartRefusal::Fenced;
    worker.fence_ = std::max(worker.fence_, call.fence_);
    const RunKey& run = call.order_.run_;
    if (worker.active_.count(run) > 0)
        return workflow::Started {};
    if (run.run_ <= worker.newestRuns_[run.task_])
        return workflow::StartRefusal::StaleRun;
    Instant leaseEnd = Instant::fromMicroseconds(call.leaseEndMs_ * 1000);
    if (leaseEnd <= now_ && injectedFault_ != InjectedFault::WorkersIgnoreLeases)
        return workflow::StartRefusal::OrderExpired;
    for (const WorkerModel& other : workers_) {
        for (const auto& [active, state] : other.active_)
            check(active.task_ != run.task_, concat("two active runs of one task: ", describe(run), " beside ", describe(active)));
    }
    check(acknowledgedTasks_.count(run.task_) == 0, concat("run started after the end of its task was acknowledged: ", describe(run)));
    worker.leaseEnd_ = std::max(worker.leaseEnd_, leaseEnd);
    worker.newestRuns_[run.task_] = run.run_;
    worker.active_[run] = { now_ + randomDelay(200, 1500), chance(0.05) };
    ++starts_;
    return workflow::Started {};
}

bool ProtocolModel::applyStop(WorkerModel& worker, const CallStop& call)
{
    if (call.fence_ < worker.fence_ && injectedFault_ != InjectedFault::WorkersIgnoreFences)
        return true;
    worker.fence_ = std::max(worker.fence_, call.fence_);
    const RunKey& run = call.order_.run_;
    if (worker.active_.count(run) > 0)
        endRun(worker, run, RunEnd::Stopped);
    worker.newestRuns_[run.task_] = std::max(worker.newestRuns_[run.task_], run.run_);
    return true;
}

workflow::WorkerLists ProtocolModel::applyList(WorkerModel& worker, const workflow::ListRequest& listing)
{
    worker.fence_ = std::max(worker.fence_, listing.fence_);
    if (listing.leaseEndMs_ > 0)
        worker.leaseEnd_ = std::max(worker.leaseEnd_, Instant::fromMicroseconds(listing.leaseEndMs_ * 1000));
    for (const UnacknowledgedEnd& end : worker.ended_) {
        if (end.ended_.number_ <= listing.durableEnd_ && end.ended_.end_ == RunEnd::Done && !end.hasLeaseExpired_)
            acknowledgedTasks_.insert(end.ended_.run_.task_);
    }
    std::erase_if(worker.ended_, [&](const UnacknowledgedEnd& end) { return end.ended_.number_ <= listing.durableEnd_; });
    workflow::WorkerLists lists { toMilliseconds(now_), worker.incarnation_.bornMs_, {}, {} };
    for (const auto& [run, state] : worker.active_)
        lists.active_.push_back({ run, "", static_cast<uint32_t>(random_() % 100), 0, 100 });
    for (const UnacknowledgedEnd& end : worker.ended_)
        lists.ended_.push_back(end.ended_);
    return lists;
}

} // namespace persimmondoor::supervision
