/// What the store keeps of a job: its spec, written once, and its progress, rewritten when a decision changes it.
///
/// \code
/// std::string row = encodeProgress(progress);
/// absl::StatusOr<Progress> read = decodeProgress(row);
/// \endcode
#pragma once

#include "persimmondoor/workflow/Catalog.h"
#include "persimmondoor/workflow/Interference.h"
#include "persimmondoor/workflow/Worker.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::workflow {

enum class TaskPhase : uint8_t {
    /// May be started once its turn has come.
    Waiting,
    /// Given to a worker; the run may be on its way, running or ending.
    Assigned,
    Done,
};

/// What a new owner must know of a task.
struct TaskProgress {
    TaskPhase phase_ { TaskPhase::Waiting };
    /// Number of the newest run, 0 before the first.
    uint32_t run_ { 0 };
    /// Runs that failed.
    uint32_t failures_ { 0 };
    /// Where the newest run was started; of interest while the task is assigned.
    WorkerIncarnation worker_;
    std::string checkpoint_;
    auto operator<=>(const TaskProgress&) const = default;
};

struct Progress {
    bool cancelled_ { false };
    bool failed_ { false };
    /// A task has been seen running.
    bool started_ { false };
    std::vector<TaskProgress> tasks_;
    bool operator==(const Progress&) const = default;
};

/// The unchanging part: what was asked, and by which queue.
struct JobRecord {
    JobId id_;
    /// The queue as it was when the job was accepted; it applies once the queue has been removed.
    Queue queue_;
    /// Time of acceptance, in milliseconds since 1970 UTC.
    int64_t acceptedMs_ { 0 };
    JobSpec spec_;
    bool operator==(const JobRecord&) const = default;
};

std::string encodeSpec(const JobSpec&);
/// \return the spec, or InvalidArgument.
absl::StatusOr<JobSpec> decodeSpec(std::string_view);

std::string encodeRecord(const JobRecord&);
/// \return the record, or InvalidArgument.
absl::StatusOr<JobRecord> decodeRecord(std::string_view);

std::string encodeProgress(const Progress&);
/// \return the progress, or InvalidArgument.
absl::StatusOr<Progress> decodeProgress(std::string_view);

/// What has been learnt, for the next owner. Covariances of different images are left out: they are learnt anew.
std::string encodeInterference(const Interference&);
/// \return what was learnt, or InvalidArgument.
absl::StatusOr<Interference> decodeInterference(std::string_view);

} // namespace persimmondoor::workflow
