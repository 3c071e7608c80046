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

/// Work, in processor-hours, that a policy could do which knows the law, measures without lag, moves work at no cost and
/// keeps the slowdown at `slowdown` in every second: the processors and the allowed slowdown of all workers are pooled,
/// and spent in each second on the waiting tasks that harm least.
double possibleWork(const Trace& trace, const User& user, double slowdown);

RunResult run(const Trace& trace, const User& user, const RunSettings& settings);

} // namespace persimmondoor::colocation
