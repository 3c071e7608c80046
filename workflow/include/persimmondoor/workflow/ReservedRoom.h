/// Room on a worker that is reserved for other than its assigned tasks.
///
/// \code
/// StoppingRun stopping { step.demand_, stopOrder };
/// RoomHold hold { step.demand_, queue.priority_, now };
/// \endcode
#pragma once

#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Exchange.h"

#include <cstdint>

namespace persimmondoor::workflow {

/// Room on a worker that is held for a waiting task: tasks of the same or a lower priority must leave it free.
struct RoomHold {
    Resources demand_;
    /// Priority of the waiting task's queue; 0 is the highest.
    uint32_t priority_ { 0 };
    /// Since when the room is held on this worker.
    Instant since_;
    /// The hold has lasted for `Tuning::shareCoresAfter_`.
    bool isFutile_ { false };
    bool operator==(const RoomHold&) const = default;
};

/// Room of a run that no task is assigned to any more and that its worker has not stopped yet.
struct StoppingRun {
    /// Without the cores of a filling run, which count against no capacity.
    Resources demand_;
    /// The order to stop the run; 0 if it was given in an earlier session of the agent.
    OrderNumber order_;
    bool operator==(const StoppingRun&) const = default;
};

} // namespace persimmondoor::workflow
