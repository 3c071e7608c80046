/// What a process on the users' platform learns at its start and at each reload: its place, its addresses, the store,
/// and the bounds that the deployment states. The platform renders the file from deploy/settings.json.template.
///
/// \code
/// absl::StatusOr<Deployment> deployment = parseDeployment(text);
/// \endcode
#pragma once

#include "persimmondoor/core/Address.h"
#include "persimmondoor/core/Ids.h"
#include "persimmondoor/core/Time.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string_view>
#include <vector>

namespace persimmondoor::settings {

/// Bounds that the deployment states; decisions derive their own times from them.
struct DeploymentBounds {
    /// From the request to stop until the process is killed.
    Duration shutdown_ { std::chrono::seconds(6) };
    /// Clients may ask for a finished job for this long.
    Duration statusRetention_ { std::chrono::seconds(120) };
    /// Longest lease that a worker grants.
    Duration longestLease_ { std::chrono::seconds(10) };
    /// A tail above its target for this long counts as harm.
    Duration harm_ { std::chrono::seconds(4) };
    auto operator<=>(const DeploymentBounds&) const = default;
};

struct Deployment {
    ProcessName name_;
    FailureDomainName domain_;
    std::vector<FailureDomainName> domains_;
    /// Address of the host, without a port.
    std::string host_;
    /// First port of those free for the system's own messages; the same on all hosts.
    uint16_t internalPort_ { 0 };
    /// Clients' requests; nothing on hosts that serve none.
    std::optional<Address> clients_;
    std::optional<Address> readiness_;
    /// Heartbeats of the workers on this host.
    std::optional<Address> workers_;
    /// Hosts of a few entries; they may be stale or down.
    std::vector<Address> seeds_;
    Address store_;
    /// Processors that the process may use, as a share of one.
    double processors_ { 1 };
    DeploymentBounds bounds_;
    bool operator==(const Deployment&) const = default;
};

/// Reads a deployment file.
/// \return the deployment, or InvalidArgument with one line for each fault: its path, then what is wrong.
absl::StatusOr<Deployment> parseDeployment(std::string_view text);

} // namespace persimmondoor::settings
