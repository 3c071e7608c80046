/// Decides which requests an agent hands to its endpoints: never more than an endpoint's slots at once, paying
/// before trial, nothing past its deadline, no request id twice. A request whose sender gave up or whose deadline
/// passed keeps its slot until the service instance is done with it, as the instance is still busy.
///
/// \code
/// Gate gate = *Gate::create({ { EndpointName::of("packs-01"), 8, 64 } });
/// GateDecision decision = decide(gate, Arrived { id, endpoint, Tier::Paying, deadline }, now);
/// \endcode
#pragma once

#include "persimmondoor/admission/Request.h"

#include <absl/status/statusor.h>
#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <variant>

namespace persimmondoor::admission {

/// Requests that wait at an endpoint, as a multiple of its slots.
inline constexpr uint32_t queuePerSlot = 4;

/// Time for which the id of a finished request is kept, so that a repeated one is not handed over again.
inline constexpr Duration finishedRetention = std::chrono::minutes(2);
/// Most ids of finished requests kept; beyond, the oldest is forgotten before its time.
inline constexpr size_t maximumFinishedIds = 65'536;

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

/// The exchange of a request that was handed over has ended. `ran_` is false if nothing reached the service instance;
/// the same id may then come again.
struct Finished {
    RequestId id_;
    bool ran_ { true };
    auto operator<=>(const Finished&) const = default;
};

/// The sender of a request no longer waits for its answer.
struct Cancelled {
    RequestId id_;
    auto operator<=>(const Cancelled&) const = default;
};

/// Time to refuse what can no longer be served.
struct DeadlinesChecked {
    auto operator<=>(const DeadlinesChecked&) const = default;
};

/// From now on everything new is refused.
struct DrainBegan {
    auto operator<=>(const DrainBegan&) const = default;
};

using GateMessage = std::variant<Arrived, Finished, Cancelled, DeadlinesChecked, DrainBegan>;

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

/// Answer "unknown": the request was handed over, and its deadline has passed without an answer.
struct Abandon {
    RequestId id_;
    auto operator<=>(const Abandon&) const = default;
};

/// Answer "unknown" to a request whose id is already here or has been handed over before.
struct AnswerRepeat {
    RequestId id_;
    auto operator<=>(const AnswerRepeat&) const = default;
};

using GateAction = std::variant<HandOver, Refuse, Abandon, AnswerRepeat>;

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
    /// True if the request waits, runs or has finished within the retention.
    bool knows(const RequestId& id) const { return held_.contains(id) || finished_.contains(id); }
    /// Requests handed over and not finished.
    size_t running() const { return running_; }
    /// Requests that wait or run.
    size_t held() const { return held_.size(); }
    /// Ids of finished requests that are kept.
    size_t finished() const { return finished_.size(); }
    bool operator==(const Gate&) const = default;

private:
    friend struct GateRules;
    struct Endpoint {
        EndpointCapacity capacity_;
        uint32_t running_ { 0 };
        std::set<Waiting> queue_;
        // Mean time from hand-over to the end, in microseconds; 0 until one has finished.
        int64_t meanServiceMicroseconds_ { 0 };
        auto operator<=>(const Endpoint&) const = default;
    };
    // A request that waits or runs.
    struct Held {
        EndpointName endpoint_;
        Waiting waiting_;
        bool isRunning_ { false };
        // Its sender has had an answer or left.
        bool isAbandoned_ { false };
        Instant handedOverAt_;
        auto operator<=>(const Held&) const = default;
    };
    struct FinishedId {
        Instant at_;
        RequestId id_;
        auto operator<=>(const FinishedId&) const = default;
    };

    std::map<EndpointName, Endpoint> endpoints_;
    std::map<RequestId, Held> held_;
    std::set<RequestId> finished_;
    std::deque<FinishedId> finishedInOrder_;
    size_t running_ { 0 };
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
