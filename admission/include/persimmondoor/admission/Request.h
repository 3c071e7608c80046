/// A caller's request on its way to a service instance, and the answer on its way back.
///
/// \code
/// ServiceRequest request { .id_ = RequestId::of("r-1"), .service_ = ServiceName::of("packs") };
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Outcome.h"
#include "persimmondoor/core/Tier.h"
#include "persimmondoor/core/Time.h"

namespace persimmondoor::admission {

/// Header field that tells a service instance the request's id. An instance that repeats it in its answer lets a
/// crossed answer be detected.
inline constexpr std::string_view requestIdHeader = "Persimmondoor-Request-Id";

/// Longest time that a request may take.
inline constexpr Duration maximumTimeLeft = std::chrono::minutes(10);

/// Largest answer of a service instance that is passed on, in bytes of its body. A larger one gives "unknown": the
/// request has run, and its answer is not cut short.
inline constexpr size_t maximumAnswerBytes = size_t { 16 } * 1024 * 1024;

struct ServiceRequest {
    RequestId id_;
    ServiceName service_;
    EndpointName endpoint_;
    Tier tier_ { Tier::Trial };
    /// May run more than once without harm.
    bool idempotent_ { false };
    /// Time left until the caller's deadline. A span, as clocks are never compared across hosts.
    Duration timeLeft_ { 0 };
    std::string method_;
    std::string target_;
    std::vector<HeaderField> headers_;
    std::string body_;
    bool operator==(const ServiceRequest&) const = default;
};

/// An endpoint's load at the time of an answer.
struct EndpointLoad {
    uint32_t running_ { 0 };
    uint32_t queued_ { 0 };
    uint32_t slots_ { 0 };
    auto operator<=>(const EndpointLoad&) const = default;
};

struct ServiceAnswer {
    RequestOutcome outcome_;
    EndpointLoad load_;
    bool operator==(const ServiceAnswer&) const = default;
};

} // namespace persimmondoor::admission
