/// The actor of an agent that guards the services of its worker: reads what runs and what it uses from the worker
/// interface, decides, and throttles, checkpoints and stops tasks there. It goes on alone when no owner is reachable.
///
/// \code
/// absl::StatusOr<ColocationActor> actor = ColocationActor::create(executor, clock, worker, settings, workers, host);
/// actor->see({ service, load, tail, cores });
/// std::vector<ActionRecord> actions = *co_await actor->explain();
/// \endcode
#pragma once

#include "persimmondoor/colocation/Guard.h"
#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/hosting/HostActor.h"
#include "persimmondoor/http/Routes.h"
#include "persimmondoor/store/WorkerClient.h"

namespace persimmondoor::colocation {

/// What the agent saw of one service's instance since it last told.
struct ServiceSeen {
    ServiceName service_;
    /// Requests in progress and waiting, by the slots of the instance.
    double load_ { 0 };
    /// Tail latency, in milliseconds; zero if no request has ended.
    double tail_ { 0 };
    /// Processors that the service used.
    double cores_ { 0 };
    auto operator<=>(const ServiceSeen&) const = default;
};

/// An action that was taken; with the time by the agent's clock in its explanation.
struct ActionRecord {
    Sequence sequence_;
    GuardAction action_;
    bool operator==(const ActionRecord&) const = default;
};

/// Actions that are kept to be explained.
inline constexpr size_t keptActions = 256;

class ColocationActor {
public:
    /// Starts the actor on `executor`.
    /// \return its handle, or InvalidArgument as `Guard::create`.
    static absl::StatusOr<ColocationActor> create(
        const boost::asio::any_io_executor& executor, Clock clock, WorkerName worker, const GuardSettings& settings, store::WorkerClient workers, hosting::HostActor host);

    /// Tells the load and the tail of a service; dropped if the mailbox is full, as the next one replaces it.
    void see(ServiceSeen seen) const { mailbox_.tryPost(std::move(seen)); }
    /// Replaces the model of a service; dropped if the mailbox is full, as the next one replaces it.
    void learn(ModelPublished published) const { mailbox_.tryPost(std::move(published)); }
    /// The latest actions, the oldest first.
    /// \return ResourceExhausted if the mailbox is full.
    boost::asio::awaitable<absl::StatusOr<std::vector<ActionRecord>>> explain() const;
    /// Ends the actor. Shares stay as they are at the worker.
    void end() const { mailbox_.close(); }

    /// The worker reported what runs.
    struct Reported {
        store::WorkerReport report_;
    };
    /// The worker reported what tasks use.
    struct UsageRead {
        store::WorkerUsage usage_;
    };
    /// The worker's answer to a throttle.
    struct ThrottleEnded {
        TaskId task_;
    };
    /// A task could not be checkpointed or stopped.
    struct EvictFailed {
        TaskId task_;
    };
    struct Explain {
        Reply<std::vector<ActionRecord>> reply_;
    };
    using Message = std::variant<ServiceSeen, ModelPublished, Reported, UsageRead, ThrottleEnded, EvictFailed, Explain>;

private:
    explicit ColocationActor(Mailbox<Message> mailbox)
        : mailbox_(std::move(mailbox))
    {
    }

    Mailbox<Message> mailbox_;
};

/// Class of a task: the name of its job.
TaskClassName classOf(const TaskId& task);

/// Serves GET /v1/explain/actions: the latest actions with their explanations, the oldest first; `?task=` selects one
/// task's.
void offerColocation(http::Routes&, ColocationActor);

} // namespace persimmondoor::colocation
