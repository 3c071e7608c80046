#include "persimmondoor/core/Time.h"

#include <ctime>

namespace persimmondoor {

Instant SteadyClock::read() const
{
    // Unlike CLOCK_MONOTONIC, this clock runs on while the host is suspended, as leases do.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant::fromMicroseconds(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)).count());
}

ManualClock ManualClock::create(Instant start)
{
    return ManualClock(std::make_shared<Instant>(start));
}

Instant now(const Clock& clock)
{
    return std::visit([](const auto& alternative) { return alternative.read(); }, clock);
}

int64_t wallMilliseconds()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace persimmondoor
