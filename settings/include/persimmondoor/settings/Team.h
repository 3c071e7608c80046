/// A team's subtree of the settings: its services, their objectives, and its quota.
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

/// The service-level objective of a service: over the window, at least this share of its requests is answered within
/// the latency.
struct Objective {
    /// Share of requests, below 1.
    double share_ { 0 };
    Duration latency_ { 0 };
    Duration window_ { 0 };
    bool operator==(const Objective&) const = default;
};

/// Relative weights of the costs of colocation for a team.
struct TeamWeights {
    double tailLatency_ { 1 };
    double throughput_ { 1 };
    double evictions_ { 1 };
    bool operator==(const TeamWeights&) const = default;
};

struct ServiceSettings {
    ServiceName name_;
    Tier tier_ { Tier::Trial };
    /// Deadline of a request whose caller sets none.
    Duration deadline_ { std::chrono::seconds(1) };
    std::optional<Objective> objective_;
    bool operator==(const ServiceSettings&) const = default;
};

struct TeamSettings {
    TeamName team_;
    std::vector<ServiceSettings> services_;
    /// Upper bound of the resources that the team's batch tasks use at once.
    Resources quota_;
    TeamWeights weights_;
    /// Time for which ended jobs remain visible.
    Duration jobRetention_ { std::chrono::hours(168) };
    /// Time for which the owner of the team's jobs may renew task leases while the table service is down.
    Duration renewalHorizon_ { std::chrono::minutes(10) };
    bool operator==(const TeamSettings&) const = default;
};

/// Reads a team's subtree.
/// \return the settings, or InvalidArgument with one line for each fault.
absl::StatusOr<TeamSettings> parseTeam(const TeamName& team, std::string_view text);

} // namespace persimmondoor::settings
