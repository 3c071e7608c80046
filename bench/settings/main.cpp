// Measures how a change of the settings propagates from an entry to the agents, all in one process over loopback, at
// three numbers of agents: time from acceptance until the change is in force at the agents, bytes sent, processor
// time.
//
// Usage: bench_settings [--json]
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/membership/Announcer.h"
#include "persimmondoor/membership/ViewActor.h"
#include "persimmondoor/rpc/Link.h"
#include "persimmondoor/rpc/Loop.h"
#include "persimmondoor/settings/Follower.h"
#include "persimmondoor/settings/PushTree.h"
#include "persimmondoor/settings/Store.h"
#include "persimmondoor/store/MemoryTable.h"

#include <boost/asio/co_spawn.hpp>
#include <iomanip>
#include <iostream>
#include <sys/resource.h>

using namespace persimmondoor;
namespace asio = boost::asio;

static constexpr Duration idleSpan = std::chrono::seconds(4);
static constexpr Duration inForceTimeout = std::chrono::seconds(20);

static double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    auto seconds = [](const timeval& time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

namespace {

struct Result {
    int agents_ { 0 };
    double medianSeconds_ { 0 };
    double lastSeconds_ { 0 };
    double changeBytesPerAgent_ { 0 };
    double changeProcessorMicrosecondsPerAgent_ { 0 };
    double idleBytesPerAgentSecond_ { 0 };
};

struct Progress {
    std::vector<Instant> inForceAt_;
    uint64_t revision_ { 0 };
};

struct Agent {
    settings::SettingsActor settings_;
    settings::Follower follower_;
    std::unique_ptr<rpc::Server> server_;
    std::shared_ptr<std::optional<membership::Announcer>> announcer_;
};

} // namespace

static Instant readClock()
{
    return now(SteadyClock());
}

static Agent startAgent(const asio::any_io_executor& executor, int number, const Address& entry, std::shared_ptr<Progress> progress)
{
    auto announcer = std::make_shared<std::optional<membership::Announcer>>();
    settings::SettingsActor tree(executor, SteadyClock(), [announcer, progress](const settings::InForce& change, settings::Digest digest) {
        if (*announcer)
            (*announcer)->report(digest);
        if (change.subtree_.revision_.value() == progress->revision_)
            progress->inForceAt_.push_back(readClock());
    });
    rpc::Interfaces interfaces;
    settings::offerSettings(interfaces, executor, tree);
    auto server = rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), std::move(interfaces));
    settings::Follower follower(executor, tree);
    membership::Announcement announcement { WorkerName::of(concat("worker-", number)), FailureDomainName::of("a"), RackName::of("r"), Incarnation(1), Sequence(1),
        (*server)->address(), { { EndpointName::of(concat("packs-", number)), ServiceName::of("packs"), TeamName::of("lankacell"), 8, 64 } }, false };
    announcer->emplace(executor, std::vector<Address> { entry }, std::move(announcement),
        [follower](const Address& from, const settings::Hint& hint) { follower.hint(from, hint); });
    return { std::move(tree), std::move(follower), *std::move(server), std::move(announcer) };
}

static std::string teamText(int deadline)
{
    return concat(R"({"services":{"packs":{"tier":"paying","deadline_ms":)", deadline, R"(}},"quota":{"cores":8,"memory_gb":16,"accelerators":0}})");
}

static asio::awaitable<bool> waitFor(std::shared_ptr<Progress> progress, size_t agents)
{
    Instant end = readClock() + inForceTimeout;
    while (progress->inForceAt_.size() < agents && readClock() < end)
        co_await sleepFor(std::chrono::milliseconds(5));
    co_return progress->inForceAt_.size() >= agents;
}

static asio::awaitable<Revision> change(store::MemoryTable table, settings::SettingsActor entry, std::vector<Address> agents, std::shared_ptr<Progress> progress, uint64_t revision)
{
    progress->inForceAt_.clear();
    progress->revision_ = revision;
    settings::WriteRequest request { settings::SubtreeName::of("lankacell"), teamText(static_cast<int>(100 + revision)), Revision(revision - 1),
        settings::WriteId::of(concat("w", revision)), "", false };
    settings::WriteOutcome outcome = co_await settings::writeSubtree(table, std::move(request));
    std::vector<settings::Subtree> subtrees(1, std::get<settings::WriteAccepted>(outcome).subtree_);
    std::vector<settings::Subtree> copy = subtrees;
    entry.apply(std::move(copy));
    co_await settings::pushSubtrees(std::move(agents), std::move(subtrees));
    co_return Revision(revision);
}

