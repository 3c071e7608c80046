#include "persimmondoor/supervision/SupervisorActor.h"

#include "LeaderLink.h"
#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Visitor.h"
#include "persimmondoor/platform/WorkerClient.h"

namespace persimmondoor::supervision {

namespace asio = boost::asio;

// Bound on the messages queued for the actor: heartbeats, replies to reports, and results of calls to workers.
static constexpr size_t mailboxCapacity = 4096;
// Time-out of a call to a worker on the same host.
static constexpr Duration callTimeout = std::chrono::milliseconds(400);
// Interval of the checks for due retries and expired leases.
static constexpr Duration tickInterval = std::chrono::milliseconds(100);

struct SupervisorActor::State {
    State(const asio::any_io_executor& executor, SupervisorOptions options)
        : executor_(executor)
        , mailbox_(executor, mailboxCapacity)
        , leader_(executor, std::move(options.entries_), std::move(options.locateLeader_))
    {
        supervisor_.name_ = std::move(options.name_);
        supervisor_.domain_ = std::move(options.domain_);
        supervisor_.session_ = options.session_;
    }

    asio::any_io_executor executor_;
    Mailbox<SupervisorMessage> mailbox_;
    LeaderLink leader_;
    SupervisorState supervisor_;
    std::map<workflow::WorkerIncarnation, platform::WorkerClient> clients_;
    Clock clock_ { SteadyClock() };
};

namespace {

    template <typename State>
    asio::awaitable<void> callStart(std::shared_ptr<State> state, platform::WorkerClient client, CallStart call)
    {
        workflow::StartOutcome outcome = co_await client.start(call.order_, call.leaseEndMs_, call.fence_, callTimeout);
        SupervisorMessage message = StartCompleted { call.fence_, std::move(call.order_), std::move(outcome) };
        co_await state->mailbox_.post(std::move(message));
    }

    template <typename State>
    asio::awaitable<void> callStop(std::shared_ptr<State> state, platform::WorkerClient client, CallStop call)
    {
        absl::Status status = co_await client.stop(call.order_.run_, call.fence_, callTimeout);
        // A worker with another name, or under a higher fence, no longer executes any order of this agent.
        bool done = status.ok() || absl::IsNotFound(status) || absl::IsFailedPrecondition(status);
        if (!status.ok())
            logWarning("run.stop_failed", { { "run", workflow::describe(call.order_.run_) }, { "reason", std::string(status.message()) } });
        SupervisorMessage message = StopCompleted { call.fence_, call.order_.number_, done };
        co_await state->mailbox_.post(std::move(message));
    }

    template <typename State>
    asio::awaitable<void> callList(std::shared_ptr<State> state, platform::WorkerClient client, CallList call)
    {
        Instant askedAt = now(state->clock_);
        auto lists = co_await client.list(call.request_, call.request_.maximumWait_ + callTimeout);
        SupervisorMessage message = ListFailed { call.worker_, absl::IsNotFound(lists.status()), http::isConnectionRefused(lists.status()), std::string(lists.status().message()) };
        if (lists.ok())
            message = ListArrived { call.worker_, call.request_.fence_, askedAt, *std::move(lists) };
        co_await state->mailbox_.post(std::move(message));
    }

    template <typename State>
    asio::awaitable<void> callPace(std::shared_ptr<State> state, platform::WorkerClient client, CallPace call)
    {
        absl::Status status = co_await client.pace(call.run_, call.pacePercent_, call.fence_, callTimeout);
        if (status.ok())
            co_return;
        // The run may have ended in the meantime.
        logDebug("run.pace_failed", { { "run", workflow::describe(call.run_) }, { "reason", std::string(status.message()) } });
        SupervisorMessage message = PaceFailed { call.worker_, call.run_ };
        co_await state->mailbox_.post(std::move(message));
    }

    template <typename State>
    asio::awaitable<void> sendReport(std::shared_ptr<State> state, SendReport call)
    {
        auto reply = co_await state->leader_.exchange(std::move(call.report_));
        SupervisorMessage message = ReportFailed {};
        if (reply.ok())
            message = ReportAnswered { *std::move(reply) };
        co_await state->mailbox_.post(std::move(message));
    }

    template <typename State>
    asio::awaitable<void> postFailure(std::shared_ptr<State> state, SupervisorMessage failure)
    {
        SupervisorMessage message = failure;
        co_await state->mailbox_.post(std::move(message));
    }

