#include "persimmondoor/workflow/Interference.h"

#include <algorithm>
#include <set>

namespace persimmondoor::workflow {

// A tail below this share of its target, in percent, clears the images that ran at nearly full pace.
static constexpr uint64_t clearBelow = 80;
static constexpr uint64_t blameAbove = 100;
static constexpr uint32_t nearlyFullPace = 80;
// A task below this pace hardly disturbs.
static constexpr uint32_t disturbingPace = 15;
// Each reading weighs less with every later one on the same image, as harm changes within seconds.
static constexpr double fading = 0.9;
// Evidence for a verdict: two readings, as they are rough.
static constexpr double sufficientEvidence = 1.8;
// Images with more evidence against them than this share of all are kept apart.
static constexpr double harmfulShare = 0.3;

static double harmfulPart(const ImageEvidence& evidence)
{
    double all = evidence.harmless_ + evidence.harmful_;
    return all > 0 ? evidence.harmful_ / all : 0;
}

static bool isCleared(const ImageEvidence& evidence)
{
    return evidence.harmless_ >= sufficientEvidence && harmfulPart(evidence) < harmfulShare;
}

static void addEvidence(ImageEvidence& evidence, double harmless, double harmful)
{
    evidence.harmless_ = evidence.harmless_ * fading + harmless;
    evidence.harmful_ = evidence.harmful_ * fading + harmful;
}

// The images that may have caused a high tail: those not cleared before, or all if all were.
static std::set<std::string> suspects(const Interference& learnt, const std::vector<FillingTask>& tasks)
{
    std::set<std::string> open;
    std::set<std::string> all;
    for (const FillingTask& task : tasks) {
        if (task.pace_ < disturbingPace)
            continue;
        all.insert(task.image_);
        auto known = learnt.images_.find(task.image_);
        if (known == learnt.images_.end() || !isCleared(known->second))
            open.insert(task.image_);
    }
    return open.empty() ? all : open;
}

Interference observe(Interference learnt, const std::vector<FillingTask>& tasks, uint64_t tailPercent)
{
    if (tailPercent > blameAbove) {
        std::set<std::string> images = suspects(learnt, tasks);
        for (const std::string& image : images)
            addEvidence(learnt.images_[image], 0, 1.0 / static_cast<double>(images.size()));
        return learnt;
    }
    if (tailPercent >= clearBelow)
        return learnt;
    std::set<std::string> cleared;
    for (const FillingTask& task : tasks) {
        if (task.pace_ >= nearlyFullPace && cleared.insert(task.image_).second)
            addEvidence(learnt.images_[task.image_], 1, 0);
    }
    return learnt;
}

Harm harmOf(const Interference& learnt, const std::string& image)
{
    auto known = learnt.images_.find(image);
    if (known == learnt.images_.end())
        return Harm::Unknown;
    if (isCleared(known->second))
        return Harm::Harmless;
    return harmfulPart(known->second) >= harmfulShare ? Harm::Harmful : Harm::Unknown;
}

} // namespace persimmondoor::workflow
