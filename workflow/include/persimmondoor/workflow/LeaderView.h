/// State of the leadership of the queues, as processes exchange it.
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

/// The leadership as one process knows it.
struct LeaderView {
    LeaderEpoch epoch_;
    /// Address at which the leader's scheduler listens; empty if no leader is known.
    std::optional<Address> address_;
    /// True if the process that sends this view is the leader.
    bool isSelf_ { false };
    /// Time since the leader's last durable write, as far as the process knows.
    Duration writeAge_ { 0 };
    /// Time since the leader last answered this process, or another process whose view it received.
    Duration contactAge_ { 0 };
    /// The steady clock of the leader's host as the leader sent this view; empty in the views of others.
    std::optional<Instant> clock_ {};
    auto operator<=>(const LeaderView&) const = default;
};

} // namespace persimmondoor::workflow
