#include "LearnedRules.h"

#include <algorithm>

namespace persimmondoor::colocation {

/// A correction leaves this part of the allowed slowdown used.
static constexpr double correctionBudget = 1.0;
/// Shares are given back up to this part, which is less: hysteresis.
static constexpr double recoveryBudget = 0.95;
/// A task is admitted if its best share is at least this.
static constexpr double admissionShare = 0.5;
static constexpr double admissionBudget = 1.0;
/// Tasks are accepted again once all at their minimum use less than this part.
static constexpr double resumeBudget = 0.85;
/// Time that an action takes to show in a measurement, beside the lag.
static constexpr Duration settlingTime = std::chrono::seconds(2);
/// A further rise of the load by this much is a new cause.
static constexpr double freshRise = 0.03;
/// Shares rise at most by this factor at a time.
static constexpr double recoveryFactor = 2;
/// Time for which throttling to the minimum must have been too little before a task is evicted.
static constexpr Duration evictionPatience = std::chrono::seconds(30);
/// A task that ends sooner is left to end.
static constexpr Duration shortestEvictedRunTime = std::chrono::minutes(2);
/// Work lost by an eviction: the checkpoint itself, and a share of the work since the last one, as it may fail.
static constexpr Duration checkpointCost = std::chrono::seconds(2);
static constexpr int64_t checkpointRiskPercent = 5;
static constexpr double shareTolerance = 1e-9;
static constexpr double microsecondsPerSecond = 1e6;

Plan LearnedRules::makePlan(const Guard& guard, const Learned& policy)
{
    Plan plan(guard.settings_.cores_, policy);
    for (const auto& [name, service] : guard.services_) {
        double ahead = service.load_ + service.forecast_.rise();
        double loss = lossLoad(service.load_, guard.settings_.instances_, guard.settings_.largestDomain_);
        plan.addService({ name, &service, service.steadyLoad_, ahead, ahead * service.coresPerLoad_, (service.load_ + loss) * service.coresPerLoad_, {} });
    }
    for (const auto& [name, task] : guard.tasks_) {
        if (!task.evicting_)
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
    return plan.bestShares(admissionBudget).back() >= admissionShare;
}

Explanation LearnedRules::explain(const Guard& guard, const Plan& plan, const Learned& policy, Cause cause, Instant now)
{
    Explanation explanation;
    explanation.at_ = now;
    explanation.cause_ = cause;
    explanation.target_ = policy.target();
    if (plan.services().empty())
        return explanation;
    const ServiceOutlook& service = plan.services()[plan.worstService()];
    explanation.service_ = service.service_;
    explanation.measuredAt_ = service.state_->measuredAt_;
    explanation.measuredTail_ = service.state_->lastTail_;
    explanation.load_ = service.state_->load_;
    explanation.loadAhead_ = service.loadAhead_;
    explanation.baseline_ = service.state_->model_.baseline(service.load_);
    std::vector<Exposure> exposures;
    double busy = service.cores_;
    for (const TaskOutlook& task : plan.tasks()) {
        double use = task.fullUse_ * task.share_;
        exposures.push_back({ task.class_, use / guard.settings_.cores_ });
        busy += use;
    }
    explanation.slowdown_ = service.state_->model_.slowdown(service.load_, busy / guard.settings_.cores_, exposures);
    for (const TaskOutlook& task : plan.tasks())
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

// What has changed since the last correction; nothing while that one can't have shown in a measurement yet.
std::optional<Cause> LearnedRules::freshCause(const Guard& guard, Instant now)
{
    if (guard.arrived_)
        return Cause::TaskArrived;
    if (!guard.correction_)
        return Cause::Measurement;
    if (highestLoad(guard.services_) >= guard.correction_->load_ + freshRise)
        return Cause::LoadRose;
    if (now - guard.correction_->at_ >= guard.lag_ + settlingTime)
        return Cause::Measurement;
    return std::nullopt;
}

static void changeShare(GuardDecision& decision, GuardedTask& task, const TaskId& name, double share, const Explanation& explanation, Instant now)
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

// True if the task would end so soon that moving it gains nothing.
static bool endsSoon(const GuardedTask& task, Instant now)
{
    return task.runTime_ > Duration(0) && task.runTime_ - (now - task.startedAt_) < shortestEvictedRunTime;
}

void LearnedRules::evictIfNeeded(GuardDecision& decision, const Plan& plan, const Learned& policy, Cause cause, Instant now)
{
    Guard& guard = decision.state_;
    if (!guard.exceededSince_ || now - *guard.exceededSince_ < evictionPatience || guard.evictionBudget_ < 1)
        return;
    Explanation explanation = explain(guard, plan, policy, cause, now);
    using Rank = std::tuple<bool, double>;
    std::optional<std::pair<Rank, TaskId>> best;
    for (size_t index = 0; index < plan.tasks().size(); ++index) {
        const TaskOutlook& outlook = plan.tasks()[index];
        const GuardedTask& task = guard.tasks_.at(outlook.task_);
        explanation.compared_[index].lostWork_ = lostWork(task, now);
        if (endsSoon(task, now))
            continue;
        double relief = outlook.worstHarm_ * outlook.fullUse_ * outlook.share_;
        Rank rank { outlook.tier_ == Tier::Trial, relief / static_cast<double>(lostWork(task, now).count() + 1) };
        if (!best || rank > best->first)
            best = { rank, outlook.task_ };
    }
    if (!best)
        return;
    guard.evictionBudget_ -= 1;
    guard.exceededSince_.reset();
    guard.tasks_.at(best->second).evicting_ = true;
    decision.actions_.emplace_back(Evict { best->second, std::move(explanation) });
}

void LearnedRules::correct(GuardDecision& decision, const Plan& plan, const Learned& policy, Instant now)
{
    Guard& guard = decision.state_;
    std::optional<Cause> cause = freshCause(guard, now);
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
        const TaskOutlook& outlook = plan.tasks()[index];
        if (shares[index] < outlook.share_ - shareTolerance)
            changeShare(decision, guard.tasks_.at(outlook.task_), outlook.task_, shares[index], explanation, now);
    }
    if (!lowered)
        evictIfNeeded(decision, plan, policy, *cause, now);
    guard.correction_ = Correction { now, highestLoad(guard.services_) };
    guard.arrived_ = false;
}

void LearnedRules::giveBack(GuardDecision& decision, const Plan& plan, const Learned& policy, Instant now)
{
    Guard& guard = decision.state_;
    Duration pause = guard.lag_ + settlingTime;
    if ((guard.correction_ && now - guard.correction_->at_ < pause) || (guard.relaxedAt_ && now - *guard.relaxedAt_ < pause))
        return;
    std::vector<double> shares = plan.bestShares(recoveryBudget);
    Explanation explanation = explain(guard, plan, policy, Cause::Recovery, now);
    bool raised = false;
    for (size_t index = 0; index < shares.size(); ++index) {
        const TaskOutlook& outlook = plan.tasks()[index];
        shares[index] = std::min(shares[index], outlook.share_ * recoveryFactor);
        explanation.compared_[index].shareAfter_ = std::max(shares[index], outlook.share_);
    }
    for (size_t index = 0; index < shares.size(); ++index) {
        const TaskOutlook& outlook = plan.tasks()[index];
        if (shares[index] <= outlook.share_ + shareTolerance)
            continue;
        raised = true;
        changeShare(decision, guard.tasks_.at(outlook.task_), outlook.task_, shares[index], explanation, now);
    }
    if (raised)
        guard.relaxedAt_ = now;
}

void LearnedRules::act(GuardDecision& decision, const Learned& policy, Instant now)
{
    Guard& guard = decision.state_;
    double hours = std::max(0.0, static_cast<double>((now - guard.budgetAt_).count()) / microsecondsPerSecond / 3600);
    guard.evictionBudget_ = std::min(1.0, guard.evictionBudget_ + hours * policy.evictionsPerHour());
    guard.budgetAt_ = now;
    Plan plan = makePlan(guard, policy);
    if (plan.pressureAtMinimum() <= 1)
        guard.exceededSince_.reset();
    else if (!guard.exceededSince_)
        guard.exceededSince_ = now;
    setAccepting(decision, plan, policy, Cause::Measurement, now);
    if (plan.pressure() > 1)
        correct(decision, plan, policy, now);
    else
        giveBack(decision, plan, policy, now);
}

void LearnedRules::placeStarted(GuardDecision& decision, const Learned& policy, const TaskId& name, Instant now)
{
    Guard& guard = decision.state_;
    guard.arrived_ = true;
    Plan plan = makePlan(guard, policy);
    std::vector<double> shares = plan.bestShares(correctionBudget);
    for (size_t index = 0; index < shares.size(); ++index) {
        if (plan.tasks()[index].task_ != name || shares[index] >= 1)
            continue;
        Explanation explanation = explain(guard, plan, policy, Cause::TaskArrived, now);
        explanation.compared_[index].shareAfter_ = shares[index];
        changeShare(decision, guard.tasks_.at(name), name, shares[index], explanation, now);
    }
}

} // namespace persimmondoor::colocation
