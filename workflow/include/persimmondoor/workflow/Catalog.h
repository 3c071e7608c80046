/// The operators' configuration as far as scheduling needs it: queues, and the services whose workers run their tasks.
///
/// \code
/// const Queue* queue = catalog.find("nony24.example", "/lohu930/5c0e7a21d94b36f8");
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::workflow {

struct Queue {
    std::string name_;
    std::string host_;
    std::string prefix_;
    std::string service_;
    /// 0 comes first.
    uint32_t priority_ { 0 };
    /// Failed runs of one task after which its job has failed; 0 if not stated.
    uint32_t maxAttempts_ { 0 };
    /// Objective: `stretch_` times the longest chain of work, and `targetLatency_` more.
    double stretch_ { 1 };
    Duration targetLatency_ { 0 };
    Duration timeout_ { 0 };
    bool operator==(const Queue&) const = default;
};

struct ServicePolicy {
    std::string name_;
    /// The workers refuse what does not fit; otherwise only the scheduler guards their capacity.
    bool guardsCapacity_ { false };
    /// The pool's machines are switched off.
    bool isSpare_ { false };
    bool operator==(const ServicePolicy&) const = default;
};

struct Catalog {
    /// 0 before any configuration is known.
    uint64_t version_ { 0 };
    std::vector<Queue> queues_;
    std::vector<ServicePolicy> services_;

    /// The queue of a request: same host, longest prefix of the path.
    /// \return the queue, or null.
    const Queue* find(std::string_view host, std::string_view path) const;
    /// The queue of that host and prefix, or null.
    const Queue* findExact(std::string_view host, std::string_view prefix) const;
    bool operator==(const Catalog&) const = default;
};

} // namespace persimmondoor::workflow
