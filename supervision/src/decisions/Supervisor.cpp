#include "persimmondoor/supervision/Supervisor.h"

#include "SupervisorRules.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::OrderNumber;
using workflow::StartRefusal;
using workflow::StartRun;
using workflow::StopRun;

void completeOrder(const DecisionContext& context, OrderNumber order)
{
    auto found = context.state_.completionByOrder_.find(order);
    if (found == context.state_.completionByOrder_.end())
        return;
    found->second = true;
    while (!context.state_.completionByOrder_.empty() && context.state_.completionByOrder_.begin()->second && context.state_.completionByOrder_.begin()->first == context.state_.lastCompletedOrder_.next()) {
        context.state_.lastCompletedOrder_ = context.state_.lastCompletedOrder_.next();
        context.state_.completionByOrder_.erase(context.state_.completionByOrder_.begin());
    }
    context.state_.hasChanges_ = true;
}

static void refuse(const DecisionContext& context, const StartRun& order, StartRefusal reason)
{
    auto worker = context.state_.workers_.find(order.worker_);
    if (worker != context.state_.workers_.end())
        worker->second.refused_.push_back({ { order.run_, reason }, Sequence() });
    context.logEvent("run.refused", workflow::describe(order.run_), concat("worker ", describe(order.worker_), ": ", workflow::describe(reason)));
    completeOrder(context, order.number_);
}

static void callStop(const DecisionContext& context, const StopRun& order)
{
    context.state_.pendingStops_[order.number_] = { order, context.now_ + std::chrono::seconds(1) };
    context.addAction(CallStop { order, context.state_.fence_ });
}

namespace {

    struct OrderVisitor {
        const DecisionContext& context_;

        void operator()(const StartRun& order) const
        {
            auto worker = context_.state_.workers_.find(order.worker_);
            if (worker == context_.state_.workers_.end() || worker->second.draining_ || !worker->second.isReachable_)
                return refuse(context_, order, StartRefusal::Unavailable);
            int64_t leaseEnd = grantLease(context_, worker->second);
            if (leaseEnd == 0)
                return refuse(context_, order, StartRefusal::OrderExpired);
            worker->second.recentStarts_[order.run_] = { context_.now_, false };
            context_.addAction(CallStart { order, context_.state_.fence_, leaseEnd });
        }
        void operator()(const StopRun& order) const
        {
            if (context_.state_.workers_.count(order.worker_) == 0)
                return completeOrder(context_, order.number_);
            callStop(context_, order);
        }
    };

} // namespace

static void beginSession(const DecisionContext& context, const workflow::ReportReply& reply)
{
    context.logEvent("session.begun", concat("epoch ", reply.epoch_.value()), concat("fence ", reply.fence_.value()));
    context.state_.epoch_ = reply.epoch_;
    context.state_.fence_ = reply.fence_;
    context.state_.lastCompletedOrder_ = OrderNumber();
    context.state_.completionByOrder_.clear();
    context.state_.pendingStops_.clear();
    context.state_.hasChanges_ = true;
    for (auto& [incarnation, worker] : context.state_.workers_) {
        worker.isListed_ = false;
        worker.nextListAt_ = Instant();
        worker.refused_.clear();
        requestLists(context, incarnation, worker);
    }
}

// Extends the leases of the workers that the answered report contained. The leader does not know of others, whose tasks it may
// start elsewhere.
static void extendLeases(const DecisionContext& context, const workflow::ReportReply& reply)
{
    auto sent = context.state_.reportsSentAt_.find(reply.answeredReport_);
    if (sent == context.state_.reportsSentAt_.end() || reply.lease_ <= Duration(0))
        return;
    Instant horizon = sent->second + reply.lease_;
    for (auto& [incarnation, worker] : context.state_.workers_) {
        if (worker.firstReport_ != Sequence() && worker.firstReport_ <= reply.answeredReport_)
            worker.leaseHorizon_ = std::max(worker.leaseHorizon_, horizon);
    }
    context.state_.leaseHorizon_ = std::max(context.state_.leaseHorizon_, horizon);
}

// Drops the refusals that the answered report carried; a report may be lost or overtaken by a later one.
static void dropKnownRefusals(const DecisionContext& context, Sequence answered)
{
    for (auto& [incarnation, worker] : context.state_.workers_)
        std::erase_if(worker.refused_, [&](const auto& entry) { return entry.second != Sequence() && entry.second <= answered; });
}

static void handleReportReply(const DecisionContext& context, const workflow::ReportReply& reply)
{
    workflow::Fence lowestFence = std::max(context.state_.fence_, context.state_.voidFence_.next());
    bool isOutdated = reply.epoch_ < context.state_.epoch_ || (reply.epoch_ == context.state_.epoch_ && reply.fence_ < lowestFence);
    if (isOutdated)
        return;
    if (reply.epoch_ != context.state_.epoch_ || reply.fence_ != context.state_.fence_)
        beginSession(context, reply);
    extendLeases(context, reply);
    context.state_.reportsSentAt_.erase(context.state_.reportsSentAt_.begin(), context.state_.reportsSentAt_.lower_bound(reply.answeredReport_));
    dropKnownRefusals(context, reply.answeredReport_);
    for (const workflow::DurableEnds& durable : reply.durableEnds_) {
        auto worker = context.state_.workers_.find(durable.worker_);
        if (worker == context.state_.workers_.end() || durable.number_ <= worker->second.durableEnd_)
            continue;
        worker->second.durableEnd_ = durable.number_;
        worker->second.nextListAt_ = context.now_;
        requestLists(context, durable.worker_, worker->second);
    }
    context.state_.interference_ = reply.interference_;
    context.state_.services_ = reply.services_;
    context.state_.traits_.clear();
    for (const workflow::RunTraits& traits : reply.traits_)
        context.state_.traits_[traits.run_] = traits;
    for (const workflow::Order& order : reply.orders_) {
        OrderNumber number = workflow::numberOf(order);
        bool isNew = number > context.state_.lastCompletedOrder_ && context.state_.completionByOrder_.try_emplace(number, false).second;
        if (isNew)
            std::visit(OrderVisitor { context }, order);
    }
}

