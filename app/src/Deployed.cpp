#include "Deployed.h"

#include "Options.h"
#include "persimmondoor/app/Main.h"
#include "persimmondoor/app/ServerLimits.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Metrics.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/http/Routes.h"
#include "persimmondoor/platform/ClientCalls.h"
#include "persimmondoor/platform/Heartbeats.h"
#include "persimmondoor/rpc/Loop.h"
#include "persimmondoor/scheduler/Front.h"
#include "persimmondoor/settings/Deployment.h"
#include "persimmondoor/supervision/SupervisorActor.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <csignal>
#include <iostream>
#include <random>

namespace persimmondoor::app {

namespace asio = boost::asio;

// Port of each daemon's metrics. Must agree with `metrics` in deploy/system.toml.
static constexpr uint16_t metricsPort = 9464;
// Part of the time for a shutdown that is left for the process to exit, before the platform kills it.
static constexpr Duration shutdownMargin = std::chrono::milliseconds(1000);
static constexpr Duration shutdownCheckInterval = std::chrono::milliseconds(20);
static constexpr Duration logFlushInterval = std::chrono::milliseconds(100);

static int fail(const std::string& path, const absl::Status& status, ExitCode code)
{
    std::cerr << "persimmondoor: " << path << ": " << status.message() << "\n";
    return code;
}

static absl::StatusOr<settings::Deployment> readDeployment(const std::string& path)
{
    auto text = readFile(path);
    if (!text.ok())
        return text.status();
    return settings::parseDeployment(*text);
}

// The RPC addresses of the seeds other than this host.
static std::vector<Address> seedEntries(const settings::Deployment& deployment)
{
    std::vector<Address> entries;
    for (const Address& seed : deployment.seeds_) {
        if (seed.ip() != deployment.host_)
            entries.push_back(seed.withPort(deployment.internalPort_));
    }
    return entries;
}

static absl::StatusOr<Address> hostAddress(const settings::Deployment& deployment, uint16_t port)
{
    return Address::parse(concat(deployment.host_, ":", port));
}

static ServerLimits serverLimits(const settings::Deployment& deployment)
{
    return ServerLimits::create(deployment.limits_.memoryBytes_, deployment.limits_.descriptors_);
}

static asio::awaitable<http::Response> serveMetrics(http::Request)
{
    http::Response response { 200, { { "Content-Type", "text/plain" } }, metricsText() };
    co_return response;
}

static absl::StatusOr<std::unique_ptr<http::Server>> startMetrics(const asio::any_io_executor& executor, const settings::Deployment& deployment)
{
    auto address = hostAddress(deployment, metricsPort);
    if (!address.ok())
        return address.status();
    http::Routes routes;
    routes.add("GET", "/metrics", serveMetrics);
    return http::Server::listen(executor, *address, serverLimits(deployment).probes_, routes.handler());
}

// Writes the collected log lines at a short interval, so that the log can be followed.
static asio::awaitable<void> flushLogs()
{
    for (;;) {
        co_await sleepFor(logFlushInterval);
        flushLog();
    }
}

// Waits for SIGTERM or SIGINT and then shuts the daemon down. SIGHUP reads the deployment file again and logs whether it
// is valid; nothing else is changed.
static asio::awaitable<void> waitForSignals(asio::io_context& context, std::string path, std::function<asio::awaitable<void>(Duration)> shutDown, Duration limit)
{
    asio::signal_set signals(context, SIGINT, SIGTERM, SIGHUP);
    for (;;) {
        int number = co_await signals.async_wait(asio::use_awaitable);
        if (number != SIGHUP)
            break;
        auto deployment = readDeployment(path);
        if (deployment.ok())
            logInfo("settings.reloaded", { { "file", path }, { "seeds", std::to_string(deployment->seeds_.size()) } });
        else
            logError("settings.unreadable", { { "file", path }, { "reason", std::string(deployment.status().message()) } });
    }
    logInfo("process.stopping", { { "limit_ms", std::to_string(limit.count() / 1000) } });
    co_await shutDown(limit);
    logInfo("process.stopped", {});
    flushLog();
    context.stop();
}

static Duration shutdownLimit(const settings::Deployment& deployment)
{
    return std::max(deployment.bounds_.shutdown_ - shutdownMargin, shutdownMargin);
}

namespace {

