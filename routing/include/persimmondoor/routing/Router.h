/// Decides which endpoint gets a request: of two random ones that serve the service, the less loaded.
///
/// \code
/// Router router = decide(Router(), ServiceDefined { service, Tier::Paying, std::chrono::seconds(1) }, now).state_;
/// RouterDecision decision = decide(router, Route { id, service }, now);
/// \endcode
#pragma once

#include "persimmondoor/admission/Request.h"
#include "persimmondoor/membership/View.h"

#include <map>
#include <random>
#include <variant>
#include <vector>

namespace persimmondoor::routing {

/// A service may be called; or its definition changed.
struct ServiceDefined {
    ServiceName service_;
    Tier tier_ { Tier::Trial };
    /// Time a request may take when its caller sets none.
    Duration deadline_ { 0 };
    auto operator<=>(const ServiceDefined&) const = default;
};

/// A request needs an endpoint.
struct Route {
    RequestId id_;
    ServiceName service_;
    auto operator<=>(const Route&) const = default;
};

/// The request sent to `endpoint_` has ended.
struct Answered {
    RequestId id_;
    EndpointName endpoint_;
    admission::EndpointLoad load_;
    auto operator<=>(const Answered&) const = default;
};

using RouterMessage = std::variant<ServiceDefined, membership::WorkerUp, membership::WorkerGone, Route, Answered>;

/// Send the request to this endpoint.
struct SendTo {
    RequestId id_;
    WorkerName worker_;
    EndpointName endpoint_;
    Address agent_;
    Tier tier_ { Tier::Trial };
    Duration deadline_ { 0 };
    auto operator<=>(const SendTo&) const = default;
};

/// Answer "not run".
struct Reject {
    RequestId id_;
    NotRunReason reason_ { NotRunReason::NoEndpoint };
    std::string detail_;
    auto operator<=>(const Reject&) const = default;
};

using RouterAction = std::variant<SendTo, Reject>;

/// An endpoint that requests may go to.
struct Candidate {
    WorkerName worker_;
    membership::EndpointOffer offer_;
    FailureDomainName domain_;
    Address agent_;
    /// Requests of this entry that are under way.
    uint32_t inFlight_ { 0 };
    /// Load in the last answer.
    admission::EndpointLoad load_;
    auto operator<=>(const Candidate&) const = default;
};

class Router {
public:
    explicit Router(uint32_t seed = 1)
        : random_(seed)
    {
    }

    const std::map<EndpointName, Candidate>& candidates() const { return candidates_; }
    bool operator==(const Router&) const = default;

private:
    friend struct RouterRules;
    std::map<ServiceName, ServiceDefined> services_;
    std::map<EndpointName, Candidate> candidates_;
    std::map<ServiceName, std::vector<EndpointName>> endpointsOfService_;
    std::minstd_rand random_;
};

struct RouterDecision {
    Router state_;
    std::vector<RouterAction> actions_;
    bool operator==(const RouterDecision&) const = default;
};

/// Applies `message` to `state` at time `now`.
RouterDecision decide(Router state, const RouterMessage& message, Instant now);

} // namespace persimmondoor::routing
