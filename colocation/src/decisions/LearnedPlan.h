/// Predicts the slowdown of a worker's services and shares the processors among its batch tasks.
#pragma once

#include "persimmondoor/colocation/Guard.h"

namespace persimmondoor::colocation {

/// Least share of a throttled task; it goes on slowly, and its harm stays measurable.
inline constexpr double minimumShare = 0.1;

/// One service as the plan sees it.
struct ServiceOutlook {
    ServiceName service_;
    const GuardedService* state_ { nullptr };
    /// Load for which the harms are read.
    double load_ { 0 };
    double loadAhead_ { 0 };
    /// Processors it needs at `loadAhead_`, and if the largest failure domain is lost.
    double cores_ { 0 };
    double coresAfterLoss_ { 0 };
    SlowdownModel::KneeEstimates saturationHarms_;
};

/// One task as the plan sees it; the harms are those to each service, with caution added.
struct TaskOutlook {
    TaskId task_;
    TaskClassName class_;
    Tier tier_ { Tier::Trial };
    double fullUse_ { 0 };
    double share_ { 1 };
    /// Position among the tasks; of equals the earlier one is served first.
    size_t order_ { 0 };
    std::vector<double> harms_;
    double worstHarm_ { 0 };
};

class Plan {
public:
    Plan(double cores, const Learned& policy);

    void addService(ServiceOutlook service);
    /// Services must have been added before.
    void addTask(const TaskId& task, const TaskClassName& taskClass, Tier tier, double fullUse, double share);

    /// Highest predicted slowdown, less 1, by that allowed at `budget` times the target's.
    double pressure() const;
    /// The same with every task at its minimum.
    double pressureAtMinimum() const;
    /// Best shares: those tasks first that harm least for what they are worth, where paying work is worth twice
    /// trial work; each share as high as the budget allows, and for paying work the room for the loss of a failure domain.
    /// \param budget part of the allowed slowdown that may be used, 0 to 1.
    std::vector<double> bestShares(double budget) const;

    const std::vector<TaskOutlook>& tasks() const { return tasks_; }
    const std::vector<ServiceOutlook>& services() const { return services_; }
    /// Service with the highest predicted slowdown.
    size_t worstService() const;
    /// Predicted slowdown of a service, caution included.
    double slowdown(size_t service) const;

private:
    struct Totals {
        double use_ { 0 };
        double payingUse_ { 0 };
        std::vector<double> harms_;
    };

    Totals totals(const std::vector<double>& shares) const;
    static void change(Totals& totals, const TaskOutlook& task, double difference, double cores);
    double slowdown(size_t service, const Totals& totals) const;
    double pressure(const Totals& totals) const;
    bool allows(const Totals& totals, Tier tier, double budget) const;
    std::vector<double> currentShares() const;

    double cores_;
    double allowed_;
    double caution_;
    std::vector<ServiceOutlook> services_;
    std::vector<TaskOutlook> tasks_;
};

} // namespace persimmondoor::colocation
