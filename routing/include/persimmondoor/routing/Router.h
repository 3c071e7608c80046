/// Decides which endpoint gets a request, whether a failed request is retried, and which endpoints are ejected for a
/// time. A request that may have run is retried only if it is idempotent. `RouterActor` executes the decisions.
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

/// Maximum number of attempts of one request, the first one included.
inline constexpr uint32_t maximumAttempts = 3;
/// Consecutive failures after which an endpoint is ejected.
inline constexpr uint32_t failuresToEject = 3;
/// Duration of the first ejection of an endpoint; it doubles with each further one up to `maximumEjection`.
inline constexpr Duration firstEjection = std::chrono::seconds(1);
inline constexpr Duration maximumEjection = std::chrono::seconds(30);
/// At most 1 / `ejectedShareDivisor` of a service's endpoints is ejected at a time.
inline constexpr size_t ejectedShareDivisor = 2;

/// A service accepts requests from now on, or its definition changed.
struct ServiceDefined {
    ServiceName service_;
    Tier tier_ { Tier::Trial };
    /// Time limit of a request whose caller sets no deadline.
    Duration deadline_ { 0 };
    auto operator<=>(const ServiceDefined&) const = default;
};

/// A service accepts no more requests.
struct ServiceRemoved {
    ServiceName service_;
    auto operator<=>(const ServiceRemoved&) const = default;
};

/// A request has to be sent to an endpoint.
struct Route {
    RequestId id_;
    ServiceName service_;
    /// `Tier::Trial` lowers the request to the trial tier; `Tier::Paying` leaves it at the tier of its service.
    Tier tier_ { Tier::Paying };
    bool idempotent_ { false };
    /// Time left until the caller's deadline; zero stands for the service's own deadline.
    Duration timeLeft_ { 0 };
    auto operator<=>(const Route&) const = default;
};

enum class AnswerKind { Done,
    NotRun,
    Unknown };

/// The attempt at `endpoint_` has ended.
struct Answered {
    RequestId id_;
    EndpointName endpoint_;
    admission::EndpointLoad load_;
    AnswerKind kind_ { AnswerKind::Done };
    /// Reason why the request was not run; unused for other kinds.
    NotRunReason reason_ { NotRunReason::Unspecified };
    auto operator<=>(const Answered&) const = default;
};

/// The caller of a request no longer waits for its outcome.
struct Cancelled {
    RequestId id_;
    auto operator<=>(const Cancelled&) const = default;
};

using RouterMessage = std::variant<ServiceDefined, ServiceRemoved, membership::WorkerUp, membership::WorkerGone, Route, Answered, Cancelled>;

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

/// Answer "not run"; the request was sent to no agent.
struct Reject {
    RequestId id_;
    NotRunReason reason_ { NotRunReason::NoEndpoint };
    std::string detail_;
    auto operator<=>(const Reject&) const = default;
};

/// Answer with the outcome of the last attempt; if any attempt may have run, "not run" becomes "unknown".
struct Deliver {
    RequestId id_;
    bool mayHaveRun_ { false };
    auto operator<=>(const Deliver&) const = default;
};

using RouterAction = std::variant<SendTo, Reject, Deliver>;

struct RouterOptions {
    /// Seed of the random choices.
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

    /// All known endpoints by name.
    std::map<EndpointName, Candidate> candidates() const;
    /// Number of requests in flight.
    size_t inFlight() const { return requests_.size(); }
    bool operator==(const Router&) const = default;

private:
    friend struct RouterRules;
    // The definition, endpoints and retry budget of a service.
    struct Pool {
        std::optional<ServiceDefined> definition_;
        std::vector<Candidate> candidates_;
        Chooser chooser_;
        RetryBudget budget_;
        bool operator==(const Pool&) const = default;
    };
    // A request in flight.
    struct Request {
        ServiceName service_;
        Tier tier_ { Tier::Trial };
        bool idempotent_ { false };
        Instant deadline_;
        uint32_t attempts_ { 0 };
        bool mayHaveRun_ { false };
        // Endpoint, domain, incarnation and start of the current attempt.
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
