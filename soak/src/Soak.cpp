#include "persimmondoor/soak/Soak.h"

#include "Clients.h"
#include "Processes.h"
#include "Proxy.h"
#include "Recorder.h"
#include "StoreStandin.h"
#include "WorkerStandin.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

namespace persimmondoor::soak {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr uint16_t clientPort = 8161;
static constexpr uint16_t controlPort = 8166;
static constexpr uint16_t readinessPort = 8167;
static constexpr uint16_t storePort = 8169;
static constexpr uint16_t workerPort = 8080;
static constexpr uint16_t internalPort = 7720;
static constexpr std::string_view hostName = "queues.example";
static constexpr std::string_view queuePrefix = "/work/";
static constexpr std::string_view serviceName = "packs";
static constexpr std::array<std::string_view, 3> domainNames { "north", "south", "west" };
// Time for the processes to find each other before traffic begins.
static constexpr Duration startup = std::chrono::milliseconds(3000);
static constexpr uint32_t workersPerRack = 2;
// Part of a rush can be served on time, and part of it cannot.
static constexpr Duration targetLatency = std::chrono::milliseconds(1000);
static constexpr Duration restartDelay = std::chrono::milliseconds(500);
static constexpr Duration workerAbsence = std::chrono::milliseconds(2000);
static constexpr Duration stopLimit = std::chrono::milliseconds(6000);
static constexpr Duration storeDelay = std::chrono::milliseconds(250);
static constexpr uint32_t lostAnswers = 3;
static constexpr Duration checkInterval = std::chrono::milliseconds(50);
// From the end of the last fault until the bounds of the calm apply.
static constexpr Duration calmDelay = std::chrono::milliseconds(12'000);

namespace {

    class Run {
    public:
        Run(const SoakOptions& options, uint64_t seed)
            : options_(options)
            , plan_(makeFaultPlan(seed, options.fleet_, options.trouble_))
            , seed_(seed)
            , recorder_(std::make_shared<Recorder>(SteadyClock()))
        {
        }

        absl::StatusOr<SoakResult> run()
        {
            absl::Status status = prepare();
            if (!status.ok())
                return status;
            spawn(context_.get_executor(), "soak", play());
            spawn(context_.get_executor(), "processes", watchProcesses());
            context_.run();
            return result_;
        }

    private:
        Address addressOf(std::string_view group, uint32_t index, uint16_t port) const { return *Address::parse(concat(options_.network_, ".", group, ".", index + 1, ":", port)); }
        Address entryAddress(uint32_t entry, uint16_t port) const { return addressOf("1", entry, port); }
        Address agentAddress(uint32_t agent, uint16_t port) const { return addressOf("2", agent, port); }
        Address storeProxyAddress(uint32_t process) const { return addressOf("3", process + 1, storePort); }
        Address workerProxyAddress(uint32_t worker) const { return addressOf("4", worker, workerPort); }
        uint32_t processCount() const { return options_.fleet_.entries_ + options_.fleet_.agents_; }
        static std::string rackOf(uint32_t worker) { return concat("rack-", worker / workersPerRack); }
        static std::string_view domainOf(uint32_t index) { return domainNames.at(index % domainNames.size()); }

        absl::Status prepare()
        {
            auto store = platform::StoreStandin::start(context_.get_executor(), addressOf("3", 0, storePort));
            if (!store.ok())
                return store.status();
            store_ = *std::move(store);
            store_->configure(std::string(hostName), std::string(queuePrefix), std::string(serviceName), targetLatency);
            for (uint32_t process = 0; process < processCount(); ++process) {
                auto proxy = Proxy::start(context_.get_executor(), storeProxyAddress(process), store_->address());
                if (!proxy.ok())
                    return proxy.status();
                storeLinks_.push_back(*std::move(proxy));
            }
            for (uint32_t worker = 0; worker < options_.fleet_.agents_; ++worker) {
                absl::Status status = prepareWorker(worker);
                if (!status.ok())
                    return status;
            }
            for (uint32_t process = 0; process < processCount(); ++process) {
                absl::Status status = prepareProcess(process);
                if (!status.ok())
                    return status;
            }
            return absl::OkStatus();
        }

        absl::Status prepareWorker(uint32_t index)
        {
            platform::WorkerStandinOptions worker { concat("worker-", index), std::string(serviceName), std::string(domainOf(index)), agentAddress(index, workerPort), workerProxyAddress(index), agentAddress(index, controlPort),
                *Resources::create(4000, 4'000'000'000, 0), { "a", rackOf(index) } };
            auto proxy = Proxy::start(context_.get_executor(), worker.announcedAddress_, worker.address_);
            if (!proxy.ok())
                return proxy.status();
            workerLinks_.push_back(*std::move(proxy));
            auto standin = platform::WorkerStandin::start(context_.get_executor(), std::move(worker), [recorder = recorder_](const platform::WorkerEvent& event) {
                recorder->tally().starts_ += std::holds_alternative<RunBegan>(event) ? 1 : 0;
                std::visit([&](const auto& seen) { recorder->record(seen); }, event);
            });
            if (!standin.ok())
                return standin.status();
            workers_.push_back(*std::move(standin));
            return absl::OkStatus();
        }

        absl::Status prepareProcess(uint32_t process)
        {
            bool isEntry = process < options_.fleet_.entries_;
            uint32_t index = isEntry ? process : process - options_.fleet_.entries_;
            std::string name = concat(isEntry ? "entry-" : "agent-", index);
            std::string path = concat(options_.folder_, "/", name, ".json");
            std::ofstream file(path);
            file << json::serialize(deploymentOf(name, process, isEntry, index));
            if (!file.flush())
                return absl::InternalError(concat("cannot write ", path));
            processes_.push_back(std::make_unique<Process>(ProcessCommand { name, options_.program_, { isEntry ? "entry" : "agent", "--deployment", path, "--log-level", "info" }, concat(options_.folder_, "/", name, ".log") }));
            return processes_.back()->start();
        }

        json::object deploymentOf(const std::string& name, uint32_t process, bool isEntry, uint32_t index) const
        {
            json::array domains(domainNames.begin(), domainNames.end());
            json::array seeds;
            for (uint32_t entry = 0; entry < options_.fleet_.entries_; ++entry)
                seeds.emplace_back(entryAddress(entry, controlPort).text());
            Address control = isEntry ? entryAddress(index, controlPort) : agentAddress(index, controlPort);
            json::object bounds { { "shutdown_ms", stopLimit.count() / 1000 }, { "status_retention_ms", 120'000 }, { "longest_lease_ms", 10'000 }, { "harm_ms", 4000 }, { "far_factor", platform::farFactor }, { "slow_factor", 2.5 } };
            json::object deployment { { "name", name }, { "domain", domainOf(index) }, { "domains", std::move(domains) }, { "host", control.ip() }, { "internal_port", internalPort }, { "workers", control.text() },
                { "seeds", std::move(seeds) }, { "store", storeProxyAddress(process).text() }, { "processors", 1.0 }, { "bounds", std::move(bounds) } };
            if (isEntry) {
                deployment["clients"] = entryAddress(index, clientPort).text();
                deployment["readiness"] = entryAddress(index, readinessPort).text();
            }
            return deployment;
        }

        asio::awaitable<void> play()
        {
            co_await sleepFor(startup);
            ClientOptions clients;
            for (uint32_t entry = 0; entry < options_.fleet_.entries_; ++entry)
                clients.entries_.push_back(entryAddress(entry, clientPort));
            clients.host_ = hostName;
            clients.prefix_ = queuePrefix;
            for (uint32_t worker = 0; worker < options_.fleet_.agents_; worker += workersPerRack)
                clients.racks_.push_back(rackOf(worker));
            clients.seed_ = seed_;
            clients_ = Clients::start(context_.get_executor(), std::move(clients), recorder_);
            Duration begin = recorder_->elapsed();
            for (const PlannedFault& planned : plan_) {
                co_await sleepFor(std::max(Duration(0), begin + planned.at_ - recorder_->elapsed()));
                progress(describe(planned.fault_));
                spawn(context_.get_executor(), "fault", apply(planned.fault_));
            }
            co_await sleepFor(std::max(Duration(0), begin + options_.trouble_ - recorder_->elapsed()));
            clients_->stopSubmitting();
            co_await sleepFor(calmDelay);
            recorder_->record(CalmBegan {});
            Duration end = recorder_->elapsed() + options_.settling_;
            while (!isSettled(recorder_->promises()) && recorder_->elapsed() < end)
                co_await sleepFor(checkInterval);
            recorder_->record(RunOver {});
            finish();
        }

        asio::awaitable<void> apply(Fault fault)
        {
            if (const auto* killed = std::get_if<KillProcess>(&fault)) {
                processes_[killed->process_]->send(SIGKILL);
            } else if (const auto* stopped = std::get_if<StopProcess>(&fault)) {
                uint32_t process = stopped->process_;
                uint32_t starts = processes_[process]->starts();
                processes_[process]->send(SIGTERM);
                co_await sleepFor(stopLimit);
                if (processes_[process]->starts() == starts)
                    processes_[process]->send(SIGKILL);
            } else if (const auto* paused = std::get_if<PauseProcess>(&fault)) {
                uint32_t process = paused->process_;
                Duration duration = paused->duration_;
                processes_[process]->send(SIGSTOP);
                co_await sleepFor(duration);
                processes_[process]->send(SIGCONT);
            } else if (const auto* crashed = std::get_if<CrashWorker>(&fault)) {
                uint32_t worker = crashed->worker_;
                workers_[worker]->crash();
                co_await sleepFor(workerAbsence);
                workers_[worker]->restart();
            } else if (const auto* storeLink = std::get_if<BreakStoreLink>(&fault)) {
                co_await breakLink(*storeLinks_[storeLink->process_], storeLink->fault_, storeLink->duration_);
            } else if (const auto* workerLink = std::get_if<BreakWorkerLink>(&fault)) {
                co_await breakLink(*workerLinks_[workerLink->worker_], workerLink->fault_, workerLink->duration_);
            } else {
                Duration duration = std::get<BreakStore>(fault).duration_;
                store_->setFaults(storeFaults(std::get<BreakStore>(fault).fault_));
                co_await sleepFor(duration);
                store_->setFaults({});
            }
        }

        static platform::StoreFaults storeFaults(StoreFault fault)
        {
            platform::StoreFaults faults;
            faults.isDown_ = fault == StoreFault::Refuses;
            faults.isSilent_ = fault == StoreFault::Silent;
            faults.lostReplies_ = fault == StoreFault::LosesAnswers ? lostAnswers : 0;
            faults.delay_ = fault == StoreFault::Slow ? storeDelay : Duration(0);
            faults.isHistoryDropped_ = fault == StoreFault::ForgetsHistory;
            return faults;
        }

        static asio::awaitable<void> breakLink(Proxy& link, LinkFault fault, Duration duration)
        {
            link.setFault(fault);
            co_await sleepFor(duration);
            link.setFault(std::nullopt);
        }

        // Notes the ends of processes, and starts them again after a while.
        asio::awaitable<void> watchProcesses()
        {
            std::vector<Duration> missingSince(processes_.size(), Duration(-1));
            while (!isOver_) {
                for (size_t index = 0; index < processes_.size(); ++index) {
                    Process& process = *processes_[index];
                    measure(index);
                    std::optional<std::string> fault = process.reap();
                    if (fault)
                        recorder_->record(ProcessEnded { process.name(), *fault });
                    if (process.isRunning()) {
                        missingSince[index] = Duration(-1);
                    } else if (missingSince[index] < Duration(0)) {
                        missingSince[index] = recorder_->elapsed();
                    } else if (recorder_->elapsed() - missingSince[index] > restartDelay) {
                        absl::Status status = process.start();
                        if (!status.ok())
                            recorder_->record(ProcessEnded { process.name(), std::string(status.message()) });
                    }
                }
                co_await sleepFor(checkInterval);
            }
        }

        void measure(size_t index)
        {
            uint64_t& peak = index < options_.fleet_.entries_ ? result_.entryBytes_ : result_.agentBytes_;
            uint64_t bytes = processes_[index]->peakMemory();
            if (bytes > options_.memoryBytes_ && peak <= options_.memoryBytes_)
                recorder_->record(ProcessEnded { processes_[index]->name(), concat("it uses ", bytes, " bytes, more than ", options_.memoryBytes_) });
            peak = std::max(peak, bytes);
        }

        void progress(const std::string& text) const
        {
            if (options_.isVerbose_)
                std::cout << "seed " << seed_ << ", " << recorder_->elapsed().count() / 1000 << " ms: " << text << "\n";
        }

        void finish()
        {
            isOver_ = true;
            const Tally& tally = recorder_->tally();
            result_.seed_ = seed_;
            result_.faults_ = plan_.size();
            result_.submitted_ = tally.submitted_;
            result_.accepted_ = tally.accepted_;
            result_.refused_ = tally.refused_;
            result_.cancelled_ = tally.cancelled_;
            result_.completed_ = tally.completed_;
            result_.starts_ = tally.starts_;
            result_.duration_ = recorder_->elapsed();
            for (const Violation& violation : recorder_->violations())
                result_.violations_.emplace_back(recorder_->sinceBegin(violation.at_), violation);
            processes_.clear();
            clients_.reset();
            context_.stop();
        }

        SoakOptions options_;
        FaultPlan plan_;
        uint64_t seed_;
        std::shared_ptr<Recorder> recorder_;
        SoakResult result_;
        bool isOver_ { false };
        asio::io_context context_ { 1 };
        std::shared_ptr<platform::StoreStandin> store_;
        std::vector<std::unique_ptr<Proxy>> storeLinks_;
        std::vector<std::unique_ptr<Proxy>> workerLinks_;
        std::vector<std::shared_ptr<platform::WorkerStandin>> workers_;
        std::vector<std::unique_ptr<Process>> processes_;
        std::unique_ptr<Clients> clients_;
    };

} // namespace

absl::StatusOr<SoakResult> runSeed(const SoakOptions& options, uint64_t seed)
{
    Run run(options, seed);
    return run.run();
}

} // namespace persimmondoor::soak
