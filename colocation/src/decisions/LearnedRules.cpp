#include "LearnedRules.h"

#include <algorithm>

namespace persimmondoor::colocation {

/// Part of the allowed slowdown that may be used after a correction.
static constexpr double correctionBudget = 1.0;
/// Part of the allowed slowdown up to which shares are raised; lower than the correction budget to provide hysteresis.
static constexpr double recoveryBudget = 0.95;
/// A task is admitted if its best share is at least this.
static constexpr double minimumAdmissionShare = 0.5;
static constexpr double admissionBudget = 1.0;
/// Tasks are accepted again once all tasks at their minimum shares would use less than this part of the allowed
/// slowdown.
static constexpr double resumeBudget = 0.85;
/// Time until an action shows in a measurement, in addition to the measurement lag.
static constexpr Duration settlingTime = std::chrono::seconds(2);
/// A further rise of the load by this much counts as a new cause.
static constexpr double significantRise = 0.03;
/// Shares rise by at most this factor at a time.
static constexpr double maximumShareFactor = 2;
/// A task is evicted only after throttling to the minimum has been insufficient for this long.
static constexpr Duration evictionDelay = std::chrono::seconds(30);
/// A task with less remaining run time is not evicted.
static constexpr Duration minimumRemainingTime = std::chrono::minutes(2);
/// Work lost by an eviction: the checkpoint itself, and a share of the work since the last checkpoint, as the new one
/// may fail.
static constexpr Duration checkpointCost = std::chrono::seconds(2);
static constexpr int64_t checkpointRiskPercent = 5;
static constexpr double shareTolerance = 1e-9;
static constexpr double microsecondsPerSecond = 1e6;

Plan LearnedRules::makePlan(const Guard& guard, const Learned& policy)
{
    Plan plan(guard.settings_.cores_, policy);
    for (const auto& [name, service] : guard.services_) {
        double ahead = service.load_ + service.forecast_.rise();
        double loss = domainLossLoad(service.load_, guard.settings_.instances_, guard.settings_.largestDomain_);
        plan.addService({ name, &service, service.steadyLoad_, ahead, ahead * service.coresPerLoad_, (service.load_ + loss) * service.coresPerLoad_, {} });
    }
    for (const auto& [name, task] : guard.tasks_) {
        if (!task.isEvicting_)
            plan.addTask(name, task.class_, task.tier_, task.fullUse_, task.share_);
    }
    return plan;
}

bool LearnedRules::admits(const Guard& guard, const Learned& policy, const TaskClassName& taskClass, Tier tier, double cores)
{
    if (!guard.accepting_)
        return false;
    Plan plan = makePlan(guard, policy);
    plan.addTask(TaskId(), taskClass, tier, cores, 1);
    return plan.bestShares(admissionBudget).back() >= minimumAdmissionShare;
}

Explanation LearnedRules::explain(const Guard& guard, const Plan& plan, const Learned& policy, Cause cause, Instant now)
{
    Explanation explanation;
    explanation.at_ = now;
    explanation.cause_ = cause;
    explanation.target_ = policy.target();
    if (plan.services().empty())
        return explanation;
    const PlannedService& service = plan.services()[plan.worstService()];
    explanation.service_ = service.service_;
    explanation.measuredAt_ = service.state_->measuredAt_;
    explanation.measuredTail_ = service.state_->lastTail_;
    explanation.load_ = service.state_->load_;
    explanation.loadAhead_ = service.loadAhead_;
    explanation.baseline_ = service.state_->model_.baseline(service.load_);
    std::vector<Exposure> exposures;
    double usedCores = service.cores_;
    for (const PlannedTask& task : plan.tasks()) {
        double use = task.fullUse_ * task.share_;
        exposures.push_back({ task.class_, use / guard.settings_.cores_ });
        usedCores += use;
    }
    explanation.slowdown_ = service.state_->model_.slowdown(service.load_, usedCores / guard.settings_.cores_, exposures);
    for (const PlannedTask& task : plan.tasks())
        explanation.compared_.push_back({ task.task_, task.class_, service.state_->model_.harm(task.class_, service.load_), task.share_, task.share_, Duration(0) });
    return explanation;
}

static double highestLoad(const std::map<ServiceName, GuardedService>& services)
{
    double highest = 0;
    for (const auto& [name, service] : services)
        highest = std::max(highest, service.steadyLoad_);
    return highest;
}

// The reason for a new correction; nothing while the last correction cannot yet show in a measurement and nothing else
// has changed.
std::optional<Cause> LearnedRules::newCause(const Guard& guard, Instant now)
{
    if (guard.hasNewTask_)
        return Cause::TaskArrived;
    if (!guard.lastCorrection_)
        return Cause::Measurement;
    if (highestLoad(guard.services_) >= guard.lastCorrection_->load_ + significantRise)
        return Cause::LoadRose;
    if (now - guard.lastCorrection_->at_ >= guard.measurementLag_ + settlingTime)
        return Cause::Measurement;
    return std::nullopt;
}

static void setShare(GuardDecision& decision, GuardedTask& task, const TaskId& name, double share, const Explanation& explanation, Instant now)
{
    task.share_ = share;
    task.shareChangedAt_ = now;
    decision.actions_.emplace_back(SetShare { name, share, explanation });
}

void LearnedRules::setAccepting(GuardDecision& decision, const Plan& plan, const Learned& policy, Cause cause, Instant now)
{
    Guard& guard = decision.state_;
    double pressure = plan.pressureAtMinimum();
    bool accepting = guard.accepting_ ? pressure <= 1 : pressure <= resumeBudget;
    if (accepting == guard.accepting_)
        return;
    guard.accepting_ = accepting;
    decision.actions_.emplace_back(SetAccepting { accepting, explain(guard, plan, policy, cause, now) });
}

static Duration lostWork(const GuardedTask& task, Instant now)
{
    Duration sinceCheckpoint = now - task.checkpointedAt_;
    return task.canCheckpoint_ ? checkpointCost + sinceCheckpoint * checkpointRiskPercent / 100 : sinceCheckpoint;
}

// True if the task ends so soon that moving it has no benefit.
static bool endsSoon(const GuardedTask& task, Instant now)
{
    return task.runTime_ > Duration(0) && task.runTime_ - (now - task.startedAt_) < minimumRemainingTime;
}

void LearnedRules::evictIfNeeded(GuardDecision& decision, const Plan& plan, const Learned& policy, Cause cause, Instant now)
{
    Guard& guard = decision.state_;
    if (!guard.targetExceededSince_ || now - *guard.targetExceededSince_ < evictionDelay || guard.evictionBudget_ < 1)
        return;
    Explanation explanation = explain(guard, plan, policy, cause, now);
    using Rank = std::tuple<bool, double>;
    std::optional<std::pair<Rank, TaskId>> best;
    for (size_t index = 0; index < plan.tasks().size(); ++index) {
        const PlannedTask& planned = plan.tasks()[index];
        const GuardedTask& task = guard.tasks_.at(planned.task_);
        explanation.compared_[index].lostWork_ = lostWork(task, now);
        if (endsSoon(task, now))
            continue;
        double relief = planned.worstHarm_ * planned.fullUse_ * planned.share_;
        Rank rank { planned.tier_ == Tier::Trial, relief / static_cast<double>(lostWork(task, now).count() + 1) };
        if (!best || rank > best->first)
            best = { rank, planned.task_ };
    }
    if (!best)
        return;
    guard.evictionBudget_ -= 1;
    guard.targetExceededSince_.reset();
    guard.tasks_.at(best->second).isEvicting_ = true;
    decision.actions_.emplace_back(Evict { best->second, std::move(explanation) });
}

void LearnedRules::correct(GuardDecision& decision, const Plan& plan, const Learned& policy, Instant now)
{
    Guard& guard = decision.state_;
    std::optional<Cause> cause = newCause(guard, now);
    if (!cause)
        return;
    Explanation explanation = explain(guard, plan, policy, *cause, now);
    std::vector<double> shares = plan.bestShares(correctionBudget);
    bool lowered = false;
    for (size_t index = 0; index < shares.size(); ++index) {
        explanation.compared_[index].shareAfter_ = std::min(shares[index], plan.tasks()[index].share_);
        lowered = lowered || shares[index] < plan.tasks()[index].share_ - shareTolerance;
    }
    for (size_t index = 0; index < shares.size(); ++index) {
        const PlannedTask& planned = plan.tasks()[index];
        if (shares[index] < planned.share_ - shareTolerance)
            setShare(decision, guard.tasks_.at(planned.task_), planned.task_, shares[index], explanation, now);
    }
    if (!lowered)
        evictIfNeeded(decision, plan, policy, *cause, now);
    guard.lastCorrection_ = Correction { now, highestLoad(guard.services_) };
    guard.hasNewTask_ = false;
}

void LearnedRules::raiseShares(GuardDecision& decision, const Plan& plan, const Learned& policy, Instant now)
{
    Guard& guard = decision.state_;
    Duration pause = guard.measurementLag_ + settlingTime;
    if ((guard.lastCorrection_ && now - guard.lastCorrection_->at_ < pause) || (guard.sharesRaisedAt_ && now - *guard.sharesRaisedAt_ < pause))
        return;
    std::vector<double> shares = plan.bestShares(recoveryBudget);
    Explanation explanation = explain(guard, plan, policy, Cause::Recovery, now);
    bool raised = false;
    for (size_t index = 0; index < shares.size(); ++index) {
        const PlannedTask& planned = plan.tasks()[index];
        shares[index] = std::min(shares[index], planned.share_ * maximumShareFactor);
        explanation.compared_[index].shareAfter_ = std::max(shares[index], planned.share_);
    }
    for (size_t index = 0; index < shares.size(); ++index) {
        const PlannedTask& planned = plan.tasks()[index];
        if (shares[index] <= planned.share_ + shareTolerance)
            continue;
        raised = true;
        setShare(decision, guard.tasks_.at(planned.task_), planned.task_, shares[index], explanation, now);
    }
    if (raised)
        guard.sharesRaisedAt_ = now;
}

void LearnedRules::act(GuardDecision& decision, const Learned& policy, Instant now)
{
    Guard& guard = decision.state_;
    double hours = std::max(0.0, static_cast<double>((now - guard.evictionBudgetUpdatedAt_).count()) / microsecondsPerSecond / 3600);
    guard.evictionBudget_ = std::min(1.0, guard.evictionBudget_ + hours * policy.evictionsPerHour());
    guard.evictionBudgetUpdatedAt_ = now;
    Plan plan = makePlan(guard, policy);
    if (plan.pressureAtMinimum() <= 1)
        guard.targetExceededSince_.reset();
    else if (!guard.targetExceededSince_)
        guard.targetExceededSince_ = now;
    setAccepting(decision, plan, policy, Cause::Measurement, now);
    if (plan.pressure() > 1)
        correct(decision, plan, policy, now);
    else
        raiseShares(decision, plan, policy, now);
}

void LearnedRules::setInitialShare(GuardDecision& decision, const Learned& policy, const TaskId& name, Instant now)
{
    Guard& guard = decision.state_;
    guard.hasNewTask_ = true;
    Plan plan = makePlan(guard, policy);
    std::vector<double> shares = plan.bestShares(correctionBudget);
    for (size_t index = 0; index < shares.size(); ++index) {
        if (plan.tasks()[index].task_ != name || shares[index] >= 1)
            continue;
        Explanation explanation = explain(guard, plan, policy, Cause::TaskArrived, now);
        explanation.compared_[index].shareAfter_ = shares[index];
        setShare(decision, guard.tasks_.at(name), name, shares[index], explanation, now);
    }
}

} // namespace persimmondoor::colocation
