#include "persimmondoor/workflow/Interference.h"

#include <algorithm>
#include <iterator>

namespace persimmondoor::workflow {

// Variance of that part of the change of utilisation between two readings that filling tasks do not cause: the load of a
// long-running task fluctuates, and readings are coarse.
static constexpr double measurementVariance = 0.006;
// Added to the variance of a factor with each reading that concerns it, as factors change within seconds.
static constexpr double processVariance = 0.0005;
// Prior of a pair without readings: between harmless and harmful.
static constexpr double priorFactor = 0.2;
static constexpr double priorVariance = 0.09;
// Above this utilisation a queue has built up, and its draining rate is unrelated to the factors.
static constexpr double congestedUtilisation = 0.85;
// Filling images below this factor are not slowed down. Readings showed factors near 0 for most pairs of images and of
// 0.5 to 1 for the others.
static constexpr double harmlessFactor = 0.35;
// The tail latency is kept below this share of its target, as readings are coarse and half a second old.
static constexpr double targetTailShare = 0.75;
// Share of the target that is used as the unloaded tail latency until a lower one has been observed.
static constexpr double priorUnloadedShare = 0.33;
// Bound on the rise of utilisation between two readings that is assumed to continue.
static constexpr double maximumRise = 0.15;

static const Sensitivity* sensitivityOf(const Interference& estimates, const std::string& longRunning)
{
    auto known = estimates.sensitivities_.find(longRunning);
    return known == estimates.sensitivities_.end() ? nullptr : &known->second;
}

static double unloadedTail(const Interference& estimates, const TailReading& reading)
{
    double prior = priorUnloadedShare * reading.targetMs_;
    const Sensitivity* known = sensitivityOf(estimates, reading.image_);
    return std::max(1.0, !known || known->unloadedMs_ == 0 ? prior : std::min<double>(prior, known->unloadedMs_));
}

static double utilisation(const Interference& estimates, const TailReading& reading)
{
    double unloaded = unloadedTail(estimates, reading);
    return 1 - unloaded / std::max<double>(reading.tailMs_, unloaded);
}

static void updateUnloadedTails(Interference& estimates, const LoadReading& reading)
{
    for (const auto& [run, longRunning] : reading.longRunning_) {
        if (longRunning.tailMs_ == 0)
            continue;
        uint32_t& unloaded = estimates.sensitivities_[longRunning.image_].unloadedMs_;
        unloaded = unloaded == 0 ? longRunning.tailMs_ : std::min(unloaded, longRunning.tailMs_);
    }
}

namespace {

