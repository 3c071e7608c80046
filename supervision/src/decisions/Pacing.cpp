#include "persimmondoor/supervision/Pacing.h"

#include <algorithm>

namespace persimmondoor::supervision {

static constexpr uint32_t fullPace = 100;
// Above this share of the target, in percent, the pace is halved: readings are rough and half a second old.
static constexpr uint64_t decreaseAbove = 90;
// Far above the target the tasks stand still at once.
static constexpr uint64_t stopAbove = 150;
// Below this share of the target the pace is raised.
static constexpr uint64_t increaseBelow = 70;
static constexpr uint32_t increaseStep = 20;
// Harmless tasks are back at full pace within a few readings.
static constexpr uint32_t harmlessIncreaseStep = 34;
// A pace below this is as good as none.
static constexpr uint32_t leastPace = 8;

static uint32_t decrease(uint32_t pace, uint64_t tailPercent)
{
    if (tailPercent > stopAbove || pace / 2 < leastPace)
        return 0;
    return pace / 2;
}

Paces nextPaces(Paces paces, uint64_t tailPercent, bool hasSuspects)
{
    if (tailPercent == 0)
        return {};
    if (tailPercent > decreaseAbove) {
        bool blamesSuspects = hasSuspects && paces.suspect_ > 0;
        if (blamesSuspects)
            return { decrease(paces.suspect_, tailPercent), paces.harmless_ };
        return { 0, decrease(paces.harmless_, tailPercent) };
    }
    if (tailPercent < increaseBelow)
        return { std::min(fullPace, paces.suspect_ + increaseStep), std::min(fullPace, paces.harmless_ + harmlessIncreaseStep) };
    return paces;
}

} // namespace persimmondoor::supervision
