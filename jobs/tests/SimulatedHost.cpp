#include "SimulatedHost.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::jobs::simulation {

using namespace hosting;

static constexpr Duration restartTime = std::chrono::seconds(2);

HostOffer SimulatedHost::probe(Instant now) const
{
    Resources capacity = *Resources::create(1000 * slots, 1'000'000'000 * slots, 0);
    auto used = *Resources::create(1000 * static_cast<int64_t>(runs_.size()), 1'000'000'000 * static_cast<int64_t>(runs_.size()), 0);
    return { worker_, domain_, RackName::of("rack"), { incarnation_, now }, capacity, capacity - used, static_cast<uint32_t>(runs_.size()), 0, now >= readyAt_ };
}

StartOutcome SimulatedHost::start(const StartOrder& order, Instant now, std::vector<ObservedStart>& observedStarts)
{
    store::TaskAttempt task { order.task_, order.attempt_ };
    if (order.epoch_ < epoch_)
        return StartRefused { StartRefusal::StaleEpoch, "" };
    if (now < readyAt_)
        return StartRefused { StartRefusal::WorkerUnavailable, "" };
    epoch_ = order.epoch_;
    if (runs_.contains(task))
        return Started {};
    auto fence = fence_.find(order.task_);
    if (fence != fence_.end() && order.attempt_ <= fence->second)
        return fence->second == order.attempt_ ? StartOutcome(Started {}) : StartRefused { StartRefusal::StaleAttempt, "" };
    if (order.stamp_.incarnation_ != incarnation_ || now - order.stamp_.issuedAt_ > stampLifetime)
        return StartRefused { StartRefusal::StaleStamp, "" };
    for (const auto& [other, run] : runs_) {
        if (other.task_ == order.task_)
            return StartRefused { StartRefusal::EarlierAttemptRuns, "" };
    }
    if (runs_.size() >= slots)
        return StartRefused { StartRefusal::Capacity, "" };
    fence_[order.task_] = order.attempt_;
    runs_[task] = { order.stamp_.issuedAt_ + order.lease_ };
    observedStarts.push_back({ task, worker_, domain_, order.checkpoint_, now });
    addEvent(task, TaskStarted {});
    return Started {};
}

StopOutcome SimulatedHost::stop(const StopOrder& order, Instant now)
{
    if (order.epoch_ < epoch_)
        return StopStaleEpoch {};
    if (now < readyAt_)
        return StopNotReady {};
    epoch_ = order.epoch_;
    store::TaskAttempt task { order.task_, order.attempt_ };
    Attempt& fence = fence_[order.task_];
    fence = std::max(fence, order.attempt_);
    if (!runs_.contains(task))
        return StopUnknownTask {};
    if (order.kind_ == StopKind::Checkpoint) {
        checkpoints_[task] = concat("checkpoint-", order.task_.value(), "-", order.attempt_.value());
        addEvent(task, TaskCheckpointed { checkpoints_[task] });
    }
    end(task, TaskStopped {});
    return StopAccepted {};
}

std::optional<RenewalAnswer> SimulatedHost::renew(const Renewal& renewal, Instant now)
{
    if (renewal.epoch_ < epoch_ || now < readyAt_)
        return std::nullopt;
    epoch_ = renewal.epoch_;
    bool renewed = renewal.stamp_.incarnation_ == incarnation_;
    for (auto& [task, run] : runs_) {
        if (renewed)
            run.leaseEnd_ = std::max(run.leaseEnd_, renewal.stamp_.issuedAt_ + renewal.lease_);
    }
    events_.erase(events_.begin(), events_.upper_bound(renewal.acknowledged_));
    RenewalAnswer answer { { incarnation_, now }, renewed, {}, false, digestOf(running()), {} };
    for (const auto& [sequence, event] : events_)
        answer.events_.push_back(event);
    if (answer.digest_ != renewal.digest_)
        answer.running_ = running();
    return answer;
}

void SimulatedHost::advance(Instant now)
{
    std::vector<store::TaskAttempt> expired;
    for (const auto& [task, run] : runs_) {
        if (now >= run.leaseEnd_)
            expired.push_back(task);
    }
    for (const store::TaskAttempt& task : expired)
        end(task, TaskLeaseLapsed {});
}

void SimulatedHost::finishOne(uint64_t choice, Instant now)
{
    if (runs_.empty() || !isUp(now))
        return;
    store::TaskAttempt task = std::next(runs_.begin(), static_cast<std::ptrdiff_t>(choice % runs_.size()))->first;
    if (failsEverything_)
        return end(task, TaskFailed { "cannot start" });
    completed_.push_back(task);
    end(task, TaskFinished { 0, concat("result of ", task.attempt_.value()) });
}

void SimulatedHost::restartAgent(Instant now)
{
    incarnation_ = incarnation_.next();
    readyAt_ = now + restartTime;
}

void SimulatedHost::replaceWorker(Instant now)
{
    runs_.clear();
    events_.clear();
    fence_.clear();
    epoch_ = Epoch();
    restartAgent(now);
}

std::vector<store::TaskAttempt> SimulatedHost::running() const
{
    std::vector<store::TaskAttempt> result;
    for (const auto& [task, run] : runs_)
        result.push_back(task);
    return result;
}

void SimulatedHost::end(const store::TaskAttempt& task, TaskEvent event)
{
    runs_.erase(task);
    addEvent(task, std::move(event));
}

void SimulatedHost::addEvent(const store::TaskAttempt& task, TaskEvent event)
{
    lastEvent_ = lastEvent_.next();
    events_.emplace(lastEvent_, HostEvent { lastEvent_, task, std::move(event) });
}

} // namespace persimmondoor::jobs::simulation