namespace {

    struct StartOutcomeVisitor {
        const DecisionContext& context_;
        const StartRun& order_;
        LocalWorker& worker_;

        void operator()(const workflow::Started&) const
        {
            worker_.confirmedRuns_[order_.run_] = context_.now_;
            confirmStart(worker_, order_.run_);
            context_.logEvent("run.started", workflow::describe(order_.run_), concat("worker ", describe(order_.worker_)));
            paceFillingRuns(context_, order_.worker_, worker_);
            completeOrder(context_, order_.number_);
        }
        void operator()(const StartRefusal& reason) const
        {
            worker_.recentStarts_.erase(order_.run_);
            refuse(context_, order_, reason);
        }
        // The worker may still execute the start; a confirmed stop makes it void.
        void operator()(const workflow::NoAnswer& answer) const
        {
            context_.logEvent("run.unanswered", workflow::describe(order_.run_), concat("worker ", describe(order_.worker_), ": ", answer.detail_, "; the run is stopped"));
            callStop(context_, { order_.number_, order_.worker_, order_.run_ });
        }
    };

} // namespace

static void handleStartCompleted(const DecisionContext& context, const StartCompleted& message)
{
    if (message.fence_ != context.state_.fence_)
        return;
    auto worker = context.state_.workers_.find(message.order_.worker_);
    if (worker == context.state_.workers_.end())
        return completeOrder(context, message.order_.number_);
    std::visit(StartOutcomeVisitor { context, message.order_, worker->second }, message.outcome_);
}

static void handleStopCompleted(const DecisionContext& context, const StopCompleted& message)
{
    if (message.fence_ != context.state_.fence_)
        return;
    auto stop = context.state_.pendingStops_.find(message.order_);
    if (stop == context.state_.pendingStops_.end())
        return;
    if (!message.isStopped_) {
        stop->second.second = context.now_ + context.state_.tuning_.retryInterval_;
        return;
    }
    // Lists requested before now may not show the end yet.
    auto worker = context.state_.workers_.find(stop->second.first.worker_);
    if (worker != context.state_.workers_.end() && worker->second.active_.count(stop->second.first.run_) == 0)
        worker->second.confirmedRuns_[stop->second.first.run_] = context.now_;
    context.state_.pendingStops_.erase(stop);
    completeOrder(context, message.order_);
}

static void handleTick(const DecisionContext& context)
{
    dropExpiredWorkers(context);
    for (auto& [incarnation, worker] : context.state_.workers_)
        requestLists(context, incarnation, worker);
    for (auto& [number, stop] : context.state_.pendingStops_) {
        if (context.now_ < stop.second)
            continue;
        stop.second = context.now_ + std::chrono::seconds(1);
        context.addAction(CallStop { stop.first, context.state_.fence_ });
    }
    Instant oldest = context.now_ - context.state_.tuning_.endedWorkerRetention_;
    std::erase_if(context.state_.endedWorkers_, [&](const auto& entry) { return entry.second < oldest; });
    std::erase_if(context.state_.crashedRuns_, [&](const auto& entry) { return entry.second.knownAt_ < oldest; });
}

namespace {

    struct MessageVisitor {
        const DecisionContext& context_;

        void operator()(const workflow::Heartbeat& message) const { handleHeartbeat(context_, message); }
        void operator()(const workflow::Leaving& message) const { handleLeaving(context_, message); }
        void operator()(const ReportAnswered& message) const
        {
            context_.state_.reportsInFlight_ -= std::min(context_.state_.reportsInFlight_, 1U);
            handleReportReply(context_, message.reply_);
        }
        void operator()(const ReportFailed&) const
        {
            context_.state_.reportsInFlight_ -= std::min(context_.state_.reportsInFlight_, 1U);
            context_.state_.nextReportAt_ = context_.now_ + context_.state_.tuning_.retryInterval_;
            context_.state_.hasChanges_ = true;
        }
        void operator()(const ListArrived& message) const { handleListArrived(context_, message); }
        void operator()(const ListFailed& message) const { handleListFailed(context_, message); }
        void operator()(const StartCompleted& message) const { handleStartCompleted(context_, message); }
        void operator()(const StopCompleted& message) const { handleStopCompleted(context_, message); }
        void operator()(const PaceFailed& message) const { handlePaceFailed(context_, message); }
        void operator()(const SupervisorTick&) const { handleTick(context_); }
    };

} // namespace

SupervisorDecision decide(SupervisorState state, const SupervisorMessage& message, Instant now)
{
    SupervisorDecision decision { std::move(state), {} };
    DecisionContext context { decision.state_, decision.actions_, now };
    std::visit(MessageVisitor { context }, message);
    reportIfDue(context);
    return decision;
}

} // namespace persimmondoor::supervision
