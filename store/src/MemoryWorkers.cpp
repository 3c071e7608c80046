#include "persimmondoor/store/MemoryWorkers.h"

#include "persimmondoor/core/Invariant.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace persimmondoor::store {

namespace asio = boost::asio;

// A worker, and the timers of the coroutines that wait for a change of its state or faults.
struct MemoryWorkers::Worker {
    WorkerState state_;
    WorkerFaults faults_;
    std::set<asio::steady_timer*> waitingTimers_;

    void notify() const
    {
        for (asio::steady_timer* timer : waitingTimers_)
            timer->cancel();
    }

    // Waits until `notify` is called, at most for `limit`.
    static asio::awaitable<void> waitForChange(std::shared_ptr<Worker> worker, Duration limit)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, limit);
        struct Registration {
            Registration(std::set<asio::steady_timer*>& waiting, asio::steady_timer* timer)
                : waitingTimers_(waiting)
                , timer_(timer)
            {
                waitingTimers_.insert(timer_);
            }
            ~Registration() { waitingTimers_.erase(timer_); }
            Registration(const Registration&) = delete;
            Registration& operator=(const Registration&) = delete;
            std::set<asio::steady_timer*>& waitingTimers_;
            asio::steady_timer* timer_;
        } registration(worker->waitingTimers_, &timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    // Waits as long as the injected delay and pause require. Returns OK if the call shall take effect.
    static asio::awaitable<absl::Status> waitForService(std::shared_ptr<Worker> worker)
    {
        constexpr Duration longestPause = std::chrono::hours(1);
        if (worker->faults_.delay_ > Duration(0)) {
            asio::steady_timer timer(co_await asio::this_coro::executor, worker->faults_.delay_);
            co_await timer.async_wait(asio::use_awaitable);
        }
        while (worker->faults_.paused_)
            co_await waitForChange(worker, longestPause);
        if (worker->faults_.down_)
            co_return absl::UnavailableError("the worker interface is down");
        co_return absl::OkStatus();
    }

    // Returns whether the reply of this call shall be lost, and decrements the number of replies to lose.
    bool consumeLostReply()
    {
        if (faults_.repliesToLose_ == 0)
            return false;
        --faults_.repliesToLose_;
        return true;
    }
};

struct MemoryWorkers::Shared {
    Clock clock_;
    std::map<WorkerName, std::shared_ptr<Worker>> workers_;
    // Starts at the wall-clock time in milliseconds, so that incarnations increase across restarts of the stand-in as well.
    uint64_t lastIncarnation_ { 0 };

    std::shared_ptr<Worker> find(const WorkerName& name) const
    {
        auto found = workers_.find(name);
        return found == workers_.end() ? nullptr : found->second;
    }

    // Runs `action` on the worker's state, with the current time, once the injected faults let the call pass.
    template <typename Result, typename Action>
    static asio::awaitable<Result> serve(std::shared_ptr<Shared> shared, WorkerName name, Action action)
    {
        std::shared_ptr<Worker> worker = shared->find(name);
        if (!worker)
            co_return absl::NotFoundError(concat("unknown worker ", name.value()));
        if (absl::Status status = co_await Worker::waitForService(worker); !status.ok())
            co_return status;
        Result result = action(worker->state_, now(shared->clock_));
        worker->notify();
        if (worker->consumeLostReply())
            co_return absl::DeadlineExceededError("no reply from the worker interface");
        co_return result;
    }
};

MemoryWorkers MemoryWorkers::create(Clock clock)
{
    return MemoryWorkers(std::make_shared<Shared>(Shared { std::move(clock), {}, static_cast<uint64_t>(wallMilliseconds()) }));
}

void MemoryWorkers::add(const WorkerName& name, const Resources& capacity) const
{
    WorkerState state(capacity, Incarnation(++shared_->lastIncarnation_));
    if (std::shared_ptr<Worker> known = shared_->find(name)) {
        known->state_ = std::move(state);
        known->state_.failEverything(known->faults_.failsEverything_);
        known->notify();
        return;
    }
    shared_->workers_.emplace(name, std::make_shared<Worker>(Worker { std::move(state), {}, {} }));
}

bool MemoryWorkers::contains(const WorkerName& name) const
{
    return shared_->workers_.contains(name);
}

static LaunchOutcome toLaunchOutcome(absl::StatusOr<LaunchOutcome> result)
{
    if (result.ok())
        return *std::move(result);
    std::string detail(result.status().message());
    if (absl::IsNotFound(result.status()))
        return LaunchRefused { std::move(detail) };
    if (absl::IsUnavailable(result.status()))
        return Unavailable { std::move(detail) };
    return ReplyLost { std::move(detail) };
}

