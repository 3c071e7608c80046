/// Admission control of an agent: decides which requests are handed over to the service instances beside it. An
/// endpoint never runs more requests than it has slots, paying requests are served before trial ones, no request is
/// handed over after its deadline, and an id whose request may have run is not handed over again within the retention
/// of finished ids.
///
/// A request whose sender cancelled or whose deadline passed keeps its slot until the exchange with the service
/// instance has ended, because the instance is still busy with it. Pure state and decisions, without I/O.
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
#include <string>
#include <tuple>
#include <variant>

namespace persimmondoor::admission {

/// Longest queue of an endpoint, as a multiple of its slots.
inline constexpr uint32_t queuePerSlot = 4;

/// Time for which the id of a finished request is kept to detect duplicates.
inline constexpr Duration finishedRetention = std::chrono::minutes(2);
/// Upper bound on the ids of finished requests; beyond it the oldest is dropped before its retention ends.
inline constexpr size_t maximumFinishedIds = 65'536;

/// Concurrency limits of an endpoint.
struct EndpointCapacity {
    EndpointName endpoint_;
    uint32_t slots_ { 0 };
    uint32_t connections_ { 0 };
    auto operator<=>(const EndpointCapacity&) const = default;
};

/// A request for `endpoint_` arrived.
struct Arrived {
    RequestId id_;
    EndpointName endpoint_;
    Tier tier_ { Tier::Trial };
    Instant deadline_;
    auto operator<=>(const Arrived&) const = default;
};

/// The exchange of a request that was handed over has ended. `hasRun_` is false if no byte was sent to the service
/// instance; a request with the same id is then accepted again.
struct Finished {
    RequestId id_;
    bool hasRun_ { true };
    auto operator<=>(const Finished&) const = default;
};

/// The sender of a request cancelled it and does not wait for its answer.
struct Cancelled {
    RequestId id_;
    auto operator<=>(const Cancelled&) const = default;
};

/// Periodic check: refuses queued requests and abandons running ones whose deadline has passed.
struct DeadlineCheckDue {
    auto operator<=>(const DeadlineCheckDue&) const = default;
};

/// From now on all new requests are refused; those in flight are finished.
struct DrainBegan {
    auto operator<=>(const DrainBegan&) const = default;
};

using GateMessage = std::variant<Arrived, Finished, Cancelled, DeadlineCheckDue, DrainBegan>;

/// Send the request to the service instance.
struct HandOver {
    RequestId id_;
    EndpointName endpoint_;
    auto operator<=>(const HandOver&) const = default;
};

/// Answer `NotRun`: the request was never handed over.
struct Refuse {
    RequestId id_;
    NotRunReason reason_ { NotRunReason::QueueFull };
    auto operator<=>(const Refuse&) const = default;
};

/// Answer `Unknown`: the request was handed over, and its deadline has passed without a response.
struct Abandon {
    RequestId id_;
    auto operator<=>(const Abandon&) const = default;
};

/// Answer `Unknown`: a request with this id is in flight or has finished within the retention. `NotRun` would be wrong,
/// as that request may run or have run.
struct AnswerDuplicate {
    RequestId id_;
    auto operator<=>(const AnswerDuplicate&) const = default;
};

using GateAction = std::variant<HandOver, Refuse, Abandon, AnswerDuplicate>;

/// A request in the queue of an endpoint. The order of comparison is the order of service: paying before trial, then by
/// arrival.
struct QueuedRequest {
    Tier tier_ { Tier::Trial };
    uint64_t arrivalNumber_ { 0 };
    RequestId id_;
    Instant deadline_;
    auto operator<=>(const QueuedRequest&) const = default;
};

class Gate {
public:
    /// \return the gate, or InvalidArgument for an endpoint without slots, with fewer connections than slots, or listed
    /// twice.
    static absl::StatusOr<Gate> create(const std::vector<EndpointCapacity>&);

    /// \return the load of the endpoint; all zero if the endpoint does not exist.
    EndpointLoad load(const EndpointName&) const;
    /// True if the request is in flight or has finished within the retention.
    bool isKnown(const RequestId& id) const { return inFlight_.contains(id) || finished_.contains(fingerprint(id)); }
    /// Number of requests that were handed over and have not finished.
    size_t running() const { return running_; }
    /// Number of requests that are queued or running.
    size_t inFlight() const { return inFlight_.size(); }
    /// Number of ids of finished requests that are kept.
    size_t finished() const { return finished_.size(); }
    bool operator==(const Gate&) const = default;

private:
    friend struct GateRules;
    struct Endpoint {
        EndpointCapacity capacity_;
        uint32_t running_ { 0 };
        std::set<QueuedRequest> queue_;
        // Moving average of the time from hand-over to the end of a request; 0 until the first has finished.
        int64_t meanServiceMicroseconds_ { 0 };
        auto operator<=>(const Endpoint&) const = default;
    };
    // A request that is queued or running.
    struct InFlightRequest {
        EndpointName endpoint_;
        QueuedRequest queuedRequest_;
        bool isRunning_ { false };
        // Running, but the sender has been answered or has cancelled.
        bool isAbandoned_ { false };
        Instant handedOverAt_;
        auto operator<=>(const InFlightRequest&) const = default;
    };
    // Stands for the id of a finished request, as strings would take several times the memory. Requests with the same
    // fingerprint are taken for duplicates; their answer, `Unknown`, is true in any case.
    using Fingerprint = uint64_t;
    static Fingerprint fingerprint(const RequestId& id) { return std::hash<std::string>()(id.value()); }
    struct FinishedId {
        Instant finishedAt_;
        Fingerprint fingerprint_ { 0 };
        auto operator<=>(const FinishedId&) const = default;
    };

    std::map<EndpointName, Endpoint> endpoints_;
    std::map<RequestId, InFlightRequest> inFlight_;
    std::set<Fingerprint> finished_;
    std::deque<FinishedId> finishedInOrder_;
    size_t running_ { 0 };
    uint64_t nextArrivalNumber_ { 0 };
    bool isDraining_ { false };
};

struct GateDecision {
    Gate state_;
    std::vector<GateAction> actions_;
    bool operator==(const GateDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
GateDecision decide(Gate state, const GateMessage& message, Instant now);

} // namespace persimmondoor::admission
