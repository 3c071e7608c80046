#include "persimmondoor/supervision/Pacing.h"

#include <algorithm>

namespace persimmondoor::supervision {

static constexpr uint32_t fullPace = 100;
// Above this share of the target, in percent, the pace is halved: readings are rough and half a second old.
static constexpr uint64_t decreaseAbove = 95;
// Far above the target the filling tasks stand still at once.
static constexpr uint64_t stopAbove = 150;
// Below this share of the target the pace is raised.
static constexpr uint64_t increaseBelow = 75;
static constexpr uint32_t increaseStep = 10;
// A pace below this is as good as none.
static constexpr uint32_t leastPace = 8;

uint32_t nextPace(uint32_t pace, const std::vector<TailReading>& readings)
{
    uint64_t worst = 0;
    bool hasTarget = false;
    for (const TailReading& reading : readings) {
        if (reading.targetMs_ == 0)
            continue;
        hasTarget = true;
        worst = std::max(worst, uint64_t(reading.tailMs_) * 100 / reading.targetMs_);
    }
    if (!hasTarget)
        return fullPace;
    if (worst > stopAbove)
        return 0;
    if (worst > decreaseAbove)
        return pace / 2 < leastPace ? 0 : pace / 2;
    if (worst < increaseBelow)
        return std::min(fullPace, pace + increaseStep);
    return pace;
}

} // namespace persimmondoor::supervision
