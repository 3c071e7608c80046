#include "DemandSurvey.h"
#include "PlacementScore.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::workflow {

DemandClass demandClassOf(const Job& job, const TaskKey& key)
{
    const Step& step = stepOf(job, key);
    std::optional<TaskKey> boundedStep;
    if (step.maxPerWorker_ > 0)
        boundedStep = TaskKey { key.job_, key.occurrence_, key.step_, 0 };
    return { job.queue_.service_, step.requiredLabel_, step.isFilling_, step.longRunning_, step.gang_, job.record_.queue_.priority_, { step.demand_.milliCores(), step.demand_.memoryBytes(), step.demand_.accelerators() }, boundedStep };
}

namespace {

    // How many workers are left out for interference, as `PlacementRound::chooseWorker` leaves them out.
    class InterferenceCount {
    public:
        InterferenceCount(const LeaderState& state, const Step& step, const std::string& service, Instant now)
            : state_(state)
            , step_(step)
            , service_(service)
            , now_(now)
        {
        }

        void add(const Worker& worker, WorkerObstacle obstacle)
        {
            bool isHarmful = std::any_of(worker.longRunningByImage_.begin(), worker.longRunningByImage_.end(), [&](const auto& image) { return disturbs(image.first); });
            if (!isHarmful && worker.traits_.service_ == service_ && acceptsRuns(state_, worker, now_))
                hasHarmlessWorker_ = true;
            if (!isHarmful || obstacle != WorkerObstacle::None)
                return;
            ++harmful_;
            slow_ += paceAt(state_, step_, worker) < minimumPace ? 1 : 0;
        }
        size_t leftOut() const { return hasHarmlessWorker_ ? harmful_ : slow_; }

    private:
        bool disturbs(const std::string& longRunning)
        {
            auto [known, isNew] = disturbed_.try_emplace(longRunning, false);
            if (isNew)
                known->second = !isHarmless(state_.interference_, step_.image_, longRunning);
            return known->second;
        }

        const LeaderState& state_;
        const Step& step_;
        const std::string& service_;
        Instant now_;
        std::map<std::string, bool> disturbed_;
        bool hasHarmlessWorker_ { false };
        // Suitable workers whose long-running tasks would be disturbed, and those of them where the task would be slowed down.
        size_t harmful_ { 0 };
        size_t slow_ { 0 };
    };

} // namespace

DemandSurvey surveyWorkers(const LeaderState& state, const Job& job, const TaskKey& key, Instant now)
{
    DemandSurvey survey;
    const Step& step = stepOf(job, key);
    InterferenceCount interference(state, step, job.queue_.service_, now);
    for (const auto& [incarnation, worker] : state.workers_) {
        WorkerObstacle obstacle = obstacleAt(state, job, key, worker, now);
        int64_t freeCores = freeMilliCores(worker);
        int64_t freeMemory = worker.traits_.capacity_.memoryBytes() - worker.reserved_.memoryBytes();
        ++survey.workers_.at(static_cast<size_t>(obstacle));
        survey.unusedMilliCores_.at(static_cast<size_t>(obstacle)) += std::max<int64_t>(0, step.isFilling_ ? spareMilliCores(worker) : freeCores);
        if (step.isFilling_)
            interference.add(worker, obstacle);
        if (obstacle == WorkerObstacle::Cores)
            survey.mostFreeMilliCores_ = std::max(survey.mostFreeMilliCores_, freeCores);
        if (obstacle == WorkerObstacle::Memory)
            survey.mostFreeMemoryBytes_ = std::max(survey.mostFreeMemoryBytes_, freeMemory);
        if (worker.traits_.service_ != job.queue_.service_)
            continue;
        addWorker(survey.use_, state, worker, now);
        if (!acceptsRuns(state, worker, now))
            continue;
        survey.freeMilliCores_ += std::max<int64_t>(0, freeCores);
        survey.freeMemoryBytes_ += std::max<int64_t>(0, freeMemory);
        survey.spareMilliCores_ += std::max<int64_t>(0, spareMilliCores(worker));
        survey.fillingMilliCores_ += worker.fillingMilliCores_;
        survey.throttledMilliCores_ += worker.throttledMilliCores_;
    }
    survey.leftOutForInterference_ = interference.leftOut();
    return survey;
}

std::string describeObstacles(const DemandSurvey& survey)
{
    std::string text;
    for (size_t obstacle = 0; obstacle < survey.workers_.size(); ++obstacle) {
        if (survey.workers_.at(obstacle) > 0)
            text += concat(text.empty() ? "" : ", ", survey.workers_.at(obstacle), " ", describe(static_cast<WorkerObstacle>(obstacle)));
    }
    return text;
}

const DemandSurvey& DemandSurveys::of(const Job& job, const TaskKey& key)
{
    const Step& step = stepOf(job, key);
    std::pair demand { demandClassOf(job, key), step.isFilling_ ? step.image_ : std::string() };
    auto known = surveys_.find(demand);
    if (known == surveys_.end())
        known = surveys_.emplace(std::move(demand), surveyWorkers(state_, job, key, now_)).first;
    return known->second;
}

} // namespace persimmondoor::workflow
