/// Changes of jobs on their way to the store, and the external effects that wait for them to be durable.
///
/// \code
/// Batch batch = extractBatch(state);
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"
#include "persimmondoor/workflow/Client.h"
#include "persimmondoor/workflow/Record.h"
#include "persimmondoor/workflow/WorkerCalls.h"

#include <map>
#include <variant>
#include <vector>

namespace persimmondoor::workflow {

/// Identifies a client's call that waits for its answer.
using CallToken = Counter<struct CallTokenTag>;

/// Answers a waiting client.
struct AnswerClient {
    CallToken token_;
    ClientAnswer answer_;
    bool operator==(const AnswerClient&) const = default;
};
/// Gives the order to start a run, whose assignment is durable.
struct ReleaseStart {
    RunKey run_;
    auto operator<=>(const ReleaseStart&) const = default;
};
/// Lets the worker remove an ended run from its list, as the end is durable.
struct ReleaseEnd {
    WorkerIncarnation worker_;
    uint64_t number_ { 0 };
    auto operator<=>(const ReleaseEnd&) const = default;
};
/// An external effect that is released once the job's batch is durable.
using Effect = std::variant<AnswerClient, ReleaseStart, ReleaseEnd>;

/// Changes of one job that are to be written, and their external effects.
struct StagedJob {
    /// The job is new: its record is written with its progress.
    bool writesRecord_ { false };
    /// A transaction with these rows was sent and its outcome is unknown.
    bool mayBeStored_ { false };
    /// The job's rows are to be deleted.
    bool isRemoved_ { false };
    /// The row of its early cancellation is to be written, or deleted once the cancellation is no longer kept.
    bool writesCancellation_ { false };
    std::vector<Effect> effects_;
    bool operator==(const StagedJob&) const = default;
};

/// Jobs whose rows are written in one transaction, and the effects that the transaction releases.
struct Batch {
    struct Item {
        JobId job_;
        /// Phase of the job once the batch is durable.
        JobPhase phase_ { JobPhase::Pending };
        StagedJob staged_;
        bool operator==(const Item&) const = default;
    };
    std::vector<Item> items_;
    /// Bounds on the leases of silent workers, to be stored with the jobs.
    std::map<WorkerIncarnation, Instant> silentWorkers_;
    bool operator==(const Batch&) const = default;
};

} // namespace persimmondoor::workflow