    // Sum of the changes of utilisation of a worker's tasks of one image, and the number of these tasks.
    struct UtilisationChange {
        double sum_ { 0 };
        uint32_t tasks_ { 0 };
    };

} // namespace

static std::map<std::string, UtilisationChange> utilisationChanges(const Interference& estimates, const LoadReading& before, const LoadReading& after)
{
    std::map<std::string, UtilisationChange> changes;
    for (const auto& [run, reading] : after.longRunning_) {
        auto earlier = before.longRunning_.find(run);
        if (earlier == before.longRunning_.end() || earlier->second.tailMs_ == 0 || reading.tailMs_ == 0)
            continue;
        double utilisationBefore = utilisation(estimates, earlier->second);
        if (utilisationBefore > congestedUtilisation)
            continue;
        UtilisationChange& change = changes[reading.image_];
        change.sum_ += utilisation(estimates, reading) - utilisationBefore;
        ++change.tasks_;
    }
    return changes;
}

// Changes of the shares of the worker's processors that filling images used.
static std::map<std::string, double> fillingChanges(const LoadReading& before, const LoadReading& after)
{
    std::map<std::string, double> changes = after.filling_;
    for (const auto& [image, share] : before.filling_)
        changes[image] -= share;
    return changes;
}

double varianceOf(const Sensitivity& sensitivity, size_t position)
{
    size_t count = sensitivity.factors_.size();
    return sensitivity.covariances_.size() == count * count ? sensitivity.covariances_[position * count + position] : 0;
}

// Inserts a row and a column of zeros at `position` into a square matrix of `count` rows.
static std::vector<double> insertImage(const std::vector<double>& matrix, size_t count, size_t position)
{
    std::vector<double> extended((count + 1) * (count + 1));
    for (size_t row = 0; row < count; ++row) {
        for (size_t column = 0; column < count; ++column) {
            size_t newRow = row + (row >= position ? 1 : 0);
            size_t newColumn = column + (column >= position ? 1 : 0);
            extended[newRow * (count + 1) + newColumn] = matrix[row * count + column];
        }
    }
    return extended;
}

// Prediction step of the filter for one filling image: adds it with the prior, or increases its variance.
static void predict(Sensitivity& sensitivity, const std::string& image)
{
    size_t count = sensitivity.factors_.size();
    sensitivity.covariances_.resize(count * count);
    auto [factor, isNew] = sensitivity.factors_.try_emplace(image, priorFactor);
    auto position = static_cast<size_t>(std::distance(sensitivity.factors_.begin(), factor));
    if (isNew)
        sensitivity.covariances_ = insertImage(sensitivity.covariances_, count++, position);
    double& variance = sensitivity.covariances_[position * count + position];
    variance = isNew ? priorVariance : std::min(variance + processVariance, priorVariance);
}

// Correction step of the filter, with the measured change of utilisation. The matrix is small but updated with each reading
// of each worker, so the step works on positions rather than on names.
static void correct(Sensitivity& sensitivity, double utilisationChange, const std::map<std::string, double>& filling)
{
    for (const auto& [image, share] : filling)
        predict(sensitivity, image);
    size_t count = sensitivity.factors_.size();
    std::vector<double>& covariances = sensitivity.covariances_;
    std::vector<double> crossCovariances(count);
    double expected = 0;
    double variance = measurementVariance;
    auto share = filling.begin();
    size_t position = 0;
    for (auto factor = sensitivity.factors_.begin(); share != filling.end(); ++factor, ++position) {
        if (factor->first != share->first)
            continue;
        for (size_t row = 0; row < count; ++row)
            crossCovariances[row] += covariances[row * count + position] * share->second;
        expected += factor->second * share->second;
        ++share;
    }
    share = filling.begin();
    position = 0;
    for (auto factor = sensitivity.factors_.begin(); share != filling.end(); ++factor, ++position) {
        if (factor->first == share->first)
            variance += crossCovariances[position] * (share++)->second;
    }
    position = 0;
    for (auto& [image, factor] : sensitivity.factors_)
        factor = std::max(0.0, factor + crossCovariances[position++] / variance * (utilisationChange - expected));
    for (size_t row = 0; row < count; ++row) {
        for (size_t column = 0; column < count; ++column)
            covariances[row * count + column] -= crossCovariances[row] * crossCovariances[column] / variance;
    }
}

Interference observe(Interference estimates, const LoadReading& before, const LoadReading& after)
{
    updateUnloadedTails(estimates, after);
    std::map<std::string, double> filling = fillingChanges(before, after);
    if (filling.empty())
        return estimates;
    for (const auto& [image, change] : utilisationChanges(estimates, before, after))
        correct(estimates.sensitivities_[image], change.sum_ / change.tasks_, filling);
    return estimates;
}

double interferenceFactorOf(const Interference& estimates, const std::string& filling, const std::string& longRunning)
{
    const Sensitivity* sensitivity = sensitivityOf(estimates, longRunning);
    if (!sensitivity)
        return priorFactor;
    auto known = sensitivity->factors_.find(filling);
    return known == sensitivity->factors_.end() ? priorFactor : known->second;
}

bool isHarmless(const Interference& estimates, const std::string& filling, const std::string& longRunning)
{
    return interferenceFactorOf(estimates, filling, longRunning) < harmlessFactor;
}

// The utilisation that the task would have without filling tasks.
static double ownUtilisation(const Interference& estimates, const LoadReading& reading, const TailReading& longRunning)
{
    double utilisationWithoutFilling = utilisation(estimates, longRunning);
    for (const auto& [image, share] : reading.filling_)
        utilisationWithoutFilling -= interferenceFactorOf(estimates, image, longRunning.image_) * share;
    return std::max(utilisationWithoutFilling, 0.0);
}

std::vector<Headroom> headroomsOf(const Interference& estimates, const LoadReading& before, const LoadReading& after)
{
    std::map<std::string, double> smallest;
    for (const auto& [run, reading] : after.longRunning_) {
        if (reading.tailMs_ == 0)
            continue;
        double limit = 1 - unloadedTail(estimates, reading) / (targetTailShare * reading.targetMs_);
        double own = ownUtilisation(estimates, after, reading);
        auto earlier = before.longRunning_.find(run);
        double rise = earlier == before.longRunning_.end() ? 0 : own - ownUtilisation(estimates, before, earlier->second);
        double remaining = limit - own - std::clamp(rise, 0.0, maximumRise);
        auto [found, isNew] = smallest.try_emplace(reading.image_, remaining);
        found->second = std::min(found->second, remaining);
    }
    std::vector<Headroom> headrooms;
    headrooms.reserve(smallest.size());
    for (const auto& [image, remaining] : smallest)
        headrooms.push_back({ image, remaining });
    return headrooms;
}

void addImageWithoutReading(std::vector<Headroom>& headrooms, const std::string& longRunning)
{
    bool hasReading = std::any_of(headrooms.begin(), headrooms.end(), [&](const Headroom& headroom) { return headroom.image_ == longRunning; });
    if (!hasReading)
        headrooms.push_back({ longRunning, 0 });
}

std::map<std::string, double> maximumPaces(const Interference& estimates, const std::vector<Headroom>& headrooms, const std::map<std::string, double>& shares)
{
    std::map<std::string, double> paces;
    for (const auto& [image, share] : shares)
        paces[image] = 1;
    for (const Headroom& headroom : headrooms) {
        double remaining = headroom.utilisation_;
        double harmful = 0;
        for (const auto& [image, share] : shares) {
            double added = interferenceFactorOf(estimates, image, headroom.image_) * share;
            (isHarmless(estimates, image, headroom.image_) ? remaining : harmful) += isHarmless(estimates, image, headroom.image_) ? -added : added;
        }
        if (harmful <= 0)
            continue;
        double pace = std::clamp(remaining / harmful, 0.0, 1.0);
        for (const auto& [image, share] : shares) {
            if (!isHarmless(estimates, image, headroom.image_))
                paces[image] = std::min(paces[image], pace);
        }
    }
    return paces;
}

} // namespace persimmondoor::workflow
