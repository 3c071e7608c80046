#include "persimmondoor/supervision/Supervisor.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::ActiveRun;
using workflow::EndedRun;
using workflow::OrderNumber;
using workflow::RunKey;
using workflow::StartRefusal;
using workflow::StartRun;
using workflow::StopRun;
using workflow::WorkerLife;

namespace {

    // One turn of the agent: the state, the actions so far and the time.
    struct Turn {
        SupervisorState& state_;
        std::vector<SupervisorAction>& actions_;
        Instant now_;

        template <typename Action>
        void act(Action action) const
        {
            actions_.emplace_back(std::move(action));
        }
        void remark(std::string event, std::string subject, std::string detail) const
        {
            actions_.emplace_back(SupervisorRemark { std::move(event), std::move(subject), std::move(detail) });
        }
    };

} // namespace

static std::string describe(const WorkerLife& life)
{
    return concat(life.name_, "@", life.bornMs_);
}

static void settle(const Turn& turn, OrderNumber order)
{
    auto found = turn.state_.orders_.find(order);
    if (found == turn.state_.orders_.end())
        return;
    found->second = true;
    while (!turn.state_.orders_.empty() && turn.state_.orders_.begin()->second && turn.state_.orders_.begin()->first == turn.state_.settled_.next()) {
        turn.state_.settled_ = turn.state_.settled_.next();
        turn.state_.orders_.erase(turn.state_.orders_.begin());
    }
    turn.state_.hasNews_ = true;
}

static void forget(const Turn& turn, const WorkerLife& life, std::string_view why)
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

// The end of lease for the next call, or 0 if none may be given. A worker that does not answer gets none: each call to
// it may be carried out late and would put off the time from which its tasks are known to have ended.
static int64_t grantLease(const Turn& turn, LocalWorker& worker)
{
    if (turn.state_.horizon_ <= turn.now_ || !worker.reachable_)
        return 0;
    worker.leaseEnd_ = std::max(worker.leaseEnd_, turn.state_.horizon_);
    return onWorkerClock(worker, turn.state_.horizon_);
}

static void askForList(const Turn& turn, const WorkerLife& life, LocalWorker& worker)
{
    if (worker.listing_ || turn.state_.fence_ == workflow::Fence() || turn.now_ < worker.listAgainAt_)
        return;
    worker.listing_ = true;
    Duration wait = worker.listed_ ? turn.state_.tuning_.listWait_ : Duration(0);
    turn.act(CallList { life, { turn.state_.fence_, worker.durableEnd_, grantLease(turn, worker), wait } });
}

static void refuse(const Turn& turn, const StartRun& order, StartRefusal reason)
{
    auto worker = turn.state_.workers_.find(order.worker_);
    if (worker != turn.state_.workers_.end())
        worker->second.refused_.push_back({ order.run_, reason });
    turn.remark("run.refused", workflow::describe(order.run_), concat("worker ", describe(order.worker_), ": ", workflow::describe(reason)));
    settle(turn, order.number_);
}

static void callStop(const Turn& turn, const StopRun& order)
{
    turn.state_.stops_[order.number_] = { order, turn.now_ + std::chrono::seconds(1) };
    turn.act(CallStop { order, turn.state_.fence_ });
}

namespace {

    struct OrderVisitor {
        const Turn& turn_;

        void operator()(const StartRun& order) const
        {
            auto worker = turn_.state_.workers_.find(order.worker_);
            if (worker == turn_.state_.workers_.end() || worker->second.draining_)
                return refuse(turn_, order, StartRefusal::Unavailable);
            int64_t leaseEnd = grantLease(turn_, worker->second);
            if (leaseEnd == 0)
                return refuse(turn_, order, StartRefusal::Late);
            turn_.act(CallStart { order, turn_.state_.fence_, leaseEnd });
        }
        void operator()(const StopRun& order) const
        {
            if (turn_.state_.workers_.count(order.worker_) == 0)
                return settle(turn_, order.number_);
            callStop(turn_, order);
        }
    };

} // namespace

