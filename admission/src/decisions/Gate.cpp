#include "persimmondoor/admission/Gate.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::admission {

absl::StatusOr<Gate> Gate::create(const std::vector<EndpointCapacity>& capacities)
{
    Gate gate;
    for (const EndpointCapacity& capacity : capacities) {
        if (capacity.slots_ == 0 || capacity.connections_ < capacity.slots_)
            return absl::InvalidArgumentError(concat("endpoint ", capacity.endpoint_.value(), ": expected at least one slot, and at least as many connections as slots"));
        if (!gate.endpoints_.emplace(capacity.endpoint_, Endpoint { capacity, 0, {} }).second)
            return absl::InvalidArgumentError(concat("endpoint ", capacity.endpoint_.value(), " is listed twice"));
    }
    return gate;
}

EndpointLoad Gate::load(const EndpointName& name) const
{
    auto found = endpoints_.find(name);
    if (found == endpoints_.end())
        return {};
    const Endpoint& endpoint = found->second;
    return { endpoint.running_, static_cast<uint32_t>(endpoint.queue_.size()), endpoint.capacity_.slots_ };
}

struct GateRules {
    static void apply(GateDecision& decision, const Arrived& message, Instant now)
    {
        Gate& gate = decision.state_;
        auto refuse = [&](NotRunReason reason) { decision.actions_.emplace_back(Refuse { message.id_, reason }); };
        if (gate.isKnown(message.id_)) {
            decision.actions_.emplace_back(AnswerDuplicate { message.id_ });
            return;
        }
        if (gate.isDraining_)
            return refuse(NotRunReason::Draining);
        auto found = gate.endpoints_.find(message.endpoint_);
        if (found == gate.endpoints_.end())
            return refuse(NotRunReason::NoEndpoint);
        if (message.deadline_ <= now || now + expectedWait(found->second, message.tier_) >= message.deadline_)
            return refuse(NotRunReason::Deadline);
        Gate::Endpoint& endpoint = found->second;
        QueuedRequest queued { message.tier_, gate.nextArrivalNumber_++, message.id_, message.deadline_ };
        gate.inFlight_.emplace(message.id_, Gate::InFlightRequest { message.endpoint_, queued, false, false, {} });
        endpoint.queue_.insert(std::move(queued));
        handOverQueued(decision, endpoint, now);
        refuseExcess(decision, endpoint);
    }

    static void apply(GateDecision& decision, const Finished& message, Instant now)
    {
        Gate& gate = decision.state_;
        auto found = gate.inFlight_.find(message.id_);
        if (found == gate.inFlight_.end() || !found->second.isRunning_)
            return;
        Gate::Endpoint& endpoint = gate.endpoints_.at(found->second.endpoint_);
        if (message.hasRun_) {
            updateMeanServiceTime(endpoint, now - found->second.handedOverAt_);
            retainFinishedId(gate, message.id_, now);
        }
        gate.inFlight_.erase(found);
        assertInvariant(endpoint.running_ > 0 && gate.running_ > 0, "a finished request held a slot");
        --endpoint.running_;
        --gate.running_;
        handOverQueued(decision, endpoint, now);
    }

    static void apply(GateDecision& decision, const Cancelled& message, Instant)
    {
        Gate& gate = decision.state_;
        auto found = gate.inFlight_.find(message.id_);
        if (found == gate.inFlight_.end())
            return;
        if (found->second.isRunning_) {
            found->second.isAbandoned_ = true;
            return;
        }
        gate.endpoints_.at(found->second.endpoint_).queue_.erase(found->second.queuedRequest_);
        gate.inFlight_.erase(found);
    }

    static void apply(GateDecision& decision, const DeadlineCheckDue&, Instant now)
    {
        for (auto& [name, endpoint] : decision.state_.endpoints_)
            refuseExpired(decision, endpoint, now);
        for (auto& [id, request] : decision.state_.inFlight_) {
            if (request.isRunning_ && !request.isAbandoned_ && request.queuedRequest_.deadline_ <= now) {
                request.isAbandoned_ = true;
                decision.actions_.emplace_back(Abandon { id });
            }
        }
        expireFinishedIds(decision.state_, now);
    }

