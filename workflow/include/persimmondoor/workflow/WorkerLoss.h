/// A worker that an agent no longer reaches, kept to tell workers that are lost together from one that a task crashed.
///
/// \code
/// state.losses_.push_back({ now, incarnation, !worker.suspects_.empty() });
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Worker.h"

namespace persimmondoor::workflow {

struct WorkerLoss {
    Instant at_;
    WorkerIncarnation worker_;
    /// A late suspect was on the worker.
    bool hostedSuspect_ { false };
    auto operator<=>(const WorkerLoss&) const = default;
};

} // namespace persimmondoor::workflow
