/// Runs one trace through the decision functions of placement and colocation, in steps of one second. Network and
/// processes are not modelled: an order takes effect immediately.
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
    /// Standard deviation of the logarithm of a measured tail latency.
    double noise_ { 0.1 };
};

struct RunResult {
    /// Latency of all requests, in milliseconds.
    double p99_ { 0 };
    double p999_ { 0 };
    /// Batch work done and not lost, in processor-hours.
    double work_ { 0 };
    /// Batch work from the time the failure domain goes out of service until a sixth of the run after its return.
    double workAroundOutage_ { 0 };
    int evictions_ { 0 };
    /// Tasks moved because operators took their failure domain out of service.
    int plannedMoves_ { 0 };
    int finished_ { 0 };
    int throttles_ { 0 };
    bool operator==(const RunResult&) const = default;
};

/// Upper bound on the batch work, in processor-hours, of a policy that knows the ground truth, measures without lag,
/// moves work at no cost and keeps the slowdown at `slowdown` in every second. The processors and the allowed slowdown
/// of all workers are pooled, and in each second they are assigned to the waiting tasks that do the least harm.
double workUpperBound(const Trace& trace, const User& user, double slowdown);

RunResult run(const Trace& trace, const User& user, const RunSettings& settings);

} // namespace persimmondoor::colocation
