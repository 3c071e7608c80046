#include "persimmondoor/admission/Gate.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::admission {

absl::StatusOr<Gate> Gate::create(const std::vector<EndpointCapacity>& capacities)
{
    Gate gate;
    for (const EndpointCapacity& capacity : capacities) {
        if (capacity.slots_ == 0 || capacity.connections_ < capacity.slots_)
            return absl::InvalidArgumentError(concat("endpoint ", capacity.endpoint_.value(), ": at least one slot, and a connection for each slot"));
        if (!gate.endpoints_.emplace(capacity.endpoint_, Endpoint { capacity, 0, {} }).second)
            return absl::InvalidArgumentError(concat("endpoint ", capacity.endpoint_.value(), " is named twice"));
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
        if (gate.knows(message.id_)) {
            decision.actions_.emplace_back(AnswerRepeat { message.id_ });
            return;
        }
        if (gate.draining_)
            return refuse(NotRunReason::Draining);
        auto found = gate.endpoints_.find(message.endpoint_);
        if (found == gate.endpoints_.end())
            return refuse(NotRunReason::NoEndpoint);
        if (message.deadline_ <= now || now + expectedWait(found->second, message.tier_) >= message.deadline_)
            return refuse(NotRunReason::Deadline);
        Gate::Endpoint& endpoint = found->second;
        Waiting waiting { message.tier_, gate.arrivals_++, message.id_, message.deadline_ };
        gate.held_.emplace(message.id_, Gate::Held { message.endpoint_, waiting, false, false, {} });
        endpoint.queue_.insert(std::move(waiting));
        advance(decision, endpoint, now);
        trim(decision, endpoint);
    }

    static void apply(GateDecision& decision, const Finished& message, Instant now)
    {
        Gate& gate = decision.state_;
        auto found = gate.held_.find(message.id_);
        if (found == gate.held_.end() || !found->second.isRunning_)
            return;
        Gate::Endpoint& endpoint = gate.endpoints_.at(found->second.endpoint_);
        if (message.ran_) {
            learnServiceTime(endpoint, now - found->second.handedOverAt_);
            remember(gate, message.id_, now);
        }
        gate.held_.erase(found);
        assertInvariant(endpoint.running_ > 0 && gate.running_ > 0, "a finished request held a slot");
        --endpoint.running_;
        --gate.running_;
        advance(decision, endpoint, now);
    }

    static void apply(GateDecision& decision, const Cancelled& message, Instant)
    {
        Gate& gate = decision.state_;
        auto found = gate.held_.find(message.id_);
        if (found == gate.held_.end())
            return;
        if (found->second.isRunning_) {
            found->second.isAbandoned_ = true;
            return;
        }
        gate.endpoints_.at(found->second.endpoint_).queue_.erase(found->second.waiting_);
        gate.held_.erase(found);
    }

    static void apply(GateDecision& decision, const DeadlinesChecked&, Instant now)
    {
        for (auto& [name, endpoint] : decision.state_.endpoints_)
            dropLate(decision, endpoint, now);
        for (auto& [id, held] : decision.state_.held_) {
            if (held.isRunning_ && !held.isAbandoned_ && held.waiting_.deadline_ <= now) {
                held.isAbandoned_ = true;
                decision.actions_.emplace_back(Abandon { id });
            }
        }
        forgetOld(decision.state_, now);
    }

    static void apply(GateDecision& decision, const DrainBegan&, Instant)
    {
        decision.state_.draining_ = true;
    }

private:
    // Share of a new sample in the mean service time, as a divisor.
    static constexpr int64_t serviceTimeSmoothing = 8;

    static void learnServiceTime(Gate::Endpoint& endpoint, Duration sample)
    {
        int64_t& mean = endpoint.meanServiceMicroseconds_;
        mean = mean == 0 ? sample.count() : mean + (sample.count() - mean) / serviceTimeSmoothing;
    }

    // Time until a request of this tier would get a slot: zero if one is free, so that an estimate that is too high is
    // always put right by the next request.
    static Duration expectedWait(const Gate::Endpoint& endpoint, Tier tier)
    {
        if (endpoint.running_ < endpoint.capacity_.slots_)
            return Duration(0);
        auto isAhead = [&](const Waiting& waiting) { return waiting.tier_ <= tier; };
        int64_t ahead = std::count_if(endpoint.queue_.begin(), endpoint.queue_.end(), isAhead);
        return Duration(ahead * endpoint.meanServiceMicroseconds_ / endpoint.capacity_.slots_);
    }

    static void remember(Gate& gate, const RequestId& id, Instant now)
    {
        if (gate.finished_.insert(id).second)
            gate.finishedInOrder_.push_back({ now, id });
        forgetOld(gate, now);
    }

    static void forgetOld(Gate& gate, Instant now)
    {
        std::deque<Gate::FinishedId>& order = gate.finishedInOrder_;
        while (!order.empty() && (order.size() > maximumFinishedIds || now - order.front().at_ > finishedRetention)) {
            gate.finished_.erase(order.front().id_);
            order.pop_front();
        }
    }

    static void dropLate(GateDecision& decision, Gate::Endpoint& endpoint, Instant now)
    {
        std::erase_if(endpoint.queue_, [&](const Waiting& waiting) {
            bool late = waiting.deadline_ <= now;
            if (late) {
                decision.state_.held_.erase(waiting.id_);
                decision.actions_.emplace_back(Refuse { waiting.id_, NotRunReason::Deadline });
            }
            return late;
        });
    }

    // Hands over as many waiting requests as there are free slots.
    static void advance(GateDecision& decision, Gate::Endpoint& endpoint, Instant now)
    {
        dropLate(decision, endpoint, now);
        while (endpoint.running_ < endpoint.capacity_.slots_ && !endpoint.queue_.empty()) {
            Gate::Held& next = decision.state_.held_.at(endpoint.queue_.begin()->id_);
            endpoint.queue_.erase(endpoint.queue_.begin());
            next.isRunning_ = true;
            next.handedOverAt_ = now;
            ++endpoint.running_;
            ++decision.state_.running_;
            decision.actions_.emplace_back(HandOver { next.waiting_.id_, endpoint.capacity_.endpoint_ });
        }
    }

    // Refuses what exceeds the queue, the last to be served first.
    static void trim(GateDecision& decision, Gate::Endpoint& endpoint)
    {
        while (endpoint.queue_.size() > static_cast<size_t>(endpoint.capacity_.slots_) * queuePerSlot) {
            auto last = std::prev(endpoint.queue_.end());
            decision.state_.held_.erase(last->id_);
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
