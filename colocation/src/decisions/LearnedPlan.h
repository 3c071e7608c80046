/// Predicts the slowdown of a worker's services and divides the processors among its batch tasks.
#pragma once

#include "persimmondoor/colocation/Guard.h"

namespace persimmondoor::colocation {

/// Minimum share of a throttled task: the task still makes progress, and its harm remains measurable.
inline constexpr double minimumShare = 0.1;

/// A service with the figures that the plan uses.
struct PlannedService {
    ServiceName service_;
    const GuardedService* state_ { nullptr };
    /// Load at which the harms are evaluated.
    double load_ { 0 };
    double loadAhead_ { 0 };
    /// Processors that the service needs at `loadAhead_`, and if the largest failure domain is lost.
    double cores_ { 0 };
    double coresAfterLoss_ { 0 };
    SlowdownModel::KneeEstimates saturationHarms_;
};

/// A task with the figures that the plan uses. The harms are the slowdowns that it adds to each service, with the
/// uncertainty margin added.
struct PlannedTask {
    TaskId task_;
    TaskClassName class_;
    Tier tier_ { Tier::Trial };
    double fullUse_ { 0 };
    double share_ { 1 };
    /// Position among the tasks; of tasks that rank equally the earlier one is served first.
    size_t order_ { 0 };
    std::vector<double> harms_;
    double worstHarm_ { 0 };
};

class Plan {
public:
    Plan(double cores, const Learned& policy);

    void addService(PlannedService service);
    /// All services must have been added before.
    void addTask(const TaskId& task, const TaskClassName& taskClass, Tier tier, double fullUse, double share);

    /// Highest predicted slowdown above 1, as a multiple of the allowed one.
    double pressure() const;
    /// The same with every task at its minimum share.
    double pressureAtMinimum() const;
    /// Calculates the best shares. Tasks are served in the order of their harm relative to their weight, where paying
    /// work has twice the weight of trial work. Each share is as high as the budget allows, and for paying work as the
    /// headroom for the loss of a failure domain allows.
    /// \param budget part of the allowed slowdown that may be used, 0 to 1.
    std::vector<double> bestShares(double budget) const;

    const std::vector<PlannedTask>& tasks() const { return tasks_; }
    const std::vector<PlannedService>& services() const { return services_; }
    /// Index of the service with the highest predicted slowdown.
    size_t worstService() const;
    /// Predicted slowdown of a service, with the uncertainty margin.
    double slowdown(size_t service) const;

private:
    struct Totals {
        double use_ { 0 };
        double payingUse_ { 0 };
        std::vector<double> harms_;
    };

    Totals totals(const std::vector<double>& shares) const;
    static void addUse(Totals& totals, const PlannedTask& task, double difference, double cores);
    double slowdown(size_t service, const Totals& totals) const;
    double pressure(const Totals& totals) const;
    bool allows(const Totals& totals, Tier tier, double budget) const;
    std::vector<double> currentShares() const;

    double cores_;
    double allowedSlowdown_;
    double uncertaintyFactor_;
    std::vector<PlannedService> services_;
    std::vector<PlannedTask> tasks_;
};

} // namespace persimmondoor::colocation
