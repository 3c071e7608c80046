/// Decides which endpoint gets a request, whether a request that failed is tried again, and which endpoints are taken
/// out for a time. A request that may have run is tried again only if it is idempotent.
///
/// \code
/// Router router = decide(Router(), ServiceDefined { service, Tier::Paying, std::chrono::seconds(1) }, now).state_;
/// RouterDecision decision = decide(router, Route { id, service }, now);
/// \endcode
#pragma once

#include "persimmondoor/routing/Chooser.h"
#include "persimmondoor/routing/RetryBudget.h"

#include <map>
#include <string>

namespace persimmondoor::routing {

/// Most times that one request is sent to an endpoint.
inline constexpr uint32_t maximumAttempts = 3;
/// Failures in a row after which an endpoint is taken out.
inline constexpr uint32_t failuresToEject = 3;
/// Time for which an endpoint is taken out at first; doubles each time until `maximumEjection`.
inline constexpr Duration firstEjection = std::chrono::seconds(1);
inline constexpr Duration maximumEjection = std::chrono::seconds(30);
/// At most this share of a service's endpoints is taken out at once, as a divisor.
inline constexpr size_t ejectedShareDivisor = 2;

/// A service may be called; or its definition changed.
struct ServiceDefined {
    ServiceName service_;
    Tier tier_ { Tier::Trial };
    /// Time a request may take when its caller sets none.
    Duration deadline_ { 0 };
    auto operator<=>(const ServiceDefined&) const = default;
};

/// A service may no longer be called.
struct ServiceRemoved {
    ServiceName service_;
    auto operator<=>(const ServiceRemoved&) const = default;
};

/// A request needs an endpoint.
struct Route {
    RequestId id_;
    ServiceName service_;
    /// Trial lowers the request below the tier of its service; Paying leaves it there.
    Tier tier_ { Tier::Paying };
    bool idempotent_ { false };
    /// Time left until the caller's deadline; zero for the service's own.
    Duration timeLeft_ { 0 };
    auto operator<=>(const Route&) const = default;
};

enum class AnswerKind { Done,
    NotRun,
    Unknown };

/// The request sent to `endpoint_` has ended.
struct Answered {
    RequestId id_;
    EndpointName endpoint_;
    admission::EndpointLoad load_;
    AnswerKind kind_ { AnswerKind::Done };
    /// Why it was not run, if so.
    NotRunReason reason_ { NotRunReason::Unspecified };
    auto operator<=>(const Answered&) const = default;
};

/// The caller of a request no longer waits.
struct Forgotten {
    RequestId id_;
    auto operator<=>(const Forgotten&) const = default;
};

using RouterMessage = std::variant<ServiceDefined, ServiceRemoved, membership::WorkerUp, membership::WorkerGone, Route, Answered, Forgotten>;

/// Send the request to this endpoint.
struct SendTo {
    RequestId id_;
    WorkerName worker_;
    EndpointName endpoint_;
    Address agent_;
    Tier tier_ { Tier::Trial };
    Duration timeLeft_ { 0 };
    auto operator<=>(const SendTo&) const = default;
};

/// Answer "not run"; no agent has seen the request.
struct Reject {
    RequestId id_;
    NotRunReason reason_ { NotRunReason::NoEndpoint };
    std::string detail_;
    auto operator<=>(const Reject&) const = default;
};

/// Give the caller the outcome of the last attempt; if an earlier one may have run, "not run" becomes "unknown".
struct Deliver {
    RequestId id_;
    bool mayHaveRun_ { false };
    auto operator<=>(const Deliver&) const = default;
};

using RouterAction = std::variant<SendTo, Reject, Deliver>;

struct RouterOptions {
    /// Start of the random choices.
    uint32_t seed_ { 1 };
    Chooser chooser_ { LeastExpectedTime {} };
    auto operator<=>(const RouterOptions&) const = default;
};

class Router {
public:
    explicit Router(RouterOptions options = {})
        : options_(options)
        , random_(options_.seed_)
    {
    }

    /// All endpoints by name.
    std::map<EndpointName, Candidate> candidates() const;
    /// Requests under way.
    size_t inFlight() const { return requests_.size(); }
    bool operator==(const Router&) const = default;

private:
    friend struct RouterRules;
    // A service's endpoints and what has been learned of them.
    struct Pool {
        std::optional<ServiceDefined> definition_;
        std::vector<Candidate> candidates_;
        Chooser chooser_;
        RetryBudget budget_;
        bool operator==(const Pool&) const = default;
    };
    // A request under way.
    struct Request {
        ServiceName service_;
        Tier tier_ { Tier::Trial };
        bool idempotent_ { false };
        Instant deadline_;
        uint32_t attempts_ { 0 };
        bool mayHaveRun_ { false };
        // The current attempt.
        EndpointName endpoint_;
        FailureDomainName domain_;
        Incarnation incarnation_;
        Instant sentAt_;
        auto operator<=>(const Request&) const = default;
    };

    RouterOptions options_;
    std::map<ServiceName, Pool> pools_;
    std::map<RequestId, Request> requests_;
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
