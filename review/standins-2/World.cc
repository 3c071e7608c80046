// One small deployment on loopback addresses: the project's entries and agents as processes of their own, and the stand-ins
// of the store, the minions and the clients in this process.
#pragma once

#include "Http.h"
#include "Minion.cc"
#include "Proxy.h"
#include "Store.cc"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace review {

// Exit codes of a case.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

inline constexpr const char* queueHost = "nony24.example";
inline constexpr const char* queuePrefix = "/lohu930/";
inline constexpr const char* serviceName = "packsvc";

// A process of the project, ended with the object.
class Process {
public:
    Process(const std::string& program, const std::string& role, const std::string& settings, const std::string& log, const std::string& pids)
    {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        // The sockets of the stand-ins are not passed on.
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        std::vector<std::string> words { program, role, "--deployment", settings, "--log-level", "info" };
        std::vector<char*> arguments;
        arguments.reserve(words.size() + 1);
        for (std::string& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        if (posix_spawn(&id_, program.c_str(), &actions, nullptr, arguments.data(), environ) != 0)
            id_ = 0;
        posix_spawn_file_actions_destroy(&actions);
        // run.sh ends the processes of a case that has failed.
        std::ofstream(pids, std::ios::app) << id_ << "\n";
    }
    ~Process() { signal(SIGKILL); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number)
    {
        if (id_ <= 0)
            return;
        kill(id_, number);
        if (number != SIGKILL)
            return;
        waitpid(id_, nullptr, 0);
        id_ = 0;
    }

    // True if the process has ended by itself.
    bool hasEnded()
    {
        if (id_ <= 0)
            return true;
        if (waitpid(id_, nullptr, WNOHANG) != id_)
            return false;
        id_ = 0;
        return true;
    }

private:
    pid_t id_ { 0 };
};

// An entry or an agent with its machine.
struct Machine {
    std::string role_;
    std::string name_;
    std::string zone_;
    std::string ip_;
    std::string settings_;
    std::unique_ptr<Process> process_;
};

class World {
public:
    World(size_t entries, size_t workers)
        : program_(textOf("PROGRAM", "target/persimmondoor"))
        , folder_(textOf("FOLDER", "/tmp"))
        , isTroubled_(textOf("TROUBLE", "1") != "0")
        , record_(textOf("RECORD", "record.txt"))
        , subnet_("127." + std::to_string(64 + getpid() % 128) + "." + std::to_string(1 + getpid() / 128 % 250) + ".")
        , store_(context_, subnet_ + "250")
    {
        for (size_t number = 0; number < entries; ++number)
            entries_.push_back(makeMachine("entry", number, subnet_ + std::to_string(10 + number)));
        for (size_t number = 0; number < workers; ++number)
            agents_.push_back(makeMachine("agent", number, subnet_ + std::to_string(50 + number)));
        for (size_t number = 0; number < workers; ++number) {
            std::string suffix = std::to_string(number + 1);
            Minion::Identity identity { "i-0000000" + suffix, "m-" + suffix, serviceName, zoneOf(number), "r1-" + std::to_string(1 + number / 3) };
            minions_.push_back(std::make_unique<Minion>(context_, identity, agents_[number].ip_, ledger_));
        }
    }

    asio::io_context& context() { return context_; }
    Store& store() { return store_; }
    Ledger& ledger() { return ledger_; }
    const Ledger& ledger() const { return ledger_; }
    std::vector<std::unique_ptr<Minion>>& minions() { return minions_; }
    std::vector<Machine>& entries() { return entries_; }
    std::vector<Machine>& agents() { return agents_; }
    bool isTroubled() const { return isTroubled_; }

    // A line of the record, with the time since the start.
    void note(const std::string& line)
    {
        record_ << (steadyMs() - startMs_) << " ms  " << line << std::endl;
        std::cout << (steadyMs() - startMs_) << " ms  " << line << std::endl;
    }

    int64_t sinceStart(int64_t atMs) const { return atMs - startMs_; }

    void writeEvents()
    {
        for (const RunEvent& event : ledger_.events_)
            record_ << sinceStart(event.atMs_) << " ms  " << event.minion_ << " " << event.task_ << " run " << event.run_ << " " << event.what_ << " " << event.how_ << "\n";
        record_.flush();
    }

    // Writes the configuration with one queue.
    void configure(int64_t maxAttempts)
    {
        json::object route { { "name", "queue-1" }, { "host", queueHost }, { "pathPrefix", queuePrefix }, { "service", serviceName }, { "priority", 0 }, { "maxAttempts", maxAttempts }, { "stretch", 2 }, { "targetLatencyMs", 1000 } };
        json::object pool { { "name", serviceName }, { "admissionCheck", true } };
        json::object configuration { { "version", 7 }, { "routes", json::array { route } }, { "services", json::array { pool } }, { "limits", json::object() } };
        store_.put("op", "config", json::serialize(configuration));
    }

    void startProcess(Machine& machine)
    {
        machine.process_ = std::make_unique<Process>(program_, machine.role_, machine.settings_, folder_ + "/" + machine.name_ + ".log", folder_ + "/pids");
    }

    void startAll()
    {
        for (Machine& machine : entries_)
            startProcess(machine);
        for (Machine& machine : agents_)
            startProcess(machine);
        for (size_t number = 0; number < minions_.size(); ++number) {
            const Endpoint& advertised = proxies_.empty() ? minions_[number]->address() : proxies_[number]->address();
            minions_[number]->announce({ agents_[number].ip_, controlPort }, advertised);
        }
    }

