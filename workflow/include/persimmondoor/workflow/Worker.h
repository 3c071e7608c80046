/// What a worker says of itself and of the tasks on it, as its agent reports it.
///
/// \code
/// WorkerIncarnation incarnation { "i-7f3a", 1733308107000 };
/// \endcode
#pragma once

#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Job.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmondoor::workflow {

/// One life of a worker. A restart may keep the name and has a later time of birth; nothing of an earlier life is left.
struct WorkerIncarnation {
    std::string name_;
    /// Milliseconds since 1970 at which this life began.
    int64_t bornMs_ { 0 };
    /// Host that carries one life at a time, whatever their names; empty if it is not stated.
    std::string host_;

    /// True if this life cannot have begun before `other` had ended.
    bool succeeds(const WorkerIncarnation& other) const
    {
        bool isSameWorker = name_ == other.name_ || (!host_.empty() && host_ == other.host_);
        return isSameWorker && bornMs_ > other.bornMs_;
    }
    auto operator<=>(const WorkerIncarnation&) const = default;
};

/// The constant properties of one life of a worker.
struct WorkerTraits {
    std::string service_;
    std::string domain_;
    /// Kind and rack, in the order announced.
    std::vector<std::string> labels_;
    Resources capacity_;
    bool operator==(const WorkerTraits&) const = default;
};

/// A run that is on the worker now.
struct ActiveRun {
    RunKey run_;
    /// Newest checkpoint; empty if there is none.
    std::string checkpoint_;
    /// Share of the work that is done; for a long-running task 100 once it is at work.
    uint32_t progressPercent_ { 0 };
    /// Tail latency in milliseconds for a long-running task with a target, thousandths of a core in use for others.
    uint32_t load_ { 0 };
    /// Share of its speed that the agent let the task have while the load was read, 0 to 100; 0 if it is newer than that.
    uint32_t pace_ { 0 };
    auto operator<=>(const ActiveRun&) const = default;
};

/// How a run ended.
enum class RunEnd : uint8_t {
    /// The task is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangMemberEnded,
    /// It waited for the other members of its gang for too long.
    GangTimedOut,
};

/// The end of a run, as the worker's list has it until it is acknowledged.
struct EndedRun {
    /// Position in the worker's list; rises within one life.
    uint64_t number_ { 0 };
    RunKey run_;
    RunEnd end_ { RunEnd::Done };
    std::string checkpoint_;
    auto operator<=>(const EndedRun&) const = default;
};

/// Text of an end for log lines.
std::string_view describe(RunEnd);

} // namespace persimmondoor::workflow