static void beginSession(const Turn& turn, const workflow::Directive& directive)
{
    turn.remark("session.begun", concat("epoch ", directive.epoch_.value()), concat("fence ", directive.fence_.value()));
    turn.state_.epoch_ = directive.epoch_;
    turn.state_.fence_ = directive.fence_;
    turn.state_.settled_ = OrderNumber();
    turn.state_.orders_.clear();
    turn.state_.stops_.clear();
    turn.state_.hasNews_ = true;
    for (auto& [life, worker] : turn.state_.workers_) {
        worker.listed_ = false;
        worker.listAgainAt_ = Instant();
        worker.refused_.clear();
        askForList(turn, life, worker);
    }
}

static void takeDirective(const Turn& turn, const workflow::Directive& directive)
{
    workflow::Fence lowest = std::max(turn.state_.fence_, turn.state_.voided_.next());
    bool isOld = directive.epoch_ < turn.state_.epoch_ || (directive.epoch_ == turn.state_.epoch_ && directive.fence_ < lowest);
    if (isOld)
        return;
    if (directive.epoch_ != turn.state_.epoch_ || directive.fence_ != turn.state_.fence_)
        beginSession(turn, directive);
    auto sent = turn.state_.sent_.find(directive.answered_);
    if (sent != turn.state_.sent_.end() && directive.lease_ > Duration(0))
        turn.state_.horizon_ = std::max(turn.state_.horizon_, sent->second + directive.lease_);
    turn.state_.sent_.erase(turn.state_.sent_.begin(), turn.state_.sent_.lower_bound(directive.answered_));
    for (const workflow::EndsDurable& durable : directive.durable_) {
        auto worker = turn.state_.workers_.find(durable.worker_);
        if (worker == turn.state_.workers_.end() || durable.number_ <= worker->second.durableEnd_)
            continue;
        worker->second.durableEnd_ = durable.number_;
        worker->second.listAgainAt_ = turn.now_;
        askForList(turn, durable.worker_, worker->second);
    }
    turn.state_.traits_.clear();
    for (const workflow::RunTraits& traits : directive.traits_)
        turn.state_.traits_[traits.run_] = traits;
    for (const workflow::Order& order : directive.orders_) {
        OrderNumber number = workflow::numberOf(order);
        bool isNew = number > turn.state_.settled_ && turn.state_.orders_.try_emplace(number, false).second;
        if (isNew)
            std::visit(OrderVisitor { turn }, order);
    }
}

