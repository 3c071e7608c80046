// Finds the workers for the members of a gang one after the other. Members are alike, and an assignment changes only its own worker:
// all workers are scored once, and one of them again after each assignment.
//
//     GangSearch search(round, job, disturbance, rack);
//     std::optional<WorkerIncarnation> worker = search.choose(member);
#pragma once

#include "PlacementRound.h"

namespace persimmondoor::workflow {

class GangSearch {
public:
    // The round, the job and the rack must outlive the search.
    GangSearch(PlacementRound&, const Job&, Disturbance, const std::string& rack);

    // The worker that `PlacementRound::chooseWorker` would choose. The member must be assigned to it before the next call.
    std::optional<WorkerIncarnation> choose(const TaskKey& member);

private:
    // Scores the worker of the last assignment again, or all workers if the member differs from the last one.
    void update(const TaskKey& member);

    PlacementRound& round_;
    const Job& job_;
    Disturbance disturbance_;
    const std::string& rack_;
    std::optional<PlacementRound::Search> search_;
    // By the position of the candidate in the round.
    std::vector<int64_t> scores_;
    std::optional<size_t> lastChoice_;
};

} // namespace persimmondoor::workflow
