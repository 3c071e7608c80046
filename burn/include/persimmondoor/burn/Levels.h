/// Counts of requests against the objectives of services, over the last three days. This file holds the decisions;
/// `BurnActor` saves the counts. The state is bounded: for each service, an hour of minutes and three days of half hours.
///
/// \code
/// Levels levels = decide(Levels(), TeamDefined { team, objectives }, minute);
/// levels = decide(std::move(levels), Observed { service, latency, true }, minute);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Tier.h"
#include "persimmondoor/core/Time.h"

#include <map>
#include <variant>
#include <vector>

namespace persimmondoor::burn {

/// Minutes since 1970, by the wall clock of an entry.
using Minute = Counter<struct MinuteTag>;

inline constexpr uint64_t minutesKept = 60;
inline constexpr uint64_t minutesPerHalfHour = 30;
/// Three days and the current half hour.
inline constexpr uint64_t halfHoursKept = 145;

/// Number of requests in a span of time, and number of those that met the objective.
struct Count {
    uint64_t total_ { 0 };
    uint64_t good_ { 0 };
    Count operator+(const Count& other) const { return { total_ + other.total_, good_ + other.good_ }; }
    auto operator<=>(const Count&) const = default;
};

/// The counts of one service, by minute and by half hour.
class Counts {
public:
    /// Adds `count` to the minute and to its half hour. Keeps at most `minutesKept` minutes and `halfHoursKept` half hours
    /// that have counts; the oldest is dropped first.
    void add(Minute minute, Count count);
    /// \return the sum of the last `span` minutes up to `now`. Spans above an hour are counted in half hours and include
    /// the current one.
    Count sumLast(Minute now, uint64_t span) const;
    const std::map<Minute, Count>& minutes() const { return minutes_; }
    /// Counts by number of the half hour since 1970.
    const std::map<uint64_t, Count>& halfHours() const { return halfHours_; }
    bool operator==(const Counts&) const = default;

private:
    std::map<Minute, Count> minutes_;
    std::map<uint64_t, Count> halfHours_;
};

/// The objective of one service.
struct ServiceObjective {
    ServiceName service_;
    Tier tier_ { Tier::Trial };
    /// Share of requests that have to be answered within `latency_`; below 1.
    double share_ { 0 };
    Duration latency_ { 0 };
    Duration window_ { 0 };
    bool operator==(const ServiceObjective&) const = default;
};

/// The objectives of a team; they replace its earlier ones.
struct TeamDefined {
    TeamName team_;
    std::vector<ServiceObjective> objectives_;
    bool operator==(const TeamDefined&) const = default;
};

/// A request has ended.
struct Observed {
    ServiceName service_;
    Duration latency_ { 0 };
    /// The service instance answered, and not with a server error.
    bool succeeded_ { false };
    auto operator<=>(const Observed&) const = default;
};

/// Counts of one minute that this entry or another one saved earlier.
struct Restored {
    ServiceName service_;
    Minute minute_;
    Count count_;
    auto operator<=>(const Restored&) const = default;
};

using LevelsMessage = std::variant<TeamDefined, Observed, Restored>;

/// One service with its team and objective.
struct ServiceLevel {
    TeamName team_;
    ServiceObjective objective_;
    bool operator==(const ServiceLevel&) const = default;
};

class Levels {
public:
    const std::map<ServiceName, ServiceLevel>& services() const { return services_; }
    const std::map<ServiceName, Counts>& counts() const { return counts_; }
    bool operator==(const Levels&) const = default;

private:
    friend struct LevelsRules;
    std::map<ServiceName, ServiceLevel> services_;
    std::map<ServiceName, Counts> counts_;
    Minute latestMinute_;
};

/// Applies `message` to `state` at `now`. If the clock was set back, requests are counted in the latest minute so far.
/// Requests of services without an objective are not counted.
Levels decide(Levels state, const LevelsMessage& message, Minute now);

} // namespace persimmondoor::burn
