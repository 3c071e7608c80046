#include "persimmondoor/colocation/ColocationActor.h"

#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/asio/this_coro.hpp>
#include <cmath>

namespace persimmondoor::colocation {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 1024;
// Longest time for which a report request waits for a change, and the delay before a failed request is retried.
static constexpr Duration reportWait = std::chrono::seconds(20);
static constexpr Duration retryInterval = std::chrono::seconds(1);
static constexpr Duration usageInterval = std::chrono::seconds(1);
static constexpr double milliPerCore = 1000;
// Smaller differences of a share, or of the pressure, are not sent.
static constexpr double shareTolerance = 0.01;
static constexpr double pressureTolerance = 0.05;

using ColocationMailbox = Mailbox<ColocationActor::Message>;

// The message is passed by value, so that it lives until the coroutine ends.
static asio::awaitable<bool> post(ColocationMailbox mailbox, ColocationActor::Message message)
{
    co_return co_await mailbox.post(std::move(message));
}

static asio::awaitable<void> pollTasks(store::WorkerClient workers, WorkerName worker, ColocationMailbox mailbox)
{
    store::ReportQuery query { store::WorkerRevision(), Duration(0) };
    while (mailbox.isOpen()) {
        auto report = co_await store::reportTasks(workers, worker, query);
        if (!report.ok()) {
            co_await sleepFor(retryInterval);
            continue;
        }
        query = { report->revision_, reportWait };
        ColocationActor::Message message = ColocationActor::TasksReported { *std::move(report) };
        co_await post(mailbox, std::move(message));
    }
}

static asio::awaitable<void> pollUsage(store::WorkerClient workers, WorkerName worker, ColocationMailbox mailbox)
{
    while (mailbox.isOpen()) {
        auto usage = co_await store::reportUsage(workers, worker);
        if (usage.ok()) {
            ColocationActor::Message message = ColocationActor::UsageReported { *std::move(usage) };
            co_await post(mailbox, std::move(message));
        }
        co_await sleepFor(usageInterval);
    }
}

// A share that does not reach the worker is set again when the next usage report shows the difference.
static asio::awaitable<void> throttle(store::WorkerClient workers, WorkerName worker, store::TaskAttempt task, double share, ColocationMailbox mailbox)
{
    absl::Status status = co_await store::throttleTask(workers, worker, task, share);
    if (!status.ok())
        logWarning("colocation.throttle_failed", { { "task", task.task_.value() }, { "error", std::string(status.message()) } });
    ColocationActor::Message message = ColocationActor::ThrottleCompleted { task.task_ };
    co_await post(mailbox, std::move(message));
}

// A task that cannot be checkpointed continues to run, because stopping it would lose its work.
static asio::awaitable<void> evict(store::WorkerClient workers, WorkerName worker, store::TaskAttempt task, ColocationMailbox mailbox)
{
    auto reference = co_await store::checkpointTask(workers, worker, task);
    absl::Status status = reference.status();
    if (status.ok())
        status = co_await store::stopTask(workers, worker, task);
    if (status.ok() || absl::IsNotFound(status))
        co_return;
    logWarning("colocation.evict_failed", { { "task", task.task_.value() }, { "error", std::string(status.message()) } });
    ColocationActor::Message message = ColocationActor::EvictFailed { task.task_ };
    co_await post(mailbox, std::move(message));
}

namespace {

    class ColocationLoop {
    public:
        ColocationLoop(asio::any_io_executor executor, Clock clock, WorkerName worker, Guard guard, store::WorkerClient workers, hosting::HostActor host, ColocationMailbox mailbox)
            : executor_(std::move(executor))
            , clock_(std::move(clock))
            , worker_(std::move(worker))
            , guard_(std::move(guard))
            , workers_(std::move(workers))
            , host_(std::move(host))
            , mailbox_(std::move(mailbox))
        {
        }

        asio::awaitable<void> run(std::shared_ptr<ColocationLoop> self)
        {
            for (;;) {
                ColocationActor::Message message = co_await mailbox_.receive();
                std::visit([&](auto& alternative) { self->handle(alternative); }, message);
                self->publishPressure();
            }
        }

    private:
        struct Task {
            store::TaskAttempt attempt_;
            bool isThrottleInFlight_ { false };
        };

        void handle(const ServiceSample& message)
        {
            apply(LoadSampled { message.service_, message.load_ });
            if (message.tail_ > 0)
                apply(TailMeasured { message.service_, now(clock_), message.tail_, message.cores_ });
        }

        void handle(const ModelPublished& message) { apply(message); }

        void handle(const ColocationActor::TasksReported& message)
        {
            if (message.report_.incarnation_ != incarnation_)
                removeAllTasks(message.report_.incarnation_);
            for (const store::TaskReport& report : message.report_.tasks_)
                handle(report);
        }

        void handle(const store::TaskReport& report)
        {
            auto known = tasks_.find(report.task_.task_);
            bool running = report.state_ == store::TaskState::Running;
            if (known != tasks_.end() && known->second.attempt_.attempt_ > report.task_.attempt_)
                return;
            if (!running || (known != tasks_.end() && known->second.attempt_ != report.task_)) {
                tasks_.erase(report.task_.task_);
                apply(TaskEnded { report.task_.task_ });
            }
            if (!running || tasks_.contains(report.task_.task_))
                return;
            tasks_.emplace(report.task_.task_, Task { report.task_, false });
            // The worker interface does not report the tier of a task, so all tasks are treated as trial work.
            double cores = static_cast<double>(report.resources_.milliCores()) / milliPerCore;
            apply(TaskStarted { report.task_.task_, classOf(report.task_.task_), Tier::Trial, cores, Duration(0), true });
        }