    // Posts the outcome that a call owes the actor, if the call ends by an error.
    template <typename State>
    std::function<asio::awaitable<void>()> postOnFailure(std::shared_ptr<State> state, SupervisorMessage failure)
    {
        return [state = std::move(state), failure = std::move(failure)]() -> asio::awaitable<void> { return postFailure(state, failure); };
    }

    // Performs the actions of the decisions.
    template <typename State>
    class ActionVisitor {
    public:
        explicit ActionVisitor(std::shared_ptr<State> state)
            : state_(std::move(state))
        {
        }

        void operator()(CallStart& call)
        {
            // The call may have reached the worker.
            StartCompleted failure { call.fence_, call.order_, workflow::NoAnswer { "the call ended by an error" } };
            withClient(call.order_.worker_, "start", failure, [&](auto client) { return callStart(state_, std::move(client), std::move(call)); });
        }
        void operator()(CallStop& call)
        {
            StopCompleted failure { call.fence_, call.order_.number_, false };
            withClient(call.order_.worker_, "stop", failure, [&](auto client) { return callStop(state_, std::move(client), std::move(call)); });
        }
        void operator()(CallList& call)
        {
            withClient(call.worker_, "list", ListFailed { call.worker_, false, false, "the call ended by an error" }, [&](auto client) { return callList(state_, std::move(client), std::move(call)); });
        }
        void operator()(CallPace& call)
        {
            auto client = state_->clients_.find(call.worker_);
            if (client != state_->clients_.end())
                spawn(state_->executor_, "pace", callPace(state_, client->second, std::move(call)));
        }
        void operator()(SendReport& call) { spawnWork(state_->executor_, "report", sendReport(state_, std::move(call)), postOnFailure(state_, ReportFailed {})); }
        void operator()(AddWorker& addition)
        {
            state_->clients_.insert_or_assign(addition.worker_, platform::WorkerClient::create(state_->executor_, addition.address_, addition.worker_));
        }
        void operator()(RemoveWorker& removal) { state_->clients_.erase(removal.worker_); }
        void operator()(SupervisorLogEvent& logEvent) { logInfo(logEvent.event_, { { "subject", logEvent.subject_ }, { "detail", logEvent.detail_ } }); }

    private:
        template <typename Call>
        void withClient(const workflow::WorkerIncarnation& incarnation, const char* name, SupervisorMessage failure, Call call)
        {
            auto client = state_->clients_.find(incarnation);
            if (client != state_->clients_.end())
                spawnWork(state_->executor_, name, call(client->second), postOnFailure(state_, std::move(failure)));
        }

        std::shared_ptr<State> state_;
    };

    template <typename State>
    void handle(const std::shared_ptr<State>& state, const SupervisorMessage& message)
    {
        SupervisorDecision decision = decide(std::move(state->supervisor_), message, now(state->clock_));
        state->supervisor_ = std::move(decision.state_);
        ActionVisitor<State> visitor(state);
        // The order of the actions matters: the same decision may add or remove a worker and act on it.
        for (SupervisorAction& action : decision.actions_)
            std::visit(visitor, action);
    }

    template <typename State>
    asio::awaitable<void> run(std::shared_ptr<State> state)
    {
        for (;;) {
            SupervisorMessage message = co_await state->mailbox_.receive();
            handle(state, message);
        }
    }

    template <typename State>
    asio::awaitable<void> tick(std::shared_ptr<State> state)
    {
        while (state->mailbox_.isOpen()) {
            state->mailbox_.tryPost(SupervisorTick {});
            co_await sleepFor(tickInterval);
        }
    }

} // namespace

SupervisorActor SupervisorActor::start(const asio::any_io_executor& executor, SupervisorOptions options)
{
    auto state = std::make_shared<State>(executor, std::move(options));
    spawnActor(executor, "supervisor", run(state));
    spawnActor(executor, "supervisor ticks", tick(state));
    return SupervisorActor(std::move(state));
}

void SupervisorActor::handle(std::variant<workflow::Heartbeat, workflow::Leaving> message) const
{
    SupervisorMessage posted = std::visit([](auto& alternative) { return SupervisorMessage(std::move(alternative)); }, message);
    if (!state_->mailbox_.tryPost(std::move(posted)))
        logWarning("heartbeat.dropped", { { "reason", "the mailbox is full" } });
}

void SupervisorActor::stop() const
{
    state_->mailbox_.close();
}

} // namespace persimmondoor::supervision
