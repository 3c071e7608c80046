#include "../StoreClock.h"

namespace persimmondoor::scheduler {

std::optional<int64_t> latestReadingAt(const StoreClock& clock, Instant time)
{
    if (clock.readingMs_ == 0)
        return std::nullopt;
    // The reading is rounded down, and so is the difference.
    return clock.readingMs_ + std::chrono::duration_cast<std::chrono::milliseconds>(time - clock.sentAt_).count() + 2;
}

std::optional<Instant> timeOfReading(const StoreClock& clock, int64_t readingMs)
{
    if (clock.readingMs_ == 0)
        return std::nullopt;
    return clock.receivedAt_ + std::chrono::milliseconds(readingMs - clock.readingMs_);
}

} // namespace persimmondoor::scheduler
