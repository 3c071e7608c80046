#include "Starts.h"

#include <algorithm>

namespace persimmondoor::workflow {

// Assigns all members of the gang or none.
// \param rack the only rack that may be used; empty for any.
// \return false if there is no room for all.
static bool placeGang(const DecisionContext& context, Job& job, const TaskKey& first, uint32_t run, const std::string& rack, PlacementRound& round)
{
    const Step& step = stepOf(job, first);
    Disturbance disturbance = round.disturbanceOf(job);
    StagedJob before = stage(context.state_, job.record_.id_);
    for (uint32_t index = 0; index < step.count_; ++index) {
        TaskKey key { first.job_, first.occurrence_, first.step_, index };
        auto incarnation = round.chooseWorker(job, key, disturbance, rack);
        if (incarnation) {
            assign(context, job, key, *incarnation, run);
            if (step.longRunning_)
                round.refreshImages();
            continue;
        }
        for (uint32_t placed = 0; placed < index; ++placed) {
            TaskKey placedKey { first.job_, first.occurrence_, first.step_, placed };
            unassign(context, job, placedKey, job.tasks_[taskNumber(job, placedKey)]);
        }
        round.refreshImages();
        context.state_.staged_[job.record_.id_] = before;
        return false;
    }
    levelGang(job, first);
    return true;
}

bool startGang(const DecisionContext& context, Job& job, uint32_t occurrence, uint32_t stepNumber, PlacementRound& round, NearPlaceRound& nearPlaces)
{
    const Step& step = job.record_.spec_.steps()[stepNumber];
    const TaskKey first { job.record_.id_, occurrence, stepNumber, 0 };
    uint32_t run = 0;
    bool mustAwaitList = false;
    for (uint32_t index = 0; index < step.count_; ++index) {
        const Task& task = job.tasks_[taskNumber(job, first) + index];
        if (task.progress_.phase_ != TaskPhase::Waiting)
            return false;
        run = std::max(run, task.progress_.run_);
        mustAwaitList = mustAwaitList || mayHaveEnded(context.state_, task, context.now_);
    }
    if (mustAwaitList)
        return true;
    GangPlace place = nearPlaces.placeOfGang(job, first);
    if (place.mustWait_)
        return true;
    for (const std::string& rack : place.racks_) {
        if (!placeGang(context, job, first, run + 1, rack, round))
            continue;
        nearPlaces.noteGangStart(job, first, true);
        return false;
    }
    if (!placeGang(context, job, first, run + 1, {}, round))
        return true;
    nearPlaces.noteGangStart(job, first, false);
    return false;
}

} // namespace persimmondoor::workflow
