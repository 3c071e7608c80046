#include "GangSearch.h"

#include <algorithm>

namespace persimmondoor::workflow {

// Scores compared in the time of one visit of a worker.
static constexpr size_t comparisonsPerVisit = 16;

GangSearch::GangSearch(PlacementRound& round, const Job& job, Disturbance disturbance, const std::string& rack)
    : round_(round)
    , job_(job)
    , disturbance_(disturbance)
    , rack_(rack)
{
}

// True if both tasks have the same score on each worker.
static bool areAlike(const Job& job, const TaskKey& left, const TaskKey& right)
{
    const Task& first = job.tasks_[taskNumber(job, left)];
    const Task& second = job.tasks_[taskNumber(job, right)];
    const TaskProgress& firstProgress = first.progress_;
    const TaskProgress& secondProgress = second.progress_;
    return first.avoidedWorker_ == second.avoidedWorker_ && firstProgress.failures_ == secondProgress.failures_ && firstProgress.crashes_ == secondProgress.crashes_ && firstProgress.crashSeries_ == secondProgress.crashSeries_;
}

void GangSearch::update(const TaskKey& member)
{
    const Step& step = stepOf(job_, member);
    if (lastChoice_ && step.longRunning_)
        round_.refreshImages(round_.candidates_[*lastChoice_]);
    // A filling task that is long-running too changes which images its siblings disturb.
    bool isSame = search_ && areAlike(job_, search_->key_, member) && !(step.longRunning_ && step.isFilling_);
    if (isSame) {
        if (lastChoice_)
            scores_[*lastChoice_] = round_.scoreAt(round_.candidates_[*lastChoice_], *search_);
        return;
    }
    search_.emplace(round_.beginSearch(job_, member, disturbance_, rack_));
    scores_.clear();
    for (const PlacementRound::Candidate& candidate : round_.candidates_)
        scores_.push_back(round_.scoreAt(candidate, *search_));
}

std::optional<WorkerIncarnation> GangSearch::choose(const TaskKey& member)
{
    update(member);
    round_.visits_ += scores_.size() / comparisonsPerVisit;
    auto best = std::max_element(scores_.begin(), scores_.end());
    if (best == scores_.end() || *best == PlacementRound::unsuitable)
        return std::nullopt;
    lastChoice_ = static_cast<size_t>(best - scores_.begin());
    return *round_.candidates_[*lastChoice_].incarnation_;
}

} // namespace persimmondoor::workflow
