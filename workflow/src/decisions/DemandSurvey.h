// What stands between waiting tasks and each worker, found out once for all tasks that face the same obstacles.
//
//     DemandSurveys surveys(state, now);
//     const DemandSurvey& survey = surveys.of(job, key);
#pragma once

#include "ServiceUse.h"

#include <array>

namespace persimmondoor::workflow {

// What decides which workers can take a task. Tasks that agree in it face the same obstacles.
struct DemandClass {
    std::string service_;
    std::string label_;
    bool isFilling_ { false };
    bool isLongRunning_ { false };
    bool isGang_ { false };
    uint32_t priority_ { 0 };
    std::array<int64_t, 3> demand_ {};
    // The step itself if its tasks count against each other on a worker.
    std::optional<TaskKey> boundedStep_;
    auto operator<=>(const DemandClass&) const = default;
};

DemandClass demandClassOf(const Job&, const TaskKey&);

// The workers as one class of tasks finds them. Cores are in thousandths.
struct DemandSurvey {
    std::array<size_t, workerObstacleCount> workers_ {};
    // Cores that the tasks leave unused on the workers, by the same reasons; for filling tasks the spare ones.
    std::array<int64_t, workerObstacleCount> unusedMilliCores_ {};
    // Number of the suitable workers that are left out because the tasks would disturb long-running tasks there.
    size_t leftOutForInterference_ { 0 };
    // The most that one worker has free, among those without the cores and those without the memory.
    int64_t mostFreeMilliCores_ { 0 };
    int64_t mostFreeMemoryBytes_ { 0 };
    // Sums over the workers of the class's service that accept runs: what is free and spare, the cores of filling tasks, and
    // the part of these that a reduced pace leaves unused.
    int64_t freeMilliCores_ { 0 };
    int64_t freeMemoryBytes_ { 0 };
    int64_t spareMilliCores_ { 0 };
    int64_t fillingMilliCores_ { 0 };
    int64_t throttledMilliCores_ { 0 };
    // What is taken of the capacity of the class's service.
    ServiceUse use_;
    auto operator<=>(const DemandSurvey&) const = default;

    size_t suitableWorkers() const { return workers_[static_cast<size_t>(WorkerObstacle::None)]; }
};

// Visits all workers.
DemandSurvey surveyWorkers(const LeaderState&, const Job&, const TaskKey&, Instant now);
// Text of the number of workers by obstacle.
std::string describeObstacles(const DemandSurvey&);

// The surveys of one moment, made on demand. The state must outlive them unchanged.
class DemandSurveys {
public:
    DemandSurveys(const LeaderState& state, Instant now)
        : state_(state)
        , now_(now)
    {
    }

    const DemandSurvey& of(const Job&, const TaskKey&);
    // True until as many classes have been compared with all workers as the log needs at most.
    bool hasRoom() const { return surveys_.size() < maximumSurveys; }
    // Number of searches through all workers so far.
    size_t searches() const { return surveys_.size(); }

private:
    static constexpr size_t maximumSurveys = 64;

    const LeaderState& state_;
    Instant now_;
    // By class, and by image for filling tasks, as it decides whom they disturb.
    std::map<std::pair<DemandClass, std::string>, DemandSurvey> surveys_;
};

} // namespace persimmondoor::workflow
