// A leader with a fleet of workers in memory, for measurements of the leader's decisions: half of each worker's cores are
// used by long-running tasks of several images, and filling images disturb some of them.
#pragma once

#include "persimmondoor/workflow/Leader.h"

namespace persimmondoor::workflow {

class Fleet {
public:
    explicit Fleet(uint32_t workers);

    // Submits a job of this step.
    void submit(Step);
    // Submits a job of tasks that demand nothing, so that any number of them has room on a worker.
    void submitWeightless(uint32_t tasks);
    // Cancels the job that was submitted last.
    void cancelLast();
    // The store fails from now on.
    void failStore() { handle(StoreFailed {}); }
    // A successor restores the state from the rows of this leader, and all agents report to it.
    void takeOver();
    // How often the last round of placement has looked at a worker.
    uint64_t placementVisits() const { return state_.lastPlacementVisits_; }
    // Submits a job of one step.
    void submitFilling(uint32_t tasks, int64_t milliCores, int64_t memoryBytes = 13'000'000'000);
    // Submits a job of short tasks with data on a rack.
    void submitData(uint32_t tasks, int64_t milliCores, const std::string& rack);
    // What distance costs; 1 lets no task wait for a near place.
    void setFarFactor(double factor) { state_.tuning_.farFactor_ = factor; }
    size_t nearWaits() const { return state_.nearPlaces_.waits_.size(); }
    // Submits a job of short tasks without data, which admission assesses.
    void submitShort(uint32_t tasks, int64_t milliCores);
    // Lets the run times of the queue be known, as admission asks for.
    void learnRunTimes();
    // Every agent reports a new reading of its worker; runs that were ordered are listed as active.
    void reportAll();
    // One agent reports its worker.
    void report(uint32_t worker);
    // Writes all staged jobs, with the encoding of their rows.
    // Returns the bytes of the rows.
    uint64_t commitAll();
    // Submits a task, places and writes it, and makes the reply with the order to start it.
    // Returns the worker.
    uint32_t startTask();
    // The agent of the worker reports that a filling run has ended, which is written.
    // Returns the bytes of the rows.
    uint64_t endRun(uint32_t worker);
    // What the agent would report, and what the leader would reply, at this time.
    AgentReport reportOf(uint32_t worker);
    ReportReply replyTo(uint32_t worker);
    // The leader's periodic work, with all its log lines.
    void tick();
    void advance(Duration duration) { now_ = now_ + duration; }
    uint64_t assignedTasks() const;
    uint64_t openJobs() const { return state_.openJobs_.size(); }

private:
    void handle(LeaderMessage);
    // The agent's worker starts or stops the run of the order.
    void takeOrder(const std::string& agent, const Order&);

    Instant now_ { Instant::fromMicroseconds(1'000'000'000) };
    LeaderState state_;
    uint32_t workers_ { 0 };
    uint64_t jobs_ { 0 };
    uint64_t sequence_ { 0 };
    uint64_t reading_ { 0 };
    std::map<std::string, std::map<RunKey, bool>> active_;
    std::map<std::string, OrderNumber> completed_;
};

} // namespace persimmondoor::workflow
