#include "persimmondoor/core/Time.h"

namespace persimmondoor {

Instant SteadyClock::read() const
{
    auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Instant::fromMicroseconds(std::chrono::duration_cast<Duration>(sinceStart).count());
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
