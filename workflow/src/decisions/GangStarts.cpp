#include "GangSearch.h"
#include "Starts.h"

#include <algorithm>

namespace persimmondoor::workflow {

// Withdraws the first members of the gang, which were assigned in this decision, and what was staged for them.
static void withdrawMembers(const DecisionContext& context, Job& job, const TaskKey& first, uint32_t count, std::optional<StagedJob> before)
{
    for (uint32_t index = 0; index < count; ++index) {
        TaskKey key { first.job_, first.occurrence_, first.step_, index };
        releaseTask(context, job, key, job.tasks_[taskNumber(job, key)]);
    }
    LeaderState& state = context.state_;
    if (before) {
        state.staged_[first.job_] = *std::move(before);
    } else if (state.staged_.erase(first.job_) > 0) {
        std::erase(state.stagedOrder_, first.job_);
    }
}

// Assigns all members of the gang or none.
// \param rack the only rack that may be used; empty for any.
// \return false if there is no room for all.
static bool placeGang(const DecisionContext& context, Job& job, const TaskKey& first, uint32_t run, const std::string& rack, PlacementRound& round)
{
    const Step& step = stepOf(job, first);
    if (round.roomForGang(job, first, rack) < step.count_)
        return false;
    auto staged = context.state_.staged_.find(first.job_);
    std::optional<StagedJob> before = staged == context.state_.staged_.end() ? std::nullopt : std::optional(staged->second);
    GangSearch search(round, job, round.disturbanceOf(job), rack);
    for (uint32_t index = 0; index < step.count_; ++index) {
        TaskKey key { first.job_, first.occurrence_, first.step_, index };
        auto incarnation = search.choose(key);
        if (!incarnation) {
            withdrawMembers(context, job, first, index, std::move(before));
            round.refreshImages();
            return false;
        }
        assign(context, job, key, *incarnation, run);
    }
    round.refreshImages();
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
