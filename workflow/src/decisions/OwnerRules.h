// Parts of the owner's decisions that more than one file needs.
#pragma once

#include "persimmondoor/workflow/Owner.h"

namespace persimmondoor::workflow {

// One turn of the owner: the state, the actions so far and the time.
struct Turn {
    OwnerState& state_;
    std::vector<OwnerAction>& actions_;
    Instant now_;

    void act(OwnerAction action) const { actions_.push_back(std::move(action)); }
    void remark(std::string event, std::string subject, std::string detail) const
    {
        actions_.push_back(Remark { std::move(event), std::move(subject), std::move(detail) });
    }
};

// Where the parts of a task stand in its job.
uint32_t taskNumber(const Job&, const TaskKey&);
TaskKey keyOf(const Job&, uint32_t taskNumber);
const Step& stepOf(const Job&, const TaskKey&);
uint32_t& undoneOf(Job&, const TaskKey&);
// The task, or null if there is no such job or task.
Task* findTask(OwnerState&, const TaskKey&);
// Books a task on its worker.
void book(Worker&, const TaskKey&, const Step&);
// Gives the job the settings of its queue that are in force.
void applyCatalog(const Catalog&, Job&);
bool isOpen(const Job&);
bool hasAssigned(const Job&);
// True if the job has waited for room where its filling tasks do no harm as long as it may.
bool hasLostPatience(const OwnerState&, const Job&, Instant now);

// Marks the job's row for the next batch.
StagedJob& stage(OwnerState&, const JobId&);
void stage(OwnerState&, const JobId&, Effect);

// Puts the job into the queue of those with something to start.
void makeReady(OwnerState&, const Job&);
// Removes the job from the open ones if nothing of it is left to do.
void closeIfEnded(const Turn&, Job&);

// Orders the worker to stop the task's run, once.
void orderStop(const Turn&, const TaskKey&, Task&, std::string_view why);
// Stops all tasks of the job; starts that have not left yet are taken back.
void stopTasks(const Turn&, Job&, std::string_view why);
// Takes the task off its worker: the run is known not to be there any more, or never was.
void unassign(const Turn&, Job&, const TaskKey&, Task&);
// The run is not on its worker and has left no end.
void loseRun(const Turn&, Job&, const TaskKey&, Task&, std::string_view why);
void addOrder(const Turn&, const std::string& agent, Order);

void completeTask(const Turn&, Job&, const TaskKey&, Task&);
void takeEnd(const Turn&, const WorkerLife&, const EndedRun&);
// Nothing runs on that life of a worker any more.
void dropWorker(const Turn&, const WorkerLife&, std::string_view why);

void takeCall(const Turn&, const CallArrived&);
void takeReport(const Turn&, const AgentReport&);
void takeDurable(const Turn&, const BatchDurable&);
void takeTick(const Turn&, const Tick&);
// True if the store has failed for so long that nothing new is taken.
bool isStoreAway(const OwnerState&, Instant now);
// Refuses jobs that no transaction has been sent for while the store is away.
void refuseUnsentJobs(const Turn&);

// Starts what may be started.
void startReadyTasks(const Turn&);
// Withdraws starts that have not been released and that the configuration no longer allows.
void withdrawForbiddenStarts(const Turn&);

// A worker for a task, or nothing.
std::optional<WorkerLife> chooseWorker(const OwnerState&, const Job&, const TaskKey&, Instant now);
// True if the worker may be given new runs.
bool takesRuns(const OwnerState&, const Worker&, Instant now);

} // namespace persimmondoor::workflow
