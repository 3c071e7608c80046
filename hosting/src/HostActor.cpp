#include "persimmondoor/hosting/HostActor.h"

#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/asio/this_coro.hpp>

namespace persimmondoor::hosting {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 4096;
// Interval between checks of leases while the ledger has tasks or fences.
static constexpr Duration checkInterval = std::chrono::milliseconds(250);
// Maximum time that the worker holds a report call open for a change, and the delay before a failed call is repeated.
static constexpr Duration reportWait = std::chrono::seconds(20);
static constexpr Duration reportRetryInterval = std::chrono::seconds(1);

// Limits on retries to post a worker's answer while the mailbox is full.
static constexpr int postTries = 40;
static constexpr Duration postRetryInterval = std::chrono::milliseconds(250);

using HostMailbox = Mailbox<HostActor::Message>;

// Posts a message, and retries while the mailbox is full. Returns false, and drops the message, if the mailbox is closed or
// stays full for all tries.
static asio::awaitable<bool> post(HostMailbox mailbox, HostMessage message)
{
    HostActor::Message notification = HostActor::Notification { std::move(message) };
    for (int tries = 0; tries < postTries; ++tries) {
        if (mailbox.tryPost(notification))
            co_return true;
        co_await sleepFor(postRetryInterval);
    }
    co_return false;
}

// Polls the worker for reports, one call at a time, until a report cannot be posted.
static asio::awaitable<void> pollReports(store::WorkerClient workers, WorkerName worker, HostMailbox mailbox)
{
    store::ReportQuery query { store::WorkerRevision(), Duration(0) };
    bool isOpen = true;
    while (isOpen) {
        auto report = co_await store::reportTasks(workers, worker, query);
        if (!report.ok()) {
            logWarning("hosting.report_failed", { { "worker", worker.value() }, { "error", std::string(report.status().message()) } });
            co_await sleepFor(reportRetryInterval);
            continue;
        }
        query = { report->revision_, reportWait };
        HostMessage message = WorkerReported { *std::move(report) };
        isOpen = co_await post(mailbox, std::move(message));
    }
}

static asio::awaitable<void> tick(HostMailbox mailbox)
{
    co_await sleepFor(checkInterval);
    HostActor::Message message = HostActor::Notification { TimePassed {} };
    mailbox.tryPost(std::move(message));
}

static asio::awaitable<void> launch(store::WorkerClient workers, WorkerName worker, store::Launch order, HostMailbox mailbox)
{
    store::LaunchOutcome outcome = co_await store::launchTask(workers, worker, order);
    HostMessage message = LaunchAnswered { order.task_, std::move(outcome) };
    co_await post(mailbox, std::move(message));
}

static asio::awaitable<void> checkpoint(store::WorkerClient workers, WorkerName worker, TaskAttempt task, HostMailbox mailbox)
{
    auto reference = co_await store::checkpointTask(workers, worker, task);
    HostMessage message = CheckpointAnswered { task, reference.ok() ? std::optional(*reference) : std::nullopt };
    co_await post(mailbox, std::move(message));
}

static asio::awaitable<void> stopAtWorker(store::WorkerClient workers, WorkerName worker, TaskAttempt task, HostMailbox mailbox)
{
    absl::Status status = co_await store::stopTask(workers, worker, task);
    StopAnswer answer = StopAnswer::Failed;
    if (status.ok())
        answer = StopAnswer::Done;
    else if (absl::IsNotFound(status))
        answer = StopAnswer::UnknownTask;
    HostMessage message = StopAnswered { task, answer };
    co_await post(mailbox, std::move(message));
}

static asio::awaitable<void> extend(store::WorkerClient workers, WorkerName worker, ExtendTasks action)
{
    absl::Status status = co_await store::extendTasks(workers, worker, std::move(action.tasks_), action.lease_);
    if (!status.ok())
        logWarning("hosting.extend_failed", { { "worker", worker.value() }, { "error", std::string(status.message()) } });
}

static asio::awaitable<void> forget(store::WorkerClient workers, WorkerName worker, ForgetTasks action)
{
    absl::Status status = co_await store::forgetTasks(workers, worker, std::move(action.tasks_));
    if (!status.ok())
        logDebug("hosting.forget_failed", { { "worker", worker.value() }, { "error", std::string(status.message()) } });
}

namespace {

    class HostLoop {
    public:
        HostLoop(asio::any_io_executor executor, Clock clock, const HostSettings& settings, store::WorkerClient workers, HostMailbox mailbox)
            : executor_(std::move(executor))
            , clock_(std::move(clock))
            , worker_(settings.worker_)
            , host_(settings, now(clock_))
            , workers_(std::move(workers))
            , mailbox_(std::move(mailbox))
        {
        }

        asio::awaitable<void> run(std::shared_ptr<HostLoop> self)
        {
            for (;;) {
                HostActor::Message message = co_await mailbox_.receive();
                std::visit([&](auto& alternative) { self->handle(alternative); }, message);
                self->startTicks();
            }
        }

    private:
        void handle(HostActor::Call<ProbeOrder, HostOffer>& message) { message.reply_.send(host_.offer(now(clock_))); }

        void handle(HostActor::Call<StartOrder, StartOutcome>& message)
        {
            CallNumber call = nextCall();
            starts_.emplace(call, message.reply_);
            apply(StartRequested { std::move(message.request_), call });
        }

