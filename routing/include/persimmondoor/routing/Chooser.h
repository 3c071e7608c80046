/// Ways to choose one endpoint of a service, as alternatives of a variant.
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

/// A load in an answer counts for this long; afterwards only the entry's own requests count.
inline constexpr Duration loadFreshness = std::chrono::seconds(1);
/// The latency of an endpoint that gives no answers halves in the eyes of the chooser after each such time, so that it
/// is tried again.
inline constexpr Duration latencyHalfLife = std::chrono::seconds(2);

/// An endpoint that requests may go to.
struct Candidate {
    WorkerName worker_;
    membership::EndpointOffer offer_;
    FailureDomainName domain_;
    Address agent_;
    Incarnation incarnation_;
    /// Requests of this entry that are under way.
    uint32_t inFlight_ { 0 };
    /// Load in the last answer, and when it came.
    admission::EndpointLoad load_;
    Instant loadAt_;
    /// Smoothed time to an answer, 0 until there is one, and when the last came.
    Duration latency_ { 0 };
    Instant latencyAt_;
    /// Failures since the last success.
    uint32_t failures_ { 0 };
    /// Times taken out since the last success.
    uint32_t ejections_ { 0 };
    /// Until then it gets nothing; afterwards one request at a time until one succeeds.
    std::optional<Instant> ejectedUntil_;
    /// Its agent said that it drains.
    bool draining_ { false };
    auto operator<=>(const Candidate&) const = default;

    /// Requests at the endpoint as far as known: of this entry, or of all entries if more and fresh.
    uint32_t knownLoad(Instant now) const;
    /// Requests that may be at the endpoint before this entry sends no more of that tier.
    uint32_t loadLimit(Tier) const;
    /// The candidate after an answer that took `sample`: an exponentially weighted mean, whose older part also fades with
    /// the time without answers.
    Candidate withLatency(Duration sample, Instant now) const;
};

/// Each endpoint in turn.
struct RoundRobin {
    size_t next_ { 0 };
    auto operator<=>(const RoundRobin&) const = default;
};

/// Of two random endpoints the one with less load for each slot: M. Mitzenmacher, "The Power of Two Choices in
/// Randomized Load Balancing", IEEE TPDS 12(10), 2001.
struct LeastOfTwo {
    auto operator<=>(const LeastOfTwo&) const = default;
};

/// Of two random endpoints the one whose latency times its load for each slot is less.
struct LeastExpectedTime {
    auto operator<=>(const LeastExpectedTime&) const = default;
};

using Chooser = std::variant<RoundRobin, LeastOfTwo, LeastExpectedTime>;

/// Chooses among `candidates` those for which `isEligible` holds.
/// \return the choice, or null if none is eligible.
Candidate* choose(Chooser&, std::minstd_rand& random, std::vector<Candidate>& candidates, const std::function<bool(const Candidate&)>& isEligible, Instant now);

} // namespace persimmondoor::routing
