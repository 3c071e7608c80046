/// An in-memory stand-in of the platform's worker interface, with fault injection. A handle: copies share the workers.
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

/// Faults of one worker.
struct WorkerFaults {
    /// Every call fails with Unavailable and has no effect; running tasks continue.
    bool down_ { false };
    /// Calls wait until this is reset, then take effect.
    bool paused_ { false };
    /// Delay before each call takes effect.
    Duration delay_ { 0 };
    /// Number of next calls that take effect but whose reply is lost. `report` is not affected.
    int repliesToLose_ { 0 };
    /// Every task fails as soon as it starts.
    bool failsEverything_ { false };
    /// Age of the usage that `usage` returns.
    Duration usageLag_ { 0 };
    auto operator<=>(const WorkerFaults&) const = default;
};

class MemoryWorkers {
public:
    static MemoryWorkers create(Clock clock);

    /// Adds a worker. A known worker restarts instead: it loses its tasks and gets a new incarnation.
    void add(const WorkerName&, const Resources& capacity) const;
    bool contains(const WorkerName&) const;

    boost::asio::awaitable<LaunchOutcome> launch(WorkerName, Launch) const;
    boost::asio::awaitable<absl::Status> extend(WorkerName, std::vector<TaskAttempt>, Duration lease) const;
    boost::asio::awaitable<absl::Status> stop(WorkerName, TaskAttempt) const;
    boost::asio::awaitable<absl::StatusOr<std::string>> checkpoint(WorkerName, TaskAttempt) const;
    boost::asio::awaitable<absl::Status> throttle(WorkerName, TaskAttempt, double share) const;
    boost::asio::awaitable<absl::Status> forget(WorkerName, std::vector<TaskAttempt>) const;
    boost::asio::awaitable<absl::StatusOr<WorkerReport>> report(WorkerName, ReportQuery) const;
    boost::asio::awaitable<absl::StatusOr<WorkerUsage>> usage(WorkerName) const;

    /// Sets the faults of a worker.
    /// \return false if the worker is unknown.
    bool inject(const WorkerName&, const WorkerFaults&) const;
    /// \return the faults of each worker.
    std::map<WorkerName, WorkerFaults> faults() const;
    /// Direct access to the tasks of a worker, for tests; no fault applies. The worker must be known.
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