    static void apply(GateDecision& decision, const DrainBegan&, Instant)
    {
        decision.state_.isDraining_ = true;
    }

private:
    // Weight of a new sample in the moving average of the service time, as a divisor.
    static constexpr int64_t serviceTimeSmoothing = 8;

    static void updateMeanServiceTime(Gate::Endpoint& endpoint, Duration sample)
    {
        int64_t& mean = endpoint.meanServiceMicroseconds_;
        mean = mean == 0 ? sample.count() : mean + (sample.count() - mean) / serviceTimeSmoothing;
    }

    // Estimated wait of a request of this tier for a slot. Zero if a slot is free: a request is then always accepted and
    // its service time sampled, so that a mean that is too high corrects itself.
    static Duration expectedWait(const Gate::Endpoint& endpoint, Tier tier)
    {
        if (endpoint.running_ < endpoint.capacity_.slots_)
            return Duration(0);
        auto isServedBefore = [&](const QueuedRequest& queued) { return queued.tier_ <= tier; };
        int64_t ahead = std::count_if(endpoint.queue_.begin(), endpoint.queue_.end(), isServedBefore);
        return Duration(ahead * endpoint.meanServiceMicroseconds_ / endpoint.capacity_.slots_);
    }

    static void retainFinishedId(Gate& gate, const RequestId& id, Instant now)
    {
        Gate::Fingerprint fingerprint = Gate::fingerprint(id);
        if (gate.finished_.insert(fingerprint).second)
            gate.finishedInOrder_.push_back({ now, fingerprint });
        expireFinishedIds(gate, now);
    }

    static void expireFinishedIds(Gate& gate, Instant now)
    {
        std::deque<Gate::FinishedId>& finishedIds = gate.finishedInOrder_;
        while (!finishedIds.empty() && (finishedIds.size() > maximumFinishedIds || now - finishedIds.front().finishedAt_ > finishedRetention)) {
            gate.finished_.erase(finishedIds.front().fingerprint_);
            finishedIds.pop_front();
        }
    }

    static void refuseExpired(GateDecision& decision, Gate::Endpoint& endpoint, Instant now)
    {
        std::erase_if(endpoint.queue_, [&](const QueuedRequest& queued) {
            bool isExpired = queued.deadline_ <= now;
            if (isExpired) {
                decision.state_.inFlight_.erase(queued.id_);
                decision.actions_.emplace_back(Refuse { queued.id_, NotRunReason::Deadline });
            }
            return isExpired;
        });
    }

    // Hands over queued requests, in the order of service, while slots are free.
    static void handOverQueued(GateDecision& decision, Gate::Endpoint& endpoint, Instant now)
    {
        refuseExpired(decision, endpoint, now);
        while (endpoint.running_ < endpoint.capacity_.slots_ && !endpoint.queue_.empty()) {
            Gate::InFlightRequest& next = decision.state_.inFlight_.at(endpoint.queue_.begin()->id_);
            endpoint.queue_.erase(endpoint.queue_.begin());
            next.isRunning_ = true;
            next.handedOverAt_ = now;
            ++endpoint.running_;
            ++decision.state_.running_;
            decision.actions_.emplace_back(HandOver { next.queuedRequest_.id_, endpoint.capacity_.endpoint_ });
        }
    }

    // Refuses the requests that exceed the limit of the queue, starting with the last in the order of service.
    static void refuseExcess(GateDecision& decision, Gate::Endpoint& endpoint)
    {
        while (endpoint.queue_.size() > static_cast<size_t>(endpoint.capacity_.slots_) * queuePerSlot) {
            auto last = std::prev(endpoint.queue_.end());
            decision.state_.inFlight_.erase(last->id_);
            decision.actions_.emplace_back(Refuse { last->id_, NotRunReason::QueueFull });
            endpoint.queue_.erase(last);
        }
    }
};

GateDecision decide(Gate state, const GateMessage& message, Instant now)
{
    GateDecision decision { std::move(state), {} };
    std::visit([&](const auto& alternative) { GateRules::apply(decision, alternative, now); }, message);
    return decision;
}

} // namespace persimmondoor::admission
