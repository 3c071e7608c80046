// Measures the request path in one process on loopback, compared with direct requests to an instance in the same run.
//
//   bench_requests [--json] [--only <part>] [--once <requests>]
//
// Parts:
//   latency   latency that the system adds to direct requests
//   overload  paying and trial requests at twice the capacity
//   once      number of non-idempotent requests that run twice under faults
//   drain     requests lost while one endpoint leaves
//   cold      distribution over the endpoints in the first second of a new entry
#include "Load.h"
#include "System.h"

#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/routing/HTTPFront.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace persimmondoor;
using namespace persimmondoor::bench;
namespace asio = boost::asio;

namespace {

bool json = false;
int onceCount = 100'000;

http::Request get()
{
    return { "GET", "/services/packs/test", {}, "" };
}

// Runs the loop until `body` has ended.
void runToCompletion(rpc::Loop& loop, asio::awaitable<void> body)
{
    auto ended = std::make_shared<bool>(false);
    auto wrapped = [](asio::awaitable<void> inner, std::shared_ptr<bool> done) -> asio::awaitable<void> {
        co_await std::move(inner);
        *done = true;
    };
    spawn(loop.context().get_executor(), "part", wrapped(std::move(body), ended));
    while (!*ended) {
        loop.context().restart();
        loop.context().run_for(std::chrono::milliseconds(20));
    }
}

// Gives the entry time to receive all announcements, then sends requests that are not measured.
void warmUp(System& system, Address entry)
{
    auto tally = std::make_shared<Tally>();
    runToCompletion(system.loop(), sleepFor(std::chrono::milliseconds(200)));
    runToCompletion(system.loop(), sendClosedLoop(system.executor(), entry, get(), 500, 4, tally));
}

void print(const char* part, const char* kind, Tally& tally)
{
    const char* format = json ? "{\"part\":\"%s\",\"kind\":\"%s\",\"done\":%llu,\"not_run\":%llu,\"unknown\":%llu,\"failed\":%llu,\"per_s\":%.0f,\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"p999_ms\":%.3f}\n"
                              : "%-10s %-22s %8llu %8llu %8llu %7llu %8.0f %8.3f %8.3f %8.3f\n";
    std::printf(format, part, kind, static_cast<unsigned long long>(tally.done_), static_cast<unsigned long long>(tally.notRun_), static_cast<unsigned long long>(tally.unknown_),
        static_cast<unsigned long long>(tally.failed_), tally.perSecond(), tally.latencyMilliseconds(0.5), tally.latencyMilliseconds(0.99), tally.latencyMilliseconds(0.999));
    for (const auto& [reason, count] : tally.reasons_)
        std::printf(json ? "{\"part\":\"%s\",\"not_run\":\"%s\",\"value\":%llu}\n" : "%-10s   not run: %-20s %llu\n", part, reason.c_str(), static_cast<unsigned long long>(count));
    std::fflush(stdout);
}

void printFigure(const char* part, const std::string& name, double value)
{
    std::printf(json ? "{\"part\":\"%s\",\"figure\":\"%s\",\"value\":%.3f}\n" : "%-10s %-60s %.3f\n", part, name.c_str(), value);
    std::fflush(stdout);
}

void measureLatency()
{
    rpc::Loop loop;
    System system(loop, 11, 8, 1, {});
    warmUp(system, system.entry(0));
    for (int concurrency : { 1, 8, 64 }) {
        auto direct = std::make_shared<Tally>();
        auto viaEntry = std::make_shared<Tally>();
        // Both kinds alternate, so that changes in the load of the machine affect both alike.
        for (int round = 0; round < 10; ++round) {
            runToCompletion(loop, sendClosedLoop(system.executor(), system.instance(0), get(), 2000, concurrency, direct));
            runToCompletion(loop, sendClosedLoop(system.executor(), system.entry(0), get(), 2000, concurrency, viaEntry));
        }
        direct->elapsed_ *= 10;
        viaEntry->elapsed_ *= 10;
        print("latency", concat("direct, ", concurrency, " at once").c_str(), *direct);
        print("latency", concat("system, ", concurrency, " at once").c_str(), *viaEntry);
        printFigure("latency", concat("added at the median, ms, ", concurrency, " at once"), viaEntry->latencyMilliseconds(0.5) - direct->latencyMilliseconds(0.5));
    }
}

asio::awaitable<void> sendPayingAndTrial(asio::any_io_executor executor, Address entry, int perSecond, Duration time, std::shared_ptr<Tally> paying, std::shared_ptr<Tally> trial)
{
    http::Request trialRequest = get();
    trialRequest.headers_.push_back({ std::string(routing::tierHeader), "trial" });
    spawn(executor, "trial", sendOpenLoop(executor, entry, std::move(trialRequest), perSecond, time, trial));
    co_await sendOpenLoop(executor, entry, get(), perSecond, time, paying);
    co_await sleepFor(std::chrono::seconds(1));
}

// Sends paying requests at the rate that all slots can serve, and trial requests at the same rate.
void measureOverload()
{
    rpc::Loop loop;
    constexpr int endpoints = 11;
    // Few slots and long requests: callers, system and instances share one thread, which must not be the bottleneck.
    constexpr int slots = 1;
    constexpr Duration service = std::chrono::milliseconds(50);
    System system(loop, endpoints, slots, 1, { service, 0, 0 });
    warmUp(system, system.entry(0));
    constexpr int capacity = endpoints * slots * 20;
    auto paying = std::make_shared<Tally>();
    auto trial = std::make_shared<Tally>();
    runToCompletion(loop, sendPayingAndTrial(system.executor(), system.entry(0), capacity, std::chrono::seconds(10), paying, trial));
    print("overload", "paying, 100%", *paying);
    print("overload", "trial, 100%", *trial);
    printFigure("overload", "paying done in time, share of the capacity", static_cast<double>(paying->done_) / (capacity * 10.0));
}

struct OnceProgress {
    int next_ { 0 };
    int running_ { 0 };
};

asio::awaitable<void> sendOnce(std::shared_ptr<Caller> caller, std::shared_ptr<OnceProgress> progress, int count, std::shared_ptr<Tally> tally)
{
    while (progress->next_ < count) {
        std::string number = std::to_string(progress->next_++);
        // Only the outcome "not-run" is retried: with any other outcome the request may have run.
        std::string outcome = "not-run";
        for (int attempt = 0; attempt < 5 && outcome == "not-run"; ++attempt) {
            http::Request request { "POST", "/services/packs/draw", { { std::string(routing::deadlineHeader), "200" } }, number };
            outcome = co_await caller->send(std::move(request), tally);
        }
    }
    --progress->running_;
}

asio::awaitable<void> restartAgents(System* system, std::shared_ptr<OnceProgress> progress)
{
    for (size_t index = 0; progress->running_ > 0; ++index) {
        co_await sleepFor(std::chrono::milliseconds(250));
        system->restartAgent(index % system->agents());
    }
}

asio::awaitable<void> sendAllOnce(System* system, int count, std::shared_ptr<Tally> tally)
{
    constexpr int callers = 64;
    auto caller = std::make_shared<Caller>(system->executor(), system->entry(0));
    auto progress = std::make_shared<OnceProgress>(OnceProgress { 0, callers });
    Clock clock = SteadyClock();
    Instant start = now(clock);
    for (int index = 0; index < callers; ++index)
        spawn(system->executor(), "caller", sendOnce(caller, progress, count, tally));
    co_await restartAgents(system, progress);
    tally->elapsed_ = now(clock) - start;
    co_await sleepFor(std::chrono::seconds(1));
}

void measureOnce()
{
    rpc::Loop loop;
    System system(loop, 11, 8, 1, { Duration(0), 0.01, 0.001 });
    warmUp(system, system.entry(0));
    auto tally = std::make_shared<Tally>();
    runToCompletion(loop, sendAllOnce(&system, onceCount, tally));
    print("once", "POST with faults", *tally);
    const std::map<std::string, int>& runs = system.requestCounts().runs_;
    auto twice = std::count_if(runs.begin(), runs.end(), [](const auto& item) { return item.second > 1; });
    printFigure("once", "requests that ran", static_cast<double>(runs.size()));
    printFigure("once", "requests that ran twice", static_cast<double>(twice));
}

asio::awaitable<void> drainFirstAgent(System* system)
{
    co_await sleepFor(std::chrono::seconds(1));
    co_await system->agent(0).shutDown(std::chrono::seconds(5));
}

void measureDrain()
{
    rpc::Loop loop;
    System system(loop, 4, 4, 1, { std::chrono::milliseconds(20), 0, 0 });
    warmUp(system, system.entry(0));
    auto tally = std::make_shared<Tally>();
    spawn(system.executor(), "drain", drainFirstAgent(&system));
    // Half of the capacity of the four endpoints, so that the remaining three can serve the whole load.
    runToCompletion(loop, sendOpenLoop(system.executor(), system.entry(0), { "POST", "/services/packs/draw", {}, "" }, 400, std::chrono::seconds(4), tally));
    print("drain", "one of four leaves", *tally);
    printFigure("drain", "requests lost", static_cast<double>(tally->notRun_ + tally->unknown_ + tally->failed_));
}

void measureCold()
{
    rpc::Loop loop;
    System system(loop, 11, 8, 1, { std::chrono::milliseconds(5), 0, 0 });
    warmUp(system, system.entry(0));
    Address cold = system.addEntry();
    std::fill(system.requestCounts().requestsOfEndpoint_.begin(), system.requestCounts().requestsOfEndpoint_.end(), 0);
    auto tally = std::make_shared<Tally>();
    runToCompletion(loop, sendOpenLoop(system.executor(), cold, get(), 2000, std::chrono::seconds(1), tally));
    print("cold", "first second", *tally);
    const std::vector<uint64_t>& counts = system.requestCounts().requestsOfEndpoint_;
    double mean = static_cast<double>(tally->done_) / static_cast<double>(counts.size());
    printFigure("cold", "most at one endpoint, of the mean", static_cast<double>(*std::max_element(counts.begin(), counts.end())) / mean);
    printFigure("cold", "least at one endpoint, of the mean", static_cast<double>(*std::min_element(counts.begin(), counts.end())) / mean);
}

} // namespace

int main(int argc, char** argv)
{
    startLog(LogLevel::Error, "bench");
    std::string only;
    for (int index = 1; index < argc; ++index) {
        if (std::strcmp(argv[index], "--json") == 0)
            json = true;
        if (std::strcmp(argv[index], "--only") == 0 && index + 1 < argc)
            only = argv[++index];
        if (std::strcmp(argv[index], "--once") == 0 && index + 1 < argc)
            onceCount = std::atoi(argv[++index]);
    }
    if (!json)
        std::printf("%-10s %-22s %8s %8s %8s %7s %8s %8s %8s %8s\n", "part", "kind", "done", "not run", "unknown", "failed", "per s", "p50 ms", "p99 ms", "p99.9 ms");
    const std::vector<std::pair<std::string, void (*)()>> parts { { "latency", measureLatency }, { "overload", measureOverload }, { "once", measureOnce }, { "drain", measureDrain }, { "cold", measureCold } };
    for (const auto& [name, measure] : parts) {
        if (only.empty() || only == name)
            measure();
    }
    return 0;
}
