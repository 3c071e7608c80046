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
        auto found = gate.endpoints_.find(message.endpoint_);
        auto refuse = [&](NotRunReason reason) { decision.actions_.emplace_back(Refuse { message.id_, reason }); };
        if (gate.draining_)
            return refuse(NotRunReason::Draining);
        if (found == gate.endpoints_.end())
            return refuse(NotRunReason::NoEndpoint);
        if (isKnown(gate, message.id_))
            return refuse(NotRunReason::DuplicateRequest);
        if (message.deadline_ <= now)
            return refuse(NotRunReason::Deadline);
        Gate::Endpoint& endpoint = found->second;
        endpoint.queue_.insert({ message.tier_, gate.arrivals_++, message.id_, message.deadline_ });
        advance(decision, endpoint, now);
        trim(decision, endpoint);
    }

    static void apply(GateDecision& decision, const Finished& message, Instant now)
    {
        Gate& gate = decision.state_;
        auto found = gate.endpointOfRunning_.find(message.id_);
        if (found == gate.endpointOfRunning_.end())
            return;
        Gate::Endpoint& endpoint = gate.endpoints_.at(found->second);
        gate.endpointOfRunning_.erase(found);
        assertInvariant(endpoint.running_ > 0, "a finished request held a slot");
        --endpoint.running_;
        advance(decision, endpoint, now);
    }

    static void apply(GateDecision& decision, const DeadlinesChecked&, Instant now)
    {
        for (auto& [name, endpoint] : decision.state_.endpoints_)
            dropLate(decision, endpoint, now);
    }

    static void apply(GateDecision& decision, const DrainBegan&, Instant)
    {
        decision.state_.draining_ = true;
    }

private:
    static bool isKnown(const Gate& gate, const RequestId& id)
    {
        auto waits = [&](const auto& item) {
            const std::set<Waiting>& queue = item.second.queue_;
            return std::any_of(queue.begin(), queue.end(), [&](const Waiting& waiting) { return waiting.id_ == id; });
        };
        return gate.endpointOfRunning_.contains(id) || std::any_of(gate.endpoints_.begin(), gate.endpoints_.end(), waits);
    }

    static void dropLate(GateDecision& decision, Gate::Endpoint& endpoint, Instant now)
    {
        std::erase_if(endpoint.queue_, [&](const Waiting& waiting) {
            bool late = waiting.deadline_ <= now;
            if (late)
                decision.actions_.emplace_back(Refuse { waiting.id_, NotRunReason::Deadline });
            return late;
        });
    }

    // Hands over as many waiting requests as there are free slots.
    static void advance(GateDecision& decision, Gate::Endpoint& endpoint, Instant now)
    {
        dropLate(decision, endpoint, now);
        while (endpoint.running_ < endpoint.capacity_.slots_ && !endpoint.queue_.empty()) {
            Waiting next = *endpoint.queue_.begin();
            endpoint.queue_.erase(endpoint.queue_.begin());
            ++endpoint.running_;
            decision.state_.endpointOfRunning_.emplace(next.id_, endpoint.capacity_.endpoint_);
            decision.actions_.emplace_back(HandOver { next.id_, endpoint.capacity_.endpoint_ });
        }
    }

    // Refuses what exceeds the queue, the last to be served first.
    static void trim(GateDecision& decision, Gate::Endpoint& endpoint)
    {
        while (endpoint.queue_.size() > static_cast<size_t>(endpoint.capacity_.slots_) * queuePerSlot) {
            auto last = std::prev(endpoint.queue_.end());
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
