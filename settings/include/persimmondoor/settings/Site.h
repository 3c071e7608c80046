/// The site file, which each process reads at its start: the addresses of the entries, workers and platform, and the
/// first contents of the settings tree. Whatever may change while the system runs is in the settings tree.
///
/// \code
/// absl::StatusOr<Site> site = parseSite(text); // the error lists all faults, each with its path
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
    /// Where the entry listens for callers' requests.
    Address http_;
    /// Where the entry serves the operators' API, metrics and health.
    Address operators_;
    /// Where the entry listens for RPC from other processes.
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

/// A subtree of the settings tree as the site file has it.
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
    /// The same as JSON, and the operators subtree if the file has one.
    std::vector<SubtreeText> subtrees_;
    bool operator==(const Site&) const = default;
};

/// \return the RPC addresses of the other entries. An entry whose port is 0 cannot be reached yet and is left out; it
/// reads the settings from the store.
std::vector<Address> peersOf(const Site&, const EntrySite& self);

/// Reads a site file.
/// \return the site, or InvalidArgument with one line "<path>: <fault>" for each fault.
absl::StatusOr<Site> parseSite(std::string_view text);

} // namespace persimmondoor::settings
