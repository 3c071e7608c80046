/// Load-balancing strategies: each chooses one endpoint of a service. They are the alternatives of a variant.
///
/// \code
/// Chooser chooser = LeastExpectedTime {};
/// Candidate* chosen = choose(chooser, random, candidates, isEligible, now);
/// \endcode
#pragma once

#include "persimmondoor/admission/Request.h"
#include "persimmondoor/membership/View.h"

#include <functional>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace persimmondoor::routing {

/// A load reported in an answer is used for this long; afterwards only the entry's own requests count.
inline constexpr Duration loadFreshness = std::chrono::seconds(1);
/// Half-life of the latency estimate of an endpoint that gives no answers. The estimate decays so that an endpoint that
/// was measured as slow is tried again.
inline constexpr Duration latencyHalfLife = std::chrono::seconds(2);

/// An endpoint that requests may be sent to, with the load, latency and failures that this entry has observed.
struct Candidate {
    WorkerName worker_;
    membership::EndpointOffer offer_;
    FailureDomainName domain_;
    Address agent_;
    Incarnation incarnation_;
    /// Requests of this entry in flight at the endpoint.
    uint32_t inFlight_ { 0 };
    /// Load reported in the last answer, and the time at which that answer was received.
    admission::EndpointLoad load_;
    Instant loadReceivedAt_;
    /// Smoothed time to an answer, 0 before the first answer, and the time of its last update.
    Duration latency_ { 0 };
    Instant latencyUpdatedAt_;
    /// Failures since the last success.
    uint32_t failures_ { 0 };
    /// Ejections since the last success.
    uint32_t ejections_ { 0 };
    /// End of the ejection. Until then the endpoint gets no requests; afterwards it gets one at a time, as a probe, until
    /// one succeeds.
    std::optional<Instant> ejectedUntil_;
    /// The agent has refused a request because it drains.
    bool isDraining_ { false };
    auto operator<=>(const Candidate&) const = default;

    /// Requests at the endpoint as far as this entry knows: its own, or the last reported load if that is fresh and
    /// higher.
    uint32_t knownLoad(Instant now) const;
    /// Load at which this entry stops sending requests of that tier to the endpoint.
    uint32_t loadLimit(Tier) const;
    /// \return the candidate after an answer that took `sample`. The latency is an exponentially weighted mean; the mean
    /// so far decays by the time without answers before the sample is added.
    Candidate withLatency(Duration sample, Instant now) const;
};

/// Chooses each endpoint in turn.
struct RoundRobin {
    size_t next_ { 0 };
    auto operator<=>(const RoundRobin&) const = default;
};

/// Draws two random endpoints and chooses the one with the lower load per slot: M. Mitzenmacher, "The Power of Two
/// Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001.
struct LeastOfTwo {
    auto operator<=>(const LeastOfTwo&) const = default;
};

/// Draws two random endpoints and chooses the one with the lower expected time: the latency times the load including the
/// new request, divided by the slots.
struct LeastExpectedTime {
    auto operator<=>(const LeastExpectedTime&) const = default;
};

using Chooser = std::variant<RoundRobin, LeastOfTwo, LeastExpectedTime>;

/// Chooses one of the `candidates` for which `isEligible` holds.
/// \return the chosen candidate, or null if none is eligible.
Candidate* choose(Chooser&, std::minstd_rand& random, std::vector<Candidate>& candidates, const std::function<bool(const Candidate&)>& isEligible, Instant now);

} // namespace persimmondoor::routing
