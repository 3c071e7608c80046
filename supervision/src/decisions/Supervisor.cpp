#include "persimmondoor/supervision/Supervisor.h"

#include "SupervisorRules.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::OrderNumber;
using workflow::StartRefusal;
using workflow::StartRun;
using workflow::StopRun;

void settle(const Turn& turn, OrderNumber order)
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
    turn.state_.interference_ = directive.interference_;
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

namespace {

    struct StartVisitor {
        const Turn& turn_;
        const StartRun& order_;
        LocalWorker& worker_;

        void operator()(const workflow::Started&) const
        {
            worker_.confirmed_[order_.run_] = turn_.now_;
            turn_.remark("run.started", workflow::describe(order_.run_), concat("worker ", describe(order_.worker_)));
            paceFillingRuns(turn_, order_.worker_, worker_);
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

namespace {

    struct MessageVisitor {
        const Turn& turn_;

        void operator()(const workflow::Heartbeat& message) const { takeHeartbeat(turn_, message); }
        void operator()(const workflow::Leaving& message) const { takeLeaving(turn_, message); }
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
