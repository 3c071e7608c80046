/// Points in time and clocks. Decisions receive the time as an argument; only actors read a clock.
///
/// \code
/// Clock clock = ManualClock::create(Instant::fromMicroseconds(0));
/// Instant deadline = now(clock) + std::chrono::milliseconds(200);
/// \endcode
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <variant>

namespace persimmondoor {

using Duration = std::chrono::microseconds;

/// A point on one process's monotonic clock, in microseconds. Instants of different processes are not comparable.
class Instant {
public:
    constexpr Instant() = default;
    static constexpr Instant fromMicroseconds(int64_t microseconds) { return Instant(microseconds); }
    constexpr int64_t microseconds() const { return microseconds_; }
    constexpr Instant operator+(Duration duration) const { return Instant(microseconds_ + duration.count()); }
    constexpr Instant operator-(Duration duration) const { return Instant(microseconds_ - duration.count()); }
    constexpr Duration operator-(Instant other) const { return Duration(microseconds_ - other.microseconds_); }
    constexpr auto operator<=>(const Instant&) const = default;

private:
    constexpr explicit Instant(int64_t microseconds)
        : microseconds_(microseconds)
    {
    }

    int64_t microseconds_ { 0 };
};

/// The host's monotonic clock, including the time during which the host was suspended.
class SteadyClock {
public:
    Instant read() const;
    bool operator==(const SteadyClock&) const = default;
};

/// A clock that a test advances explicitly. Copies share one time.
class ManualClock {
public:
    static ManualClock create(Instant start);
    Instant read() const { return *time_; }
    void advance(Duration step) const { *time_ = *time_ + step; }
    bool operator==(const ManualClock&) const = default;

private:
    explicit ManualClock(std::shared_ptr<Instant> time)
        : time_(std::move(time))
    {
    }

    std::shared_ptr<Instant> time_;
};

using Clock = std::variant<SteadyClock, ManualClock>;

/// Reads `clock`.
Instant now(const Clock& clock);

/// Wall-clock time for logs and reports, in milliseconds since 1970 UTC.
int64_t wallMilliseconds();

} // namespace persimmondoor
