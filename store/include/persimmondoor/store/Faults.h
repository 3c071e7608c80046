/// Faults that the stand-ins of the platform's stores inject.
///
/// \code
/// table.inject(StoreFaults { .down_ = true });
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

namespace persimmondoor::store {

struct StoreFaults {
    /// Every call fails and nothing is written.
    bool down_ { false };
    /// Wait before each call takes effect.
    Duration delay_ { 0 };
    /// Number of coming writes that take effect while their reply is lost.
    int repliesToLose_ { 0 };
    auto operator<=>(const StoreFaults&) const = default;
};

using TableFaults = StoreFaults;
using ObjectFaults = StoreFaults;

} // namespace persimmondoor::store
