/// Learns what tasks of a class use and how long they run. What a job declares is a hint that counts as a few
/// observations and fades as real ones come.
///
/// \code
/// Estimates estimates;
/// estimates.observe(taskClass, declared, observed);
/// Resources size = estimates.size(taskClass, declared.resources_);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Time.h"

#include <array>
#include <map>

namespace persimmondoor::placement {

/// Tasks that are expected to behave alike, as a rule those of one job name of a team.
using TaskClassName = Name<struct TaskClassTag>;

/// What a task declared, or was seen to use at its peak and to run.
struct TaskUsage {
    Resources resources_;
    Duration runTime_ { 0 };
    bool operator==(const TaskUsage&) const = default;
};

/// Distribution of the ratio of observed to declared amounts, in buckets whose bounds grow by a fixed factor; older
/// observations fade by a fixed share with each new one.
class RatioDistribution {
public:
    static constexpr size_t bucketCount = 49;
    /// Ratio of the bounds of a bucket; 49 buckets reach from 1/64 to 64.
    static constexpr double bucketGrowth = 1.18920711500272106672;
    /// Share of the weight that is kept with each observation.
    static constexpr float retention = 0.98F;
    /// Weight of the declared value, in observations.
    static constexpr float declaredWeight = 3;

    RatioDistribution();
    /// Adds one observation; ratios outside the range count at its ends.
    void add(double ratio);
    /// \param quantile between 0 and 1.
    /// \return upper bound of the bucket that holds the quantile.
    double quantile(double quantile) const;
    bool operator==(const RatioDistribution&) const = default;

private:
    std::array<float, bucketCount> weights_ {};
};

/// Run time as a range.
struct RunTimeEstimate {
    Duration median_ { 0 };
    Duration high_ { 0 };
    auto operator<=>(const RunTimeEstimate&) const = default;
};

class Estimates {
public:
    /// Classes that are remembered; beyond it the least recently observed one is forgotten. About 700 B each.
    static constexpr size_t maximumClasses = 4096;
    static constexpr double processorQuantile = 0.9;
    static constexpr double memoryQuantile = 0.99;
    static constexpr double highRunTimeQuantile = 0.9;

    /// Adds what one finished task used. Amounts declared as zero teach nothing.
    void observe(const TaskClassName& name, const TaskUsage& declared, const TaskUsage& observed);

    /// Resources to reserve: processors and memory learned, accelerators as declared.
    Resources size(const TaskClassName& name, const Resources& declared) const;
    RunTimeEstimate runTime(const TaskClassName& name, Duration declared) const;
    size_t classes() const { return classes_.size(); }
    bool operator==(const Estimates&) const = default;

private:
    struct TaskClass {
        RatioDistribution processors_;
        RatioDistribution memory_;
        RatioDistribution runTime_;
        uint64_t lastObserved_ { 0 };
        bool operator==(const TaskClass&) const = default;
    };

    void forgetOldest();

    std::map<TaskClassName, TaskClass> classes_;
    std::map<uint64_t, TaskClassName> byAge_;
    uint64_t observations_ { 0 };
};

} // namespace persimmondoor::placement
