/// The request that an entry forwards to a service instance through an agent, and the agent's answer.
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

/// Header field that carries the request's id to the service instance. If the instance repeats the field in its
/// response, the agent detects a response that belongs to another request.
inline constexpr std::string_view requestIdHeader = "Persimmondoor-Request-Id";

/// Upper bound on `ServiceRequest::timeLeft_`; a longer time is reduced to it.
inline constexpr Duration maximumTimeLeft = std::chrono::minutes(10);

/// Largest response body, in bytes, that an agent forwards. A larger one gives `Unknown`: the request has run, and
/// a truncated body must not be taken for a complete one.
inline constexpr size_t maximumAnswerBytes = size_t { 16 } * 1024 * 1024;

struct ServiceRequest {
    RequestId id_;
    ServiceName service_;
    EndpointName endpoint_;
    Tier tier_ { Tier::Trial };
    /// The request may be executed more than once.
    bool idempotent_ { false };
    /// Time left until the caller's deadline. A duration and not a time stamp, because clocks of different hosts are
    /// never compared.
    Duration timeLeft_ { 0 };
    std::string method_;
    std::string target_;
    std::vector<HeaderField> headers_;
    std::string body_;
    bool operator==(const ServiceRequest&) const = default;
};

/// Load of an endpoint at the time of an answer.
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
