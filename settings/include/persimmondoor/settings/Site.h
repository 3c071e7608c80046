/// The site file: what each process learns at its start of its own place, the entries and the platform. What may
/// change while the system runs is in the settings tree, not here.
///
/// \code
/// absl::StatusOr<Site> site = parseSite(text); // names every fault at once, each with its path
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Resources.h"
#include "persimmondoor/settings/Team.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::settings {

struct EntrySite {
    ProcessName name_;
    FailureDomainName domain_;
    /// Callers' requests.
    Address http_;
    /// Operators' API, metrics and health.
    Address operators_;
    /// The system's own messages.
    Address rpc_;
    auto operator<=>(const EntrySite&) const = default;
};

struct EndpointSite {
    EndpointName name_;
    ServiceName service_;
    TeamName team_;
    Address address_;
    uint32_t slots_ { 0 };
    uint32_t connections_ { 0 };
    auto operator<=>(const EndpointSite&) const = default;
};

struct WorkerSite {
    WorkerName name_;
    FailureDomainName domain_;
    RackName rack_;
    Resources resources_;
    Address rpc_;
    std::vector<EndpointSite> endpoints_;
    bool operator==(const WorkerSite&) const = default;
};

/// A subtree of the settings as it stands in the site file.
struct SubtreeText {
    TeamName name_;
    std::string text_;
    auto operator<=>(const SubtreeText&) const = default;
};

struct Site {
    std::string cell_;
    Address platform_;
    std::vector<EntrySite> entries_;
    std::vector<WorkerSite> workers_;
    /// First contents of the settings tree, for a new cell.
    std::vector<TeamSettings> teams_;
    /// The same as JSON, with the operators subtree if the file has one.
    std::vector<SubtreeText> subtrees_;
    bool operator==(const Site&) const = default;
};

/// Where the other entries listen for the system's own messages. One that has no port yet cannot be reached and is
/// left out; it finds what it needs in the store.
std::vector<Address> peersOf(const Site&, const EntrySite& self);

/// Reads a site file.
/// \return the site, or InvalidArgument with one line for each fault: its path, then what is wrong.
absl::StatusOr<Site> parseSite(std::string_view text);

} // namespace persimmondoor::settings
