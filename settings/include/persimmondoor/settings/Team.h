/// One team's subtree of the settings.
///
/// \code
/// absl::StatusOr<TeamSettings> team = parseTeam(TeamName::of("lankacell"), text);
/// \endcode
#pragma once

#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Resources.h"
#include "persimmondoor/core/Tier.h"
#include "persimmondoor/core/Time.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string_view>
#include <vector>

namespace persimmondoor::settings {

/// What a service promises: a share of its requests is answered within a latency, over a window.
struct Objective {
    /// Share of requests, below 1.
    double share_ { 0 };
    Duration latency_ { 0 };
    Duration window_ { 0 };
    bool operator==(const Objective&) const = default;
};

/// How much a team minds each cost of sharing its machines, relative to the others.
struct TeamWeights {
    double tailLatency_ { 1 };
    double throughput_ { 1 };
    double evictions_ { 1 };
    bool operator==(const TeamWeights&) const = default;
};

struct ServiceSettings {
    ServiceName name_;
    Tier tier_ { Tier::Trial };
    /// Time a request may take when its caller sets none.
    Duration deadline_ { std::chrono::seconds(1) };
    std::optional<Objective> objective_;
    bool operator==(const ServiceSettings&) const = default;
};

struct TeamSettings {
    TeamName team_;
    std::vector<ServiceSettings> services_;
    /// Most that the team's batch tasks may use at once.
    Resources quota_;
    TeamWeights weights_;
    /// Time for which ended jobs can be shown.
    Duration jobRetention_ { std::chrono::hours(168) };
    /// Time for which the owner of the team's jobs may renew task leases while the table service is down.
    Duration renewalHorizon_ { std::chrono::minutes(10) };
    bool operator==(const TeamSettings&) const = default;
};

/// Reads a team's subtree.
/// \return the settings, or InvalidArgument with one line for each fault.
absl::StatusOr<TeamSettings> parseTeam(const TeamName& team, std::string_view text);

} // namespace persimmondoor::settings