        void handle(HostActor::Call<StopOrder, StopOutcome>& message)
        {
            CallNumber call = nextCall();
            stops_.emplace(call, message.reply_);
            apply(StopRequested { std::move(message.request_), call });
        }

        void handle(HostActor::Call<Renewal, RenewalOutcome>& message)
        {
            CallNumber call = nextCall();
            renewals_.emplace(call, message.reply_);
            apply(RenewalRequested { std::move(message.request_), call });
        }

        void handle(HostActor::Notification& message)
        {
            if (std::holds_alternative<TimePassed>(message.message_))
                isTickPending_ = false;
            apply(message.message_);
        }

        void handle(HostActor::Drain& message)
        {
            drainReply_ = message.drained_;
            apply(DrainBegan {});
        }

        void apply(const HostMessage& message)
        {
            HostDecision decision = decide(std::move(host_), message, now(clock_));
            host_ = std::move(decision.state_);
            for (HostAction& action : decision.actions_)
                std::visit([this](auto& alternative) { perform(alternative); }, action);
            if (drainReply_ && host_.hasNoLaunchInFlight()) {
                drainReply_->send(true);
                drainReply_.reset();
            }
        }

        void perform(AnswerStart& action) { answer(starts_, action); }
        void perform(AnswerStop& action) { answer(stops_, action); }
        void perform(AnswerRenewal& action) { answer(renewals_, action); }
        void perform(LaunchTask& action) { spawn(executor_, "launch", launch(workers_, worker_, std::move(action.launch_), mailbox_)); }
        void perform(CheckpointTask& action) { spawn(executor_, "checkpoint", checkpoint(workers_, worker_, action.task_, mailbox_)); }
        void perform(StopTask& action) { spawn(executor_, "stop", stopAtWorker(workers_, worker_, action.task_, mailbox_)); }
        void perform(ExtendTasks& action) { spawn(executor_, "extend", extend(workers_, worker_, std::move(action))); }
        void perform(ForgetTasks& action) { spawn(executor_, "forget", forget(workers_, worker_, std::move(action))); }

        template <typename Calls, typename Action>
        static void answer(Calls& calls, Action& action)
        {
            auto found = calls.find(action.call_);
            found->second.send(std::move(action.outcome_));
            calls.erase(found);
        }

        CallNumber nextCall() { return lastCall_ = lastCall_.next(); }

        // Ticks run only while the ledger has tasks or fences, so that an idle agent does not wake up.
        void startTicks()
        {
            if (isTickPending_ || !host_.needsTicks())
                return;
            isTickPending_ = true;
            spawn(executor_, "hosting tick", tick(mailbox_));
        }

        asio::any_io_executor executor_;
        Clock clock_;
        WorkerName worker_;
        Host host_;
        store::WorkerClient workers_;
        HostMailbox mailbox_;
        std::map<CallNumber, Reply<StartOutcome>> starts_;
        std::map<CallNumber, Reply<StopOutcome>> stops_;
        std::map<CallNumber, Reply<RenewalOutcome>> renewals_;
        std::optional<Reply<bool>> drainReply_;
        CallNumber lastCall_;
        bool isTickPending_ { false };
    };

} // namespace

HostActor HostActor::create(const asio::any_io_executor& executor, Clock clock, HostSettings settings, store::WorkerClient workers)
{
    HostMailbox mailbox(executor, mailboxCapacity);
    auto loop = std::make_shared<HostLoop>(executor, std::move(clock), settings, workers, mailbox);
    spawnActor(executor, "hosting", loop->run(loop));
    spawn(executor, "worker reports", pollReports(std::move(workers), settings.worker_, mailbox));
    return HostActor(std::move(mailbox));
}

// Posts a request to the actor and waits for its answer.
template <typename Request, typename Answer>
static asio::awaitable<absl::StatusOr<Answer>> call(HostMailbox mailbox, Request request)
{
    Reply<Answer> reply(co_await asio::this_coro::executor);
    HostActor::Message message = HostActor::Call<Request, Answer> { std::move(request), reply };
    if (!mailbox.tryPost(std::move(message)))
        co_return absl::ResourceExhaustedError("the agent's mailbox is full or closed");
    co_return co_await reply.receive();
}

asio::awaitable<absl::StatusOr<HostOffer>> HostActor::probe(ProbeOrder order) const
{
    return call<ProbeOrder, HostOffer>(mailbox_, std::move(order));
}

asio::awaitable<absl::StatusOr<StartOutcome>> HostActor::start(StartOrder order) const
{
    return call<StartOrder, StartOutcome>(mailbox_, std::move(order));
}

asio::awaitable<absl::StatusOr<StopOutcome>> HostActor::stop(StopOrder order) const
{
    return call<StopOrder, StopOutcome>(mailbox_, std::move(order));
}

asio::awaitable<absl::StatusOr<RenewalOutcome>> HostActor::renew(Renewal renewal) const
{
    return call<Renewal, RenewalOutcome>(mailbox_, std::move(renewal));
}

asio::awaitable<void> HostActor::drain() const
{
    HostMailbox mailbox = mailbox_;
    Reply<bool> drained(co_await asio::this_coro::executor);
    Message message = Drain { drained };
    if (mailbox.tryPost(std::move(message)))
        co_await drained.receive();
}

} // namespace persimmondoor::hosting
