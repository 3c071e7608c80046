// Demands that found no worker in a round of placement, so that a backlog of similar tasks costs one search a round.
#pragma once

#include "LeaderRules.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>
#include <vector>

namespace persimmondoor::workflow {

// Demands for which this round found no worker. A step with the same constraints that demands at least as much has no
// worker either. The jobs must outlive this.
class UnplaceableDemands {
public:
    // \param isBarred the task is barred from probes: it has no worker either if a task that may probe has none.
    bool contains(const Job& job, const Step& step, Disturbance disturbance, bool isBarred = false) const
    {
        auto known = demands_.find(constraintsOf(job, step, disturbance));
        return known != demands_.end() && std::any_of(known->second.begin(), known->second.end(), [&](const Demand& demand) { return (isBarred || !demand.isBarred_) && demand.demand_.fitsIn(step.demand_); });
    }
    // A step with a bound on tasks per worker is not added: a step without the bound may find a worker nevertheless.
    void add(const Job& job, const Step& step, Disturbance disturbance, bool isBarred = false)
    {
        if (step.maxPerWorker_ > 0 || contains(job, step, disturbance, isBarred))
            return;
        std::vector<Demand>& known = demands_[constraintsOf(job, step, disturbance)];
        if (known.size() < maximumDemands)
            known.push_back({ isBarred, step.demand_ });
    }

private:
    // What decides, beside the amounts, which workers a task may use: a job that may disturb long-running tasks may be placed on
    // workers that others have to avoid, and long-running tasks on workers that are forbidden to others. Then service, image and
    // label, and whether the step is filling and long-running.
    using Constraints = std::tuple<Disturbance, std::string_view, std::string_view, std::string_view, bool, bool>;
    struct Demand {
        // Found for a task that is barred from probes; others may be placed on workers that are closed to it.
        bool isBarred_ { false };
        Resources demand_;
    };
    // Bound on the demands that are kept under the same constraints, as each lookup compares them all.
    static constexpr size_t maximumDemands = 32;

    static Constraints constraintsOf(const Job& job, const Step& step, Disturbance disturbance)
    {
        return { disturbance, job.queue_.service_, step.image_, step.requiredLabel_, step.isFilling_, step.longRunning_ };
    }

    std::map<Constraints, std::vector<Demand>> demands_;
};

} // namespace persimmondoor::workflow
