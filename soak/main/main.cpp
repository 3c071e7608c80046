// Runs seeds of the soak one after the other, prints a line for each and a table at the end. The exit code is 1 if a promise was
// broken, and 2 if a run could not begin.
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/soak/Soak.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <numeric>
#include <unistd.h>

using namespace persimmondoor;
using namespace persimmondoor::soak;

static constexpr int brokenPromise = 1;
static constexpr int wrongUse = 2;

static cxxopts::Options flags()
{
    cxxopts::Options options("soak", "runs the programs as separate processes under faults and checks the promises");
    auto add = options.add_options();
    add("program", "path of the program", cxxopts::value<std::string>());
    add("first", "first seed", cxxopts::value<uint64_t>()->default_value("1"));
    add("count", "number of seeds", cxxopts::value<uint64_t>()->default_value("1"));
    add("seeds", "seeds, separated by commas, in place of first and count", cxxopts::value<std::vector<uint64_t>>());
    add("trouble-s", "seconds within which faults begin", cxxopts::value<uint32_t>()->default_value("12"));
    add("entries", "number of entries", cxxopts::value<uint32_t>()->default_value("3"));
    add("agents", "number of agents, each with a worker", cxxopts::value<uint32_t>()->default_value("6"));
    add("network", "first two numbers of the loopback addresses", cxxopts::value<std::string>()->default_value("127.40"));
    add("logs", "folder that keeps the logs of seeds that broke a promise", cxxopts::value<std::string>()->default_value(""));
    add("verbose", "print each fault");
    add("help", "print the usage");
    return options;
}

static void printViolations(const SoakResult& result)
{
    for (const auto& [at, violation] : result.violations_)
        std::cout << "promise '" << violation.promise_ << "' broken: seed " << result.seed_ << " at " << at.count() / 1000 << " ms: " << violation.text_ << "\n";
}

static void printRow(const SoakResult& result)
{
    std::cout << result.seed_ << "\t" << result.faults_ << "\t" << result.submitted_ << "\t" << result.accepted_ << "\t" << result.refused_ << "\t" << result.cancelled_ << "\t" << result.completed_ << "\t" << result.starts_ << "\t"
              << result.entryBytes_ / 1'000'000 << "\t" << result.agentBytes_ / 1'000'000 << "\t" << result.duration_.count() / 1'000'000 << "\t" << result.violations_.size() << "\n";
}

static std::vector<uint64_t> seedsOf(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("seeds") > 0)
        return arguments["seeds"].as<std::vector<uint64_t>>();
    std::vector<uint64_t> seeds(arguments["count"].as<uint64_t>());
    std::iota(seeds.begin(), seeds.end(), arguments["first"].as<uint64_t>());
    return seeds;
}

static int runSeeds(const cxxopts::ParseResult& arguments)
{
    SoakOptions options;
    options.program_ = arguments["program"].as<std::string>();
    options.network_ = arguments["network"].as<std::string>();
    options.fleet_ = { arguments["entries"].as<uint32_t>(), arguments["agents"].as<uint32_t>() };
    options.trouble_ = std::chrono::seconds(arguments["trouble-s"].as<uint32_t>());
    options.isVerbose_ = arguments.count("verbose") > 0;
    std::vector<SoakResult> results;
    int code = 0;
    for (uint64_t seed : seedsOf(arguments)) {
        std::filesystem::path folder = std::filesystem::temp_directory_path() / concat("persimmondoor-soak-", getpid(), "-", seed);
        std::filesystem::create_directories(folder);
        options.folder_ = folder.string();
        auto result = runSeed(options, seed);
        if (!result.ok()) {
            std::cerr << "soak: seed " << seed << ": " << result.status().message() << "\n";
            std::filesystem::remove_all(folder);
            return wrongUse;
        }
        printViolations(*result);
        std::cout << "seed " << seed << ": " << (result->violations_.empty() ? "kept" : "broken") << std::endl;
        std::string logs = arguments["logs"].as<std::string>();
        if (!result->violations_.empty()) {
            code = brokenPromise;
            if (!logs.empty())
                std::filesystem::copy(folder, std::filesystem::path(logs) / concat("seed-", seed), std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
        }
        std::filesystem::remove_all(folder);
        results.push_back(*std::move(result));
    }
    std::cout << "seed\tfaults\tjobs\taccept\trefuse\tcancel\tdone\tstarts\tentryMB\tagentMB\tseconds\tbroken\n";
    for (const SoakResult& result : results)
        printRow(result);
    return code;
}

int main(int argc, char** argv)
{
    cxxopts::Options options = flags();
    try {
        cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("program") == 0) {
            std::cerr << options.help();
            return arguments.count("help") > 0 ? 0 : wrongUse;
        }
        return runSeeds(arguments);
    } catch (const std::exception& error) {
        std::cerr << "soak: " << error.what() << "\n";
        return wrongUse;
    }
}