static void takeHeartbeat(const Turn& turn, const workflow::Heartbeat& beat)
{
    std::vector<WorkerLife> replaced;
    for (const auto& [life, worker] : turn.state_.workers_) {
        bool sameWorker = life.name_ == beat.life_.name_ || worker.address_ == beat.address_;
        if (sameWorker && life.bornMs_ > beat.life_.bornMs_)
            return;
        if (sameWorker && life.bornMs_ < beat.life_.bornMs_)
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

namespace {

    // What a worker's list shows of the tasks that fill and of those that they may disturb.
    struct Reading {
        std::vector<workflow::FillingTask> filling_;
        std::vector<workflow::TailReading> tails_;
        std::set<std::string> images_;
        uint64_t worstPercent_ { 0 };
    };

} // namespace

static Reading readLoad(const SupervisorState& state, const LocalWorker& worker)
{
    Reading reading;
    for (const auto& [run, active] : worker.active_) {
        auto traits = state.traits_.find(run);
        if (traits == state.traits_.end())
            continue;
        if (traits->second.fills_)
            reading.filling_.push_back({ traits->second.image_, active.pace_ });
        if (traits->second.targetTailMs_ == 0)
            continue;
        reading.tails_.push_back({ traits->second.image_, uint64_t(active.load_) * 100 / traits->second.targetTailMs_ });
        reading.images_.insert(traits->second.image_);
        reading.worstPercent_ = std::max({ reading.worstPercent_, uint64_t(1), reading.tails_.back().tailPercent_ });
    }
    return reading;
}

static bool isSuspect(const SupervisorState& state, const Reading& reading, const std::string& image)
{
    return workflow::worstHarm(state.interference_, image, reading.images_) != workflow::Harm::Harmless;
}

static void learnFrom(const Turn& turn, const Reading& reading, LocalWorker& worker)
{
    worker.paceAgainAt_ = turn.now_ + turn.state_.tuning_.paceInterval_;
    turn.state_.interference_ = workflow::observe(std::move(turn.state_.interference_), reading.filling_, reading.tails_);
    bool hasSuspects = std::any_of(reading.filling_.begin(), reading.filling_.end(), [&](const workflow::FillingTask& task) { return isSuspect(turn.state_, reading, task.image_); });
    worker.fillingPaces_ = nextPaces(worker.fillingPaces_, reading.worstPercent_, hasSuspects);
}

// The tails of long-running tasks decide how fast those that fill may work.
static void paceFillingRuns(const Turn& turn, const WorkerLife& life, LocalWorker& worker)
{
    Reading reading = readLoad(turn.state_, worker);
    if (turn.now_ >= worker.paceAgainAt_)
        learnFrom(turn, reading, worker);
    for (const auto& [run, active] : worker.active_) {
        auto traits = turn.state_.traits_.find(run);
        if (traits == turn.state_.traits_.end() || !traits->second.fills_)
            continue;
        uint32_t pace = isSuspect(turn.state_, reading, traits->second.image_) ? worker.fillingPaces_.suspect_ : worker.fillingPaces_.harmless_;
        auto [told, isNew] = worker.paces_.try_emplace(run, 100);
        if (told->second == pace)
            continue;
        turn.remark("run.paced", workflow::describe(run), concat(told->second, " to ", pace, " percent, worst tail at ", reading.worstPercent_, " percent of its target, image ", traits->second.image_));
        told->second = pace;
        turn.act(CallPace { life, run, turn.state_.fence_, pace });
    }
    std::erase_if(worker.paces_, [&](const auto& entry) { return worker.active_.count(entry.first) == 0; });
}

static uint64_t lastEnd(const std::vector<EndedRun>& ended)
{
    return ended.empty() ? 0 : ended.back().number_;
}

static void takeLists(const Turn& turn, const workflow::Lists& lists, Instant askedAt, LocalWorker& worker)
{
    std::map<RunKey, ActiveRun> active;
    for (const ActiveRun& run : lists.active_) {
        auto pace = worker.paces_.find(run.run_);
        active[run.run_] = run;
        if (pace != worker.paces_.end())
            active[run.run_].pace_ = pace->second;
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

static void takeListArrived(const Turn& turn, const ListArrived& message)
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
        paceFillingRuns(turn, message.worker_, worker);
    }
    askForList(turn, message.worker_, worker);
}

static void takeListFailed(const Turn& turn, const ListFailed& failure)
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

namespace {

    struct StartVisitor {
        const Turn& turn_;
        const StartRun& order_;
        LocalWorker& worker_;

        void operator()(const workflow::Started&) const
        {
            worker_.confirmed_[order_.run_] = turn_.now_;
            turn_.remark("run.started", workflow::describe(order_.run_), concat("worker ", describe(order_.worker_)));
            settle(turn_, order_.number_);
        }
        void operator()(const StartRefusal& reason) const { refuse(turn_, order_, reason); }
        // It may still be carried out; a confirmed stop makes it void.
        void operator()(const workflow::NoAnswer& answer) const
        {
            turn_.remark("run.unanswered", workflow::describe(order_.run_), concat("worker ", describe(order_.worker_), ": ", answer.detail_, "; it is stopped"));
            callStop(turn_, { order_.number_, order_.worker_, order_.run_ });
        }
    };

} // namespace

static void takeStartSettled(const Turn& turn, const StartSettled& message)
{
    if (message.fence_ != turn.state_.fence_)
        return;
    auto worker = turn.state_.workers_.find(message.order_.worker_);
    if (worker == turn.state_.workers_.end())
        return settle(turn, message.order_.number_);
    std::visit(StartVisitor { turn, message.order_, worker->second }, message.outcome_);
}

static void takeStopSettled(const Turn& turn, const StopSettled& message)
{
    if (message.fence_ != turn.state_.fence_)
        return;
    auto stop = turn.state_.stops_.find(message.order_);
    if (stop == turn.state_.stops_.end())
        return;
    if (!message.done_) {
        stop->second.second = turn.now_ + turn.state_.tuning_.retryInterval_;
        return;
    }
    // The lists read before now may not show the end yet.
    auto worker = turn.state_.workers_.find(stop->second.first.worker_);
    if (worker != turn.state_.workers_.end() && worker->second.active_.count(stop->second.first.run_) == 0)
        worker->second.confirmed_[stop->second.first.run_] = turn.now_;
    turn.state_.stops_.erase(stop);
    settle(turn, message.order_);
}

static void dropLapsedWorkers(const Turn& turn)
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

static void takeTick(const Turn& turn)
{
    dropLapsedWorkers(turn);
    for (auto& [life, worker] : turn.state_.workers_)
        askForList(turn, life, worker);
    for (auto& [number, stop] : turn.state_.stops_) {
        if (turn.now_ < stop.second)
            continue;
        stop.second = turn.now_ + std::chrono::seconds(1);
        turn.act(CallStop { stop.first, turn.state_.fence_ });
    }
    std::erase_if(turn.state_.gone_, [&](const auto& entry) { return turn.now_ - entry.second > turn.state_.tuning_.goneRetention_; });
}

static workflow::WorkerReport reportOf(const SupervisorState& state, const WorkerLife& life, const LocalWorker& worker, Instant now)
{
    workflow::WorkerReport report;
    report.life_ = life;
    report.traits_ = worker.traits_;
    report.draining_ = worker.draining_;
    report.remainingMs_ = std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(worker.leavesAt_ - now).count());
    report.listed_ = worker.listed_ && state.fence_ != workflow::Fence();
    for (const auto& [run, active] : worker.active_)
        report.active_.push_back(active);
    for (const auto& [run, time] : worker.confirmed_) {
        if (worker.active_.count(run) == 0)
            report.active_.push_back({ run, "", 0, 0, 100 });
    }
    report.ended_ = worker.ended_;
    report.refused_ = worker.refused_;
    return report;
}

static void sendReport(const Turn& turn)
{
    SupervisorState& state = turn.state_;
    state.sequence_ = state.sequence_.next();
    state.sent_[state.sequence_] = turn.now_;
    state.hasNews_ = false;
    ++state.reports_;
    workflow::AgentReport report { state.name_, state.domain_, state.session_, state.epoch_, state.fence_, state.sequence_, state.settled_, {}, {}, true };
    for (auto& [life, worker] : state.workers_) {
        report.workers_.push_back(reportOf(state, life, worker, turn.now_));
        worker.refused_.clear();
    }
    for (const auto& [life, time] : state.gone_)
        report.gone_.push_back(life);
    turn.act(SendReport { std::move(report) });
}

static void reportIfDue(const Turn& turn)
{
    SupervisorState& state = turn.state_;
    bool due = state.reports_ == 0 || (state.hasNews_ && state.reports_ < state.tuning_.maximumReports_);
    if (due && turn.now_ >= state.reportAgainAt_)
        sendReport(turn);
}

namespace {

    struct MessageVisitor {
        const Turn& turn_;

        void operator()(const workflow::Heartbeat& message) const { takeHeartbeat(turn_, message); }
        void operator()(const workflow::Leaving& message) const
        {
            std::vector<WorkerLife> left;
            for (const auto& [life, worker] : turn_.state_.workers_) {
                if (life.name_ == message.name_)
                    left.push_back(life);
            }
            for (const WorkerLife& life : left)
                forget(turn_, life, "it has left");
        }
        void operator()(const DirectiveArrived& message) const
        {
            turn_.state_.reports_ -= std::min(turn_.state_.reports_, 1U);
            takeDirective(turn_, message.directive_);
        }
        void operator()(const ReportFailed&) const
        {
            turn_.state_.reports_ -= std::min(turn_.state_.reports_, 1U);
            turn_.state_.reportAgainAt_ = turn_.now_ + turn_.state_.tuning_.retryInterval_;
            turn_.state_.hasNews_ = true;
        }
        void operator()(const ListArrived& message) const { takeListArrived(turn_, message); }
        void operator()(const ListFailed& message) const { takeListFailed(turn_, message); }
        void operator()(const StartSettled& message) const { takeStartSettled(turn_, message); }
        void operator()(const StopSettled& message) const { takeStopSettled(turn_, message); }
        void operator()(const SupervisorTick&) const { takeTick(turn_); }
    };

} // namespace

SupervisorDecision decide(SupervisorState state, const SupervisorMessage& message, Instant now)
{
    SupervisorDecision decision { std::move(state), {} };
    Turn turn { decision.state_, decision.actions_, now };
    std::visit(MessageVisitor { turn }, message);
    reportIfDue(turn);
    return decision;
}

} // namespace persimmondoor::supervision
