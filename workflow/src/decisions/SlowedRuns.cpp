#include "SlowedRuns.h"

#include "PlacementRound.h"
#include "UnplaceableDemands.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

// A task without checkpoints is not moved once this share of its work is done, in percent, as a move loses that work.
static constexpr uint32_t maximumLostPercent = 50;

namespace {

    // The tasks of one check, the workers that they are moved to, and the demands for which there is no worker.
    struct Moves {
        PlacementRound round_;
        UnplaceableDemands unplaceable_;
    };

} // namespace

static bool isRunning(const Task& task)
{
    return task.progress_.phase_ == TaskPhase::Assigned && task.isOnWorker_;
}

static bool isSlowed(const DecisionContext& context, const Task& task, const Step& step)
{
    if (!isRunning(task) || task.isStopping_ || !task.slowedSince_ || context.now_ - *task.slowedSince_ < context.state_.tuning_.moveSlowedTaskAfter_)
        return false;
    return step.savesProgress_ || task.progressPercent_ < maximumLostPercent;
}

// True if the task was stopped for a move and its end is not listed yet, so that it has not taken its new place.
static bool isMoving(const Task& task)
{
    return isRunning(task) && task.isStopping_ && task.slowedSince_ && task.avoidedWorker_ == task.progress_.worker_.name_;
}

// Claims room for the task on the worker that would get it.
// \return that worker; nothing if there is none other than its own.
static std::optional<WorkerIncarnation> claimPlace(Moves& moves, const Job& job, const TaskKey& key, const Task& task)
{
    const Step& step = stepOf(job, key);
    if (moves.unplaceable_.contains(job, step, Disturbance::Avoided))
        return std::nullopt;
    auto better = moves.round_.chooseWorker(job, key, Disturbance::Avoided);
    if (!better)
        moves.unplaceable_.add(job, step, Disturbance::Avoided);
    if (!better || *better == task.progress_.worker_)
        return std::nullopt;
    moves.round_.claim(*better, key, step.demand_);
    return better;
}

template <typename Visitor>
static void visitOpenTasks(const DecisionContext& context, Visitor visit)
{
    for (const JobId& id : context.state_.openJobs_) {
        context.noteJob(id);
        Job& job = context.state_.jobs_.at(id);
        for (uint32_t number = 0; number < job.tasks_.size(); ++number)
            visit(job, number, job.tasks_[number]);
    }
}

void moveSlowedRuns(const DecisionContext& context)
{
    Moves moves { PlacementRound(context.state_, context.now_), {} };
    visitOpenTasks(context, [&](const Job& job, uint32_t number, const Task& task) {
        if (isMoving(task))
            claimPlace(moves, job, keyOf(job, number), task);
    });
    uint32_t moved = 0;
    visitOpenTasks(context, [&](const Job& job, uint32_t number, Task& task) {
        TaskKey key = keyOf(job, number);
        if (moved == context.state_.tuning_.maximumMovesPerCheck_ || !isSlowed(context, task, stepOf(job, key)))
            return;
        auto better = claimPlace(moves, job, key, task);
        if (!better)
            return;
        task.avoidedWorker_ = task.progress_.worker_.name_;
        orderStop(context, key, task, concat("slowed down, worker ", better->name_, " has room"));
        ++moved;
    });
}

} // namespace persimmondoor::workflow
