/// The events of a run: load of the services, arrivals of batch tasks, a failure domain out of service, the owner of
/// the slowdown model unreachable.
#pragma once

#include "GroundTruth.h"
#include "persimmondoor/colocation/Policy.h"
#include "persimmondoor/core/Tier.h"

#include <string>
#include <vector>

namespace persimmondoor::colocation {

/// Cluster sizes and weights of a user.
struct User {
    std::string name_;
    double cores_ { 64 };
    double serviceCoresAtFullLoad_ { 16 };
    Weights weights_;
    /// Bounds of the run times of batch tasks, in seconds.
    double shortestRun_ { 60 };
    double longestRun_ { 1800 };
};

User lankacell();
User sorteos();

inline constexpr size_t workers = 11;
inline constexpr size_t failureDomains = 4;
inline constexpr size_t workersPerDomain = 3;

enum class TraceKind { Steady,
    DailySwing,
    Wave,
    OwnerLost,
    DomainOut,
    WrongSizes };

inline constexpr std::array allTraces { TraceKind::Steady, TraceKind::DailySwing, TraceKind::Wave, TraceKind::OwnerLost, TraceKind::DomainOut, TraceKind::WrongSizes };

const char* describe(TraceKind kind);

struct BatchTask {
    size_t number_ { 0 };
    int arrivesAt_ { 0 };
    size_t class_ { 0 };
    Tier tier_ { Tier::Trial };
    double declaredCores_ { 0 };
    double cores_ { 0 };
    double declaredSeconds_ { 0 };
    /// Work of the task, in processor-seconds.
    double work_ { 0 };
};

struct Window {
    int begin_ { 0 };
    int end_ { 0 };
    bool contains(int second) const { return second >= begin_ && second < end_; }
};

struct Trace {
    TraceKind kind_ { TraceKind::Steady };
    uint64_t seed_ { 0 };
    int seconds_ { 0 };
    /// Load of each worker's instance per second, with all failure domains in service.
    std::vector<std::array<double, workers>> load_;
    std::vector<BatchTask> tasks_;
    Window domainOut_;
    Window ownerLost_;
};

/// Processors of a worker that batch tasks may reserve.
double batchCapacity(const User& user);

/// Average demand of the arriving tasks as a part of the batch capacity.
inline constexpr double demandFraction = 0.75;

Trace makeTrace(TraceKind kind, const User& user, uint64_t seed, int seconds);

} // namespace persimmondoor::colocation
