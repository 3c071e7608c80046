/// Runs one trace through the decision functions of placement and colocation. There is no model of network or
/// processes: a second is one step, and an order takes effect at once.
#pragma once

#include "Trace.h"

namespace persimmondoor::colocation {

enum class PolicyKind { None,
    Uncontrolled,
    Fixed,
    Learned };

inline constexpr std::array allPolicies { PolicyKind::None, PolicyKind::Uncontrolled, PolicyKind::Fixed, PolicyKind::Learned };

const char* describe(PolicyKind kind);

struct RunSettings {
    PolicyKind policy_ { PolicyKind::None };
    int lagSeconds_ { 5 };
    /// Standard deviation of the logarithm of a measured tail.
    double noise_ { 0.1 };
};

struct RunResult {
    /// Latency of all requests, in milliseconds.
    double p99_ { 0 };
    double p999_ { 0 };
    /// Batch work done and kept, in processor-hours.
    double work_ { 0 };
    /// The same from the domain's leaving until a sixth of the run after its return.
    double workAroundOutage_ { 0 };
    int evictions_ { 0 };
    /// Tasks moved because operators took their domain out of service.
    int plannedMoves_ { 0 };
    int finished_ { 0 };
    int throttles_ { 0 };
    bool operator==(const RunResult&) const = default;
};

/// Upper bound, in processor-hours, of the work that any policy can do which keeps every worker's slowdown at or below
/// `slowdown` in every second: all work is there from the start, can be split at will, and the law is known. The allowed
/// slowdown of all seconds is spent on the classes that harm least.
double possibleWork(const Trace& trace, const User& user, double slowdown);

RunResult run(const Trace& trace, const User& user, const RunSettings& settings);

} // namespace persimmondoor::colocation
