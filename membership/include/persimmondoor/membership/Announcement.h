/// The announcement by which an agent publishes its worker, and the endpoints on the worker's host, to the entries.
///
/// \code
/// Announcement first { worker, domain, rack, Incarnation(7), Sequence(1), address, { offer }, false };
/// bool supersedes = second.isNewerThan(first);
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Ids.h"

#include <vector>

namespace persimmondoor::membership {

/// A service instance that accepts requests, with its concurrency limits.
struct EndpointOffer {
    EndpointName endpoint_;
    ServiceName service_;
    TeamName team_;
    uint32_t slots_ { 0 };
    uint32_t connections_ { 0 };
    auto operator<=>(const EndpointOffer&) const = default;
};

struct Announcement {
    WorkerName worker_;
    FailureDomainName domain_;
    RackName rack_;
    Incarnation incarnation_;
    Sequence sequence_;
    Address rpcAddress_;
    std::vector<EndpointOffer> endpoints_;
    bool isLeaving_ { false };
    auto operator<=>(const Announcement&) const = default;

    /// True if this was sent after `other` by the same worker: in a later incarnation, or later in the same one.
    bool isNewerThan(const Announcement& other) const
    {
        return std::pair(incarnation_, sequence_) > std::pair(other.incarnation_, other.sequence_);
    }
};

} // namespace persimmondoor::membership
