#include "persimmondoor/colocation/SlowdownModel.h"

#include <algorithm>
#include <cmath>

namespace persimmondoor::colocation {

static constexpr size_t baselineIndex = 0;
static constexpr size_t slopeIndex = 1;
static constexpr size_t saturationIndex = 2;
static constexpr size_t firstClassIndex = saturationIndex + SlowdownModel::saturationKnees.size();

static constexpr std::array<double, loadBands> bandCentres { 0.2, 0.475, 0.725, 1.0 };

// Prior of each feature, in units of the first measured tail latency.
static constexpr Estimate baselinePrior { 1.0, 0.3 };
static constexpr Estimate slopePrior { 0.5, 0.5 };
static constexpr Estimate saturationPrior { 1.0, 1.0 };
/// A band that starts from its neighbour's estimates adds this share of the prior's variance to their variance.
static constexpr double inheritedVarianceShare = 0.1;
/// Growth of the variance of a class or a saturation knee per second: a standard deviation of 0.1 after about 17 minutes.
static constexpr double classDriftPerSecond = 1e-5;
static constexpr double baselineDriftPerSecond = 1e-7;
/// Weight of a new squared residual in the noise estimate.
static constexpr double noiseSmoothing = 0.005;
static constexpr double minimumNoise = 1e-4;
/// Residuals are clamped to this many standard deviations.
static constexpr double residualLimit = 3;
static constexpr double minimumBaseline = 1e-6;
static constexpr double minimumVariance = 1e-9;
static constexpr double microsecondsPerSecond = 1e6;

size_t loadBandOf(double load)
{
    return static_cast<size_t>(std::upper_bound(loadBandBounds.begin(), loadBandBounds.end(), load) - loadBandBounds.begin());
}

static double square(double value)
{
    return value * value;
}

static Estimate priorOf(size_t index)
{
    if (index == baselineIndex)
        return baselinePrior;
    if (index == slopeIndex)
        return slopePrior;
    return index < firstClassIndex ? saturationPrior : SlowdownModel::priorHarm;
}

SlowdownModel::Band SlowdownModel::priorBand() const
{
    Band band;
    for (size_t index = 0; index < features; ++index) {
        band.means_[index] = priorOf(index).mean_;
        band.covariance_[index][index] = square(priorOf(index).deviation_);
    }
    return band;
}

const SlowdownModel::Band* SlowdownModel::nearestBand(double load) const
{
    size_t wanted = loadBandOf(load);
    const Band* best = nullptr;
    size_t bestDistance = loadBands;
    for (size_t index = 0; index < loadBands; ++index) {
        size_t distance = index > wanted ? index - wanted : wanted - index;
        if (bands_[index].observations_ > 0 && distance < bestDistance) {
            best = &bands_[index];
            bestDistance = distance;
        }
    }
    return best;
}

// A band that is entered for the first time starts from its nearest neighbour, with increased uncertainty.
SlowdownModel::Band SlowdownModel::initialBand(size_t band) const
{
    const Band* neighbour = nearestBand(bandCentres[band]);
    if (!neighbour)
        return priorBand();
    Band result = *neighbour;
    size_t from = static_cast<size_t>(neighbour - bands_.data());
    result.means_[baselineIndex] += result.means_[slopeIndex] * (bandCentres[band] - bandCentres[from]);
    for (size_t index = 0; index < features; ++index)
        result.covariance_[index][index] += inheritedVarianceShare * square(priorOf(index).deviation_);
    result.observations_ = 0;
    return result;
}

size_t SlowdownModel::assignSlot(const TaskClassName& taskClass, Instant at)
{
    auto found = slots_.find(taskClass);
    if (found != slots_.end()) {
        found->second.observedAt_ = at;
        return found->second.index_;
    }
    size_t index = firstClassIndex + slots_.size();
    if (slots_.size() == maximumClasses) {
        auto older = [](const auto& left, const auto& right) { return left.second.observedAt_ < right.second.observedAt_; };
        auto oldest = std::min_element(slots_.begin(), slots_.end(), older);
        index = oldest->second.index_;
        slots_.erase(oldest);
        resetSlot(index);
    }
    slots_.emplace(taskClass, Slot { index, at });
    return index;
}

void SlowdownModel::resetSlot(size_t index)
{
    for (Band& band : bands_) {
        for (size_t other = 0; other < features; ++other) {
            band.covariance_[index][other] = 0;
            band.covariance_[other][index] = 0;
        }
        band.means_[index] = priorOf(index).mean_;
        band.covariance_[index][index] = square(priorOf(index).deviation_);
    }
}

SlowdownModel::Vector SlowdownModel::inputOf(double load, double saturation, const std::vector<Exposure>& exposures) const
{
    Vector input {};
    input[baselineIndex] = 1;
    input[slopeIndex] = load - bandCentres[loadBandOf(load)];
    for (size_t knee = 0; knee < saturationKnees.size(); ++knee)
        input[saturationIndex + knee] = std::max(0.0, saturation - saturationKnees[knee]);
    for (const Exposure& exposure : exposures) {
        auto slot = slots_.find(exposure.class_);
        if (slot != slots_.end())
            input[slot->second.index_] += exposure.share_;
    }
    return input;
}

void SlowdownModel::drift(Band& band, Instant at)
{
    double seconds = std::max(0.0, static_cast<double>((at - band.updatedAt_).count()) / microsecondsPerSecond);
    if (band.observations_ == 0)
        seconds = 0;
    for (size_t index = 0; index < features; ++index) {
        double perSecond = index < saturationIndex ? baselineDriftPerSecond : classDriftPerSecond;
        double maximum = square(priorOf(index).deviation_);
        double& variance = band.covariance_[index][index];
        variance = std::max(variance, std::min(maximum, variance + seconds * perSecond));
    }
    band.updatedAt_ = std::max(band.updatedAt_, at);
}

void SlowdownModel::update(Band& band, const Vector& input, double relativeTail)
{
    Vector gain {};
    double expected = 0;
    double spread = 0;
    for (size_t row = 0; row < features; ++row) {
        for (size_t column = 0; column < features; ++column)
            gain[row] += band.covariance_[row][column] * input[column];
        expected += band.means_[row] * input[row];
        spread += gain[row] * input[row];
    }
    double noise = noise_ * square(std::max(expected, minimumBaseline));
    double variance = spread + noise;
    double limit = residualLimit * std::sqrt(variance);
    double residual = std::clamp(relativeTail - expected, -limit, limit);
    for (size_t row = 0; row < features; ++row) {
        band.means_[row] += gain[row] / variance * residual;
        for (size_t column = 0; column < features; ++column)
            band.covariance_[row][column] -= gain[row] * gain[column] / variance;
    }
    double relativeResidual = square(residual) / square(std::max(expected, minimumBaseline));
    noise_ = std::max(minimumNoise, noise_ + noiseSmoothing * (relativeResidual - noise_));
}

void SlowdownModel::observe(const Observation& observation)
{
    if (!(observation.tail_ > 0))
        return;
    if (scale_ <= 0)
        scale_ = observation.tail_;
    for (const Exposure& exposure : observation.exposures_)
        assignSlot(exposure.class_, observation.measuredAt_);
    size_t index = loadBandOf(observation.load_);
    if (bands_[index].observations_ == 0)
        bands_[index] = initialBand(index);
    Band& band = bands_[index];
    drift(band, observation.measuredAt_);
    update(band, inputOf(observation.load_, observation.saturation_, observation.exposures_), observation.tail_ / scale_);
    ++band.observations_;
    ++observations_;
}

double SlowdownModel::baselineOf(size_t band, double load) const
{
    const Vector& means = bands_[band].means_;
    return std::max(minimumBaseline, means[baselineIndex] + means[slopeIndex] * (load - bandCentres[band]));
}

double SlowdownModel::baseline(double load) const
{
    const Band* known = nearestBand(load);
    return known ? scale_ * baselineOf(static_cast<size_t>(known - bands_.data()), load) : 0;
}

// Mean of the estimates of the two bands whose centres enclose `load`, weighted by proximity and by certainty.
Estimate SlowdownModel::coefficient(size_t index, double load) const
{
    auto above = static_cast<size_t>(std::upper_bound(bandCentres.begin(), bandCentres.end(), load) - bandCentres.begin());
    size_t upper = std::min(above, loadBands - 1);
    size_t lower = above == 0 ? 0 : above - 1;
    double distance = bandCentres[upper] - bandCentres[lower];
    double nearUpper = distance > 0 ? (load - bandCentres[lower]) / distance : 0;
    double weights = 0;
    double mean = 0;
    double variance = 0;
    auto add = [&](size_t band, double nearness) {
        if (bands_[band].observations_ == 0 || nearness <= 0)
            return;
        double base = baselineOf(band, load);
        double relativeVariance = std::max(minimumVariance, bands_[band].covariance_[index][index]) / square(base);
        double weight = nearness / relativeVariance;
        weights += weight;
        mean += weight * std::max(0.0, bands_[band].means_[index] / base);
        variance += weight * relativeVariance;
    };
    add(upper, nearUpper);
    add(lower, 1 - nearUpper);
    if (weights > 0)
        return { mean / weights, std::sqrt(variance / weights) };
    const Band* known = nearestBand(load);
    if (!known)
        return priorOf(index);
    double base = baseline(load) / scale_;
    return { std::max(0.0, known->means_[index] / base), std::sqrt(std::max(0.0, known->covariance_[index][index])) / base };
}

Estimate SlowdownModel::harm(const TaskClassName& taskClass, double load) const
{
    auto slot = slots_.find(taskClass);
    return slot == slots_.end() ? priorHarm : coefficient(slot->second.index_, load);
}

SlowdownModel::KneeEstimates SlowdownModel::saturationHarms(double load) const
{
    KneeEstimates harms;
    for (size_t knee = 0; knee < saturationKnees.size(); ++knee)
        harms[knee] = coefficient(saturationIndex + knee, load);
    return harms;
}

double SlowdownModel::saturationSlowdown(const KneeEstimates& harms, double saturation, double uncertaintyFactor)
{
    double sum = 0;
    for (size_t knee = 0; knee < saturationKnees.size(); ++knee)
        sum += std::max(0.0, saturation - saturationKnees[knee]) * (harms[knee].mean_ + uncertaintyFactor * harms[knee].deviation_);
    return sum;
}

Estimate SlowdownModel::slowdown(double load, double saturation, const std::vector<Exposure>& exposures) const
{
    Estimate result { 1, 0 };
    KneeEstimates saturated = saturationHarms(load);
    result.mean_ += saturationSlowdown(saturated, saturation, 0);
    for (size_t knee = 0; knee < saturationKnees.size(); ++knee)
        result.deviation_ += square(std::max(0.0, saturation - saturationKnees[knee]) * saturated[knee].deviation_);
    for (const Exposure& exposure : exposures) {
        Estimate each = harm(exposure.class_, load);
        result.mean_ += exposure.share_ * each.mean_;
        result.deviation_ += square(exposure.share_ * each.deviation_);
    }
    result.deviation_ = std::sqrt(result.deviation_);
    return result;
}

} // namespace persimmondoor::colocation