asio::awaitable<LaunchOutcome> MemoryWorkers::launch(WorkerName worker, Launch launch) const
{
    auto action = [launch = std::move(launch)](WorkerState& state, Instant now) { return state.launch(launch, now); };
    co_return toLaunchOutcome(co_await Shared::serve<absl::StatusOr<LaunchOutcome>>(shared_, std::move(worker), std::move(action)));
}

asio::awaitable<absl::Status> MemoryWorkers::extend(WorkerName worker, std::vector<TaskAttempt> tasks, Duration lease) const
{
    auto action = [tasks = std::move(tasks), lease](WorkerState& state, Instant now) {
        state.extend(tasks, lease, now);
        return absl::OkStatus();
    };
    co_return co_await Shared::serve<absl::Status>(shared_, std::move(worker), std::move(action));
}

asio::awaitable<absl::Status> MemoryWorkers::stop(WorkerName worker, TaskAttempt task) const
{
    auto action = [task = std::move(task)](WorkerState& state, Instant now) { return state.stop(task, now); };
    co_return co_await Shared::serve<absl::Status>(shared_, std::move(worker), std::move(action));
}

asio::awaitable<absl::StatusOr<std::string>> MemoryWorkers::checkpoint(WorkerName worker, TaskAttempt task) const
{
    auto action = [task = std::move(task)](WorkerState& state, Instant now) { return state.checkpoint(task, now); };
    co_return co_await Shared::serve<absl::StatusOr<std::string>>(shared_, std::move(worker), std::move(action));
}

asio::awaitable<absl::Status> MemoryWorkers::throttle(WorkerName worker, TaskAttempt task, double share) const
{
    auto action = [task = std::move(task), share](WorkerState& state, Instant now) { return state.throttle(task, share, now); };
    co_return co_await Shared::serve<absl::Status>(shared_, std::move(worker), std::move(action));
}

asio::awaitable<absl::Status> MemoryWorkers::forget(WorkerName worker, std::vector<TaskAttempt> tasks) const
{
    auto action = [tasks = std::move(tasks)](WorkerState& state, Instant) {
        state.forget(tasks);
        return absl::OkStatus();
    };
    co_return co_await Shared::serve<absl::Status>(shared_, std::move(worker), std::move(action));
}

asio::awaitable<absl::StatusOr<WorkerReport>> MemoryWorkers::report(WorkerName name, ReportQuery query) const
{
    std::shared_ptr<Shared> shared = shared_;
    std::shared_ptr<Worker> worker = shared->find(name);
    if (!worker)
        co_return absl::NotFoundError(concat("unknown worker ", name.value()));
    Instant end = now(shared->clock_) + query.wait_;
    for (;;) {
        if (absl::Status status = co_await Worker::waitForService(worker); !status.ok())
            co_return status;
        Instant time = now(shared->clock_);
        worker->state_.advance(time);
        // Any difference is a change: a revision above the worker's current one belongs to another incarnation.
        if (worker->state_.revision() != query.since_ || time >= end)
            break;
        co_await Worker::waitForChange(worker, std::min(end, worker->state_.nextEnd().value_or(end)) - time);
    }
    bool isOfThisIncarnation = query.since_ <= worker->state_.revision();
    co_return worker->state_.report(isOfThisIncarnation ? query.since_ : WorkerRevision(), now(shared->clock_));
}

asio::awaitable<absl::StatusOr<WorkerUsage>> MemoryWorkers::usage(WorkerName worker) const
{
    std::shared_ptr<Worker> found = shared_->find(worker);
    Duration lag = found ? found->faults_.usageLag_ : Duration(0);
    auto action = [lag](WorkerState& state, Instant now) {
        state.advance(now);
        return WorkerUsage { lag, state.usage(now - lag) };
    };
    co_return co_await Shared::serve<absl::StatusOr<WorkerUsage>>(shared_, std::move(worker), std::move(action));
}

bool MemoryWorkers::inject(const WorkerName& name, const WorkerFaults& faults) const
{
    std::shared_ptr<Worker> worker = shared_->find(name);
    if (!worker)
        return false;
    worker->faults_ = faults;
    worker->state_.failEverything(faults.failsEverything_);
    worker->notify();
    return true;
}

std::map<WorkerName, WorkerFaults> MemoryWorkers::faults() const
{
    std::map<WorkerName, WorkerFaults> faults;
    for (const auto& [name, worker] : shared_->workers_)
        faults.emplace(name, worker->faults_);
    return faults;
}

WorkerState& MemoryWorkers::state(const WorkerName& name) const
{
    std::shared_ptr<Worker> worker = shared_->find(name);
    assertInvariant(worker != nullptr, "the worker is known");
    return worker->state_;
}

} // namespace persimmondoor::store
