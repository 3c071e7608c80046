#include "DecisionWatch.h"

#include "persimmondoor/core/Coroutine.h"

#include <pthread.h>

namespace persimmondoor::scheduler {

DecisionWatch::DecisionWatch(WatchTuning tuning, HangHandler handler)
    : tuning_(tuning)
    , handler_(std::move(handler))
{
    spawn(loop_.get_executor(), "decision watch", run());
    thread_ = std::thread([this] { loop_.run(); });
}

DecisionWatch::~DecisionWatch()
{
    loop_.stop();
    thread_.join();
}

void DecisionWatch::begin()
{
    if (!hasClock_.load(std::memory_order_relaxed) && pthread_getcpuclockid(pthread_self(), &clock_) == 0)
        hasClock_.store(true, std::memory_order_release);
    trace_.clear();
    serial_.fetch_add(1, std::memory_order_release);
}

void DecisionWatch::end()
{
    serial_.fetch_add(1, std::memory_order_release);
}

boost::asio::awaitable<void> DecisionWatch::run()
{
    for (;;) {
        co_await sleepFor(tuning_.interval_);
        check();
    }
}

std::optional<Duration> DecisionWatch::processorTime() const
{
    timespec time {};
    if (!hasClock_.load(std::memory_order_acquire) || clock_gettime(clock_, &time) != 0)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

void DecisionWatch::check()
{
    uint64_t serial = serial_.load(std::memory_order_acquire);
    std::optional<Duration> time = processorTime();
    bool isSame = serial == lastSerial_ && serial % 2 == 1;
    if (!isSame || !firstTime_ || !time) {
        lastSerial_ = serial;
        firstTime_ = time;
        return;
    }
    if (*time - *firstTime_ >= tuning_.hungAfter_)
        handler_(trace_.job(), *time - *firstTime_);
}

} // namespace persimmondoor::scheduler
