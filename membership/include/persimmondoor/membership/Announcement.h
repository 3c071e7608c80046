/// What an agent tells the entries about its worker and the endpoints beside it.
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

/// One service instance that takes requests.
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
    bool leaving_ { false };
    auto operator<=>(const Announcement&) const = default;

    /// True if this was sent after `other` by the same worker.
    bool isNewerThan(const Announcement& other) const
    {
        return std::pair(incarnation_, sequence_) > std::pair(other.incarnation_, other.sequence_);
    }
};

} // namespace persimmondoor::membership
