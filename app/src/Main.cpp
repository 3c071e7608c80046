#include "persimmondoor/app/Main.h"

#include "Deployed.h"
#include "Options.h"
#include "Report.h"
#include "ctl/Ctl.h"
#include "persimmondoor/app/Agent.h"
#include "persimmondoor/app/Entry.h"
#include "persimmondoor/app/Standins.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/rpc/Loop.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <iostream>

namespace persimmondoor::app {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    // The entries, agents and stand-ins that run in this process.
    struct Daemon {
        std::vector<std::unique_ptr<Entry>> entries_;
        std::vector<std::unique_ptr<Agent>> agents_;
        std::unique_ptr<Standins> standins_;
    };

} // namespace

static json::object describe(const Daemon& daemon)
{
    json::array entries;
    for (const auto& entry : daemon.entries_) {
        settings::EntrySite site = entry->site();
        entries.push_back(json::object { { "name", site.name_.value() }, { "http", site.http_.text() }, { "operators", site.operators_.text() }, { "rpc", site.rpc_.text() } });
    }
    json::array agents;
    for (const auto& agent : daemon.agents_)
        agents.push_back(json::value(agent->address().text()));
    json::object ready { { "ready", true }, { "entries", entries }, { "agents", agents } };
    if (daemon.standins_) {
        json::object services;
        for (const settings::WorkerSite& worker : daemon.standins_->site().workers_) {
            for (const settings::EndpointSite& endpoint : worker.endpoints_)
                services[endpoint.name_.value()] = endpoint.address_.text();
        }
        ready["standins"] = json::object { { "platform", daemon.standins_->site().platform_.text() }, { "services", services } };
    }
    return ready;
}

static absl::Status startEntries(Daemon& daemon, const asio::any_io_executor& executor, settings::Site& site, const ServerLimits& limits)
{
    for (settings::EntrySite& self : site.entries_) {
        auto entry = Entry::start(executor, site, self, limits);
        if (!entry.ok())
            return entry.status();
        self = (*entry)->site();
        daemon.entries_.push_back(*std::move(entry));
    }
    return absl::OkStatus();
}

static absl::Status startAgents(Daemon& daemon, const asio::any_io_executor& executor, const settings::Site& site, const ServerLimits& limits)
{
    for (const settings::WorkerSite& self : site.workers_) {
        auto agent = Agent::start(executor, site, self, limits);
        if (!agent.ok())
            return agent.status();
        daemon.agents_.push_back(*std::move(agent));
    }
    return absl::OkStatus();
}

static absl::Status startLocal(Daemon& daemon, const asio::any_io_executor& executor, const DaemonOptions& options)
{
    auto standins = Standins::start(executor, options.site_);
    if (!standins.ok())
        return standins.status();
    daemon.standins_ = *std::move(standins);
    settings::Site site = daemon.standins_->site();
    if (absl::Status status = startEntries(daemon, executor, site, options.limits_); !status.ok())
        return status;
    if (absl::Status status = startAgents(daemon, executor, site, options.limits_); !status.ok())
        return status;
    for (size_t index = 0; index < site.workers_.size(); ++index)
        site.workers_[index].rpc_ = daemon.agents_[index]->address();
    for (auto& entry : daemon.entries_)
        entry->setWorkers(site);
    for (auto& agent : daemon.agents_)
        agent->setWorkers(site);
    return absl::OkStatus();
}

template <typename Items>
static auto findByName(Items& items, const std::string& name)
{
    return std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.name_.value() == name; });
}

static absl::Status startEntry(Daemon& daemon, const asio::any_io_executor& executor, const DaemonOptions& options)
{
    settings::Site site = options.site_;
    auto self = findByName(site.entries_, options.name_);
    if (self == site.entries_.end())
        return absl::InvalidArgumentError(concat("no entry named '", options.name_, "' in the site file"));
    auto entry = Entry::start(executor, site, *self, options.limits_);
    if (!entry.ok())
        return entry.status();
    daemon.entries_.push_back(*std::move(entry));
    return absl::OkStatus();
}

