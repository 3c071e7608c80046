#include "LeaderRules.h"

#include <algorithm>
#include <span>
#include <utility>

namespace persimmondoor::workflow {

void noteCheckpoint(Task& task, const std::string& checkpoint)
{
    // A run that has not saved anything yet passes on the checkpoint that it was started with.
    if (checkpoint.empty() || checkpoint == task.progress_.checkpoint_)
        return;
    task.progress_.checkpoint_ = checkpoint;
    task.checkpointOrigin_ = { task.progress_.run_, task.progressPercent_ };
}

// Makes all members go on from one checkpoint, as any member's is valid for all: the most advanced one, as far as the leader
// can tell, otherwise that of the lowest index.
static void chooseCheckpoint(std::span<Task> members)
{
    auto chosen = std::max_element(members.begin(), members.end(), [](const Task& left, const Task& right) {
        return std::pair(!left.progress_.checkpoint_.empty(), left.checkpointOrigin_) < std::pair(!right.progress_.checkpoint_.empty(), right.checkpointOrigin_);
    });
    const std::string checkpoint = chosen->progress_.checkpoint_;
    const CheckpointOrigin origin = chosen->checkpointOrigin_;
    for (Task& member : members) {
        member.progress_.checkpoint_ = checkpoint;
        member.checkpointOrigin_ = origin;
    }
}

// Gives all members the gang's number of failed runs. As they are equal at each start, a run in which several members fail
// counts once.
static void levelFailures(std::span<Task> members)
{
    uint32_t failures = 0;
    for (const Task& member : members)
        failures = std::max(failures, member.progress_.failures_);
    for (Task& member : members)
        member.progress_.failures_ = failures;
}

void levelGang(Job& job, const TaskKey& member)
{
    const Step& step = stepOf(job, member);
    std::span<Task> members(&job.tasks_[taskNumber(job, { member.job_, member.occurrence_, member.step_, 0 })], step.count_);
    chooseCheckpoint(members);
    // Long-running members have no limit; those that have failed are placed differently.
    if (!step.longRunning_)
        levelFailures(members);
}

} // namespace persimmondoor::workflow
