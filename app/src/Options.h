// The flags of the program's subcommands.
#pragma once

#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/settings/Site.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace persimmondoor::app {

// Flags of a daemon.
struct DaemonOptions {
    std::string settingsPath_;
    settings::Site site_;
    std::string name_;
    LogLevel logLevel_ { LogLevel::Warning };
    Duration shutdownLimit_ { 0 };
};

// Reads the flags of a daemon and its site file.
// Returns InvalidArgument with every fault, or NotFound if the file cannot be read.
absl::StatusOr<DaemonOptions> readDaemonOptions(const std::string& subcommand, std::vector<std::string> arguments);

} // namespace persimmondoor::app
