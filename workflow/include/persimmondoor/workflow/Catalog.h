/// The part of the operators' configuration that scheduling needs: queues, and the services whose workers run their
/// tasks.
///
/// \code
/// const Queue* queue = catalog.find("nony24.example", "/lohu930/5c0e7a21d94b36f8");
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::workflow {

struct Queue {
    std::string name_;
    std::string host_;
    std::string prefix_;
    std::string service_;
    /// Jobs of lower numbers are served first; 0 is the highest priority.
    uint32_t priority_ { 0 };
    /// Number of failed runs of one task after which its job fails; 0 for no bound. Does not apply to long-running tasks.
    uint32_t maxAttempts_ { 0 };
    /// A job's latency objective is `stretch_` times the estimate of its longest chain of steps, plus `targetLatency_`.
    double stretch_ { 1 };
    Duration targetLatency_ { 0 };
    /// Time-out that the operators configure for the queue; 0 if there is none. Stored, but not used by any decision.
    Duration timeout_ { 0 };
    bool operator==(const Queue&) const = default;
};

/// Configuration of a service. Not used by any decision: placement relies on what agents report of their workers.
struct ServicePolicy {
    std::string name_;
    /// The workers refuse runs that exceed their capacity. Without this flag only the scheduler enforces the capacity.
    bool guardsCapacity_ { false };
    /// The machines of the service's pool are switched off.
    bool isSpare_ { false };
    bool operator==(const ServicePolicy&) const = default;
};

struct Catalog {
    /// Version of the configuration; 0 before one has been received.
    uint64_t version_ { 0 };
    std::vector<Queue> queues_;
    std::vector<ServicePolicy> services_;

    /// The queue of a request: the one of the same host with the longest prefix of the path.
    /// \return the queue, or null.
    const Queue* find(std::string_view host, std::string_view path) const;
    /// \return the queue with exactly this host and prefix, or null.
    const Queue* findExact(std::string_view host, std::string_view prefix) const;
    /// \return the names of the services that have a policy or run the tasks of a queue.
    std::set<std::string> serviceNames() const;
    bool operator==(const Catalog&) const = default;
};

} // namespace persimmondoor::workflow
