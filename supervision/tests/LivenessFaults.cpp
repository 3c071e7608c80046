#include "LivenessModel.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>

namespace persimmondoor::supervision {

using workflow::Step;

static constexpr Duration never = std::chrono::hours(1);

// A time after a random period that is not later than the end of the faults.
Instant LivenessModel::untilAtMost(int64_t minimumMs, int64_t maximumMs)
{
    return std::min(now_ + randomDelay(minimumMs, maximumMs), faultsEndAt_);
}

// \param dark time until the worker is back as a new incarnation; lost for good if it is long.
void LivenessModel::crashWorker(size_t index, Duration dark)
{
    WorkerModel& worker = workers_[index];
    Machine& machine = machines_[index];
    if (chance(0.5))
        schedule(randomDelay(100, 8000), [this, index, incarnation = agents_[index].incarnation_, name = worker.incarnation_.name_] { deliverLeaveNotice(index, incarnation, name); });
    WorkerModel restarted;
    restarted.incarnation_ = worker.incarnation_;
    ++restarted.incarnation_.bornMs_;
    restarted.unreachableUntil_ = worker.unreachableUntil_;
    machine.darkUntil_ = std::max(machine.darkUntil_, now_ + dark);
    machine.isDraining_ = false;
    worker = std::move(restarted);
}

void LivenessModel::loseMachine(size_t index)
{
    crashWorker(index, never);
    restartAgent(index);
    agents_[index].downUntil_ = now_ + never;
}

void LivenessModel::injectWorkerFault(size_t index)
{
    Machine& machine = machines_[index];
    // Half of the workers stay, so that the others are no lack of room.
    bool mayLeave = index % 2 == 1;
    switch (random_() % 9) {
    case 0:
        return crashWorker(index, untilAtMost(200, 6000) - now_);
    case 1:
        return mayLeave ? crashWorker(index, never) : void();
    case 2:
        return mayLeave ? loseMachine(index) : void();
    case 3:
        machine.failsUntil_ = untilAtMost(500, 8000);
        return;
    case 4:
        machine.hangsUntil_ = untilAtMost(500, 8000);
        return;
    case 5:
        machine.lateUntil_ = untilAtMost(500, 8000);
        return;
    case 6:
        workers_[index].unreachableUntil_ = untilAtMost(500, 12'000);
        return;
    case 7:
        machine.capacity_ = *Resources::create(machine.capacity_.milliCores() / 2, machine.capacity_.memoryBytes() * 3 / 4, 0);
        if (chance(0.7))
            schedule(randomDelay(500, 6000), [this, index] { machines_[index].capacity_ = *Resources::create(4000, 1000, 0); });
        return;
    default:
        machine.isDraining_ = mayLeave;
        machine.leavesAt_ = now_ + randomDelay(500, 6000);
        return;
    }
}

void LivenessModel::injectAgentFault(size_t index)
{
    AgentModel& agent = agents_[index];
    switch (random_() % 4) {
    case 0:
        restartAgent(index);
        if (chance(0.5))
            agent.downUntil_ = std::max(agent.downUntil_, untilAtMost(200, 6000));
        return;
    case 1:
        agent.frozenUntil_ = untilAtMost(500, 9000);
        return;
    case 2:
        agent.unreachableUntil_ = untilAtMost(500, 12'000);
        return;
    default:
        // The worker is lost for good soon after its agent has restarted, as the agent may never have reached it.
        restartAgent(index);
        if (chance(0.5))
            agent.unreachableUntil_ = untilAtMost(500, 4000);
        if (index % 2 == 1)
            schedule(randomDelay(100, 2500), [this, index] {
                workers_[index].unreachableUntil_ = now_ + never;
                crashWorker(index, Duration(0));
            });
        return;
    }
}

void LivenessModel::injectClusterFault()
{
    switch (random_() % 5) {
    case 0:
    case 1:
        if (leader_) {
            killsInSeries_ = static_cast<uint32_t>(random_() % 3);
            killLeader();
        }
        return;
    case 2:
        storeFailsUntil_ = untilAtMost(200, 4000);
        return;
    case 3:
        storeIsSlowUntil_ = untilAtMost(200, 5000);
        return;
    default:
        clockOffsetMs_ = static_cast<int64_t>(random_() % 3) * 3000 - 3000;
        return;
    }
}

void LivenessModel::injectFaults()
{
    if (chance(0.05) && submittedJobs_ < 40)
        submitRandomJob();
    if (chance(0.003))
        cancelJob();
    if (chance(0.02))
        machines_[random_() % machines_.size()].busyUntil_ = now_ + randomDelay(1000, 30'000);
    if (chance(faultRate_))
        injectWorkerFault(random_() % workers_.size());
    if (chance(faultRate_ / 2))
        injectAgentFault(random_() % workers_.size());
    if (chance(faultRate_ / 3))
        injectClusterFault();
}

// With a closing fault in some histories.
void LivenessModel::endFaults()
{
    haveFaultsEnded_ = true;
    clockOffsetMs_ = 0;
    killsInSeries_ = 0;
    if (leader_ && chance(0.3))
        killLeader();
    for (size_t index = 0; index < workers_.size(); ++index) {
        if (index % 2 == 1 && chance(0.1))
            loseMachine(index);
        else if (chance(0.1))
            restartAgent(index);
    }
}

Step LivenessModel::shortStep()
{
    Step step;
    step.count_ = 1 + static_cast<uint32_t>(random_() % 4);
    // One draw a statement: the order in which arguments are evaluated differs between compilers.
    int64_t milliCores = 500 + static_cast<int64_t>(random_() % 4) * 500;
    int64_t memory = memoryScale_ * (20 + static_cast<int64_t>(random_() % 4) * 40);
    step.demand_ = *Resources::create(milliCores, memory, 0);
    step.estimate_ = std::chrono::milliseconds(1000);
    step.maxPerWorker_ = chance(0.2) ? 1 : 0;
    step.savesProgress_ = chance(0.3);
    return step;
}

Step LivenessModel::fillingStep()
{
    static const char* images[] = { "heavy", "mixed", "light" };
    Step step = shortStep();
    step.count_ = 2 + static_cast<uint32_t>(random_() % 8);
    int64_t milliCores = 1000 + static_cast<int64_t>(random_() % 3) * 500;
    int64_t memory = memoryScale_ * (20 + static_cast<int64_t>(random_() % 4) * 40);
    step.demand_ = *Resources::create(milliCores, memory, 0);
    step.isFilling_ = true;
    step.image_ = images[random_() % 3];
    return step;
}

Step LivenessModel::longRunningStep()
{
    Step step = shortStep();
    step.count_ = 1 + static_cast<uint32_t>(random_() % 3);
    step.longRunning_ = true;
    step.savesProgress_ = false;
    step.image_ = chance(0.5) ? "search" : "ranking";
    step.targetTailMs_ = chance(0.8) ? 18 : 0;
    return step;
}

void LivenessModel::submitRandomJob()
{
    if (!leader_)
        return;
    std::vector<Step> steps;
    uint64_t kind = random_() % 10;
    if (kind < 2) {
        steps.push_back(longRunningStep());
    } else {
        uint64_t count = 1 + random_() % 3;
        bool isFilling = kind < 6;
        for (uint32_t number = 0; number < count; ++number) {
            steps.push_back(isFilling ? fillingStep() : shortStep());
            if (number > 0 && chance(0.8))
                steps.back().dependencies_ = { number - 1 };
        }
    }
    workflow::Schedule schedule;
    if (kind == 9)
        schedule = { 2 + static_cast<uint32_t>(random_() % 3), wallMs() - 1000 + static_cast<int64_t>(random_() % 9000), 2000 + static_cast<int64_t>(random_() % 6000) };
    SubmittedJob job { *workflow::JobSpec::create("spec", steps, schedule), TaskFault::None, randomDelay(200, kind < 6 ? 8000 : 2500) };
    static constexpr TaskFault faults[] = { TaskFault::Fails, TaskFault::Hangs, TaskFault::CrashesAtOnce, TaskFault::CrashesLate };
    if (chance(0.12))
        job.fault_ = faults[random_() % 4];
    // The id is that of the next submission.
    JobId id = JobId::of(concat("00000000000000", absl::Hex(submittedJobs_ + 1, absl::kZeroPad2)));
    submissions_[id] = job;
    submit(concat("/q", random_() % 3, "/"), job.spec_);
}

} // namespace persimmondoor::supervision
