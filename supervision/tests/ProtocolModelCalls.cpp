#include "ProtocolModel.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::RunEnd;
using workflow::RunKey;

static constexpr int64_t tickMs = 50;

void ProtocolModel::sendHeartbeatIfDue(size_t index)
{
    WorkerModel& worker = workers_[index];
    if (now_ < worker.unreachableUntil_ || !isProcessUp(index) || toMilliseconds(now_) % 1000 >= tickMs)
        return;
    sendToAgent(index, agents_[index].incarnation_, heartbeatOf(index));
}

workflow::Heartbeat ProtocolModel::heartbeatOf(size_t index)
{
    WorkerModel& worker = workers_[index];
    return { worker.incarnation_, { "packs", "north", {}, *Resources::create(4000, 1'000'000, 0) }, *Address::parse(concat("127.0.0.1:", 8000 + index)), false, 0, ++worker.heartbeats_ };
}

void ProtocolModel::sendToAgent(size_t index, uint64_t incarnation, const SupervisorMessage& message)
{
    AgentModel& agent = agents_[index];
    if (agent.incarnation_ != incarnation || now_ < agent.downUntil_)
        return;
    if (now_ < agent.frozenUntil_) {
        if (!std::holds_alternative<SupervisorTick>(message))
            schedule(agent.frozenUntil_ - now_, [this, index, incarnation, message] { sendToAgent(index, incarnation, message); });
        return;
    }
    SupervisorDecision decision = decide(std::move(agent.state_), message, now_);
    agent.state_ = std::move(decision.state_);
    for (SupervisorAction& action : decision.actions_)
        perform(index, action);
}

void ProtocolModel::deliverLeaveNotice(size_t index, uint64_t incarnation, const std::string& name)
{
    sendToAgent(index, incarnation, workflow::Leaving { name });
    if (injectedFault_ == InjectedFault::LeaveNoticesTakenForPresentIncarnation)
        sendToAgent(index, incarnation, ListFailed { workers_[index].incarnation_, false, true, "connection refused" });
}

void ProtocolModel::perform(size_t index, SupervisorAction& action)
{
    if (const auto* start = std::get_if<CallStart>(&action))
        callStart(index, *start);
    else if (const auto* stop = std::get_if<CallStop>(&action))
        callStop(index, *stop);
    else if (const auto* list = std::get_if<CallList>(&action))
        callList(index, *list);
    else if (const auto* report = std::get_if<SendReport>(&action))
        sendReport(index, *report);
    else if (const auto* pace = std::get_if<CallPace>(&action))
        callPace(index, *pace);
}

bool ProtocolModel::leavesUnanswered(size_t index, double probability)
{
    return now_ < workers_[index].unreachableUntil_ || (!areFaultsOver() && chance(probability));
}

std::optional<Duration> ProtocolModel::lateStart(size_t)
{
    if (chance(0.7))
        return randomDelay(100, 8000);
    return std::nullopt;
}

ProtocolModel::Run ProtocolModel::makeRun(const workflow::StartRun&)
{
    Run run;
    run.endsAt_ = now_ + randomDelay(200, 1500);
    run.fails_ = chance(0.05);
    return run;
}

workflow::ActiveRun ProtocolModel::describeRun(const WorkerModel&, const RunKey& run, const Run&)
{
    return { run, "", static_cast<uint32_t>(random_() % 100), 0, 100 };
}

void ProtocolModel::callStart(size_t index, const CallStart& call)
{
    uint64_t incarnation = agents_[index].incarnation_;
    bool unanswered = leavesUnanswered(index, 0.1);
    bool isOtherIncarnation = workers_[index].incarnation_ != call.order_.worker_;
    if (unanswered) {
        // The worker may execute the call seconds later.
        if (std::optional<Duration> delay = lateStart(index))
            schedule(*delay, [this, index, call] {
                if (isProcessUp(index) && workers_[index].incarnation_ == call.order_.worker_)
                    applyStart(workers_[index], call);
            });
        schedule(std::chrono::milliseconds(400), [this, index, incarnation, call] { sendToAgent(index, incarnation, StartCompleted { call.fence_, call.order_, workflow::NoAnswer { "timeout" } }); });
        return;
    }
    schedule(randomDelay(1, 5), [this, index, incarnation, call, isOtherIncarnation] {
        workflow::StartOutcome outcome = workflow::StartRefusal::Unavailable;
        if (!isOtherIncarnation && isProcessUp(index) && workers_[index].incarnation_ == call.order_.worker_)
            outcome = applyStart(workers_[index], call);
        schedule(randomDelay(1, 20), [this, index, incarnation, call, outcome] { sendToAgent(index, incarnation, StartCompleted { call.fence_, call.order_, outcome }); });
    });
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
    if (std::optional<workflow::StartRefusal> refusal = refusalOf(worker, call.order_))
        return *refusal;
    for (const WorkerModel& other : workers_) {
        for (const auto& [active, state] : other.active_)
            check(active.task_ != run.task_, concat("two active runs of one task: ", describe(run), " beside ", describe(active)));
    }
    check(acknowledgedTasks_.count(run.task_) == 0, concat("run started after the end of its task was acknowledged: ", describe(run)));
    worker.leaseEnd_ = std::max(worker.leaseEnd_, leaseEnd);
    worker.newestRuns_[run.task_] = run.run_;
    worker.active_[run] = makeRun(call.order_);
    ++starts_;
    return workflow::Started {};
}

