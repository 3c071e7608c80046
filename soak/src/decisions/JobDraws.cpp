#include "JobDraws.h"

#include <absl/strings/str_format.h>
#include <utility>

namespace persimmondoor::soak {

using std::chrono::milliseconds;

static constexpr int64_t bytesPerMegabyte = 1'000'000;
static constexpr Duration earliestRush = milliseconds(5000);
static constexpr Duration latestRush = milliseconds(9000);
static constexpr uint32_t rushTasks = 4;
static constexpr int64_t rushMilliCores = 1000;
static constexpr Duration rushWork = milliseconds(600);
static constexpr Duration latestCancel = milliseconds(3000);

JobDraws::JobDraws(uint64_t seed, std::vector<std::string> racks)
    : draws_(seed)
    , racks_(std::move(racks))
    , rushBegin_(draws_.between(earliestRush, latestRush))
{
}

static platform::TaskBehaviour drawBehaviour(Draws& draws)
{
    platform::TaskBehaviour behaviour;
    behaviour.work_ = milliseconds(200 + draws.below(800));
    // One draw after the other: the order in which arguments are evaluated differs between compilers.
    int64_t milliCores = 200 + draws.below(800);
    int64_t megabytes = 100 + draws.below(400);
    behaviour.demand_ = *Resources::create(milliCores, megabytes * bytesPerMegabyte, 0);
    return behaviour;
}

static workflow::Step drawStep(Draws& draws)
{
    workflow::Step step;
    step.count_ = 1 + draws.below(4);
    return step;
}

JobDraws::Steps JobDraws::drawChain()
{
    Steps drawn;
    uint32_t count = 1 + draws_.below(2);
    for (uint32_t number = 0; number < count; ++number) {
        drawn.steps_.push_back(drawStep(draws_));
        if (number > 0)
            drawn.steps_.back().dependencies_.push_back(number - 1);
        drawn.behaviours_.push_back(drawBehaviour(draws_));
        drawn.behaviours_.back().failsFirst_ = draws_.below(20) == 0;
    }
    return drawn;
}

JobDraws::Steps JobDraws::drawLongRunning()
{
    Steps drawn { { drawStep(draws_) }, { drawBehaviour(draws_) } };
    workflow::Step& step = drawn.steps_.front();
    step.longRunning_ = true;
    step.mayMiss_ = step.count_ > 1 ? 1 : 0;
    drawn.behaviours_.front().work_ = Duration(0);
    return drawn;
}

JobDraws::Steps JobDraws::drawData()
{
    Steps drawn { { drawStep(draws_) }, { drawBehaviour(draws_) } };
    drawn.behaviours_.front().dataRack_ = racks_[draws_.below(static_cast<uint32_t>(racks_.size()))];
    return drawn;
}

JobDraws::Steps JobDraws::drawGang()
{
    Steps drawn { { drawStep(draws_) }, { drawBehaviour(draws_) } };
    workflow::Step& gang = drawn.steps_.front();
    gang.count_ = 2 + draws_.below(3);
    gang.gang_ = true;
    gang.rackSensitive_ = true;
    return drawn;
}

JobPlan JobDraws::makePlan(Steps drawn)
{
    JobPlan plan;
    plan.id_ = JobId::of(absl::StrFormat("%08x%08x", draws_.any(), ++jobs_));
    bool isLongRunning = drawn.steps_.front().longRunning_;
    plan.isCancelled_ = draws_.below(isLongRunning ? 2 : 10) == 0;
    plan.cancelAfter_ = draws_.between(Duration(0), latestCancel);
    plan.steps_ = std::move(drawn.steps_);
    plan.behaviours_ = std::move(drawn.behaviours_);
    return plan;
}

JobPlan JobDraws::next()
{
    switch (draws_.below(12)) {
    case 0:
        return makePlan(drawLongRunning());
    case 1:
    case 2:
        return makePlan(drawData());
    case 3:
        return makePlan(drawGang());
    default:
        return makePlan(drawChain());
    }
}

JobPlan JobDraws::nextOfRush()
{
    workflow::Step step;
    step.count_ = rushTasks;
    platform::TaskBehaviour behaviour;
    behaviour.work_ = rushWork;
    behaviour.demand_ = *Resources::create(rushMilliCores, 100 * bytesPerMegabyte, 0);
    return makePlan({ { step }, { behaviour } });
}

} // namespace persimmondoor::soak
