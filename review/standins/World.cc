#include "World.h"

#include "Template.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace persimmondoor::review {

namespace json = boost::json;

static constexpr uint16_t storePort = 8169;
static constexpr uint16_t frontPort = 8161;
static constexpr uint16_t appPort = 8165;
static constexpr uint16_t controlPort = 8166;
static constexpr uint16_t readyPort = 8167;
static constexpr uint16_t internalPort = 7720;
static constexpr int64_t startLimitMs = 20'000;
static constexpr size_t firstEntry = 10;
static constexpr size_t firstSide = 30;
static constexpr const char* zones[] = { "zone-a", "zone-b", "zone-c", "zone-d" };
static constexpr size_t zoneCount = 4;
static constexpr size_t workersPerRack = 3;
static constexpr const char* queueHost = "nony24.example";
static constexpr const char* queuePrefix = "/lohu930/";
static constexpr const char* serviceName = "huvo11a";

static std::string readText(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw CannotRun("cannot read " + path);
    return text.str();
}

World::World(WorldOptions options)
    : options_(std::move(options))
    , repository_(std::filesystem::current_path())
    , record_(std::make_unique<Record>(options_.folder_ + "/record.txt"))
    , fleet_(std::make_unique<Fleet>(*record_))
{
    std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (!::mkdtemp(pattern.data()))
        throw CannotRun("cannot make a temporary folder");
    work_ = pattern;
}

World::~World()
{
    for (auto* processes : { &entries_, &agents_ }) {
        for (pid_t process : *processes) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    workers_.clear();
    store_.reset();
    // Logs are kept for a look at what happened if the caller asks for them.
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(work_);
    else
        record_->write("logs are in the temporary folder " + work_);
}

static bool canListen(const std::string& ip, uint16_t port)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    bool isFree = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(socket);
    return isFree;
}

// Finds a range of loopback addresses on which all ports are free.
void World::findAddresses()
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        int number = static_cast<int>(::getpid()) + attempt * 251;
        prefix_ = "127." + std::to_string(1 + number / 250 % 250) + "." + std::to_string(1 + number % 250) + ".";
        bool isFree = canListen(ip(1), storePort);
        for (size_t entry = 0; entry < options_.entries_; ++entry)
            isFree = isFree && canListen(ip(firstEntry + entry), frontPort) && canListen(ip(firstEntry + entry), internalPort);
        for (size_t side = 0; side < options_.workers_; ++side)
            isFree = isFree && canListen(ip(firstSide + side), appPort) && canListen(ip(firstSide + side), controlPort);
        if (isFree)
            return;
    }
    throw CannotRun("no free loopback addresses");
}

void World::writeConfiguration()
{
    json::object route { { "name", "r-wrr6x73" }, { "host", queueHost }, { "pathPrefix", queuePrefix }, { "kind", "unsafe" }, { "timeoutMs", 3000 }, { "targetLatencyMs", 250 }, { "priority", 0 }, { "service", serviceName }, { "maxAttempts", options_.maxAttempts_ }, { "stretch", 1.5 } };
    json::object service { { "name", serviceName }, { "healthPath", "/health" }, { "maxConns", 64 }, { "protocol", "h1" }, { "tls", false }, { "coldStartS", 0.0 }, { "coldPerS", 0.0 }, { "admissionCheck", true }, { "spare", false } };
    json::object limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
    store_->put("op", "config", json::serialize(json::object { { "version", 7 }, { "routes", json::array { route } }, { "services", json::array { service } }, { "limits", limits } }));
}

// The words of the role's command in the deploy file, with the path of the settings file replaced.
static std::vector<std::string> commandOf(const std::string& deployFile, const std::string& role, const std::string& settingsPath)
{
    size_t section = deployFile.find("[roles." + role + "]");
    size_t start = section == std::string::npos ? section : deployFile.find("run = \"", section);
    if (start == std::string::npos)
        throw CannotRun("the deploy file has no command for role " + role);
    start += 7;
    std::istringstream words(deployFile.substr(start, deployFile.find('"', start) - start));
    std::vector<std::string> command;
    for (std::string word; words >> word;)
        command.push_back(word == "/etc/persimmondoor/settings.conf" ? settingsPath : word);
    return command;
}

