/// State of a worker and of the runs on it, as its agent reports them.
///
/// \code
/// WorkerIncarnation earlier { "i-7f3a", 1733308107000, "host-4" };
/// WorkerIncarnation later { "i-90c2", 1733311707000, "host-4" };
/// bool hasEnded = later.succeeds(earlier); // true: a host runs one worker at a time
/// \endcode
#pragma once

#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Job.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmondoor::workflow {

/// One incarnation of a worker. A restarted worker may keep its name and has a later start time; no run of an earlier
/// incarnation survives.
struct WorkerIncarnation {
    std::string name_;
    /// Start of this incarnation, in milliseconds since 1970 UTC.
    int64_t bornMs_ { 0 };
    /// Host that runs at most one incarnation at a time, whatever its name; empty if not stated.
    std::string host_;

    /// True if `other` must have ended before this incarnation started.
    bool succeeds(const WorkerIncarnation& other) const
    {
        bool isSameWorker = name_ == other.name_ || (!host_.empty() && host_ == other.host_);
        return isSameWorker && bornMs_ > other.bornMs_;
    }
    auto operator<=>(const WorkerIncarnation&) const = default;
};

/// The constant properties of one incarnation of a worker.
struct WorkerTraits {
    std::string service_;
    std::string domain_;
    /// Machine type and rack, in the order announced.
    std::vector<std::string> labels_;
    Resources capacity_;
    bool operator==(const WorkerTraits&) const = default;
};

/// A run that is currently on the worker.
struct ActiveRun {
    RunKey run_;
    /// Newest checkpoint; empty if there is none.
    std::string checkpoint_;
    /// Share of the work that is done, 0 to 100; 100 for a long-running task once it has started up.
    uint32_t progressPercent_ { 0 };
    /// Tail latency in milliseconds of a long-running task with a target; processor use in thousandths of a core for other
    /// tasks.
    uint32_t load_ { 0 };
    /// Pace that the agent allowed the task while the load was read, 0 to 100 percent of full speed; 100 if the run started
    /// after the reading, as runs start at full speed.
    uint32_t pace_ { 0 };
    auto operator<=>(const ActiveRun&) const = default;
};

/// How a run ended.
enum class RunEnd : uint8_t {
    /// The task is done.
    Done,
    /// The run failed, by a fault of the task or of the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the run expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// The other members of the gang did not start in time.
    GangTimedOut,
};

/// The end of a run, as the worker lists it until the end is acknowledged.
struct EndedRun {
    /// Sequence number of the end; rises within one incarnation.
    uint64_t number_ { 0 };
    RunKey run_;
    RunEnd end_ { RunEnd::Done };
    std::string checkpoint_;
    auto operator<=>(const EndedRun&) const = default;
};

/// Name of an end, for log lines and for decoding the lists of workers, which name ends in the same way.
std::string_view describe(RunEnd);

} // namespace persimmondoor::workflow
