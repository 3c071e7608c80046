/// The actor of an agent that protects the services of its worker: reads the running tasks and their usage from the
/// worker interface, decides, and throttles, checkpoints and stops tasks there. Needs no connection to the leader.
///
/// \code
/// absl::StatusOr<ColocationActor> actor = ColocationActor::create(executor, clock, worker, settings, workers, host);
/// actor->updateService({ service, load, tail, cores });
/// absl::StatusOr<std::vector<ActionRecord>> actions = co_await actor->explain();
/// \endcode
#pragma once

#include "persimmondoor/colocation/Guard.h"
#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/hosting/HostActor.h"
#include "persimmondoor/http/Routes.h"
#include "persimmondoor/store/WorkerClient.h"

namespace persimmondoor::colocation {

/// Load, tail latency and usage of one service's instance since the previous sample.
struct ServiceSample {
    ServiceName service_;
    /// Requests in progress and waiting, as a multiple of the slots of the instance.
    double load_ { 0 };
    /// Tail latency, in milliseconds; zero if no request has ended.
    double tail_ { 0 };
    /// Processors that the service used.
    double cores_ { 0 };
    auto operator<=>(const ServiceSample&) const = default;
};

/// An action that the guard decided on, other than PublishObservation; its explanation carries the time by the agent's
/// clock.
struct ActionRecord {
    Sequence sequence_;
    GuardAction action_;
    bool operator==(const ActionRecord&) const = default;
};

/// Number of latest actions that are kept for `explain`.
inline constexpr size_t maximumActionRecords = 256;

class ColocationActor {
public:
    /// Starts the actor on `executor`.
    /// \return its handle, or InvalidArgument as `Guard::create`.
    static absl::StatusOr<ColocationActor> create(
        const boost::asio::any_io_executor& executor, Clock clock, WorkerName worker, const GuardSettings& settings, store::WorkerClient workers, hosting::HostActor host);

    /// Updates the load and the tail latency of a service. Dropped if the mailbox is full, as the next sample replaces
    /// this one.
    void updateService(ServiceSample sample) const { mailbox_.tryPost(std::move(sample)); }
    /// Replaces the model of a service. Dropped if the mailbox is full, as the next model replaces this one.
    void updateModel(ModelPublished published) const { mailbox_.tryPost(std::move(published)); }
    /// Returns the latest actions, the oldest first.
    /// \return ResourceExhausted if the mailbox is full.
    boost::asio::awaitable<absl::StatusOr<std::vector<ActionRecord>>> explain() const;
    /// Stops the actor. The shares in force at the worker stay unchanged.
    void stop() const { mailbox_.close(); }

    /// The worker reported its tasks, running or ended.
    struct TasksReported {
        store::WorkerReport report_;
    };
    /// The worker reported the usage of its tasks.
    struct UsageReported {
        store::WorkerUsage usage_;
    };
    /// A throttle call has ended, successfully or not.
    struct ThrottleCompleted {
        TaskId task_;
    };
    /// A task could not be checkpointed or stopped.
    struct EvictFailed {
        TaskId task_;
    };
    struct Explain {
        Reply<std::vector<ActionRecord>> reply_;
    };
    using Message = std::variant<ServiceSample, ModelPublished, TasksReported, UsageReported, ThrottleCompleted, EvictFailed, Explain>;

private:
    explicit ColocationActor(Mailbox<Message> mailbox)
        : mailbox_(std::move(mailbox))
    {
    }

    Mailbox<Message> mailbox_;
};

/// Class of a task: the name of its job, which is the part of the task's name before the first slash.
TaskClassName classOf(const TaskId& task);

/// Serves GET /v1/explain/actions: the latest actions with their explanations, the oldest first; `?task=` selects the
/// actions on one task.
void offerColocation(http::Routes&, ColocationActor);

} // namespace persimmondoor::colocation
