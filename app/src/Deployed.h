// The daemons as they run on the users' platform.
#pragma once

#include <string>
#include <vector>

namespace persimmondoor::app {

// Runs an entry: clients' jobs and, in turn with the other entries, the ownership of the queues.
int runDeployedEntry(const std::vector<std::string>& arguments);

// Runs the agent of the worker on this host.
int runDeployedAgent(const std::vector<std::string>& arguments);

} // namespace persimmondoor::app