static absl::Status startAgent(Daemon& daemon, const asio::any_io_executor& executor, const DaemonOptions& options)
{
    settings::Site site = options.site_;
    auto self = findByName(site.workers_, options.name_);
    if (self == site.workers_.end())
        return absl::InvalidArgumentError(concat("no worker named '", options.name_, "' in the site file"));
    auto agent = Agent::start(executor, site, *self, options.limits_);
    if (!agent.ok())
        return agent.status();
    daemon.agents_.push_back(*std::move(agent));
    return absl::OkStatus();
}

static absl::Status startStandins(Daemon& daemon, const asio::any_io_executor& executor, const DaemonOptions& options)
{
    auto standins = Standins::start(executor, options.site_);
    if (!standins.ok())
        return standins.status();
    daemon.standins_ = *std::move(standins);
    return absl::OkStatus();
}

static asio::awaitable<void> shutDownAgent(Agent& agent, Duration limit, Mailbox<bool> ended)
{
    co_await agent.shutDown(limit);
    ended.tryPost(true);
}

static asio::awaitable<void> shutDown(Daemon& daemon, Duration limit)
{
    asio::any_io_executor executor = co_await asio::this_coro::executor;
    for (auto& entry : daemon.entries_)
        co_await entry->shutDown(limit);
    Mailbox<bool> ended(executor, daemon.agents_.size() + 1);
    for (auto& agent : daemon.agents_)
        spawn(executor, "agent shutdown", shutDownAgent(*agent, limit, ended));
    for (size_t count = 0; count < daemon.agents_.size(); ++count)
        co_await ended.receive();
}

static asio::awaitable<void> waitForSignal(asio::io_context& context, Daemon& daemon, Duration limit)
{
    asio::signal_set signals(context, SIGINT, SIGTERM);
    co_await signals.async_wait(asio::use_awaitable);
    co_await shutDown(daemon, limit);
    context.stop();
}

using Starter = absl::Status (*)(Daemon&, const asio::any_io_executor&, const DaemonOptions&);

static int fail(std::string_view message, ExitCode code)
{
    std::cerr << "persimmondoor: " << message << "\n";
    return code;
}

static int runDaemon(const std::string& subcommand, const std::vector<std::string>& arguments, Starter start)
{
    auto options = readDaemonOptions(subcommand, arguments);
    if (!options.ok())
        return fail(std::string(options.status().message()), Usage);
    startLog(options->logLevel_, options->name_.empty() ? subcommand : options->name_);
    rpc::Loop loop;
    asio::io_context& context = loop.context();
    Daemon daemon;
    absl::Status status = start(daemon, context.get_executor(), *options);
    if (!status.ok())
        return fail(std::string(status.message()), status.code() == absl::StatusCode::kInvalidArgument ? Usage : Failure);
    spawn(context.get_executor(), "signals", waitForSignal(context, daemon, options->shutdownLimit_));
    std::cout << json::serialize(describe(daemon)) << std::endl;
    context.run();
    return Success;
}

static constexpr std::string_view usageText = "usage: persimmondoor entry|agent|local --settings FILE [--name NAME] [--log-level LEVEL]\n"
                                              "       persimmondoor entry|agent --deployment FILE [--log-level LEVEL]\n"
                                              "       persimmondoor ctl VERB ... [--entry IP:PORT]... [--json] [--token TOKEN]\n"
                                              "       persimmondoor report FILE... [--format text|json|html] [--output FILE] [--jobs N] [--job ID]\n";

int runProgram(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + std::min(argc, 2), argv + argc);
    std::string subcommand = argc > 1 ? argv[1] : "";
    bool deployed = namesDeployment(arguments);
    if (subcommand == "entry" && deployed)
        return runDeployedEntry(arguments);
    if (subcommand == "agent" && deployed)
        return runDeployedAgent(arguments);
    if (subcommand == "entry")
        return runDaemon(subcommand, arguments, startEntry);
    if (subcommand == "agent")
        return runDaemon(subcommand, arguments, startAgent);
    if (subcommand == "local")
        return runDaemon(subcommand, arguments, startLocal);
    if (subcommand == "ctl")
        return ctl::runCtl(arguments);
    if (subcommand == "report")
        return runReport(arguments);
    std::cerr << usageText;
    return Usage;
}

int runStandins(int argc, char** argv)
{
    return runDaemon("standins", std::vector<std::string>(argv + 1, argv + argc), startStandins);
}

} // namespace persimmondoor::app
