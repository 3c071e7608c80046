/// The deployment file of a process on the users' platform: its host and failure domain, its addresses, the store, and
/// the time bounds of the deployment. The process reads the file at its start and checks it at each reload. The platform
/// renders it from deploy/settings.json.template.
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

/// Bounds set by the deployment, from which the time-outs, lease lengths and waits of the process are derived.
struct DeploymentBounds {
    /// Time from SIGTERM until the platform kills the process.
    Duration shutdown_ { std::chrono::seconds(6) };
    /// Time for which clients can query the status of a finished job.
    Duration statusRetention_ { std::chrono::seconds(120) };
    /// Longest lease that a worker grants.
    Duration longestLease_ { std::chrono::seconds(10) };
    /// Time for which a tail latency must stay above its target to count as harm.
    Duration harm_ { std::chrono::seconds(4) };
    /// How many times as long a task takes away from the rack of its data, or a gang on more than one rack; at least 1.
    double farFactor_ { 1 };
    /// A worker on which runs take this many times as long as elsewhere counts as slow; 0 if the speeds of workers are not compared.
    double slowFactor_ { 0 };
    auto operator<=>(const DeploymentBounds&) const = default;
};

/// What the process may use of its machine.
struct DeploymentLimits {
    uint64_t memoryBytes_ { 256'000'000 };
    /// File descriptors, sockets included.
    size_t descriptors_ { 4096 };
    auto operator<=>(const DeploymentLimits&) const = default;
};

struct Deployment {
    ProcessName name_;
    FailureDomainName domain_;
    std::vector<FailureDomainName> domains_;
    /// IP address of the host, without a port.
    std::string host_;
    /// First port of the range reserved for RPC between the system's processes; the same on all hosts.
    uint16_t internalPort_ { 0 };
    /// Where the process listens for clients' requests; empty on hosts that serve none.
    std::optional<Address> clients_;
    /// Where the process answers readiness probes.
    std::optional<Address> readiness_;
    /// Where the process receives the heartbeats of the workers on this host.
    std::optional<Address> workers_;
    /// Addresses of some entries, for the first contact; they may be out of date or unreachable.
    std::vector<Address> seeds_;
    Address store_;
    /// Number of processors that the process may use; may be a fraction.
    double processors_ { 1 };
    DeploymentBounds bounds_;
    DeploymentLimits limits_;
    bool operator==(const Deployment&) const = default;
};

/// Reads a deployment file.
/// \return the deployment, or InvalidArgument with one line "<path>: <fault>" for each fault.
absl::StatusOr<Deployment> parseDeployment(std::string_view text);

} // namespace persimmondoor::settings
