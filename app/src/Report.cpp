#include "Report.h"

#include "persimmondoor/app/Main.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/report/Document.h"

#include <absl/status/statusor.h>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <limits>

namespace persimmondoor::app {

namespace {

    struct ReportOptions {
        std::vector<std::string> files_;
        std::string format_;
        std::string output_;
        size_t jobs_ { 0 };
    };

} // namespace

static int fail(std::string_view message, ExitCode code)
{
    std::cerr << "persimmondoor report: " << message << "\n";
    return code;
}

static cxxopts::Options reportFlags()
{
    cxxopts::Options flags("persimmondoor report", "Tells from log lines who waited, for what, and where work went.");
    auto add = flags.add_options();
    add("format", "text, json or html", cxxopts::value<std::string>()->default_value("text"));
    add("json", "same as --format json");
    add("output", "file to write instead of standard output", cxxopts::value<std::string>()->default_value(""));
    add("jobs", "number of single jobs to list; all with --format json", cxxopts::value<size_t>()->default_value("20"));
    add("help", "prints this text");
    add("files", "files of log lines; - for standard input", cxxopts::value<std::vector<std::string>>());
    flags.parse_positional({ "files" });
    flags.positional_help("FILE...");
    return flags;
}

static absl::StatusOr<ReportOptions> toOptions(const cxxopts::ParseResult& result)
{
    if (result.count("files") == 0)
        return absl::InvalidArgumentError("no file of log lines; name one or more, or - for standard input");
    ReportOptions options { result["files"].as<std::vector<std::string>>(), result["format"].as<std::string>(), result["output"].as<std::string>(), result["jobs"].as<size_t>() };
    if (result.count("json") > 0)
        options.format_ = "json";
    if (options.format_ != "text" && options.format_ != "json" && options.format_ != "html")
        return absl::InvalidArgumentError(concat("--format is '", options.format_, "'; expected text, json or html"));
    return options;
}

static absl::StatusOr<report::Summary> addStream(report::Summary summary, std::istream& stream, const std::string& name)
{
    report::LineReader reader(stream);
    while (std::optional<report::ReadLine> line = reader.next())
        summary = report::add(std::move(summary), *line);
    if (reader.hasFailed())
        return absl::DataLossError(concat("cannot read ", name, " to its end"));
    return summary;
}

static absl::StatusOr<report::Summary> summarize(const std::vector<std::string>& files)
{
    report::Summary summary;
    for (const std::string& path : files) {
        std::ifstream file;
        if (path != "-")
            file.open(path, std::ios::binary);
        if (!file)
            return absl::NotFoundError(concat("cannot open the file ", path));
        auto added = addStream(std::move(summary), path == "-" ? std::cin : file, path);
        if (!added.ok())
            return added.status();
        summary = *std::move(added);
    }
    if (!summary.firstMs_)
        return absl::DataLossError(concat("none of ", summary.lines_.read_, " lines is a line of this system's log"));
    return summary;
}

static std::string render(const report::Summary& summary, const ReportOptions& options)
{
    if (options.format_ == "json")
        return report::jsonOf(report::compose(summary, std::numeric_limits<size_t>::max()));
    report::Document document = report::compose(summary, options.jobs_);
    return options.format_ == "html" ? report::htmlOf(document) : report::textOf(document);
}

static int printReport(const ReportOptions& options)
{
    auto summary = summarize(options.files_);
    if (!summary.ok())
        return fail(std::string(summary.status().message()), Failure);
    std::string text = render(*summary, options);
    if (options.output_.empty()) {
        std::cout << text << std::flush;
        return std::cout ? Success : fail("cannot write to standard output", Failure);
    }
    std::ofstream file(options.output_, std::ios::binary);
    if (!(file << text).flush())
        return fail(concat("cannot write ", options.output_), Failure);
    return Success;
}

int runReport(const std::vector<std::string>& arguments)
{
    std::vector<const char*> pointers { "persimmondoor" };
    for (const std::string& argument : arguments)
        pointers.push_back(argument.c_str());
    cxxopts::Options flags = reportFlags();
    try {
        cxxopts::ParseResult result = flags.parse(static_cast<int>(pointers.size()), pointers.data());
        if (result.count("help") > 0) {
            std::cout << flags.help();
            return Success;
        }
        auto options = toOptions(result);
        return options.ok() ? printReport(*options) : fail(std::string(options.status().message()), Usage);
    } catch (const cxxopts::exceptions::exception& error) {
        return fail(error.what(), Usage);
    }
}

} // namespace persimmondoor::app