        void removeAllTasks(Incarnation incarnation)
        {
            incarnation_ = incarnation;
            std::map<TaskId, Task> removed = std::move(tasks_);
            tasks_.clear();
            for (const auto& [name, task] : removed)
                apply(TaskEnded { name });
        }

        void handle(const ColocationActor::UsageReported& message)
        {
            UsageSampled sample { now(clock_) - message.usage_.age_, {} };
            for (const store::TaskUsage& usage : message.usage_.tasks_) {
                auto known = tasks_.find(usage.task_.task_);
                if (known == tasks_.end() || known->second.attempt_ != usage.task_)
                    continue;
                sample.uses_.push_back({ usage.task_.task_, static_cast<double>(usage.used_.milliCores()) / milliPerCore });
                bool differs = std::abs(usage.throttle_ - guard_.share(usage.task_.task_)) > shareTolerance;
                if (differs && guard_.shareChangedBefore(usage.task_.task_, sample.measuredAt_))
                    startThrottle(known->second);
            }
            apply(sample);
        }

        void handle(const ColocationActor::ThrottleCompleted& message)
        {
            auto known = tasks_.find(message.task_);
            if (known != tasks_.end())
                known->second.isThrottleInFlight_ = false;
        }

        void handle(const ColocationActor::EvictFailed& message) { apply(EvictionFailed { message.task_ }); }

        void handle(const ColocationActor::Explain& message) { message.reply_.send({ records_.begin(), records_.end() }); }

        void apply(const GuardMessage& message)
        {
            GuardDecision decision = decide(std::move(guard_), message, now(clock_));
            guard_ = std::move(decision.state_);
            for (GuardAction& action : decision.actions_) {
                std::visit([this](const auto& alternative) { perform(alternative); }, action);
                record(std::move(action));
            }
        }

        void record(GuardAction action)
        {
            if (std::holds_alternative<PublishObservation>(action))
                return;
            sequence_ = sequence_.next();
            records_.push_back({ sequence_, std::move(action) });
            if (records_.size() > maximumActionRecords)
                records_.pop_front();
        }

        void perform(const SetShare& action)
        {
            auto known = tasks_.find(action.task_);
            if (known != tasks_.end())
                startThrottle(known->second);
        }

        void perform(const SetAccepting&) { }

        void perform(const Evict& action)
        {
            auto known = tasks_.find(action.task_);
            if (known != tasks_.end())
                spawn(executor_, "colocation evict", evict(workers_, worker_, known->second.attempt_, mailbox_));
        }

        // Observations are not published: the guard trains only its own model with them.
        void perform(const PublishObservation&) { }

        // At most one call per task is in flight, so that an earlier share never overwrites a later one.
        void startThrottle(Task& task)
        {
            if (task.isThrottleInFlight_)
                return;
            task.isThrottleInFlight_ = true;
            spawn(executor_, "colocation throttle", throttle(workers_, worker_, task.attempt_, guard_.share(task.attempt_.task_), mailbox_));
        }

        void publishPressure()
        {
            hosting::PressureChanged pressure { guard_.pressure(), guard_.accepting() };
            bool same = publishedPressure_ && publishedPressure_->accepting_ == pressure.accepting_ && std::abs(publishedPressure_->pressure_ - pressure.pressure_) < pressureTolerance;
            if (same)
                return;
            publishedPressure_ = pressure;
            host_.setPressure(pressure);
        }

        asio::any_io_executor executor_;
        Clock clock_;
        WorkerName worker_;
        Guard guard_;
        store::WorkerClient workers_;
        hosting::HostActor host_;
        ColocationMailbox mailbox_;
        Incarnation incarnation_;
        std::map<TaskId, Task> tasks_;
        std::deque<ActionRecord> records_;
        Sequence sequence_;
        std::optional<hosting::PressureChanged> publishedPressure_;
    };

} // namespace

TaskClassName classOf(const TaskId& task)
{
    std::string_view name = task.value();
    size_t end = name.find('/');
    return TaskClassName::of(std::string(end == 0 ? name : name.substr(0, end)));
}

absl::StatusOr<ColocationActor> ColocationActor::create(
    const asio::any_io_executor& executor, Clock clock, WorkerName worker, const GuardSettings& settings, store::WorkerClient workers, hosting::HostActor host)
{
    absl::StatusOr<Guard> guard = Guard::create(settings);
    if (!guard.ok())
        return guard.status();
    ColocationMailbox mailbox(executor, mailboxCapacity);
    auto loop = std::make_shared<ColocationLoop>(executor, std::move(clock), worker, *std::move(guard), workers, std::move(host), mailbox);
    spawnActor(executor, "colocation", loop->run(loop));
    spawn(executor, "colocation tasks", pollTasks(workers, worker, mailbox));
    spawn(executor, "colocation usage", pollUsage(workers, worker, mailbox));
    return ColocationActor(std::move(mailbox));
}

asio::awaitable<absl::StatusOr<std::vector<ActionRecord>>> ColocationActor::explain() const
{
    ColocationMailbox mailbox = mailbox_;
    Reply<std::vector<ActionRecord>> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(Explain { reply }))
        co_return absl::ResourceExhaustedError("the mailbox of the colocation actor is full");
    co_return co_await reply.receive();
}

} // namespace persimmondoor::colocation
