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
        // The job whose story is told instead of the report; empty for none.
        std::string job_;
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
    add("job", "id of a job: shows its lines in the order of time, and why it had nothing running", cxxopts::value<std::string>()->default_value(""));
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
    ReportOptions options { result["files"].as<std::vector<std::string>>(), result["format"].as<std::string>(), result["output"].as<std::string>(), result["jobs"].as<size_t>(), result["job"].as<std::string>() };
    if (result.count("json") > 0)
        options.format_ = "json";
    if (options.format_ != "text" && options.format_ != "json" && options.format_ != "html")
        return absl::InvalidArgumentError(concat("--format is '", options.format_, "'; expected text, json or html"));
    return options;
}

namespace {

    // What the lines of all files add up to.
    struct Reading {
        report::Summary summary_;
        report::Story story_;
    };

} // namespace

static absl::StatusOr<Reading> addStream(Reading reading, std::istream& stream, const std::string& name)
{
    report::LineReader reader(stream);
    while (std::optional<report::ReadLine> line = reader.next()) {
        reading.summary_ = report::add(std::move(reading.summary_), *line);
        if (!reading.story_.job_.empty())
            reading.story_ = report::add(std::move(reading.story_), *line);
    }
    if (reader.hasFailed())
        return absl::DataLossError(concat("cannot read ", name, " to its end"));
    return reading;
}

static absl::StatusOr<Reading> readFiles(const ReportOptions& options)
{
    Reading reading { {}, { options.job_ } };
    for (const std::string& path : options.files_) {
        std::ifstream file;
        if (path != "-")
            file.open(path, std::ios::binary);
        if (!file)
            return absl::NotFoundError(concat("cannot open the file ", path));
        auto added = addStream(std::move(reading), path == "-" ? std::cin : file, path);
        if (!added.ok())
            return added.status();
        reading = *std::move(added);
    }
    if (!reading.summary_.firstMs_)
        return absl::DataLossError(concat("none of ", reading.summary_.lines_.read_, " lines is a line of this system's log"));
    if (!options.job_.empty() && reading.story_.lines_.empty())
        return absl::NotFoundError(concat("no line is on the job ", options.job_));
    return reading;
}

static report::Document composeReading(const Reading& reading, const ReportOptions& options)
{
    if (!options.job_.empty())
        return report::compose(reading.story_);
    return report::compose(reading.summary_, options.format_ == "json" ? std::numeric_limits<size_t>::max() : options.jobs_);
}

static std::string render(const Reading& reading, const ReportOptions& options)
{
    report::Document document = composeReading(reading, options);
    if (options.format_ == "json")
        return report::jsonOf(document);
    return options.format_ == "html" ? report::htmlOf(document) : report::textOf(document);
}

static int printReport(const ReportOptions& options)
{
    auto reading = readFiles(options);
    if (!reading.ok())
        return fail(std::string(reading.status().message()), Failure);
    std::string text = render(*reading, options);
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
