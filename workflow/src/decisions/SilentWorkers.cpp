#include "LeaderRules.h"

#include <algorithm>

namespace persimmondoor::workflow {

void noteSilentWorker(const DecisionContext& context, const WorkerIncarnation& incarnation, const Worker& worker)
{
    // A worker that is known from the predecessor's rows only has no agent whose return could be told.
    if (worker.agent_.empty())
        return;
    std::set<TaskKey> lost;
    for (const TaskKey& key : worker.assignedTasks_) {
        if (stepOf(context.state_.jobs_.at(key.job_), key).longRunning_)
            continue;
        findTask(context.state_, key)->silentWorker_ = incarnation;
        lost.insert(key);
    }
    // A worker that falls silent again before it was listed keeps the wait that has begun.
    if (!lost.empty())
        context.state_.silentWorkers_.try_emplace(incarnation, SilentWorker { worker.agent_, worker.missingSince_, std::move(lost) });
}

void beginListWaits(const DecisionContext& context, const std::string& agent)
{
    for (auto& [incarnation, silent] : context.state_.silentWorkers_) {
        if (silent.agent_ == agent && !silent.awaitedSince_)
            silent.awaitedSince_ = context.now_;
    }
}

void endListWait(const DecisionContext& context, const WorkerIncarnation& incarnation)
{
    auto silent = context.state_.silentWorkers_.extract(incarnation);
    if (silent.empty())
        return;
    for (const TaskKey& key : silent.mapped().tasks_) {
        Task* task = findTask(context.state_, key);
        if (task && task->silentWorker_ == incarnation)
            task->silentWorker_.reset();
    }
}

void prolongListWait(const DecisionContext& context, const WorkerIncarnation& incarnation)
{
    auto silent = context.state_.silentWorkers_.find(incarnation);
    if (silent != context.state_.silentWorkers_.end())
        silent->second.awaitedSince_ = context.now_;
}

void endListWaitsOfEarlierIncarnations(const DecisionContext& context, const WorkerIncarnation& incarnation)
{
    std::vector<WorkerIncarnation> ended;
    for (const auto& [other, silent] : context.state_.silentWorkers_) {
        if (incarnation.succeeds(other))
            ended.push_back(other);
    }
    for (const WorkerIncarnation& other : ended)
        endListWait(context, other);
}

static bool isAwaited(const LeaderState& state, const SilentWorker& silent, Instant now)
{
    return silent.awaitedSince_ && now - *silent.awaitedSince_ < state.tuning_.maximumListWait_;
}

void endOverdueListWaits(const DecisionContext& context)
{
    std::vector<WorkerIncarnation> ended;
    for (const auto& [incarnation, silent] : context.state_.silentWorkers_) {
        bool isOverdue = silent.awaitedSince_ && !isAwaited(context.state_, silent, context.now_);
        bool hasTasks = std::any_of(silent.tasks_.begin(), silent.tasks_.end(), [&, &lostOn = incarnation](const TaskKey& key) {
            const Task* task = findTask(context.state_, key);
            return task && task->silentWorker_ == lostOn;
        });
        if (isOverdue || !hasTasks)
            ended.push_back(incarnation);
    }
    for (const WorkerIncarnation& incarnation : ended)
        endListWait(context, incarnation);
}

bool mayHaveEnded(const LeaderState& state, const Task& task, Instant now)
{
    if (!task.silentWorker_)
        return false;
    auto silent = state.silentWorkers_.find(*task.silentWorker_);
    return silent != state.silentWorkers_.end() && isAwaited(state, silent->second, now);
}

} // namespace persimmondoor::workflow
