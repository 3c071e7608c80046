/// What processes tell each other of the leadership of the queues.
///
/// \code
/// LeaderView view { LeaderEpoch(3), address, false, writeAge, contactAge };
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Exchange.h"

#include <optional>

namespace persimmondoor::workflow {

/// What a process knows of the leadership.
struct LeaderView {
    LeaderEpoch epoch_;
    /// Where the leader's scheduler listens; nothing if no leader is known.
    std::optional<Address> address_;
    /// The process that tells this is the leader.
    bool isSelf_ { false };
    /// Time since the leader last wrote durably, as far as the process knows.
    Duration writeAge_ { 0 };
    /// Time since the leader last answered the process, or another that told it.
    Duration contactAge_ { 0 };
    auto operator<=>(const LeaderView&) const = default;
};

} // namespace persimmondoor::workflow
