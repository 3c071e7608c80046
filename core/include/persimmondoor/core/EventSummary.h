/// Decides when to log a summary of events that may be frequent: at once for the first one, then at most once in
/// `summaryInterval`.
///
/// \code
/// if (std::optional<uint64_t> events = summary.add(now(clock)))
///     logWarning("connections.over_limit", { { "events", std::to_string(*events) } });
/// \endcode
#pragma once

#include "persimmondoor/core/Time.h"

#include <cstdint>
#include <optional>

namespace persimmondoor {

/// Shortest time between two summaries.
inline constexpr Duration summaryInterval = std::chrono::seconds(10);

class EventSummary {
public:
    /// Counts an event.
    /// \return the number of events since the last summary if one is due, else nothing.
    std::optional<uint64_t> add(Instant time)
    {
        ++events_;
        if (last_ && time - *last_ < summaryInterval)
            return std::nullopt;
        uint64_t events = events_;
        events_ = 0;
        last_ = time;
        return events;
    }

    bool operator==(const EventSummary&) const = default;

private:
    uint64_t events_ { 0 };
    std::optional<Instant> last_;
};

} // namespace persimmondoor
