// How much of a service's capacity is taken, without the cores of filling tasks: those are lent and do not keep others waiting.
//
//     ServiceUse use = useOf(state, "packs", now);
//     bool isFree = use.isMostlyFree(state.tuning_.maximumTakenPercent_);
#pragma once

#include "LeaderRules.h"

namespace persimmondoor::workflow {

// Capacity of some workers, and the part of it that is taken.
struct CapacityUse {
    int64_t milliCores_ { 0 };
    int64_t takenMilliCores_ { 0 };
    int64_t memoryBytes_ { 0 };
    int64_t takenMemoryBytes_ { 0 };
    auto operator<=>(const CapacityUse&) const = default;

    int64_t coresPercent() const;
    int64_t memoryPercent() const;
    // True if no more than this share of the cores and of the memory is taken.
    bool isWithin(int64_t percent) const;
};

struct ServiceUse {
    // The workers that may be given runs, quarantined ones included.
    CapacityUse open_;
    // All that are up, such as those in an evacuated domain and those that drain.
    CapacityUse up_;
    auto operator<=>(const ServiceUse&) const = default;

    // True if most is free of either: room that is closed for a while is free for those who look at the service as a whole.
    bool isMostlyFree(int64_t maximumTakenPercent) const;
};

// Adds a worker of the service.
void addWorker(ServiceUse&, const LeaderState&, const Worker&, Instant now);
// Visits all workers.
ServiceUse useOf(const LeaderState&, const std::string& service, Instant now);

} // namespace persimmondoor::workflow
