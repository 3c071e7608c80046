/// Faults that tests and drills inject into the stand-ins of the table service and the object store.
///
/// \code
/// table.inject(StoreFaults { .down_ = true });
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

namespace persimmondoor::store {

struct StoreFaults {
    /// Every call fails with Unavailable, and nothing is written.
    bool down_ { false };
    /// Delay before each call takes effect.
    Duration delay_ { 0 };
    /// Number of next writes that take effect but whose reply is lost.
    int repliesToLose_ { 0 };
    auto operator<=>(const StoreFaults&) const = default;
};

using TableFaults = StoreFaults;
using ObjectFaults = StoreFaults;

} // namespace persimmondoor::store
