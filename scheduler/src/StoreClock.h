// Relates the clock of the store, which all entries read, to the clock of this process.
#pragma once

#include "persimmondoor/core/Time.h"

#include <cstdint>
#include <optional>

namespace persimmondoor::scheduler {

// One reading of the store's steady clock. The store read it between `sentAt_` and `receivedAt_`.
struct StoreClock {
    // In milliseconds; 0 if the store has stated none.
    int64_t readingMs_ { 0 };
    Instant sentAt_;
    Instant receivedAt_;
    auto operator<=>(const StoreClock&) const = default;
};

// The latest time that the store's clock may show at `time`, in milliseconds; nothing without a reading.
std::optional<int64_t> latestReadingAt(const StoreClock&, Instant time);

// A time by which the store's clock shows at least `readingMs`; nothing without a reading.
std::optional<Instant> timeOfReading(const StoreClock&, int64_t readingMs);

} // namespace persimmondoor::scheduler
