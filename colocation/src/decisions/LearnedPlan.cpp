#include "LearnedPlan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace persimmondoor::colocation {

/// Shares are multiples of this step.
static constexpr double shareStep = 0.05;
/// Weight of paying work relative to trial work.
static constexpr double payingWeight = 2;

Plan::Plan(double cores, const Learned& policy)
    : cores_(cores)
    , allowedSlowdown_(policy.target() - 1)
    , uncertaintyFactor_(policy.uncertaintyFactor())
{
}

void Plan::addService(PlannedService service)
{
    service.saturationHarms_ = service.state_->model_.saturationHarms(service.load_);
    services_.push_back(std::move(service));
}

void Plan::addTask(const TaskId& task, const TaskClassName& taskClass, Tier tier, double fullUse, double share)
{
    PlannedTask planned { task, taskClass, tier, fullUse, share, tasks_.size(), {}, 0 };
    for (const PlannedService& service : services_) {
        Estimate harm = service.state_->model_.harm(taskClass, service.load_);
        planned.harms_.push_back(harm.mean_ + uncertaintyFactor_ * harm.deviation_);
        planned.worstHarm_ = std::max(planned.worstHarm_, planned.harms_.back());
    }
    tasks_.push_back(std::move(planned));
}

void Plan::addUse(Totals& totals, const PlannedTask& task, double difference, double cores)
{
    double use = task.fullUse_ * difference;
    totals.use_ += use;
    if (task.tier_ == Tier::Paying)
        totals.payingUse_ += use;
    for (size_t service = 0; service < totals.harms_.size(); ++service)
        totals.harms_[service] += task.harms_[service] * use / cores;
}

Plan::Totals Plan::totals(const std::vector<double>& shares) const
{
    Totals totals;
    totals.harms_.resize(services_.size());
    for (size_t index = 0; index < tasks_.size(); ++index)
        addUse(totals, tasks_[index], shares[index], cores_);
    return totals;
}

double Plan::slowdown(size_t service, const Totals& totals) const
{
    const PlannedService& planned = services_[service];
    double usedCores = totals.use_;
    for (const PlannedService& each : services_)
        usedCores += each.cores_;
    return 1 + totals.harms_[service] + SlowdownModel::saturationSlowdown(planned.saturationHarms_, usedCores / cores_, uncertaintyFactor_);
}

double Plan::pressure(const Totals& totals) const
{
    double highest = 0;
    for (size_t service = 0; service < services_.size(); ++service)
        highest = std::max(highest, (slowdown(service, totals) - 1) / allowedSlowdown_);
    return highest;
}

std::vector<double> Plan::currentShares() const
{
    std::vector<double> shares;
    shares.reserve(tasks_.size());
    for (const PlannedTask& task : tasks_)
        shares.push_back(task.share_);
    return shares;
}

double Plan::pressure() const
{
    return pressure(totals(currentShares()));
}

double Plan::pressureAtMinimum() const
{
    return pressure(totals(std::vector<double>(tasks_.size(), minimumShare)));
}

size_t Plan::worstService() const
{
    Totals current = totals(currentShares());
    size_t worst = 0;
    for (size_t service = 1; service < services_.size(); ++service) {
        if (slowdown(service, current) > slowdown(worst, current))
            worst = service;
    }
    return worst;
}

double Plan::slowdown(size_t service) const
{
    return slowdown(service, totals(currentShares()));
}

bool Plan::allows(const Totals& totals, Tier tier, double budget) const
{
    if (pressure(totals) > budget)
        return false;
    if (tier == Tier::Trial)
        return true;
    double afterLoss = totals.payingUse_;
    for (const PlannedService& service : services_)
        afterLoss += service.coresAfterLoss_;
    return afterLoss <= cores_;
}

// Harm per processor used, relative to the weight of the work: trial work is throttled first unless it does much less
// harm.
static double weightedHarm(const PlannedTask& task)
{
    return task.worstHarm_ / (task.tier_ == Tier::Paying ? payingWeight : 1);
}

std::vector<double> Plan::bestShares(double budget) const
{
    std::vector<size_t> order(tasks_.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::sort(order.begin(), order.end(), [&](size_t left, size_t right) {
        const PlannedTask& a = tasks_[left];
        const PlannedTask& b = tasks_[right];
        return std::tuple(weightedHarm(a), a.tier_, a.order_, a.task_) < std::tuple(weightedHarm(b), b.tier_, b.order_, b.task_);
    });
    std::vector<double> shares(tasks_.size(), minimumShare);
    Totals used = totals(shares);
    const auto stepsAboveMinimum = static_cast<int>(std::lround((1 - minimumShare) / shareStep));
    for (size_t index : order) {
        int lowest = 0;
        int highest = stepsAboveMinimum;
        while (lowest < highest) {
            int middle = (lowest + highest + 1) / 2;
            Totals tried = used;
            addUse(tried, tasks_[index], middle * shareStep, cores_);
            if (allows(tried, tasks_[index].tier_, budget))
                lowest = middle;
            else
                highest = middle - 1;
        }
        addUse(used, tasks_[index], lowest * shareStep, cores_);
        shares[index] = lowest == stepsAboveMinimum ? 1 : minimumShare + lowest * shareStep;
    }
    return shares;
}

} // namespace persimmondoor::colocation
