#include "SupervisorRules.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::WorkerLife;

namespace {

    // What a worker's list shows of the tasks that fill and of those that they may disturb.
    struct Reading {
        std::vector<workflow::FillingTask> filling_;
        std::vector<workflow::TailReading> tails_;
        std::set<std::string> images_;
        uint64_t worstPercent_ { 0 };
    };

} // namespace

static Reading readLoad(const SupervisorState& state, const LocalWorker& worker)
{
    Reading reading;
    for (const auto& [run, active] : worker.active_) {
        auto traits = state.traits_.find(run);
        if (traits == state.traits_.end())
            continue;
        if (traits->second.fills_)
            reading.filling_.push_back({ traits->second.image_, active.pace_ });
        if (traits->second.targetTailMs_ == 0)
            continue;
        reading.tails_.push_back({ traits->second.image_, uint64_t(active.load_) * 100 / traits->second.targetTailMs_ });
        reading.images_.insert(traits->second.image_);
        reading.worstPercent_ = std::max({ reading.worstPercent_, uint64_t(1), reading.tails_.back().tailPercent_ });
    }
    return reading;
}

static bool isSuspect(const SupervisorState& state, const Reading& reading, const std::string& image)
{
    return workflow::worstHarm(state.interference_, image, reading.images_) != workflow::Harm::Harmless;
}

static void learnFrom(const Turn& turn, const Reading& reading, LocalWorker& worker)
{
    worker.paceAgainAt_ = turn.now_ + turn.state_.tuning_.paceInterval_;
    turn.state_.interference_ = workflow::observe(std::move(turn.state_.interference_), reading.filling_, reading.tails_);
    bool hasSuspects = std::any_of(reading.filling_.begin(), reading.filling_.end(), [&](const workflow::FillingTask& task) { return isSuspect(turn.state_, reading, task.image_); });
    worker.fillingPaces_ = nextPaces(worker.fillingPaces_, reading.worstPercent_, hasSuspects);
}

void paceFillingRuns(const Turn& turn, const WorkerLife& life, LocalWorker& worker)
{
    Reading reading = readLoad(turn.state_, worker);
    if (turn.now_ >= worker.paceAgainAt_)
        learnFrom(turn, reading, worker);
    for (const auto& [run, active] : worker.active_) {
        auto traits = turn.state_.traits_.find(run);
        if (traits == turn.state_.traits_.end() || !traits->second.fills_)
            continue;
        uint32_t pace = isSuspect(turn.state_, reading, traits->second.image_) ? worker.fillingPaces_.suspect_ : worker.fillingPaces_.harmless_;
        auto [told, isNew] = worker.paces_.try_emplace(run, 100);
        if (told->second == pace)
            continue;
        turn.remark("run.paced", workflow::describe(run), concat(told->second, " to ", pace, " percent, worst tail at ", reading.worstPercent_, " percent of its target, image ", traits->second.image_));
        told->second = pace;
        turn.act(CallPace { life, run, turn.state_.fence_, pace });
    }
    std::erase_if(worker.paces_, [&](const auto& entry) { return worker.active_.count(entry.first) == 0; });
}

} // namespace persimmondoor::supervision
