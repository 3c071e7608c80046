#include "persimmondoor/colocation/ColocationActor.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Visitor.h"

#include <boost/asio/this_coro.hpp>
#include <cmath>

namespace persimmondoor::colocation {

namespace asio = boost::asio;

static constexpr size_t mailboxCapacity = 1024;
// Longest wait for a change in one report, and the wait after a call failed.
static constexpr Duration reportWait = std::chrono::seconds(20);
static constexpr Duration retryInterval = std::chrono::seconds(1);
static constexpr Duration usageInterval = std::chrono::seconds(1);
static constexpr double milliPerCore = 1000;
// Differences of a share, or of the pressure, that are not worth a message.
static constexpr double shareTolerance = 0.01;
static constexpr double pressureTolerance = 0.05;

using ColocationMailbox = Mailbox<ColocationActor::Message>;

// Posts by value, so that the message outlives the wait.
static asio::awaitable<bool> post(ColocationMailbox mailbox, ColocationActor::Message message)
{
    co_return co_await mailbox.post(std::move(message));
}

static asio::awaitable<void> followTasks(store::WorkerClient workers, WorkerName worker, ColocationMailbox mailbox)
{
    store::ReportQuery query { store::WorkerRevision(), Duration(0) };
    while (mailbox.isOpen()) {
        auto report = co_await store::reportTasks(workers, worker, query);
        if (!report.ok()) {
            co_await sleepFor(retryInterval);
            continue;
        }
        query = { report->revision_, reportWait };
        ColocationActor::Message message = ColocationActor::Reported { *std::move(report) };
        co_await post(mailbox, std::move(message));
    }
}

static asio::awaitable<void> followUsage(store::WorkerClient workers, WorkerName worker, ColocationMailbox mailbox)
{
    while (mailbox.isOpen()) {
        auto usage = co_await store::reportUsage(workers, worker);
        if (usage.ok()) {
            ColocationActor::Message message = ColocationActor::UsageRead { *std::move(usage) };
            co_await post(mailbox, std::move(message));
        }
        co_await sleepFor(usageInterval);
    }
}

// A share that does not reach the worker is set again when the usage shows it.
static asio::awaitable<void> throttle(store::WorkerClient workers, WorkerName worker, store::TaskAttempt task, double share, ColocationMailbox mailbox)
{
    absl::Status status = co_await store::throttleTask(workers, worker, task, share);
    if (!status.ok())
        logWarning("colocation.throttle_failed", { { "task", task.task_.value() }, { "error", std::string(status.message()) } });
    ColocationActor::Message message = ColocationActor::ThrottleEnded { task.task_ };
    co_await post(mailbox, std::move(message));
}

// A task that can't be checkpointed is left to run: its work would be lost.
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
                self->tellPressure();
            }
        }

    private:
        struct Task {
            store::TaskAttempt attempt_;
            bool throttling_ { false };
        };

        void handle(const ServiceSeen& message)
        {
            apply(LoadSeen { message.service_, message.load_ });
            if (message.tail_ > 0)
                apply(Measured { message.service_, now(clock_), message.tail_, message.cores_ });
        }

        void handle(const ModelPublished& message) { apply(message); }

        void handle(const ColocationActor::Reported& message)
        {
            if (message.report_.incarnation_ != incarnation_)
                forgetAll(message.report_.incarnation_);
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
            // The worker interface does not tell a task's tier; all give way alike.
            double cores = static_cast<double>(report.resources_.milliCores()) / milliPerCore;
            apply(TaskStarted { report.task_.task_, classOf(report.task_.task_), Tier::Trial, cores, Duration(0), true });
        }

        void forgetAll(Incarnation incarnation)
        {
            incarnation_ = incarnation;
            std::map<TaskId, Task> gone = std::move(tasks_);
            tasks_.clear();
            for (const auto& [name, task] : gone)
                apply(TaskEnded { name });
        }

        void handle(const ColocationActor::UsageRead& message)
        {
            UsageSeen seen { now(clock_) - message.usage_.age_, {} };
            for (const store::TaskUsage& usage : message.usage_.tasks_) {
                auto known = tasks_.find(usage.task_.task_);
                if (known == tasks_.end() || known->second.attempt_ != usage.task_)
                    continue;
                seen.uses_.push_back({ usage.task_.task_, static_cast<double>(usage.used_.milliCores()) / milliPerCore });
                bool differs = std::abs(usage.throttle_ - guard_.share(usage.task_.task_)) > shareTolerance;
                if (differs && guard_.shareChangedBefore(usage.task_.task_, seen.measuredAt_))
                    startThrottle(known->second);
            }
            apply(seen);
        }

        void handle(const ColocationActor::ThrottleEnded& message)
        {
            auto known = tasks_.find(message.task_);
            if (known != tasks_.end())
                known->second.throttling_ = false;
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
            if (std::holds_alternative<Observed>(action))
                return;
            sequence_ = sequence_.next();
            records_.push_back({ sequence_, std::move(action) });
            if (records_.size() > keptActions)
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

        // The guard has learned from it; no owner of the model is told.
        void perform(const Observed&) { }

        // One call for each task at a time, so that an earlier share never overtakes a later one.
        void startThrottle(Task& task)
        {
            if (task.throttling_)
                return;
            task.throttling_ = true;
            spawn(executor_, "colocation throttle", throttle(workers_, worker_, task.attempt_, guard_.share(task.attempt_.task_), mailbox_));
        }

        void tellPressure()
        {
            hosting::PressureChanged pressure { guard_.pressure(), guard_.accepting() };
            bool same = told_ && told_->accepting_ == pressure.accepting_ && std::abs(told_->pressure_ - pressure.pressure_) < pressureTolerance;
            if (same)
                return;
            told_ = pressure;
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
        std::optional<hosting::PressureChanged> told_;
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
    spawn(executor, "colocation", loop->run(loop));
    spawn(executor, "colocation tasks", followTasks(workers, worker, mailbox));
    spawn(executor, "colocation usage", followUsage(workers, worker, mailbox));
    return ColocationActor(std::move(mailbox));
}

asio::awaitable<absl::StatusOr<std::vector<ActionRecord>>> ColocationActor::explain() const
{
    ColocationMailbox mailbox = mailbox_;
    Reply<std::vector<ActionRecord>> reply(co_await asio::this_coro::executor);
    if (!mailbox.tryPost(Explain { reply }))
        co_return absl::ResourceExhaustedError("the mailbox is full");
    co_return co_await reply.receive();
}

} // namespace persimmondoor::colocation
