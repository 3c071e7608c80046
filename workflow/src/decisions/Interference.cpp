#include "persimmondoor/workflow/Interference.h"

#include <algorithm>

namespace persimmondoor::workflow {

// A tail below this share of its target, in percent, clears the images that ran beside it at nearly full pace.
static constexpr uint64_t clearBelow = 80;
static constexpr uint64_t blameAbove = 100;
static constexpr uint32_t nearlyFullPace = 80;
// A task below this pace hardly disturbs.
static constexpr uint32_t disturbingPace = 15;
// Each reading weighs less with every later one on the same pair, as harm changes within seconds.
static constexpr double fading = 0.9;
// Evidence for a verdict: two readings, as they are rough.
static constexpr double sufficientEvidence = 1.8;
// Pairs with more evidence against them than this share of all are kept apart.
static constexpr double harmfulShare = 0.3;

static double harmfulPart(const PairEvidence& evidence)
{
    double all = evidence.harmless_ + evidence.harmful_;
    return all > 0 ? evidence.harmful_ / all : 0;
}

static Harm verdict(const PairEvidence& evidence)
{
    if (evidence.harmful_ > 0 && harmfulPart(evidence) >= harmfulShare)
        return Harm::Harmful;
    return evidence.harmless_ >= sufficientEvidence ? Harm::Harmless : Harm::Unknown;
}

static void addEvidence(PairEvidence& evidence, double harmless, double harmful)
{
    evidence.harmless_ = evidence.harmless_ * fading + harmless;
    evidence.harmful_ = evidence.harmful_ * fading + harmful;
}

// Images of filling tasks at that pace or above.
static std::set<std::string> imagesFrom(const std::vector<FillingTask>& tasks, uint32_t pace)
{
    std::set<std::string> images;
    for (const FillingTask& task : tasks) {
        if (task.pace_ >= pace)
            images.insert(task.image_);
    }
    return images;
}

// The images that may have raised the tail: those not cleared before, or all if all were.
static std::set<std::string> suspects(const Interference& learnt, const std::set<std::string>& images, const std::string& longRunning)
{
    std::set<std::string> open;
    for (const std::string& image : images) {
        if (harmOf(learnt, image, longRunning) != Harm::Harmless)
            open.insert(image);
    }
    return open.empty() ? images : open;
}

Interference observe(Interference learnt, const std::vector<FillingTask>& tasks, const std::vector<TailReading>& readings)
{
    std::map<std::string, uint64_t> worst;
    for (const TailReading& reading : readings)
        worst[reading.image_] = std::max(worst[reading.image_], reading.tailPercent_);
    for (const auto& [longRunning, tailPercent] : worst) {
        if (tailPercent > blameAbove) {
            std::set<std::string> blamed = suspects(learnt, imagesFrom(tasks, disturbingPace), longRunning);
            for (const std::string& image : blamed)
                addEvidence(learnt.pairs_[{ image, longRunning }], 0, 1.0 / static_cast<double>(blamed.size()));
        } else if (tailPercent < clearBelow) {
            for (const std::string& image : imagesFrom(tasks, nearlyFullPace))
                addEvidence(learnt.pairs_[{ image, longRunning }], 1, 0);
        }
    }
    return learnt;
}

Harm harmOf(const Interference& learnt, const std::string& filling, const std::string& longRunning)
{
    auto known = learnt.pairs_.find({ filling, longRunning });
    return known == learnt.pairs_.end() ? Harm::Unknown : verdict(known->second);
}

Harm worstHarm(const Interference& learnt, const std::string& filling, const std::set<std::string>& longRunning)
{
    Harm worst = Harm::Harmless;
    for (const std::string& image : longRunning)
        worst = std::max(worst, harmOf(learnt, filling, image));
    return worst;
}

} // namespace persimmondoor::workflow
