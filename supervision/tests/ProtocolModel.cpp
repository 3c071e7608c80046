#include "ProtocolModel.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::EndedRun;
using workflow::RunEnd;
using workflow::RunKey;
using workflow::WorkerIncarnation;

static constexpr size_t hosts = 3;
static constexpr int64_t tickMs = 50;
static constexpr Duration faultTime = std::chrono::seconds(25);
static constexpr Duration recoveryTime = std::chrono::seconds(45);

ProtocolModel::ProtocolModel(uint64_t seed, InjectedFault injected)
    : random_(seed)
    , injectedFault_(injected)
    , now_(Instant::fromMicroseconds(1'000'000'000))
    , faultsEndAt_(now_ + faultTime)
{
    for (size_t index = 0; index < hosts; ++index) {
        WorkerModel worker;
        worker.incarnation_ = { concat("w-", index), 1000 };
        workers_.push_back(std::move(worker));
        AgentModel agent;
        agent.state_.name_ = concat("agent-", index);
        agent.state_.session_ = ++sessions_;
        agents_.push_back(std::move(agent));
    }
}

void ProtocolModel::schedule(Duration delay, std::function<void()> event)
{
    eventQueue_.emplace(std::pair(now_ + delay, ++lastEvent_), std::move(event));
}

bool ProtocolModel::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

Duration ProtocolModel::randomDelay(int64_t minimumMs, int64_t maximumMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int64_t>(minimumMs, maximumMs)(random_));
}

int64_t ProtocolModel::toMilliseconds(Instant time) const
{
    return time.microseconds() / 1000;
}

void ProtocolModel::check(bool holds, const std::string& description)
{
    if (!holds)
        violations_.push_back(concat(toMilliseconds(now_), " ms: ", description));
}

void ProtocolModel::simulate()
{
    startLeader();
    schedule(Duration(0), [this] { tick(); });
    Instant end = faultsEndAt_ + recoveryTime;
    while (!eventQueue_.empty() && eventQueue_.begin()->first.first < end) {
        auto event = eventQueue_.extract(eventQueue_.begin());
        now_ = event.key().first;
        event.mapped()();
    }
    for (const JobId& job : accepted_) {
        auto row = rows_.find(job);
        check(row != rows_.end(), concat("accepted job ", job.value(), " is not stored"));
        if (row == rows_.end() || cancelled_.count(job) > 0)
            continue;
        const auto& tasks = row->second.progress_.tasks_;
        bool done = std::all_of(tasks.begin(), tasks.end(), [](const workflow::TaskProgress& task) { return task.phase_ == workflow::TaskPhase::Done; });
        check(done || row->second.progress_.hasFailed_, concat("accepted job ", job.value(), " has not ended"));
    }
}

void ProtocolModel::tick()
{
    schedule(std::chrono::milliseconds(tickMs), [this] { tick(); });
    for (WorkerModel& worker : workers_)
        tickWorker(worker);
    for (size_t index = 0; index < hosts; ++index)
        sendToAgent(index, agents_[index].incarnation_, SupervisorTick {});
    if (!areFaultsOver())
        injectFaults();
    if (!leader_)
        return;
    sendToLeader(workflow::Tick { toMilliseconds(now_) });
    for (size_t index = 0; index < hosts; ++index) {
        auto& waiting = leader_->waitingReports_[agents_[index].state_.name_];
        if (!waiting.empty() && now_ - waiting.front().second > std::chrono::milliseconds(450))
            answerReports(agents_[index].state_.name_, true);
    }
    commitIfDue();
}

void ProtocolModel::injectFaults()
{
    if (chance(0.06) && submittedJobs_ < 12)
        submitJob();
    if (chance(0.005))
        cancelJob();
    if (leader_ && chance(0.012))
        killLeader();
    size_t index = random_() % hosts;
    if (chance(0.006)) {
        // The agent crashes and restarts without any state. Calls of the previous incarnation are still in flight.
        AgentModel& agent = agents_[index];
        SupervisorState initial;
        initial.name_ = agent.state_.name_;
        initial.session_ = ++sessions_;
        agent.state_ = std::move(initial);
        ++agent.incarnation_;
        workers_[index].heartbeats_ = 0;
    }
    if (chance(0.006))
        agents_[random_() % hosts].unreachableUntil_ = now_ + randomDelay(500, 10'000);
    if (chance(0.004))
        workers_[random_() % hosts].unreachableUntil_ = now_ + randomDelay(500, 10'000);
    if (chance(0.002)) {
        // The worker crashes and restarts as a new incarnation. Its notice that it leaves arrives late or never.
        size_t crashed = random_() % hosts;
        WorkerModel& worker = workers_[crashed];
        schedule(randomDelay(100, 8000), [this, crashed, incarnation = agents_[crashed].incarnation_, name = worker.incarnation_.name_] { deliverLeaveNotice(crashed, incarnation, name); });
        WorkerModel restarted;
        restarted.incarnation_ = { worker.incarnation_.name_, worker.incarnation_.bornMs_ + 1 };
        restarted.unreachableUntil_ = worker.unreachableUntil_;
        worker = std::move(restarted);
    }
}

template <typename Message>
void ProtocolModel::sendToAgent(size_t index, uint64_t incarnation, Message message)
{
    AgentModel& agent = agents_[index];
    if (agent.incarnation_ != incarnation)
        return;
    WorkerModel& worker = workers_[index];
    bool isHeartbeatDue = std::is_same_v<Message, SupervisorTick> && now_ >= worker.unreachableUntil_ && toMilliseconds(now_) % 1000 < tickMs;
    if (isHeartbeatDue) {
        workflow::Heartbeat heartbeat { worker.incarnation_, { "packs", "north", {}, *Resources::create(4000, 1'000'000, 0) }, *Address::parse(concat("127.0.0.1:", 8000 + index)), false, 0, ++worker.heartbeats_ };
        sendToAgent(index, incarnation, std::move(heartbeat));
    }
    SupervisorMessage wrapped = std::move(message);
    SupervisorDecision decision = decide(std::move(agent.state_), wrapped, now_);
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
}

void ProtocolModel::callStart(size_t index, const CallStart& call)
{
    uint64_t incarnation = agents_[index].incarnation_;
    bool unanswered = now_ < workers_[index].unreachableUntil_ || (!areFaultsOver() && chance(0.1));
    bool isOtherIncarnation = workers_[index].incarnation_ != call.order_.worker_;
    if (unanswered) {
        // The worker may execute the call seconds later.
        if (chance(0.7))
            schedule(randomDelay(100, 8000), [this, index, call] {
                if (workers_[index].incarnation_ == call.order_.worker_)
                    applyStart(workers_[index], call);
            });
        schedule(std::chrono::milliseconds(400), [this, index, incarnation, call] { sendToAgent(index, incarnation, StartCompleted { call.fence_, call.order_, workflow::NoAnswer { "timeout" } }); });
        return;
    }
    schedule(randomDelay(1, 5), [this, index, incarnation, call, isOtherIncarnation] {
        workflow::StartOutcome outcome = workflow::StartRefusal::Unavailable;
        if (!isOtherIncarnation && workers_[index].incarnation_ == call.order_.worker_)
            outcome = applyStart(workers_[index], call);
        schedule(randomDelay(1, 20), [this, index, incarnation, call, outcome] { sendToAgent(index, incarnation, StartCompleted { call.fence_, call.order_, outcome }); });
    });
}

void ProtocolModel::callStop(size_t index, const CallStop& call)
{
    uint64_t incarnation = agents_[index].incarnation_;
    bool unanswered = now_ < workers_[index].unreachableUntil_ || (!areFaultsOver() && chance(0.1));
    schedule(unanswered ? std::chrono::milliseconds(400) : randomDelay(1, 5), [this, index, incarnation, call, unanswered] {
        bool isOtherIncarnation = workers_[index].incarnation_ != call.order_.worker_;
        bool done = !unanswered && (isOtherIncarnation || applyStop(workers_[index], call));
        sendToAgent(index, incarnation, StopCompleted { call.fence_, call.order_.number_, done });
    });
}

void ProtocolModel::callList(size_t index, const CallList& call)
{
    uint64_t incarnation = agents_[index].incarnation_;
    bool unanswered = now_ < workers_[index].unreachableUntil_ || (!areFaultsOver() && chance(0.03));
    Instant askedAt = now_;
    if (unanswered) {
        schedule(std::chrono::milliseconds(900), [this, index, incarnation, call] { sendToAgent(index, incarnation, ListFailed { call.worker_, workers_[index].incarnation_ != call.worker_ && now_ >= workers_[index].unreachableUntil_ }); });
        return;
    }
    schedule(randomDelay(1, 5), [this, index, incarnation, call, askedAt] {
        if (workers_[index].incarnation_.name_ != call.worker_.name_)
            return sendToAgent(index, incarnation, ListFailed { call.worker_, true });
        if (call.request_.fence_ < workers_[index].fence_ && injectedFault_ != InjectedFault::WorkersIgnoreFences)
            return sendToAgent(index, incarnation, ListFailed { call.worker_, false });
        // The worker extends leases and removes ends immediately; the answer shows its state some time later.
        applyList(workers_[index], call.request_);
        Duration wait = std::min<Duration>(call.request_.maximumWait_, randomDelay(0, 500));
        schedule(wait, [this, index, incarnation, call, askedAt] {
            workflow::WorkerLists lists = applyList(workers_[index], { call.request_.fence_, 0, 0, Duration(0) });
            schedule(randomDelay(1, 30), [this, index, incarnation, call, askedAt, lists] { sendToAgent(index, incarnation, ListArrived { call.worker_, call.request_.fence_, askedAt, lists }); });
        });
    });
}

void ProtocolModel::sendReport(size_t index, const SendReport& call)
{
    uint64_t incarnation = agents_[index].incarnation_;
    bool lost = now_ < agents_[index].unreachableUntil_ || (!areFaultsOver() && chance(0.08));
    if (lost) {
        schedule(std::chrono::milliseconds(1000), [this, index, incarnation] { sendToAgent(index, incarnation, ReportFailed {}); });
        return;
    }
    schedule(randomDelay(1, 30), [this, index, incarnation, call] {
        if (!leader_)
            return schedule(randomDelay(1, 30), [this, index, incarnation] { sendToAgent(index, incarnation, ReportFailed {}); });
        const std::string& name = call.report_.agent_;
        answerReports(name, true);
        leader_->waitingReports_[name].emplace_back(incarnation, now_);
        workflow::AgentReport report = call.report_;
        if (injectedFault_ == InjectedFault::OpenOrdersReportedAsCompleted && leader_->state_.agents_.count(name) > 0) {
            for (const workflow::Order& order : leader_->state_.agents_.at(name).pendingOrders_)
                report.completedOrders_.insert(workflow::numberOf(order));
        }
        sendToLeader(workflow::ReportArrived { std::move(report) });
        if (leader_ && workflow::isReplyDue(leader_->state_, name, now_))
            answerReports(name, false);
    });
}

void ProtocolModel::answerReports(const std::string& name, bool all)
{
    auto& waiting = leader_->waitingReports_[name];
    while (!waiting.empty() && leader_->state_.agents_.count(name) > 0 && (all || workflow::isReplyDue(leader_->state_, name, now_))) {
        uint64_t incarnation = waiting.front().first;
        waiting.erase(waiting.begin());
        workflow::ReportReply reply = workflow::makeReportReply(leader_->state_, name, now_);
        if (injectedFault_ == InjectedFault::EndsAcknowledgedEarly) {
            for (workflow::DurableEnds& durable : reply.durableEnds_)
                durable.number_ = leader_->state_.workers_.at(durable.worker_).lastHandledEnd_;
        }
        size_t index = static_cast<size_t>(name.back() - '0');
        bool lost = now_ < agents_[index].unreachableUntil_ || (!areFaultsOver() && chance(0.08));
        if (lost)
            schedule(std::chrono::milliseconds(1000), [this, index, incarnation] { sendToAgent(index, incarnation, ReportFailed {}); });
        else
            schedule(areFaultsOver() || chance(0.95) ? randomDelay(1, 30) : randomDelay(100, 3000), [this, index, incarnation, reply] { sendToAgent(index, incarnation, ReportAnswered { reply }); });
    }
}

template <typename Message>
void ProtocolModel::sendToLeader(Message message)
{
    workflow::LeaderMessage wrapped = std::move(message);
    workflow::Decision decision = workflow::decide(std::move(leader_->state_), wrapped, now_);
    leader_->state_ = std::move(decision.state_);
    std::set<std::string> agentsToAnswer;
    for (workflow::LeaderAction& action : decision.actions_) {
        if (const auto* answer = std::get_if<workflow::AnswerClient>(&action)) {
            if (std::holds_alternative<workflow::Accepted>(answer->answer_))
                accepted_.insert(jobsByCall_.at(answer->token_.value()));
            if (std::holds_alternative<workflow::CancelAccepted>(answer->answer_))
                cancelled_.insert(jobsByCall_.at(answer->token_.value()));
        } else if (const auto* answerAgent = std::get_if<workflow::AnswerAgent>(&action)) {
            agentsToAnswer.insert(answerAgent->agent_);
        }
    }
    for (const std::string& agent : agentsToAnswer)
        answerReports(agent, false);
}

void ProtocolModel::commitIfDue()
{
    if (!leader_ || leader_->isCommitInFlight_)
        return;
    leader_->isCommitInFlight_ = true;
    workflow::Batch batch = workflow::extractBatch(leader_->state_);
    std::map<JobId, workflow::StoredJob> rows;
    for (const auto& item : batch.items_) {
        auto progress = workflow::progressOf(leader_->state_, item.job_);
        if (progress)
            rows[item.job_] = { leader_->state_.jobs_.at(item.job_).record_, *progress };
    }
    uint64_t epoch = leader_->epoch_;
    Instant sentAt = now_;
    workflow::LeaseBounds bounds { workflow::leaseBoundAfterWrite(leader_->state_.tuning_, sentAt), batch.silentWorkers_ };
    if (injectedFault_ == InjectedFault::LeasesOutliveTheirBound)
        bounds.latest_ = sentAt;
    if (injectedFault_ == InjectedFault::SilentWorkersStayNamed)
        bounds.silentWorkers_.insert(storedBounds_.silentWorkers_.begin(), storedBounds_.silentWorkers_.end());
    // The write is applied first and answered later. A write of a former leader finds the later epoch and has no
    // effect.
    schedule(randomDelay(5, 30), [this, epoch, batch = std::move(batch), rows = std::move(rows), bounds = std::move(bounds), sentAt]() mutable {
        bool refused = epoch != epoch_ || (!areFaultsOver() && chance(0.05));
        if (!refused) {
            storedBounds_ = bounds;
            for (const auto& [job, row] : rows)
                rows_[job] = row;
        }
        schedule(randomDelay(1, 10), [this, epoch, refused, batch = std::move(batch), sentAt]() mutable {
            if (!leader_ || leader_->epoch_ != epoch)
                return;
            leader_->isCommitInFlight_ = false;
            if (refused)
                workflow::restage(leader_->state_, std::move(batch), true);
            else
                sendToLeader(workflow::BatchDurable { std::move(batch), sentAt });
        });
    });
}

void ProtocolModel::killLeader()
{
    // Reports that were waiting at the leader are never answered.
    for (const auto& [name, waiting] : leader_->waitingReports_) {
        size_t index = static_cast<size_t>(name.back() - '0');
        for (const auto& [incarnation, since] : waiting)
            schedule(std::chrono::milliseconds(1000), [this, index, incarnation = incarnation] { sendToAgent(index, incarnation, ReportFailed {}); });
    }
    leader_.reset();
    schedule(randomDelay(200, 2500), [this] { startLeader(); });
}

void ProtocolModel::startLeader()
{
    std::vector<workflow::StoredJob> rows;
    for (const auto& [job, row] : rows_)
        rows.push_back(row);
    leader_ = LeaderModel {};
    leader_->epoch_ = ++epoch_;
    leader_->state_ = workflow::restoreState(workflow::LeaderEpoch(epoch_), {}, std::move(rows), storedBounds_, now_);
    leader_->state_.lastDurableWriteAt_ = now_;
    workflow::Catalog catalog { 1, { { "q", "h", "/q/", "packs", 0, 6, 1.5, std::chrono::milliseconds(250), std::chrono::seconds(3) } }, { { "packs", true, false } } };
    sendToLeader(workflow::CatalogChanged { catalog });
}

void ProtocolModel::submitJob()
{
    if (!leader_)
        return;
    std::string id = concat("00000000000000", absl::Hex(++submittedJobs_, absl::kZeroPad2));
    workflow::Step first;
    first.count_ = 2;
    first.demand_ = *Resources::create(1000, 1000, 0);
    workflow::Step second = first;
    second.dependencies_ = { 0 };
    jobsByCall_[submittedJobs_] = JobId::of(id);
    sendToLeader(workflow::CallArrived { workflow::CallToken(submittedJobs_), { "h", concat("/q/", id), workflow::Submit { *workflow::JobSpec::create("spec", { first, second }, {}) }, std::chrono::seconds(3) }, toMilliseconds(now_) });
}

void ProtocolModel::cancelJob()
{
    if (!leader_ || accepted_.empty())
        return;
    const JobId& job = *std::next(accepted_.begin(), static_cast<std::ptrdiff_t>(random_() % accepted_.size()));
    uint64_t token = 1000 + (random_() % 1'000'000);
    jobsByCall_[token] = job;
    // Whether the cancellation is stored or not, the job need not end.
    cancelled_.insert(job);
    sendToLeader(workflow::CallArrived { workflow::CallToken(token), { "h", concat("/q/", job.value()), workflow::Cancel {}, std::chrono::seconds(3) }, toMilliseconds(now_) });
}

} // namespace persimmondoor::supervision
