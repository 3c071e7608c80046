#include "persimmondoor/workflow/Interference.h"

#include <algorithm>

namespace persimmondoor::workflow {

// Variance of the change of the busy part between two readings that filling tasks do not cause: the load of a
// long-running task swings, and readings are rough.
static constexpr double readingVariance = 0.006;
// Factors change within seconds: what is known of a pair gets older with each reading that concerns it.
static constexpr double agingVariance = 0.0005;
// What is taken for granted of a pair that has not been seen: between the harmless and the harmful.
static constexpr double firstFactor = 0.2;
static constexpr double firstVariance = 0.09;
// Above this busy part a queue has built up, and how fast it drains says nothing of the factors.
static constexpr double congestedPart = 0.85;
// Pairs below this factor are never slowed down: all of a worker's processors would add less than a tenth.
static constexpr double harmlessFactor = 0.35;
// The tail is kept below this share of its target, as readings are rough and half a second old.
static constexpr double aimedShareOfTarget = 0.75;
// Share of the target that stands for the unloaded tail before a lower one has been seen.
static constexpr double firstUnloadedShare = 0.33;
// Greatest rise between two readings that is taken to go on.
static constexpr double greatestRise = 0.15;

static const Sensitivity* sensitivityOf(const Interference& estimates, const std::string& longRunning)
{
    auto known = estimates.sensitivities_.find(longRunning);
    return known == estimates.sensitivities_.end() ? nullptr : &known->second;
}

static double unloadedTail(const Interference& estimates, const TailReading& reading)
{
    double first = firstUnloadedShare * reading.targetMs_;
    const Sensitivity* known = sensitivityOf(estimates, reading.image_);
    return std::max(1.0, !known || known->unloadedMs_ == 0 ? first : std::min<double>(first, known->unloadedMs_));
}

static double busyPart(const Interference& estimates, const TailReading& reading)
{
    double unloaded = unloadedTail(estimates, reading);
    return 1 - unloaded / std::max<double>(reading.tailMs_, unloaded);
}

static void noteUnloadedTails(Interference& estimates, const LoadReading& reading)
{
    for (const auto& [run, longRunning] : reading.longRunning_) {
        if (longRunning.tailMs_ == 0)
            continue;
        uint32_t& unloaded = estimates.sensitivities_[longRunning.image_].unloadedMs_;
        unloaded = unloaded == 0 ? longRunning.tailMs_ : std::min(unloaded, longRunning.tailMs_);
    }
}

namespace {

