#include "ProtocolModel.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::EndedRun;
using workflow::RunEnd;
using workflow::RunKey;
using workflow::WorkerLife;

static constexpr size_t hosts = 3;
static constexpr int64_t tickMs = 50;
static constexpr Duration faultyTime = std::chrono::seconds(25);
static constexpr Duration calmTime = std::chrono::seconds(45);

ProtocolModel::ProtocolModel(uint64_t seed, PlantedFault planted)
    : random_(seed)
    , planted_(planted)
    , now_(Instant::fromMicroseconds(1'000'000'000))
    , calmFrom_(now_ + faultyTime)
{
    for (size_t index = 0; index < hosts; ++index) {
        WorkerModel worker;
        worker.life_ = { concat("w-", index), 1000 };
        workers_.push_back(std::move(worker));
        AgentModel agent;
        agent.state_.name_ = concat("agent-", index);
        agent.state_.session_ = ++sessions_;
        agents_.push_back(std::move(agent));
    }
}

void ProtocolModel::at(Duration delay, std::function<void()> event)
{
    queue_.emplace(std::pair(now_ + delay, ++events_), std::move(event));
}

bool ProtocolModel::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

Duration ProtocolModel::between(int64_t leastMs, int64_t mostMs)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int64_t>(leastMs, mostMs)(random_));
}

int64_t ProtocolModel::toMilliseconds(Instant time) const
{
    return time.microseconds() / 1000;
}

void ProtocolModel::check(bool holds, const std::string& what)
{
    if (!holds)
        broken_.push_back(concat(toMilliseconds(now_), " ms: ", what));
}

void ProtocolModel::play()
{
    startOwner();
    at(Duration(0), [this] { tick(); });
    Instant end = calmFrom_ + calmTime;
    while (!queue_.empty() && queue_.begin()->first.first < end) {
        auto event = queue_.extract(queue_.begin());
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
        check(done || row->second.progress_.failed_, concat("accepted job ", job.value(), " has not ended"));
    }
}

void ProtocolModel::tick()
{
    at(std::chrono::milliseconds(tickMs), [this] { tick(); });
    for (WorkerModel& worker : workers_)
        tickWorker(worker);
    for (size_t index = 0; index < hosts; ++index)
        tellAgent(index, agents_[index].life_, SupervisorTick {});
    if (!isCalm())
        injectFaults();
    if (!owner_)
        return;
    tellOwner(workflow::Tick { toMilliseconds(now_) });
    for (size_t index = 0; index < hosts; ++index) {
        auto& waiting = owner_->waiting_[agents_[index].state_.name_];
        if (!waiting.empty() && now_ - waiting.front().second > std::chrono::milliseconds(450))
            answerReports(agents_[index].state_.name_, true);
    }
    commitIfDue();
}

