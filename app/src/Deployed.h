// The daemons that run on the users' platform, configured by a deployment file.
#pragma once

#include <string>
#include <vector>

namespace persimmondoor::app {

// Runs an entry until SIGTERM or SIGINT: it serves clients' jobs, and one of the entries is the leader of the queues.
// Returns the exit code.
int runDeployedEntry(const std::vector<std::string>& arguments);

// Runs the agent of the workers on this host until SIGTERM or SIGINT. Returns the exit code.
int runDeployedAgent(const std::vector<std::string>& arguments);

} // namespace persimmondoor::app