    // Puts a proxy between each agent and its minion. To be called before the start.
    std::vector<std::unique_ptr<Proxy>>& addProxies()
    {
        for (size_t number = 0; number < minions_.size(); ++number)
            proxies_.push_back(std::make_unique<Proxy>(context_, agents_[number].ip_, minions_[number]->address()));
        return proxies_;
    }

    // Waits until all entries say that they are ready.
    asio::awaitable<bool> waitUntilReady(Millis limit)
    {
        int64_t end = steadyMs() + limit.count();
        while (steadyMs() < end) {
            size_t ready = 0;
            for (const Machine& machine : entries_) {
                Endpoint readiness(machine.ip_, readyPort);
                CallResult result = co_await call(readiness, "GET", "/ready", "", Millis(500));
                ready += result.status_ == 200 ? 1 : 0;
            }
            if (ready == entries_.size())
                co_return true;
            co_await sleepFor(Millis(100));
        }
        co_return false;
    }

    // Sends the job until it is accepted: after no answer, 429, 502, 503 or 504 again, at the next entry.
    asio::awaitable<bool> submit(std::string id, json::object job, StepFacts facts, int attempts = 8)
    {
        ledger_.jobs_[id] = std::vector<StepFacts>(1, facts);
        for (int attempt = 0; attempt < attempts; ++attempt) {
            std::string body = json::serialize(job);
            int status = co_await send("POST", id, std::move(body), attempt);
            note("POST " + id + " -> " + std::to_string(status));
            if (status / 100 == 2)
                co_return true;
            co_await sleepFor(Millis(1000));
        }
        co_return false;
    }

    // One call about a job at one of the entries; returns the status, 0 without an answer.
    asio::awaitable<int> send(std::string method, std::string id, std::string body, size_t entry)
    {
        CallResult result = co_await look(std::move(method), std::move(id), std::move(body), entry);
        co_return result.status_;
    }

    asio::awaitable<CallResult> look(std::string method, std::string id, std::string body, size_t entry)
    {
        const Machine& machine = entries_[entry % entries_.size()];
        Endpoint clients(machine.ip_, clientPort);
        std::string target = queuePrefix + id;
        std::string host = queueHost;
        CallResult result = co_await call(clients, std::move(method), std::move(target), std::move(body), Millis(3000), std::move(host), 3000);
        co_return result;
    }

    // Runs the case until it ends or `limit` has passed.
    // \return its exit code.
    int run(asio::awaitable<int> body, Millis limit)
    {
        int code = couldNotRun;
        asio::co_spawn(context_, std::move(body), [&](const std::exception_ptr& error, int result) {
            code = error ? couldNotRun : result;
            context_.stop();
        });
        context_.run_for(limit);
        entries_.clear();
        agents_.clear();
        return code;
    }

    static constexpr uint16_t controlPort = 8166;

private:
    static constexpr uint16_t clientPort = 8161;
    static constexpr uint16_t readyPort = 8167;
    static constexpr uint16_t internalPort = 7720;

    static std::string textOf(const char* name, const char* otherwise)
    {
        const char* value = std::getenv(name);
        return value ? value : otherwise;
    }

    static std::string zoneOf(size_t number)
    {
        static const std::vector<std::string> zones { "colombo", "negombo", "galle", "kalutara" };
        return zones[number % zones.size()];
    }

    // The settings file of the machine, with the fields of deploy/settings.json.template.
    Machine makeMachine(const std::string& role, size_t number, const std::string& ip)
    {
        Machine machine { role, role + "-" + std::to_string(number + 1), zoneOf(number), ip, "", nullptr };
        json::array seeds;
        for (size_t seed = 0; seed < 3; ++seed)
            seeds.emplace_back(subnet_ + std::to_string(10 + seed) + ":" + std::to_string(controlPort));
        json::object settings { { "name", machine.name_ }, { "domain", machine.zone_ }, { "domains", json::array { "colombo", "negombo", "galle", "kalutara" } }, { "host", ip }, { "internal_port", internalPort },
            { "workers", ip + ":" + std::to_string(controlPort) }, { "seeds", std::move(seeds) }, { "store", store_.address().text() }, { "processors", role == "entry" ? 0.25 : 0.15 },
            { "bounds", json::object { { "shutdown_ms", 6000 }, { "status_retention_ms", 120'000 }, { "longest_lease_ms", longestLeaseMs }, { "harm_ms", 4000 } } } };
        if (role == "entry") {
            settings["clients"] = ip + ":" + std::to_string(clientPort);
            settings["readiness"] = ip + ":" + std::to_string(readyPort);
        }
        machine.settings_ = folder_ + "/" + machine.name_ + ".json";
        std::ofstream(machine.settings_) << json::serialize(settings);
        return machine;
    }

    asio::io_context context_;
    std::string program_;
    std::string folder_;
    bool isTroubled_;
    std::ofstream record_;
    std::string subnet_;
    int64_t startMs_ { steadyMs() };
    Ledger ledger_;
    Store store_;
    std::vector<std::unique_ptr<Minion>> minions_;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    std::vector<Machine> entries_;
    std::vector<Machine> agents_;
};

} // namespace review
