/// Decides which requests an agent hands to its endpoints: never more than an endpoint's slots at once, paying
/// before trial, nothing past its deadline.
///
/// \code
/// Gate gate = *Gate::create({ { EndpointName::of("packs-01"), 8, 64 } });
/// GateDecision decision = decide(gate, Arrived { id, endpoint, Tier::Paying, deadline }, now);
/// \endcode
#pragma once

#include "persimmondoor/admission/Request.h"

#include <absl/status/statusor.h>
#include <map>
#include <set>
#include <tuple>
#include <variant>

namespace persimmondoor::admission {

/// Requests that wait at an endpoint, as a multiple of its slots.
inline constexpr uint32_t queuePerSlot = 4;

/// What an endpoint can take at once.
struct EndpointCapacity {
    EndpointName endpoint_;
    uint32_t slots_ { 0 };
    uint32_t connections_ { 0 };
    auto operator<=>(const EndpointCapacity&) const = default;
};

/// A request came for `endpoint_`.
struct Arrived {
    RequestId id_;
    EndpointName endpoint_;
    Tier tier_ { Tier::Trial };
    Instant deadline_;
    auto operator<=>(const Arrived&) const = default;
};

/// The exchange of a request that was handed over has ended.
struct Finished {
    RequestId id_;
    auto operator<=>(const Finished&) const = default;
};

/// Time to refuse what can no longer be served.
struct DeadlinesChecked {
    auto operator<=>(const DeadlinesChecked&) const = default;
};

/// From now on everything new is refused.
struct DrainBegan {
    auto operator<=>(const DrainBegan&) const = default;
};

using GateMessage = std::variant<Arrived, Finished, DeadlinesChecked, DrainBegan>;

/// Hand the request to the service instance.
struct HandOver {
    RequestId id_;
    EndpointName endpoint_;
    auto operator<=>(const HandOver&) const = default;
};

/// Answer "not run"; the request was never handed over.
struct Refuse {
    RequestId id_;
    NotRunReason reason_ { NotRunReason::QueueFull };
    auto operator<=>(const Refuse&) const = default;
};

using GateAction = std::variant<HandOver, Refuse>;

/// A request that waits. Paying sorts before trial, then by arrival.
struct Waiting {
    Tier tier_ { Tier::Trial };
    uint64_t order_ { 0 };
    RequestId id_;
    Instant deadline_;
    auto operator<=>(const Waiting&) const = default;
};

class Gate {
public:
    /// \return the gate, or InvalidArgument for an endpoint without slots, with fewer connections than slots, or
    /// named twice.
    static absl::StatusOr<Gate> create(const std::vector<EndpointCapacity>&);

    /// \return the endpoint's load, all zero if there is no such endpoint.
    EndpointLoad load(const EndpointName&) const;
    /// Requests handed over and not finished.
    size_t running() const { return endpointOfRunning_.size(); }
    bool operator==(const Gate&) const = default;

private:
    friend struct GateRules;
    struct Endpoint {
        EndpointCapacity capacity_;
        uint32_t running_ { 0 };
        std::set<Waiting> queue_;
        auto operator<=>(const Endpoint&) const = default;
    };

    std::map<EndpointName, Endpoint> endpoints_;
    std::map<RequestId, EndpointName> endpointOfRunning_;
    uint64_t arrivals_ { 0 };
    bool draining_ { false };
};

struct GateDecision {
    Gate state_;
    std::vector<GateAction> actions_;
    bool operator==(const GateDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
GateDecision decide(Gate state, const GateMessage& message, Instant now);

} // namespace persimmondoor::admission
