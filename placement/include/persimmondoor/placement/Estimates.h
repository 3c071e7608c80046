/// Estimates the resource usage and run time of tasks of a class from those of finished tasks. The values that a job
/// declares count as a few observations, whose weight decays as tasks finish.
///
/// \code
/// Estimates estimates;
/// estimates.observe(taskClass, declared, observed);
/// Resources reserved = estimates.estimateResources(taskClass, declared.resources_);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Time.h"

#include <array>
#include <map>

namespace persimmondoor::placement {

/// Names a class of tasks that are expected to behave alike, usually those of one job name of a team.
using TaskClassName = Name<struct TaskClassTag>;

/// Resources and run time of a task, either as declared or as observed (peak usage).
struct TaskUsage {
    Resources resources_;
    Duration runTime_ { 0 };
    bool operator==(const TaskUsage&) const = default;
};

/// Histogram of the ratio of observed to declared amounts, with exponential buckets. Each new observation multiplies
/// the weight of the older ones by `retention`.
class RatioDistribution {
public:
    static constexpr size_t bucketCount = 49;
    /// Ratio of the bounds of a bucket, 2^(1/4); 49 buckets cover ratios from 1/64 to 64.
    static constexpr double bucketGrowth = 1.18920711500272106672;
    /// Factor by which each new observation multiplies the existing weights.
    static constexpr float retention = 0.98F;
    /// Initial weight of the declared value, in observations.
    static constexpr float declaredWeight = 3;

    RatioDistribution();
    /// Adds one observation; ratios outside the range count in the first or last bucket.
    void add(double ratio);
    /// \param quantile between 0 and 1.
    /// \return upper bound of the bucket that holds the quantile.
    double quantile(double quantile) const;
    bool operator==(const RatioDistribution&) const = default;

private:
    std::array<float, bucketCount> weights_ {};
};

/// Median and `Estimates::highRunTimeQuantile` of the run time.
struct RunTimeEstimate {
    Duration median_ { 0 };
    Duration high_ { 0 };
    auto operator<=>(const RunTimeEstimate&) const = default;
};

class Estimates {
public:
    /// Upper bound of the stored classes, about 700 B each. Beyond it, the least recently observed class is evicted.
    static constexpr size_t maximumClasses = 4096;
    static constexpr double processorQuantile = 0.9;
    static constexpr double memoryQuantile = 0.99;
    static constexpr double highRunTimeQuantile = 0.9;

    /// Adds the usage of one finished task. An amount that was declared as zero is ignored, as it has no ratio.
    void observe(const TaskClassName& name, const TaskUsage& declared, const TaskUsage& observed);

    /// Returns the resources to reserve: processors and memory as estimated, accelerators as declared.
    Resources estimateResources(const TaskClassName& name, const Resources& declared) const;
    RunTimeEstimate estimateRunTime(const TaskClassName& name, Duration declared) const;
    size_t classCount() const { return classes_.size(); }
    bool operator==(const Estimates&) const = default;

private:
    struct TaskClass {
        RatioDistribution processors_;
        RatioDistribution memory_;
        RatioDistribution runTime_;
        uint64_t lastObserved_ { 0 };
        bool operator==(const TaskClass&) const = default;
    };

    void evictLeastRecent();

    std::map<TaskClassName, TaskClass> classes_;
    std::map<uint64_t, TaskClassName> byLastObservation_;
    uint64_t observations_ { 0 };
};

} // namespace persimmondoor::placement