static asio::awaitable<Result> measure(int agents)
{
    asio::any_io_executor executor = co_await asio::this_coro::executor;
    auto table = store::MemoryTable::create();
    auto progress = std::make_shared<Progress>();
    settings::SettingsActor entry(executor, SteadyClock(), [](const settings::InForce&, settings::Digest) {});
    membership::ViewActor view(executor, SteadyClock(), [](membership::ViewAction) -> asio::awaitable<void> { co_return; });
    rpc::Interfaces interfaces;
    membership::offerMembership(interfaces, view, [entry](settings::DigestAnnouncement announcement) { return entry.handle(std::move(announcement)); });
    settings::offerSettings(interfaces, executor, entry);
    auto server = rpc::Server::listen(executor, *Address::parse("127.0.0.1:0"), std::move(interfaces));
    std::vector<Agent> started;
    started.reserve(static_cast<size_t>(agents));
    co_await change(table, entry, {}, progress, 1);
    for (int number = 0; number < agents; ++number)
        started.push_back(startAgent(executor, number, (*server)->address(), progress));
    std::vector<Address> addresses;
    addresses.reserve(started.size());
    for (const Agent& agent : started)
        addresses.push_back(agent.server_->address());
    bool ready = co_await waitFor(progress, static_cast<size_t>(agents));
    co_await sleepFor(std::chrono::seconds(2));

    Result result;
    result.agents_ = agents;
    uint64_t bytes = rpc::bytesSent();
    double processor = processorSeconds();
    co_await sleepFor(idleSpan);
    double idleSeconds = static_cast<double>(idleSpan.count()) / 1e6;
    double idleBytes = static_cast<double>(rpc::bytesSent() - bytes) / idleSeconds;
    double idleProcessor = (processorSeconds() - processor) / idleSeconds;
    result.idleBytesPerAgentSecond_ = idleBytes / agents;

    bytes = rpc::bytesSent();
    processor = processorSeconds();
    Instant begin = readClock();
    co_await change(table, entry, addresses, progress, 2);
    ready = co_await waitFor(progress, static_cast<size_t>(agents)) && ready;
    if (!ready)
        std::cerr << "the change was not in force at all agents within 20 s\n";
    double span = static_cast<double>((readClock() - begin).count()) / 1e6;
    result.changeBytesPerAgent_ = (static_cast<double>(rpc::bytesSent() - bytes) - idleBytes * span) / agents;
    result.changeProcessorMicrosecondsPerAgent_ = (processorSeconds() - processor - idleProcessor * span) * 1e6 / agents;
    std::sort(progress->inForceAt_.begin(), progress->inForceAt_.end());
    if (!progress->inForceAt_.empty()) {
        result.medianSeconds_ = static_cast<double>((progress->inForceAt_[progress->inForceAt_.size() / 2] - begin).count()) / 1e6;
        result.lastSeconds_ = static_cast<double>((progress->inForceAt_.back() - begin).count()) / 1e6;
    }
    for (const Agent& agent : started)
        (*agent.announcer_)->stop();
    co_return result;
}

static Result run(int agents)
{
    rpc::Loop loop;
    Result result;
    asio::co_spawn(loop.context(), measure(agents), [&](const std::exception_ptr& error, Result value) {
        if (error)
            std::rethrow_exception(error);
        result = value;
        loop.context().stop();
    });
    loop.context().run();
    return result;
}

static void printJSON(const std::vector<Result>& results)
{
    std::cout << "[";
    for (const Result& result : results) {
        std::cout << (&result == results.data() ? "" : ",") << "{\"agents\":" << result.agents_ << ",\"median_s\":" << result.medianSeconds_
                  << ",\"last_s\":" << result.lastSeconds_ << ",\"change_bytes_per_agent\":" << result.changeBytesPerAgent_
                  << ",\"change_cpu_us_per_agent\":" << result.changeProcessorMicrosecondsPerAgent_
                  << ",\"idle_bytes_per_agent_s\":" << result.idleBytesPerAgentSecond_ << "}";
    }
    std::cout << "]\n";
}

int main(int argc, char** argv)
{
    std::vector<Result> results;
    for (int agents : { 100, 200, 300 })
        results.push_back(run(agents));
    if (argc > 1 && std::string_view(argv[1]) == "--json") {
        printJSON(results);
        return 0;
    }
    std::cout << "agents  median s  last s  bytes/change/agent  cpu us/change/agent  idle bytes/agent/s\n"
              << std::fixed << std::setprecision(2);
    for (const Result& result : results) {
        std::cout << std::setw(6) << result.agents_ << std::setw(10) << result.medianSeconds_ << std::setw(8) << result.lastSeconds_ << std::setw(20)
                  << result.changeBytesPerAgent_ << std::setw(21) << result.changeProcessorMicrosecondsPerAgent_ << std::setw(20)
                  << result.idleBytesPerAgentSecond_ << "\n";
    }
    return 0;
}