static pid_t spawnProcess(const std::vector<std::string>& command, const std::string& settingsPath, const std::string& logPath)
{
    std::vector<std::string> environment { "PERSIMMONDOOR_CONFIG=" + settingsPath };
    for (const char* name : { "PATH", "HOME", "LANG" }) {
        if (const char* value = std::getenv(name))
            environment.push_back(std::string(name) + "=" + value);
    }
    std::vector<char*> arguments;
    std::vector<char*> variables;
    arguments.reserve(command.size() + 1);
    variables.reserve(environment.size() + 1);
    for (const std::string& word : command)
        arguments.push_back(const_cast<char*>(word.c_str()));
    for (const std::string& variable : environment)
        variables.push_back(const_cast<char*>(variable.c_str()));
    arguments.push_back(nullptr);
    variables.push_back(nullptr);
    int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    pid_t process = ::fork();
    if (process == 0) {
        // The process must not outlive the case.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(arguments[0], arguments.data(), variables.data());
        ::_exit(127);
    }
    ::close(log);
    if (process < 0)
        throw CannotRun("cannot start " + command[0]);
    return process;
}

void World::launch(const std::string& role, const std::string& name, const std::string& ip, const std::string& zone, bool isEntry)
{
    json::object allZones;
    for (const char* other : zones)
        allZones[other] = "region-1";
    json::array seeds;
    for (size_t entry = 0; entry < std::min<size_t>(options_.entries_, 3); ++entry)
        seeds.emplace_back(this->ip(firstEntry + entry) + ":" + std::to_string(controlPort));
    json::object listen;
    if (isEntry)
        listen = { { "front", ip + ":" + std::to_string(frontPort) }, { "ready", ip + ":" + std::to_string(readyPort) } };
    listen["control"] = ip + ":" + std::to_string(controlPort);
    json::object fields { { "node", name }, { "role", role }, { "ip", ip }, { "zone", zone }, { "region", "region-1" }, { "zones", allZones }, { "listen", listen }, { "internalPortRange", json::array { internalPort, internalPort + 15 } }, { "seeds", seeds },
        { "platform", json::object { { "addr", this->ip(1) + ":" + std::to_string(storePort) } } }, { "limits", json::object { { "cpuShare", isEntry ? 0.25 : 0.15 }, { "cores", 1 }, { "memoryMb", isEntry ? 260 : 128 } } },
        { "bounds", json::object { { "graceS", 6 }, { "status_s", 120 }, { "holdMaxMs", 10'000 }, { "harmMs", 4000 } } } };
    std::string settingsPath = work_ + "/" + name + ".conf";
    std::ofstream(settingsPath) << renderTemplate(readText(repository_ + "/deploy/settings.json.template"), fields);
    std::vector<std::string> command = commandOf(readText(repository_ + "/deploy/system.toml"), role, settingsPath);
    (isEntry ? entries_ : agents_).push_back(spawnProcess(command, settingsPath, work_ + "/" + name + ".log"));
    record_->write("starts process " + name + " on " + ip);
}

std::unique_ptr<Worker> World::bear(size_t index)
{
    return std::make_unique<Worker>(places_.at(index), *fleet_, [this, index](const std::string& task, uint32_t run) {
        if (onStart_)
            onStart_(index, task, run);
    });
}

void World::start()
{
    findAddresses();
    store_ = std::make_unique<Store>(ip(1), storePort, *record_);
    writeConfiguration();
    for (size_t entry = 0; entry < options_.entries_; ++entry)
        launch("entry", "front-" + std::to_string(entry + 1), ip(firstEntry + entry), zones[entry % zoneCount], true);
    for (size_t side = 0; side < options_.workers_; ++side) {
        std::string zone = zones[side % zoneCount];
        launch("agent", "side-" + std::to_string(side + 1), ip(firstSide + side), zone, false);
        places_.push_back({ "i-worker-" + std::to_string(side + 1), ip(firstSide + side), appPort, zone, serviceName, "r1-" + std::to_string(1 + side / workersPerRack), controlPort });
    }
    for (size_t side = 0; side < options_.workers_; ++side)
        workers_.push_back(bear(side));
    awaitReady();
}

void World::awaitReady()
{
    int64_t end = steadyMs() + startLimitMs;
    auto isReady = [&] {
        for (size_t entry = 0; entry < options_.entries_; ++entry) {
            if (exchange(ip(firstEntry + entry), readyPort, { "GET", "/ready", { { "Host", "ready" } }, "" }, 1000).status_ != 200)
                return false;
        }
        return std::all_of(workers_.begin(), workers_.end(), [](const auto& worker) { return worker->listCount() > 2; });
    };
    while (!isReady()) {
        if (steadyMs() > end)
            throw CannotRun("the system is not ready in time");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    std::string first = "00000000000000f1";
    fleet_->setWork(first + ".0.0", { 200, 1000, 100, false, 0, 16 });
    if (!submit(first, R"([{"count":4,"cpu":1000,"memMb":100,"estRuntimeMs":200}])") || waitForEnd(first, 10'000) != "completed")
        throw CannotRun("a first job is not completed in time");
    record_->write("the system is ready");
}

Answer World::call(const std::string& method, const std::string& id, const std::string& body, size_t entry, int limitMs)
{
    Request request { method, queuePrefix + id, { { "Host", queueHost }, { "Content-Type", "application/json" }, { "Persimmondoor-Deadline-Ms", std::to_string(limitMs) } }, body };
    Response response = exchange(ip(firstEntry + entry), frontPort, request, limitMs);
    record_->write("client " + method + " " + id + " at front-" + std::to_string(entry + 1) + " -> " + std::to_string(response.status_) + " " + response.body_);
    return { response.status_, response.body_ };
}

bool World::submit(const std::string& id, const std::string& steps, int64_t limitMs)
{
    std::string body = R"({"spec":"work of )" + id + R"(","steps":)" + steps + "}";
    int64_t end = steadyMs() + limitMs;
    for (size_t attempt = 0; steadyMs() < end; ++attempt) {
        int status = call("POST", id, body, attempt % options_.entries_).status_;
        if (status == 200)
            return true;
        if (status == 400 || status == 404)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    return false;
}

std::string World::stateOf(const std::string& id, size_t entry)
{
    Answer answer = call("GET", id, "", entry);
    if (answer.status_ != 200)
        return "";
    return std::string(json::parse(answer.body_).as_object().at("state").as_string());
}

std::string World::waitForEnd(const std::string& id, int64_t limitMs)
{
    int64_t end = steadyMs() + limitMs;
    std::string state;
    for (size_t attempt = 0; steadyMs() < end; ++attempt) {
        state = stateOf(id, attempt % options_.entries_);
        if (state == "completed" || state == "failed" || state == "canceled")
            return state;
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
    return state;
}

size_t World::indexOf(const std::string& worker) const
{
    for (size_t index = 0; index < places_.size(); ++index) {
        if (places_[index].id_ == worker)
            return index;
    }
    throw CannotRun("no worker " + worker);
}

void World::restart(size_t index)
{
    workers_.at(index) = bear(index);
}

void World::crash(size_t index, int64_t downMs)
{
    workers_.at(index)->crash();
    std::this_thread::sleep_for(std::chrono::milliseconds(downMs));
    restart(index);
}

size_t World::leader()
{
    json::object row = json::parse(store_->read("leader", "leader")).as_object();
    std::string address(row.at("address").as_string());
    for (size_t entry = 0; entry < options_.entries_; ++entry) {
        if (address.starts_with(ip(firstEntry + entry) + ":"))
            return entry;
    }
    throw CannotRun("no entry leads");
}

void World::signalAgent(size_t index, int number)
{
    ::kill(agents_.at(index), number);
    record_->write("signal " + std::to_string(number) + " to side-" + std::to_string(index + 1));
}

void World::signalEntry(size_t index, int number)
{
    ::kill(entries_.at(index), number);
    record_->write("signal " + std::to_string(number) + " to front-" + std::to_string(index + 1));
}

} // namespace persimmondoor::review
