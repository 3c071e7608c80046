// Keeps the slopes behind the capacity pages, renders the pages from them, and checks that the pages match them.
//
//   bench_capacity measure    measures the slopes of the programs without the platform, for docs/capacity/local.md
//   bench_capacity record NAME SIZE_UNIT COST_UNIT SIZE=COST...
//                             records a slope of the programs on the platform, for docs/CAPACITY.md; replaces one of that name
//   bench_capacity render     writes the pages from the recorded slopes
//   bench_capacity check      fails if a page differs from the one rendered from the recorded slopes
#include "Measure.h"
#include "Page.h"
#include "persimmondoor/core/Log.h"

#include <algorithm>
#include <charconv>
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

namespace {

// A page with the file of its slopes.
struct PageFiles {
    std::string slopes_;
    std::string page_;
    absl::StatusOr<std::string> (*render_)(const Slopes&);
};

} // namespace

static const PageFiles localPage { "docs/capacity/slopes.json", "docs/capacity/local.md", renderLocalPage };
static const PageFiles platformPage { "docs/capacity/sweep.json", "docs/CAPACITY.md", renderPlatformPage };

static int measure()
{
    Slopes slopes = measureAll();
    for (const Slope& slope : slopes)
        std::cout << slope.name_ << ": " << slope.intercept_ << " + " << slope.perUnit_ << " " << slope.costUnit_ << " per " << slope.sizeUnit_ << ", residual " << slope.residual_ << "\n";
    std::ofstream(localPage.slopes_, std::ios::binary) << toJSON(slopes);
    return 0;
}

// Reads a number that makes up the whole text.
static absl::StatusOr<double> readNumber(const std::string& text)
{
    double number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return absl::InvalidArgumentError("not a number: \"" + text + "\"");
    return number;
}

static absl::StatusOr<Point> readPoint(const std::string& text)
{
    size_t separator = text.find('=');
    if (separator == std::string::npos)
        return absl::InvalidArgumentError("got \"" + text + "\", expected SIZE=COST");
    auto size = readNumber(text.substr(0, separator));
    auto cost = readNumber(text.substr(separator + 1));
    if (!size.ok())
        return size.status();
    if (!cost.ok())
        return cost.status();
    return Point { *size, *cost };
}

static int record(const std::vector<std::string>& words)
{
    static constexpr size_t wordsBeforePoints = 3;
    static constexpr size_t minimumPoints = 3;
    if (words.size() < wordsBeforePoints + minimumPoints)
        return fail("record takes NAME SIZE_UNIT COST_UNIT and at least three SIZE=COST");
    std::vector<Point> points;
    for (size_t index = wordsBeforePoints; index < words.size(); ++index) {
        auto point = readPoint(words[index]);
        if (!point.ok())
            return fail(std::string(point.status().message()));
        points.push_back(*point);
    }
    std::string recorded = readFile(platformPage.slopes_);
    auto slopes = fromJSON(recorded.empty() ? "[]" : recorded);
    if (!slopes.ok())
        return fail(std::string(slopes.status().message()));
    Slope slope = fit(words[0], words[1], words[2], std::move(points));
    auto known = std::find_if(slopes->begin(), slopes->end(), [&](const Slope& other) { return other.name_ == slope.name_; });
    if (known == slopes->end())
        slopes->push_back(std::move(slope));
    else
        *known = std::move(slope);
    std::ofstream(platformPage.slopes_, std::ios::binary) << toJSON(*slopes);
    return 0;
}

static int renderOrCheck(const PageFiles& files, bool check)
{
    auto slopes = fromJSON(readFile(files.slopes_));
    if (!slopes.ok())
        return fail(files.slopes_ + ": " + std::string(slopes.status().message()));
    auto page = files.render_(*slopes);
    if (!page.ok())
        return fail(files.slopes_ + ": " + std::string(page.status().message()));
    if (!check) {
        std::ofstream(files.page_, std::ios::binary) << *page;
        return 0;
    }
    if (readFile(files.page_) == *page)
        return 0;
    return fail(files.page_ + " differs from the page rendered from " + files.slopes_ + "; run bench_capacity render");
}

int main(int argc, char** argv)
{
    cxxopts::Options flags("bench_capacity");
    flags.add_options()("command", "measure, record, render or check", cxxopts::value<std::string>())("words", "the words of record", cxxopts::value<std::vector<std::string>>());
    flags.parse_positional({ "command", "words" });
    try {
        cxxopts::ParseResult result = flags.parse(argc, argv);
        std::string command = result.count("command") ? result["command"].as<std::string>() : "";
        startLog(LogLevel::Error, "bench_capacity");
        if (command == "measure")
            return measure();
        if (command == "record")
            return record(result.count("words") ? result["words"].as<std::vector<std::string>>() : std::vector<std::string>());
        if (command == "render" || command == "check")
            return std::max(renderOrCheck(localPage, command == "check"), renderOrCheck(platformPage, command == "check"));
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
    }
    std::cerr << flags.help();
    return 2;
}
