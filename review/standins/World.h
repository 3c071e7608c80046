// A small deployment on loopback addresses: the store, entries and agents as processes of their own, and workers.
#pragma once

#include "Record.h"
#include "Store.h"
#include "Worker.h"

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace persimmondoor::review {

struct WorldOptions {
    // Folder of the case; the record is written there.
    std::string folder_;
    size_t entries_ { 2 };
    size_t workers_ { 8 };
    uint32_t maxAttempts_ { 3 };
};

// Thrown if the case cannot run.
class CannotRun : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct Answer {
    int status_ { 0 };
    std::string body_;
};

class World {
public:
    explicit World(WorldOptions options);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    // Starts everything and waits until a first job is completed.
    void start();
    // Sends a call of a client about a job to an entry, counted from 0, and records it with its answer.
    Answer call(const std::string& method, const std::string& id, const std::string& body = "", size_t entry = 0, int limitMs = 3000);
    // Submits a job until it is accepted, at one entry after the other. \return false if it was not accepted in time.
    bool submit(const std::string& id, const std::string& steps, int64_t limitMs = 10'000);
    // The state that a client is shown; empty if there is no answer with status 200.
    std::string stateOf(const std::string& id, size_t entry = 0);
    // Asks for the state until it is final or the time is over. \return the last state.
    std::string waitForEnd(const std::string& id, int64_t limitMs);

    Fleet& fleet() { return *fleet_; }
    Record& record() { return *record_; }
    Store& store() { return *store_; }
    Worker& worker(size_t index) { return *workers_.at(index); }
    const WorkerPlace& place(size_t index) const { return places_.at(index); }
    size_t workers() const { return workers_.size(); }
    // Index of the worker of that name.
    size_t indexOf(const std::string& worker) const;
    // Ends the worker's life at once; it starts again under its id after `downMs`.
    void crash(size_t index, int64_t downMs);
    // Begins a new life of a worker that has ended.
    void restart(size_t index);
    // Lets the worker say that it leaves, and end.
    void leave(size_t index) { workers_.at(index)->leave(); }
    void signalEntry(size_t index, int number);
    // The agent on the machine of that worker.
    void signalAgent(size_t index, int number);
    // Index of the entry that leads, according to the store.
    size_t leader();
    // Called for each start that a worker has taken; set before `start`.
    std::function<void(size_t worker, const std::string& task, uint32_t run)> onStart_;

private:
    std::string ip(size_t number) const { return prefix_ + std::to_string(number); }
    void findAddresses();
    void writeConfiguration();
    void launch(const std::string& role, const std::string& name, const std::string& ip, const std::string& zone, bool isEntry);
    void awaitReady();
    std::unique_ptr<Worker> bear(size_t index);

    WorldOptions options_;
    std::string repository_;
    std::string work_;
    std::string prefix_;
    std::unique_ptr<Record> record_;
    std::unique_ptr<Fleet> fleet_;
    std::unique_ptr<Store> store_;
    std::vector<WorkerPlace> places_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<pid_t> entries_;
    std::vector<pid_t> agents_;
};

} // namespace persimmondoor::review
