// Measures the slopes behind docs/CAPACITY.md, renders the page from them, and checks that the page matches them.
//
//   bench_capacity measure    measures the slopes and writes docs/capacity/slopes.json
//   bench_capacity render     writes the page from the recorded slopes
//   bench_capacity check      fails if the page differs from the one rendered from the recorded slopes
#include "Measure.h"
#include "Page.h"
#include "persimmondoor/core/Log.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace persimmondoor;
using namespace persimmondoor::capacity;

static std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

static int fail(std::string_view message)
{
    std::cerr << "bench_capacity: " << message << "\n";
    return 1;
}

static int measure(const std::string& slopesPath)
{
    Slopes slopes = measureAll();
    for (const Slope& slope : slopes)
        std::cout << slope.name_ << ": " << slope.intercept_ << " + " << slope.perUnit_ << " " << slope.costUnit_ << " per " << slope.sizeUnit_ << ", residual " << slope.residual_ << "\n";
    std::ofstream(slopesPath, std::ios::binary) << toJSON(slopes);
    return 0;
}

static int renderOrCheck(const std::string& slopesPath, const std::string& pagePath, bool check)
{
    auto slopes = fromJSON(readFile(slopesPath));
    if (!slopes.ok())
        return fail(std::string(slopes.status().message()));
    auto page = renderPage(*slopes);
    if (!page.ok())
        return fail(std::string(page.status().message()));
    if (!check) {
        std::ofstream(pagePath, std::ios::binary) << *page;
        return 0;
    }
    if (readFile(pagePath) == *page)
        return 0;
    return fail(pagePath + " differs from the page rendered from " + slopesPath + "; run bench_capacity render");
}

int main(int argc, char** argv)
{
    cxxopts::Options flags("bench_capacity");
    flags.add_options()("command", "measure, render or check", cxxopts::value<std::string>())(
        "slopes", "file with the measured slopes", cxxopts::value<std::string>()->default_value("docs/capacity/slopes.json"))(
        "page", "file of the rendered page", cxxopts::value<std::string>()->default_value("docs/CAPACITY.md"));
    flags.parse_positional({ "command" });
    try {
        cxxopts::ParseResult result = flags.parse(argc, argv);
        std::string command = result.count("command") ? result["command"].as<std::string>() : "";
        std::string slopes = result["slopes"].as<std::string>();
        startLog(LogLevel::Error, "bench_capacity");
        if (command == "measure")
            return measure(slopes);
        if (command == "render" || command == "check")
            return renderOrCheck(slopes, result["page"].as<std::string>(), command == "check");
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
    }
    std::cerr << flags.help();
    return 2;
}
