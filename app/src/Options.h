// The flags of the program's subcommands.
#pragma once

#include "persimmondoor/app/ServerLimits.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Time.h"
#include "persimmondoor/settings/Site.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace persimmondoor::app {

// Flags of a daemon that is configured by a site file.
struct DaemonOptions {
    std::string settingsPath_;
    settings::Site site_;
    std::string name_;
    LogLevel logLevel_ { LogLevel::Warning };
    Duration shutdownLimit_ { 0 };
    ServerLimits limits_;
};

// Flags of a daemon that is configured by a deployment file.
struct DeployedOptions {
    std::string path_;
    LogLevel logLevel_ { LogLevel::Info };
};

// Returns whether the arguments name a deployment file instead of a site file.
bool namesDeployment(const std::vector<std::string>& arguments);

// Reads the flags of a daemon on the users' platform.
// Returns the options, or InvalidArgument with the flag at fault.
absl::StatusOr<DeployedOptions> readDeployedOptions(const std::string& subcommand, std::vector<std::string> arguments);

// Reads a whole file. Returns NotFound if it cannot be read.
absl::StatusOr<std::string> readFile(const std::string& path);

// Reads the flags of a daemon and its site file.
// Returns the options, InvalidArgument with all faults, or NotFound if the file cannot be read.
absl::StatusOr<DaemonOptions> readDaemonOptions(const std::string& subcommand, std::vector<std::string> arguments);

} // namespace persimmondoor::app
