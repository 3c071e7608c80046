#include "LearnedPlan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace persimmondoor::colocation {

/// Shares are multiples of this.
static constexpr double shareStep = 0.05;
/// Worth of paying work by that of trial work.
static constexpr double payingWorth = 2;

Plan::Plan(double cores, const Learned& policy)
    : cores_(cores)
    , allowed_(policy.target() - 1)
    , caution_(policy.caution())
{
}

void Plan::addService(ServiceOutlook service)
{
    service.saturationHarms_ = service.state_->model_.saturationHarms(service.load_);
    services_.push_back(std::move(service));
}

void Plan::addTask(const TaskId& task, const TaskClassName& taskClass, Tier tier, double fullUse, double share)
{
    TaskOutlook outlook { task, taskClass, tier, fullUse, share, tasks_.size(), {}, 0 };
    for (const ServiceOutlook& service : services_) {
        Estimate harm = service.state_->model_.harm(taskClass, service.load_);
        outlook.harms_.push_back(harm.mean_ + caution_ * harm.deviation_);
        outlook.worstHarm_ = std::max(outlook.worstHarm_, outlook.harms_.back());
    }
    tasks_.push_back(std::move(outlook));
}

void Plan::change(Totals& totals, const TaskOutlook& task, double difference, double cores)
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
        change(totals, tasks_[index], shares[index], cores_);
    return totals;
}

double Plan::slowdown(size_t service, const Totals& totals) const
{
    const ServiceOutlook& outlook = services_[service];
    double busy = totals.use_;
    for (const ServiceOutlook& each : services_)
        busy += each.cores_;
    return 1 + totals.harms_[service] + SlowdownModel::saturationSlowdown(outlook.saturationHarms_, busy / cores_, caution_);
}

double Plan::pressure(const Totals& totals) const
{
    double highest = 0;
    for (size_t service = 0; service < services_.size(); ++service)
        highest = std::max(highest, (slowdown(service, totals) - 1) / allowed_);
    return highest;
}

std::vector<double> Plan::currentShares() const
{
    std::vector<double> shares;
    shares.reserve(tasks_.size());
    for (const TaskOutlook& task : tasks_)
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
    for (const ServiceOutlook& service : services_)
        afterLoss += service.coresAfterLoss_;
    return afterLoss <= cores_;
}

// Harm for each processor used, by what the use is worth: trial work gives way first unless it harms much less.
static double weightedHarm(const TaskOutlook& task)
{
    return task.worstHarm_ / (task.tier_ == Tier::Paying ? payingWorth : 1);
}

std::vector<double> Plan::bestShares(double budget) const
{
    std::vector<size_t> order(tasks_.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::sort(order.begin(), order.end(), [&](size_t left, size_t right) {
        const TaskOutlook& a = tasks_[left];
        const TaskOutlook& b = tasks_[right];
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
            change(tried, tasks_[index], middle * shareStep, cores_);
            if (allows(tried, tasks_[index].tier_, budget))
                lowest = middle;
            else
                highest = middle - 1;
        }
        change(used, tasks_[index], lowest * shareStep, cores_);
        shares[index] = lowest == stepsAboveMinimum ? 1 : minimumShare + lowest * shareStep;
    }
    return shares;
}

} // namespace persimmondoor::colocation
