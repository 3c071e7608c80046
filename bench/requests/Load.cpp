#include "Load.h"

#include "persimmondoor/routing/HTTPFront.h"

#include <algorithm>

namespace persimmondoor::bench {

namespace asio = boost::asio;

static constexpr Duration callerTimeout = std::chrono::seconds(5);

double Tally::latencyMilliseconds(double quantile)
{
    if (latencies_.empty())
        return 0;
    auto position = latencies_.begin() + static_cast<ptrdiff_t>(quantile * static_cast<double>(latencies_.size() - 1));
    std::nth_element(latencies_.begin(), position, latencies_.end());
    return static_cast<double>(*position) / 1000.0;
}

double Tally::perSecond() const
{
    return elapsed_ > Duration(0) ? static_cast<double>(done_) * 1e6 / static_cast<double>(elapsed_.count()) : 0;
}

asio::awaitable<std::string> Caller::send(http::Request request, std::shared_ptr<Tally> tally)
{
    std::shared_ptr<http::Connection> connection;
    while (!connection && !idle_.empty()) {
        if (idle_.back()->isReusable())
            connection = idle_.back();
        idle_.pop_back();
    }
    Clock clock = SteadyClock();
    Instant start = now(clock);
    if (!connection) {
        auto made = co_await http::Connection::connect(executor_, address_, callerTimeout);
        if (!made.ok()) {
            ++tally->failed_;
            co_return "";
        }
        connection = *made;
    }
    http::ExchangeOutcome outcome = co_await connection->exchange(std::move(request), callerTimeout);
    const auto* response = std::get_if<http::Response>(&outcome);
    if (!response) {
        ++tally->failed_;
        co_return "";
    }
    idle_.push_back(connection);
    // A response that comes directly from an instance has no outcome header.
    std::string text = http::findHeader(response->headers_, routing::outcomeHeader).value_or("done");
    tally->done_ += text == "done" ? 1 : 0;
    tally->notRun_ += text == "not-run" ? 1 : 0;
    tally->unknown_ += text == "unknown" ? 1 : 0;
    if (text == "not-run")
        ++tally->reasons_[http::findHeader(response->headers_, routing::reasonHeader).value_or("")];
    if (text == "done")
        tally->latencies_.push_back((now(clock) - start).count());
    co_return text;
}

namespace {

    struct Progress {
        int remaining_;
        int running_;
    };

} // namespace

static asio::awaitable<void> sendSequentially(std::shared_ptr<Caller> caller, http::Request request, std::shared_ptr<Progress> progress, std::shared_ptr<Tally> tally)
{
    while (progress->remaining_ > 0) {
        --progress->remaining_;
        http::Request one = request;
        co_await caller->send(std::move(one), tally);
    }
    --progress->running_;
}

static asio::awaitable<void> waitFor(std::shared_ptr<Progress> progress)
{
    while (progress->running_ > 0)
        co_await sleepFor(std::chrono::milliseconds(1));
}

asio::awaitable<void> sendClosedLoop(asio::any_io_executor executor, Address address, http::Request request, int count, int concurrency, std::shared_ptr<Tally> tally)
{
    auto caller = std::make_shared<Caller>(executor, address);
    auto progress = std::make_shared<Progress>(Progress { count, concurrency });
    Clock clock = SteadyClock();
    Instant start = now(clock);
    for (int index = 0; index < concurrency; ++index)
        spawn(executor, "caller", sendSequentially(caller, request, progress, tally));
    co_await waitFor(progress);
    tally->elapsed_ = now(clock) - start;
}

static asio::awaitable<void> sendOne(std::shared_ptr<Caller> caller, http::Request request, std::shared_ptr<Progress> progress, std::shared_ptr<Tally> tally)
{
    co_await caller->send(std::move(request), tally);
    --progress->running_;
}

asio::awaitable<void> sendOpenLoop(asio::any_io_executor executor, Address address, http::Request request, int perSecond, Duration time, std::shared_ptr<Tally> tally)
{
    auto caller = std::make_shared<Caller>(executor, address);
    auto progress = std::make_shared<Progress>(Progress { 0, 0 });
    Clock clock = SteadyClock();
    Instant start = now(clock);
    int64_t sent = 0;
    while (now(clock) - start < time) {
        int64_t due = (now(clock) - start).count() * perSecond / 1'000'000;
        for (; sent < due; ++sent) {
            ++progress->running_;
            spawn(executor, "caller", sendOne(caller, request, progress, tally));
        }
        co_await sleepFor(std::chrono::milliseconds(1));
    }
    tally->elapsed_ = now(clock) - start;
    co_await waitFor(progress);
}

} // namespace persimmondoor::bench
