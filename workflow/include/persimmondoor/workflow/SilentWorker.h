/// A worker whose runs the leader has taken to be lost, as no agent reported it and its leases had expired. Runs may have ended
/// as done before, which only the lists of this worker show.
///
/// \code
/// SilentWorker silent { "agent-4", std::nullopt, { task } };
/// bool isListAwaited = silent.awaitedSince_ && now - *silent.awaitedSince_ < tuning.maximumListWait_;
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Job.h"

#include <optional>
#include <set>
#include <string>

namespace persimmondoor::workflow {

struct SilentWorker {
    /// The agent that reported the worker.
    std::string agent_;
    /// When that agent first attached after its last report of the worker, from which on the tasks wait for the worker's lists;
    /// empty before it has.
    std::optional<Instant> awaitedSince_;
    /// Tasks whose runs were lost, without long-running ones.
    std::set<TaskKey> tasks_;
    bool operator==(const SilentWorker&) const = default;
};

} // namespace persimmondoor::workflow