void ProtocolModel::callStop(size_t index, const CallStop& call)
{
    uint64_t incarnation = agents_[index].incarnation_;
    bool unanswered = leavesUnanswered(index, 0.1);
    schedule(unanswered ? std::chrono::milliseconds(400) : randomDelay(1, 5), [this, index, incarnation, call, unanswered] {
        bool isOtherIncarnation = workers_[index].incarnation_ != call.order_.worker_;
        bool done = !unanswered && isProcessUp(index) && injectedFault_ != InjectedFault::StopsNeverConfirmed && (isOtherIncarnation || applyStop(workers_[index], call));
        sendToAgent(index, incarnation, StopCompleted { call.fence_, call.order_.number_, done });
    });
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

void ProtocolModel::callList(size_t index, const CallList& call)
{
    uint64_t incarnation = agents_[index].incarnation_;
    bool unanswered = leavesUnanswered(index, 0.03);
    Instant askedAt = now_;
    if (!isProcessUp(index)) {
        // The host refuses the connection.
        schedule(randomDelay(1, 5), [this, index, incarnation, call] { sendToAgent(index, incarnation, ListFailed { call.worker_, false, true, "connection refused" }); });
        return;
    }
    if (unanswered) {
        schedule(std::chrono::milliseconds(900), [this, index, incarnation, call] { sendToAgent(index, incarnation, ListFailed { call.worker_, workers_[index].incarnation_ != call.worker_ && now_ >= workers_[index].unreachableUntil_ }); });
        return;
    }
    schedule(randomDelay(1, 5), [this, index, incarnation, call, askedAt] {
        if (!isProcessUp(index))
            return sendToAgent(index, incarnation, ListFailed { call.worker_, false, true, "connection refused" });
        if (workers_[index].incarnation_.name_ != call.worker_.name_)
            return sendToAgent(index, incarnation, ListFailed { call.worker_, true });
        if (call.request_.fence_ < workers_[index].fence_ && injectedFault_ != InjectedFault::WorkersIgnoreFences)
            return sendToAgent(index, incarnation, ListFailed { call.worker_, false });
        // The worker extends leases and removes ends immediately; the answer shows its state some time later.
        applyList(workers_[index], call.request_);
        Duration wait = std::min<Duration>(call.request_.maximumWait_, randomDelay(0, 500));
        schedule(wait, [this, index, incarnation, call, askedAt] {
            if (!isProcessUp(index))
                return sendToAgent(index, incarnation, ListFailed { call.worker_, false, false, "connection closed" });
            workflow::WorkerLists lists = applyList(workers_[index], { call.request_.fence_, 0, 0, Duration(0) });
            schedule(randomDelay(1, 30), [this, index, incarnation, call, askedAt, lists] { sendToAgent(index, incarnation, ListArrived { call.worker_, call.request_.fence_, askedAt, lists }); });
        });
    });
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
        lists.active_.push_back(describeRun(worker, run, state));
    for (const UnacknowledgedEnd& end : worker.ended_) {
        if (lists.ended_.size() < maximumListedEnds_)
            lists.ended_.push_back(end.ended_);
    }
    lists.hasAllEnds_ = lists.ended_.size() < maximumListedEnds_ || injectedFault_ == InjectedFault::CutListsTakenForWhole;
    return lists;
}

void ProtocolModel::callPace(size_t index, const CallPace& call)
{
    auto run = workers_[index].active_.find(call.run_);
    if (workers_[index].incarnation_ == call.worker_ && run != workers_[index].active_.end())
        run->second.pacePercent_ = call.pacePercent_;
}

} // namespace persimmondoor::supervision
