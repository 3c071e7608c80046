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
#include <string_view>
#include <vector>

namespace persimmondoor::settings {

struct ServiceSettings {
    ServiceName name_;
    Tier tier_ { Tier::Trial };
    /// Time a request may take when its caller sets none.
    Duration deadline_ { std::chrono::seconds(1) };
    auto operator<=>(const ServiceSettings&) const = default;
};

struct TeamSettings {
    TeamName team_;
    std::vector<ServiceSettings> services_;
    /// Most that the team's batch tasks may use at once.
    Resources quota_;
    bool operator==(const TeamSettings&) const = default;
};

/// Reads a team's subtree.
/// \return the settings, or InvalidArgument with one line for each fault.
absl::StatusOr<TeamSettings> parseTeam(const TeamName& team, std::string_view text);

} // namespace persimmondoor::settings
