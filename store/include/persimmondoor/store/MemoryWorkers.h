/// An in-memory stand-in of the platform's worker interface, with injected faults. A handle: copies share the workers.
///
/// \code
/// MemoryWorkers workers = MemoryWorkers::create(SteadyClock());
/// workers.add(WorkerName::of("worker-01"), capacity);
/// \endcode
#pragma once

#include "persimmondoor/store/WorkerState.h"

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <memory>

namespace persimmondoor::store {

struct WorkerFaults {
    /// Calls fail and nothing is done; tasks run on.
    bool down_ { false };
    /// Calls wait until this is lifted, then take effect.
    bool paused_ { false };
    /// Wait before each call takes effect.
    Duration delay_ { 0 };
    /// Number of coming calls that take effect while their reply is lost.
    int repliesToLose_ { 0 };
    /// Every task fails as soon as it starts.
    bool failsEverything_ { false };
    /// Age of the usage reported.
    Duration usageLag_ { 0 };
    auto operator<=>(const WorkerFaults&) const = default;
};

class MemoryWorkers {
public:
    static MemoryWorkers create(Clock clock);

    /// Adds a worker, or sets a known one up anew: its tasks are gone.
    void add(const WorkerName&, const Resources& capacity) const;
    bool knows(const WorkerName&) const;

    boost::asio::awaitable<LaunchOutcome> launch(WorkerName, Launch) const;
    boost::asio::awaitable<absl::Status> extend(WorkerName, std::vector<TaskAttempt>, Duration lease) const;
    boost::asio::awaitable<absl::Status> stop(WorkerName, TaskAttempt) const;
    boost::asio::awaitable<absl::StatusOr<std::string>> checkpoint(WorkerName, TaskAttempt) const;
    boost::asio::awaitable<absl::Status> throttle(WorkerName, TaskAttempt, double share) const;
    boost::asio::awaitable<absl::Status> forget(WorkerName, std::vector<TaskAttempt>) const;
    boost::asio::awaitable<absl::StatusOr<WorkerReport>> report(WorkerName, ReportQuery) const;
    boost::asio::awaitable<absl::StatusOr<WorkerUsage>> usage(WorkerName) const;

    /// \return false if there is no such worker.
    bool inject(const WorkerName&, const WorkerFaults&) const;
    /// The faults of every worker.
    std::map<WorkerName, WorkerFaults> faults() const;
    /// The tasks of a worker themselves, for the checks of tests. The worker must be known.
    WorkerState& state(const WorkerName&) const;
    bool operator==(const MemoryWorkers&) const = default;

private:
    struct Shared;
    struct Worker;

    explicit MemoryWorkers(std::shared_ptr<Shared> shared)
        : shared_(std::move(shared))
    {
    }

    std::shared_ptr<Shared> shared_;
};

} // namespace persimmondoor::store
