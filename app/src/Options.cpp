#include "Options.h"

#include "persimmondoor/core/Text.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <sstream>
#include <sys/resource.h>

namespace persimmondoor::app {

static constexpr uint64_t bytesPerMegabyte = 1'000'000;
// More descriptors than this are not used, also if the system allows them.
static constexpr size_t maximumDescriptors = 4096;

absl::StatusOr<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return absl::NotFoundError(concat("cannot read the file ", path));
    return text.str();
}

static cxxopts::Options daemonFlags(const std::string& subcommand)
{
    cxxopts::Options flags("persimmondoor " + subcommand);
    auto add = flags.add_options();
    add("settings", "site file, in JSON", cxxopts::value<std::string>());
    add("name", "name of this process in the site file", cxxopts::value<std::string>()->default_value(""));
    add("log-level", "debug, info, warning or error", cxxopts::value<std::string>()->default_value("warning"));
    add("shutdown-limit-ms", "longest wait for requests in flight at a shutdown, in milliseconds", cxxopts::value<int64_t>()->default_value("10000"));
    add("memory-mb", "memory that this process may use, in megabytes", cxxopts::value<uint64_t>()->default_value("256"));
    add("descriptors", "file descriptors that this process may use; 0: as many as the system allows", cxxopts::value<size_t>()->default_value("0"));
    return flags;
}

// The number of file descriptors that the system allows to this process, at most `maximumDescriptors`.
static size_t allowedDescriptors()
{
    rlimit allowed {};
    if (getrlimit(RLIMIT_NOFILE, &allowed) != 0)
        return maximumDescriptors;
    return std::min<rlim_t>(allowed.rlim_cur, maximumDescriptors);
}

static absl::StatusOr<DaemonOptions> toOptions(const cxxopts::ParseResult& result)
{
    if (result.count("settings") == 0)
        return absl::InvalidArgumentError("--settings is missing");
    DaemonOptions options;
    options.settingsPath_ = result["settings"].as<std::string>();
    options.name_ = result["name"].as<std::string>();
    options.shutdownLimit_ = std::chrono::milliseconds(result["shutdown-limit-ms"].as<int64_t>());
    auto descriptors = result["descriptors"].as<size_t>();
    options.limits_ = ServerLimits::create(result["memory-mb"].as<uint64_t>() * bytesPerMegabyte, descriptors > 0 ? descriptors : allowedDescriptors());
    if (absl::Status status = parseLogLevel(result["log-level"].as<std::string>(), options.logLevel_); !status.ok())
        return status;
    auto text = readFile(options.settingsPath_);
    if (!text.ok())
        return text.status();
    auto site = settings::parseSite(*text);
    if (!site.ok())
        return site.status();
    options.site_ = *std::move(site);
    return options;
}

// Parses `arguments` and converts the result with `convert`.
template <typename Options>
static absl::StatusOr<Options> parseFlags(cxxopts::Options flags, const std::vector<std::string>& arguments, absl::StatusOr<Options> (*convert)(const cxxopts::ParseResult&))
{
    std::vector<const char*> pointers { "persimmondoor" };
    for (const std::string& argument : arguments)
        pointers.push_back(argument.c_str());
    try {
        cxxopts::ParseResult result = flags.parse(static_cast<int>(pointers.size()), pointers.data());
        if (!result.unmatched().empty())
            return absl::InvalidArgumentError(concat("unknown argument ", result.unmatched().front()));
        return convert(result);
    } catch (const cxxopts::exceptions::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

absl::StatusOr<DaemonOptions> readDaemonOptions(const std::string& subcommand, std::vector<std::string> arguments)
{
    return parseFlags(daemonFlags(subcommand), arguments, toOptions);
}

bool namesDeployment(const std::vector<std::string>& arguments)
{
    return std::find(arguments.begin(), arguments.end(), "--deployment") != arguments.end();
}

static cxxopts::Options deployedFlags(const std::string& subcommand)
{
    cxxopts::Options flags("persimmondoor " + subcommand);
    auto add = flags.add_options();
    add("deployment", "deployment file, in JSON", cxxopts::value<std::string>());
    add("log-level", "debug, info, warning or error", cxxopts::value<std::string>()->default_value("info"));
    return flags;
}

static absl::StatusOr<DeployedOptions> toDeployedOptions(const cxxopts::ParseResult& result)
{
    DeployedOptions options;
    options.path_ = result["deployment"].as<std::string>();
    if (absl::Status status = parseLogLevel(result["log-level"].as<std::string>(), options.logLevel_); !status.ok())
        return status;
    return options;
}

absl::StatusOr<DeployedOptions> readDeployedOptions(const std::string& subcommand, std::vector<std::string> arguments)
{
    return parseFlags(deployedFlags(subcommand), arguments, toDeployedOptions);
}

} // namespace persimmondoor::app