    struct EntryServers {
        std::unique_ptr<http::Server> clients_;
        std::unique_ptr<http::Server> readiness_;
        std::unique_ptr<http::Server> metrics_;
        std::unique_ptr<rpc::Server> peers_;
    };

} // namespace

static workflow::Tuning tuningFor(const settings::Deployment& deployment)
{
    workflow::Tuning tuning;
    tuning.taskLease_ = std::min(tuning.taskLease_, deployment.bounds_.longestLease_ * 3 / 4);
    tuning.finishedJobRetention_ = deployment.bounds_.statusRetention_;
    tuning.farFactor_ = deployment.bounds_.farFactor_;
    tuning.slowWorkerPercent_ = std::llround(deployment.bounds_.slowFactor_ * 100);
    return tuning;
}

static scheduler::SchedulerOptions schedulerOptions(const settings::Deployment& deployment, const Address& self)
{
    std::vector<std::string> domains;
    for (const FailureDomainName& domain : deployment.domains_)
        domains.push_back(domain.value());
    return { deployment.name_.value(), self, seedEntries(deployment), std::move(domains), tuningFor(deployment), deployment.store_, deployment.processors_ };
}

static workflow::SchedulerHandlers handlersOf(const scheduler::SchedulerActor& scheduler)
{
    return { [scheduler](workflow::ClientCall call) { return scheduler.call(std::move(call), false); },
        [scheduler](workflow::AgentReport report) { return scheduler.exchange(std::move(report)); },
        [scheduler](Address from, workflow::LeaderView view) { return scheduler.ping(std::move(from), std::move(view)); } };
}

static absl::StatusOr<EntryServers> startEntryServers(const asio::any_io_executor& executor, const settings::Deployment& deployment, const scheduler::SchedulerActor& scheduler, const Address& self)
{
    if (!deployment.clients_ || !deployment.readiness_)
        return absl::InvalidArgumentError("clients, readiness: an entry needs both addresses");
    rpc::Interfaces interfaces;
    workflow::offerScheduler(interfaces, executor, handlersOf(scheduler));
    ServerLimits limits = serverLimits(deployment);
    auto peers = rpc::Server::listen(executor, self, std::move(interfaces), limits.peers_);
    auto clients = http::Server::listen(executor, *deployment.clients_, limits.requests_, platform::clientHandler([scheduler](workflow::ClientCall call) { return scheduler::serveClient(scheduler, std::move(call)); }));
    auto readiness = http::Server::listen(executor, *deployment.readiness_, limits.probes_, platform::readinessHandler([scheduler] { return scheduler.isReady(); }));
    auto metrics = startMetrics(executor, deployment);
    for (const absl::Status& status : { peers.status(), clients.status(), readiness.status(), metrics.status() }) {
        if (!status.ok())
            return status;
    }
    return EntryServers { *std::move(clients), *std::move(readiness), *std::move(metrics), *std::move(peers) };
}

static asio::awaitable<void> shutDownEntry(EntryServers& servers, scheduler::SchedulerActor scheduler, Duration limit)
{
    Clock clock = SteadyClock();
    Instant end = now(clock) + limit;
    servers.clients_->stopAccepting();
    co_await scheduler.resign();
    while (servers.clients_->inFlight() > 0 && now(clock) < end)
        co_await sleepFor(shutdownCheckInterval);
    logInfo("entry.drained", { { "requests_cut_off", std::to_string(servers.clients_->inFlight()) } });
}

int runDeployedEntry(const std::vector<std::string>& arguments)
{
    auto options = readDeployedOptions("entry", arguments);
    if (!options.ok())
        return fail("flags", options.status(), Usage);
    auto deployment = readDeployment(options->path_);
    if (!deployment.ok())
        return fail(options->path_, deployment.status(), Usage);
    startLog(options->logLevel_, deployment->name_.value());
    collectLog();
    auto self = hostAddress(*deployment, deployment->internalPort_);
    if (!self.ok())
        return fail(options->path_, self.status(), Usage);
    rpc::Loop loop;
    asio::io_context& context = loop.context();
    auto scheduler = scheduler::SchedulerActor::start(context.get_executor(), schedulerOptions(*deployment, *self));
    auto servers = startEntryServers(context.get_executor(), *deployment, scheduler, *self);
    if (!servers.ok())
        return fail(options->path_, servers.status(), Failure);
    logInfo("process.started", { { "role", "entry" }, { "domain", deployment->domain_.value() }, { "clients", deployment->clients_->text() }, { "scheduler", self->text() } });
    spawn(context.get_executor(), "signals", waitForSignals(
                                                 context, options->path_, [&servers, scheduler](Duration limit) { return shutDownEntry(*servers, scheduler, limit); }, shutdownLimit(*deployment)));
    spawn(context.get_executor(), "log", flushLogs());
    context.run();
    return Success;
}

static supervision::SupervisorOptions supervisorOptions(const asio::any_io_executor& executor, const settings::Deployment& deployment)
{
    auto rows = platform::RowStore::create(executor, deployment.store_);
    std::random_device entropy;
    uint64_t session = (uint64_t(entropy()) << 32) | entropy();
    return { deployment.name_.value(), deployment.domain_.value(), session, seedEntries(deployment), [rows] { return scheduler::locateLeader(rows); } };
}

int runDeployedAgent(const std::vector<std::string>& arguments)
{
    auto options = readDeployedOptions("agent", arguments);
    if (!options.ok())
        return fail("flags", options.status(), Usage);
    auto deployment = readDeployment(options->path_);
    if (!deployment.ok())
        return fail(options->path_, deployment.status(), Usage);
    if (!deployment->workers_)
        return fail(options->path_, absl::InvalidArgumentError("workers: an agent needs this address"), Usage);
    startLog(options->logLevel_, deployment->name_.value());
    collectLog();
    rpc::Loop loop;
    asio::io_context& context = loop.context();
    auto supervisor = supervision::SupervisorActor::start(context.get_executor(), supervisorOptions(context.get_executor(), *deployment));
    auto workers = http::Server::listen(context.get_executor(), *deployment->workers_, serverLimits(*deployment).requests_, platform::heartbeatHandler([supervisor](platform::RegistryMessage message) { supervisor.handle(std::move(message)); }));
    auto metrics = startMetrics(context.get_executor(), *deployment);
    for (const absl::Status& status : { workers.status(), metrics.status() }) {
        if (!status.ok())
            return fail(options->path_, status, Failure);
    }
    logInfo("process.started", { { "role", "agent" }, { "domain", deployment->domain_.value() }, { "workers", deployment->workers_->text() } });
    // Tasks continue to run under their leases while the agent is replaced.
    auto shutDown = [&workers](Duration) -> asio::awaitable<void> {
        (*workers)->stopAccepting();
        co_return;
    };
    spawn(context.get_executor(), "signals", waitForSignals(context, options->path_, shutDown, shutdownLimit(*deployment)));
    spawn(context.get_executor(), "log", flushLogs());
    context.run();
    return Success;
}

} // namespace persimmondoor::app
