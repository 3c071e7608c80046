#include "LeaderRules.h"

#include <algorithm>
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

void chooseGangCheckpoint(Job& job, const TaskKey& member)
{
    auto first = job.tasks_.begin() + taskNumber(job, { member.job_, member.occurrence_, member.step_, 0 });
    auto end = first + stepOf(job, member).count_;
    auto chosen = std::max_element(first, end, [](const Task& left, const Task& right) {
        return std::pair(!left.progress_.checkpoint_.empty(), left.checkpointOrigin_) < std::pair(!right.progress_.checkpoint_.empty(), right.checkpointOrigin_);
    });
    const std::string checkpoint = chosen->progress_.checkpoint_;
    const CheckpointOrigin origin = chosen->checkpointOrigin_;
    std::for_each(first, end, [&](Task& task) {
        task.progress_.checkpoint_ = checkpoint;
        task.checkpointOrigin_ = origin;
    });
}

} // namespace persimmondoor::workflow
