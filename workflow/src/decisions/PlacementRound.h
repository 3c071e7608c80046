// Index of the workers for one round of placement, in which many tasks are placed at the same moment. What does not change
// within a round is found out once: which workers accept runs, and which filling images disturb which long-running images.
// A search then looks at each worker for a few nanoseconds.
//
//     PlacementRound round(state, now);
//     std::optional<WorkerIncarnation> worker = round.chooseWorker(job, key, Disturbance::Avoided);
#pragma once

#include "LeaderRules.h"

#include <limits>

namespace persimmondoor::workflow {

class PlacementRound {
public:
    // The state must outlive the round; workers may be assigned tasks meanwhile, but not be added or removed.
    PlacementRound(const LeaderState&, Instant now);

    // The worker with the best score for the task, or nothing if the task has to wait.
    // \param rack the only rack that may be chosen; empty for any.
    std::optional<WorkerIncarnation> chooseWorker(const Job&, const TaskKey&, Disturbance, const std::string& rack = {});
    // An upper bound on the members of the gang for which the workers have room together, at most as many as it has.
    uint64_t roomForGang(const Job&, const TaskKey& first, const std::string& rack);
    // Makes later choices leave this room on the worker to a task that will be started there.
    void claim(const WorkerIncarnation&, const TaskKey&, const Resources& demand);
    // `Disturbance::Avoided` unless nothing of the job has run for long and no run of it may be at work.
    Disturbance disturbanceOf(const Job&);
    // True if most of the capacity of the service is free, without regard to the cores of filling tasks.
    bool isMostlyFree(const std::string& service);
    // True if a worker is kept free of other starts as a suspect is observed there.
    bool hasObservedWorkers() const;
    // True if filling tasks of the step would disturb no long-running task on at least one worker, whatever its free capacity.
    bool hasHarmlessWorker(const Job&, const Step&);
    // To be called after long-running tasks have been assigned to workers or removed from them.
    void refreshImages();
    // The number of times that a worker has been looked at, which measures the cost of the round.
    uint64_t visits() const { return visits_; }

private:
    friend class GangSearch;

    // One search for a worker.
    struct Search {
        const Job& job_;
        TaskKey key_;
        Disturbance disturbance_ { Disturbance::Avoided };
        const std::string& rack_;
        bool ignoresInterference_ { false };
        bool mayCauseInterference_ { false };
        // For each long-running image of the round, whether the task disturbs it; null if it disturbs none.
        const std::vector<bool>* disturbed_ { nullptr };
    };

    struct Candidate {
        const WorkerIncarnation* incarnation_ { nullptr };
        const Worker* worker_ { nullptr };
        // The worker is chosen only if no other has room.
        bool isLastChoice_ { false };
        bool isQuarantined_ { false };
        // Added to the score for tasks that end.
        int64_t speedScore_ { 0 };
        // Positions in `longRunningImages_`.
        std::vector<size_t> images_;
        Resources claimed_;
        // The tasks that claim it.
        std::vector<TaskKey> claimants_;
    };

    // The score of a worker that must not be chosen.
    static constexpr int64_t unsuitable = std::numeric_limits<int64_t>::min();

    Search beginSearch(const Job&, const TaskKey&, Disturbance, const std::string& rack);
    int64_t scoreAt(const Candidate&, const Search&);
    void refreshImages(Candidate&);
    size_t positionOf(const std::string& longRunningImage);
    // For each long-running image of the round, whether the filling image disturbs it.
    const std::vector<bool>& disturbedBy(const std::string& fillingImage);
    // True if the worker has room for the task beside the claims on it; without any it has been checked otherwise.
    static bool hasUnclaimedRoom(const Candidate&, const TaskKey&, const Step&);
    static bool isHarmless(const Candidate&, const std::vector<bool>& disturbed);

    const LeaderState& state_;
    Instant now_;
    std::vector<Candidate> candidates_;
    std::map<std::string, size_t> longRunningImages_;
    std::map<std::string, std::vector<bool>> disturbedByFilling_;
    std::map<std::string, bool> mostlyFreeByService_;
    uint64_t visits_ { 0 };
};

} // namespace persimmondoor::workflow