void ProtocolModel::tickWorker(WorkerModel& worker)
{
    if (now_ > worker.leaseEnd_ && planted_ != PlantedFault::WorkersIgnoreLeases) {
        std::vector<RunKey> lapsed;
        for (const auto& [run, state] : worker.active_)
            lapsed.push_back(run);
        for (const RunKey& run : lapsed)
            endRun(worker, run, RunEnd::Lapsed);
        for (End& end : worker.ended_)
            end.lapsedSince_ = true;
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

void ProtocolModel::injectFaults()
{
    if (chance(0.06) && jobs_ < 12)
        submitJob();
    if (chance(0.005))
        cancelJob();
    if (owner_ && chance(0.012))
        killOwner();
    size_t index = random_() % hosts;
    if (chance(0.006)) {
        // The agent dies; its successor knows nothing. Calls of the dead one are still on their way.
        AgentModel& agent = agents_[index];
        SupervisorState fresh;
        fresh.name_ = agent.state_.name_;
        fresh.session_ = ++sessions_;
        agent.state_ = std::move(fresh);
        ++agent.life_;
        workers_[index].beats_ = 0;
    }
    if (chance(0.006))
        agents_[random_() % hosts].cutUntil_ = now_ + between(500, 10'000);
    if (chance(0.004))
        workers_[random_() % hosts].cutUntil_ = now_ + between(500, 10'000);
    if (chance(0.002)) {
        // The worker crashes and is born again.
        WorkerModel& worker = workers_[random_() % hosts];
        WorkerModel reborn;
        reborn.life_ = { worker.life_.name_, worker.life_.bornMs_ + 1 };
        reborn.cutUntil_ = worker.cutUntil_;
        worker = std::move(reborn);
    }
}

template <typename Message>
void ProtocolModel::tellAgent(size_t index, uint64_t life, Message message)
{
    AgentModel& agent = agents_[index];
    if (agent.life_ != life)
        return;
    WorkerModel& worker = workers_[index];
    bool beats = std::is_same_v<Message, SupervisorTick> && now_ >= worker.cutUntil_ && toMilliseconds(now_) % 1000 < tickMs;
    if (beats) {
        workflow::Heartbeat beat { worker.life_, { "packs", "north", {}, *Resources::create(4000, 1'000'000, 0) }, *Address::parse(concat("127.0.0.1:", 8000 + index)), false, 0, ++worker.beats_ };
        tellAgent(index, life, std::move(beat));
    }
    SupervisorMessage wrapped = std::move(message);
    SupervisorDecision decision = decide(std::move(agent.state_), wrapped, now_);
    agent.state_ = std::move(decision.state_);
    for (SupervisorAction& action : decision.actions_)
        act(index, action);
}

void ProtocolModel::act(size_t index, SupervisorAction& action)
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
    uint64_t life = agents_[index].life_;
    bool unanswered = now_ < workers_[index].cutUntil_ || (!isCalm() && chance(0.1));
    bool isOther = workers_[index].life_ != call.order_.worker_;
    if (unanswered) {
        // Perhaps carried out seconds later.
        if (chance(0.7))
            at(between(100, 8000), [this, index, call] {
                if (workers_[index].life_ == call.order_.worker_)
                    applyStart(workers_[index], call);
            });
        at(std::chrono::milliseconds(400), [this, index, life, call] { tellAgent(index, life, StartSettled { call.fence_, call.order_, workflow::NoAnswer { "timeout" } }); });
        return;
    }
    at(between(1, 5), [this, index, life, call, isOther] {
        workflow::StartOutcome outcome = workflow::StartRefusal::Unavailable;
        if (!isOther && workers_[index].life_ == call.order_.worker_)
            outcome = applyStart(workers_[index], call);
        at(between(1, 20), [this, index, life, call, outcome] { tellAgent(index, life, StartSettled { call.fence_, call.order_, outcome }); });
    });
}

workflow::StartOutcome ProtocolModel::applyStart(WorkerModel& worker, const CallStart& call)
{
    if (call.fence_ < worker.fence_ && planted_ != PlantedFault::WorkersIgnoreFences)
        return workflow::StartRefusal::Fenced;
    worker.fence_ = std::max(worker.fence_, call.fence_);
    const RunKey& run = call.order_.run_;
    if (worker.active_.count(run) > 0)
        return workflow::Started {};
    if (run.run_ <= worker.newest_[run.task_])
        return workflow::StartRefusal::Outdated;
    Instant leaseEnd = Instant::fromMicroseconds(call.leaseEndMs_ * 1000);
    if (leaseEnd <= now_ && planted_ != PlantedFault::WorkersIgnoreLeases)
        return workflow::StartRefusal::Late;
    for (const WorkerModel& other : workers_) {
        for (const auto& [active, state] : other.active_)
            check(active.task_ != run.task_, concat("two runs at once: ", describe(run), " beside ", describe(active)));
    }
    check(noted_.count(run.task_) == 0, concat("started after its end was acknowledged: ", describe(run)));
    worker.leaseEnd_ = std::max(worker.leaseEnd_, leaseEnd);
    worker.newest_[run.task_] = run.run_;
    worker.active_[run] = { now_ + between(200, 1500), chance(0.05) };
    ++starts_;
    return workflow::Started {};
}

void ProtocolModel::callStop(size_t index, const CallStop& call)
{
    uint64_t life = agents_[index].life_;
    bool unanswered = now_ < workers_[index].cutUntil_ || (!isCalm() && chance(0.1));
    at(unanswered ? std::chrono::milliseconds(400) : between(1, 5), [this, index, life, call, unanswered] {
        bool isOther = workers_[index].life_ != call.order_.worker_;
        bool done = !unanswered && (isOther || applyStop(workers_[index], call));
        tellAgent(index, life, StopSettled { call.fence_, call.order_.number_, done });
    });
}

bool ProtocolModel::applyStop(WorkerModel& worker, const CallStop& call)
{
    if (call.fence_ < worker.fence_ && planted_ != PlantedFault::WorkersIgnoreFences)
        return true;
    worker.fence_ = std::max(worker.fence_, call.fence_);
    const RunKey& run = call.order_.run_;
    if (worker.active_.count(run) > 0)
        endRun(worker, run, RunEnd::Stopped);
    worker.newest_[run.task_] = std::max(worker.newest_[run.task_], run.run_);
    return true;
}

void ProtocolModel::callList(size_t index, const CallList& call)
{
    uint64_t life = agents_[index].life_;
    bool unanswered = now_ < workers_[index].cutUntil_ || (!isCalm() && chance(0.03));
    Instant askedAt = now_;
    if (unanswered) {
        at(std::chrono::milliseconds(900), [this, index, life, call] { tellAgent(index, life, ListFailed { call.worker_, workers_[index].life_ != call.worker_ && now_ >= workers_[index].cutUntil_ }); });
        return;
    }
    at(between(1, 5), [this, index, life, call, askedAt] {
        if (workers_[index].life_.name_ != call.worker_.name_)
            return tellAgent(index, life, ListFailed { call.worker_, true });
        if (call.listing_.fence_ < workers_[index].fence_ && planted_ != PlantedFault::WorkersIgnoreFences)
            return tellAgent(index, life, ListFailed { call.worker_, false });
        // Extends leases and forgets ends at once; the answer shows the state some time later.
        applyList(workers_[index], call.listing_);
        Duration wait = std::min<Duration>(call.listing_.wait_, between(0, 500));
        at(wait, [this, index, life, call, askedAt] {
            workflow::Lists lists = applyList(workers_[index], { call.listing_.fence_, 0, 0, Duration(0) });
            at(between(1, 30), [this, index, life, call, askedAt, lists] { tellAgent(index, life, ListArrived { call.worker_, call.listing_.fence_, askedAt, lists }); });
        });
    });
}

workflow::Lists ProtocolModel::applyList(WorkerModel& worker, const workflow::Listing& listing)
{
    worker.fence_ = std::max(worker.fence_, listing.fence_);
    if (listing.leaseEndMs_ > 0)
        worker.leaseEnd_ = std::max(worker.leaseEnd_, Instant::fromMicroseconds(listing.leaseEndMs_ * 1000));
    for (const End& end : worker.ended_) {
        if (end.ended_.number_ <= listing.durableEnd_ && end.ended_.end_ == RunEnd::Done && !end.lapsedSince_)
            noted_.insert(end.ended_.run_.task_);
    }
    std::erase_if(worker.ended_, [&](const End& end) { return end.ended_.number_ <= listing.durableEnd_; });
    workflow::Lists lists { toMilliseconds(now_), worker.life_.bornMs_, {}, {} };
    for (const auto& [run, state] : worker.active_)
        lists.active_.push_back({ run, "", static_cast<uint32_t>(random_() % 100), 0, 100 });
    for (const End& end : worker.ended_)
        lists.ended_.push_back(end.ended_);
    return lists;
}

void ProtocolModel::sendReport(size_t index, const SendReport& call)
{
    uint64_t life = agents_[index].life_;
    bool lost = now_ < agents_[index].cutUntil_ || (!isCalm() && chance(0.08));
    if (lost) {
        at(std::chrono::milliseconds(1000), [this, index, life] { tellAgent(index, life, ReportFailed {}); });
        return;
    }
    at(between(1, 30), [this, index, life, call] {
        if (!owner_)
            return at(between(1, 30), [this, index, life] { tellAgent(index, life, ReportFailed {}); });
        const std::string& name = call.report_.agent_;
        answerReports(name, true);
        owner_->waiting_[name].emplace_back(life, now_);
        tellOwner(workflow::ReportArrived { call.report_ });
        if (owner_ && workflow::hasNews(owner_->state_, name, now_))
            answerReports(name, false);
    });
}

void ProtocolModel::answerReports(const std::string& name, bool all)
{
    auto& waiting = owner_->waiting_[name];
    while (!waiting.empty() && owner_->state_.agents_.count(name) > 0 && (all || workflow::hasNews(owner_->state_, name, now_))) {
        uint64_t life = waiting.front().first;
        waiting.erase(waiting.begin());
        workflow::Directive directive = workflow::directiveFor(owner_->state_, name, now_);
        if (planted_ == PlantedFault::EndsAcknowledgedEarly) {
            for (workflow::EndsDurable& durable : directive.durable_)
                durable.number_ = owner_->state_.workers_.at(durable.worker_).takenEnd_;
        }
        size_t index = static_cast<size_t>(name.back() - '0');
        bool lost = now_ < agents_[index].cutUntil_ || (!isCalm() && chance(0.08));
        if (lost)
            at(std::chrono::milliseconds(1000), [this, index, life] { tellAgent(index, life, ReportFailed {}); });
        else
            at(isCalm() || chance(0.95) ? between(1, 30) : between(100, 3000), [this, index, life, directive] { tellAgent(index, life, DirectiveArrived { directive }); });
    }
}

template <typename Message>
void ProtocolModel::tellOwner(Message message)
{
    workflow::OwnerMessage wrapped = std::move(message);
    workflow::Decision decision = workflow::decide(std::move(owner_->state_), wrapped, now_);
    owner_->state_ = std::move(decision.state_);
    std::set<std::string> wakes;
    for (workflow::OwnerAction& action : decision.actions_) {
        if (const auto* answer = std::get_if<workflow::AnswerClient>(&action)) {
            if (std::holds_alternative<workflow::Accepted>(answer->answer_))
                accepted_.insert(calls_.at(answer->token_.value()));
            if (std::holds_alternative<workflow::CancelAccepted>(answer->answer_))
                cancelled_.insert(calls_.at(answer->token_.value()));
        } else if (const auto* wake = std::get_if<workflow::WakeAgent>(&action)) {
            wakes.insert(wake->agent_);
        }
    }
    for (const std::string& agent : wakes)
        answerReports(agent, false);
}

void ProtocolModel::commitIfDue()
{
    if (!owner_ || owner_->committing_)
        return;
    owner_->committing_ = true;
    workflow::Batch batch = workflow::takeBatch(owner_->state_);
    std::map<JobId, workflow::StoredJob> rows;
    for (const auto& item : batch.items_) {
        auto progress = workflow::progressOf(owner_->state_, item.job_);
        if (progress)
            rows[item.job_] = { owner_->state_.jobs_.at(item.job_).record_, *progress };
    }
    uint64_t epoch = owner_->epoch_;
    Instant sentAt = now_;
    // Carried out, then answered; a write of a former owner meets the later epoch and does nothing.
    at(between(5, 30), [this, epoch, batch = std::move(batch), rows = std::move(rows), sentAt]() mutable {
        bool refused = epoch != epoch_ || (!isCalm() && chance(0.05));
        if (!refused) {
            for (const auto& [job, row] : rows)
                rows_[job] = row;
        }
        at(between(1, 10), [this, epoch, refused, batch = std::move(batch), sentAt]() mutable {
            if (!owner_ || owner_->epoch_ != epoch)
                return;
            owner_->committing_ = false;
            if (refused)
                workflow::restage(owner_->state_, std::move(batch), true);
            else
                tellOwner(workflow::BatchDurable { std::move(batch), sentAt });
        });
    });
}

void ProtocolModel::killOwner()
{
    // Reports that waited there are never answered.
    for (const auto& [name, waiting] : owner_->waiting_) {
        size_t index = static_cast<size_t>(name.back() - '0');
        for (const auto& [life, since] : waiting)
            at(std::chrono::milliseconds(1000), [this, index, life = life] { tellAgent(index, life, ReportFailed {}); });
    }
    owner_.reset();
    at(between(200, 2500), [this] { startOwner(); });
}

void ProtocolModel::startOwner()
{
    std::vector<workflow::StoredJob> rows;
    for (const auto& [job, row] : rows_)
        rows.push_back(row);
    owner_ = OwnerModel {};
    owner_->epoch_ = ++epoch_;
    owner_->state_ = workflow::takeOver(workflow::LeaderEpoch(epoch_), {}, std::move(rows), now_);
    owner_->state_.grantsUntil_ = now_ + owner_->state_.tuning_.leadershipLease_;
    workflow::Catalog catalog { 1, { { "q", "h", "/q/", "packs", 0, 6, 1.5, std::chrono::milliseconds(250), std::chrono::seconds(3) } }, { { "packs", true, false } } };
    tellOwner(workflow::CatalogChanged { catalog });
}

void ProtocolModel::submitJob()
{
    if (!owner_)
        return;
    std::string id = concat("00000000000000", absl::Hex(++jobs_, absl::kZeroPad2));
    workflow::Step first;
    first.count_ = 2;
    first.demand_ = *Resources::create(1000, 1000, 0);
    workflow::Step second = first;
    second.after_ = { 0 };
    calls_[jobs_] = JobId::of(id);
    tellOwner(workflow::CallArrived { workflow::CallToken(jobs_), { "h", concat("/q/", id), workflow::Submit { *workflow::JobSpec::create("spec", { first, second }, {}) }, std::chrono::seconds(3) }, toMilliseconds(now_) });
}

void ProtocolModel::cancelJob()
{
    if (!owner_ || accepted_.empty())
        return;
    const JobId& job = *std::next(accepted_.begin(), static_cast<std::ptrdiff_t>(random_() % accepted_.size()));
    uint64_t token = 1000 + (random_() % 1'000'000);
    calls_[token] = job;
    // Whether it is stored or not, the job owes nothing any more.
    cancelled_.insert(job);
    tellOwner(workflow::CallArrived { workflow::CallToken(token), { "h", concat("/q/", job.value()), workflow::Cancel {}, std::chrono::seconds(3) }, toMilliseconds(now_) });
}

} // namespace persimmondoor::supervision
