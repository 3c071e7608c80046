// Parts of the owner's decisions that more than one file needs.
#pragma once

#include "persimmondoor/workflow/Leader.h"

namespace persimmondoor::workflow {

// What the parts of one decision share: the state, the actions so far and the time.
struct DecisionContext {
    LeaderState& state_;
    std::vector<LeaderAction>& actions_;
    Instant now_;

    void addAction(LeaderAction action) const { actions_.push_back(std::move(action)); }
    void logEvent(std::string event, std::string subject, std::string detail) const
    {
        actions_.push_back(LogEvent { std::move(event), std::move(subject), std::move(detail) });
    }
};

// Where the parts of a task stand in its job.
uint32_t taskNumber(const Job&, const TaskKey&);
TaskKey keyOf(const Job&, uint32_t taskNumber);
const Step& stepOf(const Job&, const TaskKey&);
uint32_t& unfinishedTasksOf(Job&, const TaskKey&);
// The task, or null if there is no such job or task.
Task* findTask(LeaderState&, const TaskKey&);
// Books a task on its worker.
void reserveResources(Worker&, const TaskKey&, const Step&);
// Gives the job the settings of its queue that are in force.
void applyCatalog(const Catalog&, Job&);
bool isOpen(const Job&);
bool hasAssigned(const Job&);
// True if the job has waited for room where its filling tasks do no harm as long as it may.
bool mayIgnoreInterference(const LeaderState&, const Job&, Instant now);

// Marks the job's row for the next batch.
StagedJob& stage(LeaderState&, const JobId&);
void stage(LeaderState&, const JobId&, Effect);

// Puts the job into the queue of those with something to start.
void makeReady(LeaderState&, const Job&);
// Removes the job from the open ones if nothing of it is left to do.
void closeIfEnded(const DecisionContext&, Job&);

// Orders the worker to stop the task's run, once.
void orderStop(const DecisionContext&, const TaskKey&, Task&, std::string_view why);
// Stops all tasks of the job; starts that have not left yet are taken back.
void stopTasks(const DecisionContext&, Job&, std::string_view why);
// Takes the task off its worker: the run is known not to be there any more, or never was.
void unassign(const DecisionContext&, Job&, const TaskKey&, Task&);
// The run is not on its worker and has left no end.
void markRunLost(const DecisionContext&, Job&, const TaskKey&, Task&, std::string_view why);
void addOrder(const DecisionContext&, const std::string& agent, Order);

void completeTask(const DecisionContext&, Job&, const TaskKey&, Task&);
void handleEnd(const DecisionContext&, const WorkerIncarnation&, const EndedRun&);
// Nothing runs on that life of a worker any more.
void dropWorker(const DecisionContext&, const WorkerIncarnation&, std::string_view why);

void handleCall(const DecisionContext&, const CallArrived&);
void handleReport(const DecisionContext&, const AgentReport&);
void handleBatchDurable(const DecisionContext&, const BatchDurable&);
void handleTick(const DecisionContext&, const Tick&);
// True if the store has failed for so long that nothing new is taken.
bool isStoreUnavailable(const LeaderState&, Instant now);
// Refuses jobs that no transaction has been sent for while the store is away.
void refuseUnsentJobs(const DecisionContext&);

// Starts what may be started.
void startReadyTasks(const DecisionContext&);
// Withdraws starts that have not been released and that the configuration no longer allows.
void withdrawForbiddenStarts(const DecisionContext&);

// A worker for a task, or nothing.
std::optional<WorkerIncarnation> chooseWorker(const LeaderState&, const Job&, const TaskKey&, Instant now);
// True if the worker may be given new runs.
bool acceptsRuns(const LeaderState&, const Worker&, Instant now);

} // namespace persimmondoor::workflow
