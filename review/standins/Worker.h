// A stand-in for a worker. It runs what it is told to start under a lease, and sends heartbeats to the agent on its machine.
#pragma once

#include "Http.h"
#include "Record.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace persimmondoor::review {

// What the tasks of a step do, which workers know from the task itself.
struct Work {
    int64_t workMs_ { 1000 };
    int64_t milliCores_ { 1000 };
    int64_t memoryMb_ { 100 };
    bool savesProgress_ { false };
    // Number of members of the gang; 0 if the tasks are no gang.
    uint32_t gangSize_ { 0 };
    // Bytes of a value of `saved`, at least 16.
    size_t savedBytes_ { 16 };
    // The task runs until it is stopped.
    bool lasts_ { false };
};

// One run on a worker, for the checks of a case.
struct RunSpan {
    std::string task_;
    uint32_t run_ { 0 };
    std::string worker_;
    std::string saved_;
    int64_t startMs_ { 0 };
    // 0 while it runs.
    int64_t endMs_ { 0 };
    // How it ended, as the worker lists it, or "crash".
    std::string how_;
};

// What all workers of a case share: the tasks' work, and the runs.
class Fleet {
public:
    explicit Fleet(Record& record)
        : record_(record)
    {
    }

    // The work of the tasks of ID.K.STEP, given as "ID.K.STEP".
    void setWork(const std::string& step, Work work);
    Work workOf(const std::string& task);
    // Work that a value of `saved` stands for.
    void addSaved(const std::string& saved, int64_t doneMs);
    int64_t savedWork(const std::string& saved);
    size_t begin(RunSpan span);
    void end(size_t span, const std::string& how);
    std::vector<RunSpan> spans();
    Record& record() { return record_; }

    // Since when all members of the gang's run are present, and were started with the same value of `saved`; 0 if they are not.
    int64_t togetherSince(const std::string& step, uint32_t run, uint32_t size);

private:
    Record& record_;
    std::mutex mutex_;
    std::map<std::string, Work> work_;
    std::map<std::string, int64_t> saved_;
    std::vector<RunSpan> spans_;
};

// The step "ID.K.STEP" of a task "ID.K.STEP.INDEX".
std::string stepOf(const std::string& task);

struct WorkerPlace {
    std::string id_;
    std::string ip_;
    uint16_t port_ { 0 };
    std::string zone_;
    std::string service_;
    std::string rack_;
    // Where the agent on the same machine takes heartbeats.
    uint16_t controlPort_ { 0 };
};

// One life of a worker.
class Worker {
public:
    // `onStart` is called after a start was answered.
    Worker(WorkerPlace place, Fleet& fleet, std::function<void(const std::string& task, uint32_t run)> onStart);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    // Ends the life at once: all connections are closed, and all that runs is gone.
    void crash();
    // Says `draining` from now on.
    void drain();
    // From now on nothing passes between the worker and its agent, until the life ends.
    void cutOff();
    // Says that it leaves, and ends.
    void leave();
    int64_t bornMs() const { return bornMs_; }
    size_t runningCount();
    // True if an end of the task has been taken note of.
    bool hasNotedEnd(const std::string& task);
    // Number of list requests that were answered.
    int64_t listCount() const { return lists_; }

private:
    struct Run {
        uint32_t run_ { 0 };
        std::string saved_;
        Work work_;
        size_t span_ { 0 };
        int64_t startMs_ { 0 };
        // Work that the value it was started with stands for.
        int64_t resumedMs_ { 0 };
        // Members of a gang work from here on; 0 before all are present.
        int64_t togetherMs_ { 0 };
        int64_t stopAtMs_ { 0 };
        int64_t savedCount_ { 0 };
    };
    struct End {
        int64_t number_ { 0 };
        std::string task_;
        uint32_t run_ { 0 };
        std::string how_;
        std::string saved_;
    };

    Response serve(const Request&);
    Response start(const std::string& body);
    Response stop(const std::string& body);
    Response hold(const std::string& body);
    int64_t timeMs() const { return steadyMs() - bornSteadyMs_; }
    int64_t workDoneMs(const Run&) const;
    void extendLease(int64_t leaseEndMs);
    bool isFenced(int64_t fence);
    std::string newSaved(const std::string& task, Run&);
    void endRun(const std::string& task, const std::string& how);
    void work();
    void advance(const std::string& task, Run& run, std::vector<std::pair<std::string, std::string>>& ends);
    void beat();

    WorkerPlace place_;
    Fleet& fleet_;
    std::function<void(const std::string&, uint32_t)> onStart_;
    int64_t bornMs_ { wallMs() };
    int64_t bornSteadyMs_ { steadyMs() };
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isOver_ { false };
    bool isDraining_ { false };
    std::atomic<bool> isCutOff_ { false };
    int64_t fence_ { 0 };
    int64_t leaseMs_ { 0 };
    int64_t lastEnd_ { 0 };
    std::map<std::string, Run> running_;
    std::map<std::string, uint32_t> highestEnded_;
    std::vector<End> ended_;
    std::set<std::string> noted_;
    std::atomic<int64_t> lists_ { 0 };
    std::unique_ptr<Server> server_;
    std::thread worker_;
    std::thread beats_;
};

} // namespace persimmondoor::review