    // Mean change of the busy part of a worker's tasks of one image.
    struct BusyChange {
        double sum_ { 0 };
        uint32_t tasks_ { 0 };
    };

} // namespace

static std::map<std::string, BusyChange> busyChanges(const Interference& estimates, const LoadReading& before, const LoadReading& after)
{
    std::map<std::string, BusyChange> changes;
    for (const auto& [run, reading] : after.longRunning_) {
        auto earlier = before.longRunning_.find(run);
        if (earlier == before.longRunning_.end() || earlier->second.tailMs_ == 0 || reading.tailMs_ == 0)
            continue;
        double was = busyPart(estimates, earlier->second);
        if (was > congestedPart)
            continue;
        BusyChange& change = changes[reading.image_];
        change.sum_ += busyPart(estimates, reading) - was;
        ++change.tasks_;
    }
    return changes;
}

// Changes of the shares that filling images were given.
static std::map<std::string, double> fillingChanges(const LoadReading& before, const LoadReading& after)
{
    std::map<std::string, double> changes = after.filling_;
    for (const auto& [image, share] : before.filling_)
        changes[image] -= share;
    return changes;
}

static double& covariance(Sensitivity& sensitivity, const std::string& left, const std::string& right)
{
    return sensitivity.covariances_[left < right ? std::pair(left, right) : std::pair(right, left)];
}

static void meetImages(Sensitivity& sensitivity, const std::map<std::string, double>& filling)
{
    for (const auto& [image, share] : filling) {
        bool isNew = sensitivity.factors_.try_emplace(image, firstFactor).second;
        double& variance = covariance(sensitivity, image, image);
        variance = isNew ? firstVariance : std::min(variance + agingVariance, firstVariance);
    }
}

// One step of the filter.
static void correct(Sensitivity& sensitivity, double busyChange, const std::map<std::string, double>& filling)
{
    meetImages(sensitivity, filling);
    std::map<std::string, double> spread;
    double expected = 0;
    double variance = readingVariance;
    for (const auto& [image, factor] : sensitivity.factors_) {
        double& sum = spread[image];
        for (const auto& [other, share] : filling)
            sum += covariance(sensitivity, image, other) * share;
    }
    for (const auto& [image, share] : filling) {
        expected += sensitivity.factors_.at(image) * share;
        variance += spread.at(image) * share;
    }
    for (auto& [image, factor] : sensitivity.factors_)
        factor = std::max(0.0, factor + spread.at(image) / variance * (busyChange - expected));
    for (auto left = spread.begin(); left != spread.end(); ++left) {
        for (auto right = left; right != spread.end(); ++right)
            covariance(sensitivity, left->first, right->first) -= left->second * right->second / variance;
    }
}

Interference observe(Interference estimates, const LoadReading& before, const LoadReading& after)
{
    noteUnloadedTails(estimates, after);
    std::map<std::string, double> filling = fillingChanges(before, after);
    if (filling.empty())
        return estimates;
    for (const auto& [image, change] : busyChanges(estimates, before, after))
        correct(estimates.sensitivities_[image], change.sum_ / change.tasks_, filling);
    return estimates;
}

double interferenceFactorOf(const Interference& estimates, const std::string& filling, const std::string& longRunning)
{
    const Sensitivity* sensitivity = sensitivityOf(estimates, longRunning);
    if (!sensitivity)
        return firstFactor;
    auto known = sensitivity->factors_.find(filling);
    return known == sensitivity->factors_.end() ? firstFactor : known->second;
}

bool isHarmless(const Interference& estimates, const std::string& filling, const std::string& longRunning)
{
    return interferenceFactorOf(estimates, filling, longRunning) < harmlessFactor;
}

// The busy part that the task has of its own.
static double ownPart(const Interference& estimates, const LoadReading& reading, const TailReading& longRunning)
{
    double part = busyPart(estimates, longRunning);
    for (const auto& [image, share] : reading.filling_)
        part -= interferenceFactorOf(estimates, image, longRunning.image_) * share;
    return std::max(part, 0.0);
}

std::vector<Tolerance> tolerancesOf(const Interference& estimates, const LoadReading& before, const LoadReading& after)
{
    std::map<std::string, double> least;
    for (const auto& [run, reading] : after.longRunning_) {
        if (reading.tailMs_ == 0)
            continue;
        double limit = 1 - unloadedTail(estimates, reading) / (aimedShareOfTarget * reading.targetMs_);
        double own = ownPart(estimates, after, reading);
        auto earlier = before.longRunning_.find(run);
        double rise = earlier == before.longRunning_.end() ? 0 : own - ownPart(estimates, before, earlier->second);
        double left = limit - own - std::clamp(rise, 0.0, greatestRise);
        auto [found, isNew] = least.try_emplace(reading.image_, left);
        found->second = std::min(found->second, left);
    }
    std::vector<Tolerance> tolerances;
    tolerances.reserve(least.size());
    for (const auto& [image, left] : least)
        tolerances.push_back({ image, left });
    return tolerances;
}

std::map<std::string, double> maximumPaces(const Interference& estimates, const std::vector<Tolerance>& tolerances, const std::map<std::string, double>& shares)
{
    std::map<std::string, double> paces;
    for (const auto& [image, share] : shares)
        paces[image] = 1;
    for (const Tolerance& tolerance : tolerances) {
        double left = tolerance.busyPart_;
        double harmful = 0;
        for (const auto& [image, share] : shares) {
            double harm = interferenceFactorOf(estimates, image, tolerance.image_) * share;
            (isHarmless(estimates, image, tolerance.image_) ? left : harmful) += isHarmless(estimates, image, tolerance.image_) ? -harm : harm;
        }
        if (harmful <= 0)
            continue;
        double pace = std::clamp(left / harmful, 0.0, 1.0);
        for (const auto& [image, share] : shares) {
            if (!isHarmless(estimates, image, tolerance.image_))
                paces[image] = std::min(paces[image], pace);
        }
    }
    return paces;
}

} // namespace persimmondoor::workflow
