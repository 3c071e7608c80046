#include "ProtocolModel.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::EndedRun;
using workflow::RunEnd;
using workflow::RunKey;
using workflow::WorkerIncarnation;

static constexpr int64_t tickMs = 50;
// In every third history workers list one end at a time, as each has few.
static constexpr uint64_t historiesPerCutList = 3;

ProtocolModel::ProtocolModel(uint64_t seed, InjectedFault injected)
    : ProtocolModel(seed, injected, { std::chrono::seconds(25), std::chrono::seconds(45) })
{
    addHosts(3);
    if (seed % historiesPerCutList == 0)
        maximumListedEnds_ = 1;
}

ProtocolModel::ProtocolModel(uint64_t seed, InjectedFault injected, Periods periods)
    : random_(seed)
    , injectedFault_(injected)
    , now_(Instant::fromMicroseconds(1'000'000'000))
    , faultsEndAt_(now_ + periods.faults_)
    , endsAt_(faultsEndAt_ + periods.recovery_)
{
}

void ProtocolModel::addHosts(size_t count)
{
    for (size_t index = 0; index < count; ++index) {
        WorkerModel worker;
        worker.incarnation_ = { concat("w-", index), 1000 };
        workers_.push_back(std::move(worker));
        AgentModel agent;
        agent.state_ = initialAgentState(concat("agent-", index));
        agents_.push_back(std::move(agent));
    }
}

SupervisorState ProtocolModel::initialAgentState(const std::string& name)
{
    SupervisorState state;
    state.name_ = name;
    state.session_ = ++sessions_;
    return state;
}

void ProtocolModel::restartAgent(size_t index)
{
    // Calls of the previous incarnation are still in flight.
    AgentModel& agent = agents_[index];
    agent.state_ = initialAgentState(agent.state_.name_);
    ++agent.incarnation_;
    workers_[index].heartbeats_ = 0;
}

// The number at the end of an agent's name.
static size_t indexOf(const std::string& agent)
{
    return std::stoul(agent.substr(agent.find('-') + 1));
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
    while (!eventQueue_.empty() && eventQueue_.begin()->first.first < endsAt_) {
        auto event = eventQueue_.extract(eventQueue_.begin());
        now_ = event.key().first;
        event.mapped()();
    }
    checkEnd();
}

void ProtocolModel::checkEnd()
{
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
    for (size_t index = 0; index < agents_.size(); ++index) {
        sendHeartbeatIfDue(index);
        sendToAgent(index, agents_[index].incarnation_, SupervisorTick {});
    }
    if (!areFaultsOver())
        injectFaults();
    observe();
    if (!leader_)
        return;
    sendToLeader(workflow::Tick { wallMs() });
    for (size_t index = 0; index < agents_.size(); ++index) {
        auto& waiting = leader_->waitingReports_[agents_[index].state_.name_];
        if (!waiting.empty() && now_ - waiting.front().second > std::chrono::milliseconds(450))
            answerReports(agents_[index].state_.name_, true);
    }
    commitIfDue();
}

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
    progressRuns(worker);
}

void ProtocolModel::progressRuns(WorkerModel& worker)
{
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

void ProtocolModel::injectFaults()
{
    if (chance(0.06) && submittedJobs_ < 12)
        submitJob();
    if (chance(0.005))
        cancelJob();
    if (leader_ && chance(0.012))
        killLeader();
    size_t index = random_() % workers_.size();
    if (chance(0.006))
        restartAgent(index);
    if (chance(0.006))
        agents_[random_() % workers_.size()].unreachableUntil_ = now_ + randomDelay(500, 10'000);
    if (chance(0.004))
        workers_[random_() % workers_.size()].unreachableUntil_ = now_ + randomDelay(500, 10'000);
    if (chance(0.002)) {
        // The worker crashes and restarts as a new incarnation. Its notice that it leaves arrives late or never.
        size_t crashed = random_() % workers_.size();
        WorkerModel& worker = workers_[crashed];
        schedule(randomDelay(100, 8000), [this, crashed, incarnation = agents_[crashed].incarnation_, name = worker.incarnation_.name_] { deliverLeaveNotice(crashed, incarnation, name); });
        WorkerModel restarted;
        restarted.incarnation_ = { worker.incarnation_.name_, worker.incarnation_.bornMs_ + 1 };
        restarted.unreachableUntil_ = worker.unreachableUntil_;
        worker = std::move(restarted);
    }
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
        size_t index = indexOf(name);
        bool lost = now_ < agents_[index].unreachableUntil_ || (!areFaultsOver() && chance(0.08));
        if (lost)
            schedule(std::chrono::milliseconds(1000), [this, index, incarnation] { sendToAgent(index, incarnation, ReportFailed {}); });
        else
            schedule(areFaultsOver() || chance(0.95) ? randomDelay(1, 30) : randomDelay(100, 3000), [this, index, incarnation, reply] { sendToAgent(index, incarnation, ReportAnswered { reply }); });
    }
}

void ProtocolModel::sendToLeader(const workflow::LeaderMessage& message)
{
    workflow::Decision decision = workflow::decide(std::move(leader_->state_), message, now_);
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
    schedule(writeDelay(), [this, epoch, batch = std::move(batch), rows = std::move(rows), bounds = std::move(bounds), sentAt]() mutable {
        WriteOutcome outcome = epoch != epoch_ ? WriteOutcome::Refused : writeOutcome();
        if (outcome != WriteOutcome::Refused) {
            storedBounds_ = bounds;
            for (const auto& [job, row] : rows)
                rows_[job] = row;
        }
        schedule(randomDelay(1, 10), [this, epoch, outcome, batch = std::move(batch), sentAt]() mutable {
            if (!leader_ || leader_->epoch_ != epoch)
                return;
            leader_->isCommitInFlight_ = false;
            if (outcome != WriteOutcome::Stored)
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
        size_t index = indexOf(name);
        for (const auto& [incarnation, since] : waiting)
            schedule(std::chrono::milliseconds(1000), [this, index, incarnation = incarnation] { sendToAgent(index, incarnation, ReportFailed {}); });
    }
    leader_.reset();
    schedule(takeoverDelay(), [this] { startLeader(); });
}

void ProtocolModel::startLeader()
{
    std::vector<workflow::StoredJob> rows;
    for (const auto& [job, row] : rows_)
        rows.push_back(row);
    leader_ = LeaderModel {};
    leader_->epoch_ = ++epoch_;
    leader_->state_ = workflow::restoreState(workflow::LeaderEpoch(epoch_), tuning(), std::move(rows), storedBounds_, now_);
    leader_->state_.lastDurableWriteAt_ = now_;
    sendToLeader(workflow::CatalogChanged { catalog() });
}

workflow::Catalog ProtocolModel::catalog() const
{
    return { 1, { { "q", "h", "/q/", "packs", 0, 6, 1.5, std::chrono::milliseconds(250), std::chrono::seconds(3) } }, { { "packs", true, false } } };
}

ProtocolModel::WriteOutcome ProtocolModel::writeOutcome()
{
    return !areFaultsOver() && chance(0.05) ? WriteOutcome::Refused : WriteOutcome::Stored;
}

Duration ProtocolModel::takeoverDelay()
{
    return randomDelay(200, 2500);
}

Duration ProtocolModel::writeDelay()
{
    return randomDelay(5, 30);
}

void ProtocolModel::submitJob()
{
    if (!leader_)
        return;
    workflow::Step first;
    first.count_ = 2;
    first.demand_ = *Resources::create(1000, 1000, 0);
    workflow::Step second = first;
    second.dependencies_ = { 0 };
    submit("/q/", *workflow::JobSpec::create("spec", { first, second }, {}));
}

JobId ProtocolModel::submit(const std::string& prefix, const workflow::JobSpec& spec)
{
    std::string id = concat("00000000000000", absl::Hex(++submittedJobs_, absl::kZeroPad2));
    jobsByCall_[submittedJobs_] = JobId::of(id);
    prefixes_[JobId::of(id)] = prefix;
    sendToLeader(workflow::CallArrived { workflow::CallToken(submittedJobs_), { "h", concat(prefix, id), workflow::Submit { spec }, std::chrono::seconds(3) }, wallMs() });
    return JobId::of(id);
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
    sendToLeader(workflow::CallArrived { workflow::CallToken(token), { "h", concat(prefixes_.at(job), job.value()), workflow::Cancel {}, std::chrono::seconds(3) }, wallMs() });
}

} // namespace persimmondoor::supervision
