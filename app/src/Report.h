// The subcommand `report`, which tells from log lines who waited and where work went.
#pragma once

#include <string>
#include <vector>

namespace persimmondoor::app {

// Reads the files that the arguments name ("-" for the standard input) and prints their report.
// Returns the exit code.
int runReport(const std::vector<std::string>& arguments);

} // namespace persimmondoor::app
