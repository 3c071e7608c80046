#include "persimmondoor/placement/Estimates.h"

#include <algorithm>
#include <cmath>

namespace persimmondoor::placement {

/// Bucket whose upper bound is the ratio 1.
static constexpr size_t unitBucket = RatioDistribution::bucketCount / 2;

static size_t bucketOf(double ratio)
{
    double position = std::ceil(std::log(ratio) / std::log(RatioDistribution::bucketGrowth) - 1e-9) + unitBucket;
    return static_cast<size_t>(std::clamp(position, 0.0, static_cast<double>(RatioDistribution::bucketCount - 1)));
}

RatioDistribution::RatioDistribution()
{
    weights_[unitBucket] = declaredWeight;
}

void RatioDistribution::add(double ratio)
{
    for (float& weight : weights_)
        weight *= retention;
    weights_[ratio > 0 ? bucketOf(ratio) : 0] += 1;
}

double RatioDistribution::quantile(double quantile) const
{
    double total = 0;
    for (float weight : weights_)
        total += weight;
    double below = 0;
    size_t bucket = 0;
    for (; bucket + 1 < bucketCount; ++bucket) {
        below += weights_[bucket];
        if (below >= quantile * total)
            break;
    }
    return std::pow(bucketGrowth, static_cast<double>(bucket) - static_cast<double>(unitBucket));
}

static void addRatio(RatioDistribution& distribution, int64_t declared, int64_t observed)
{
    if (declared > 0)
        distribution.add(static_cast<double>(observed) / static_cast<double>(declared));
}

void Estimates::observe(const TaskClassName& name, const TaskUsage& declared, const TaskUsage& observed)
{
    if (!classes_.contains(name) && classes_.size() >= maximumClasses)
        evictLeastRecent();
    TaskClass& taskClass = classes_[name];
    byLastObservation_.erase(taskClass.lastObserved_);
    taskClass.lastObserved_ = ++observations_;
    byLastObservation_.emplace(observations_, name);
    addRatio(taskClass.processors_, declared.resources_.milliCores(), observed.resources_.milliCores());
    addRatio(taskClass.memory_, declared.resources_.memoryBytes(), observed.resources_.memoryBytes());
    addRatio(taskClass.runTime_, declared.runTime_.count(), observed.runTime_.count());
}

void Estimates::evictLeastRecent()
{
    auto oldest = byLastObservation_.begin();
    classes_.erase(oldest->second);
    byLastObservation_.erase(oldest);
}

static int64_t scale(int64_t declared, double ratio)
{
    return static_cast<int64_t>(std::ceil(static_cast<double>(declared) * ratio));
}

Resources Estimates::estimateResources(const TaskClassName& name, const Resources& declared) const
{
    auto found = classes_.find(name);
    if (found == classes_.end())
        return declared;
    const TaskClass& taskClass = found->second;
    return *Resources::create(scale(declared.milliCores(), taskClass.processors_.quantile(processorQuantile)),
        scale(declared.memoryBytes(), taskClass.memory_.quantile(memoryQuantile)), declared.accelerators());
}

RunTimeEstimate Estimates::estimateRunTime(const TaskClassName& name, Duration declared) const
{
    auto found = classes_.find(name);
    if (found == classes_.end())
        return { declared, declared };
    const RatioDistribution& ratios = found->second.runTime_;
    constexpr double median = 0.5;
    return { Duration(scale(declared.count(), ratios.quantile(median))), Duration(scale(declared.count(), ratios.quantile(highRunTimeQuantile))) };
}

} // namespace persimmondoor::placement
