// The operators' command line: `persimmondoor ctl <verb> ... [--entry ip:port]... [--json] [--token T]`.
//
// Each verb is one file in this folder with a function that returns its `Verb`; Ctl.cpp lists them. A verb calls the
// operators' API through `Client`, prints a table or, with --json, the answer as JSON, and returns an exit code of
// app/Main.h.
#pragma once

#include "Client.h"
#include "persimmondoor/app/Main.h"

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::app::ctl {

// A flag of some verbs, besides those that all verbs have.
struct Flag {
    std::string name_;
    std::string help_;
    // A switch takes no value.
    bool isSwitch_ { false };
    bool operator==(const Flag&) const = default;
};

// The command line of one run: the words and flags, and a client for the entries.
struct Invocation {
    Client client_;
    // The words after the verb that are not flags.
    std::vector<std::string> words_;
    // The flags by name, without "--"; a switch has the value "true".
    std::map<std::string, std::string> flags_;
    bool json_ { false };

    bool has(const std::string& flag) const { return flags_.contains(flag); }
    std::string flag(const std::string& name, std::string fallback = "") const;
    // Returns the word at `index`, or nothing.
    std::optional<std::string> word(size_t index) const;
};

struct Verb {
    std::string name_;
    // The words that may follow the verb, for the usage line.
    std::string words_;
    std::string summary_;
    // The subcommands of the verb, for shell completion.
    std::vector<std::string> subverbs_;
    std::vector<Flag> flags_;
    boost::asio::awaitable<int> (*run_)(Invocation);
};

// All verbs, in the order of the help text.
const std::vector<Verb>& verbs();

Verb makeStatusVerb();
Verb makeWorkersVerb();
Verb makeEndpointsVerb();
Verb makeTeamsVerb();
Verb makeQuotaVerb();
Verb makeSettingsVerb();
Verb makeJobVerb();
Verb makeDomainVerb();
Verb makeReportVerb();
Verb makeCheckVerb();
Verb makeCompletionVerb();

// Reads the arguments after "ctl", runs the verb and returns the exit code.
int runCtl(const std::vector<std::string>& arguments);

// Prints `message` and the recommended next step to standard error and returns `code`.
int fail(std::string_view message, std::string_view next, ExitCode code);
// Prints `message` and the usage of `verb` to standard error and returns Usage.
int failUsage(const std::string& verb, std::string_view message);
// Prints the error of an answer, or why no entry answered, and the recommended next step. Returns the exit code.
int failAnswer(const Answer&);

// The contents of a file, or of standard input for "-"; NotFound if it cannot be read.
absl::StatusOr<std::string> readInput(const std::string& path);

using Rows = std::vector<std::vector<std::string>>;
// Prints aligned columns with a heading to standard output.
void printTable(const std::vector<std::string>& heading, const Rows& rows);
// Prints `text` to standard output, with a line end if it has none.
void printText(std::string_view text);
// Returns the member `name` of a JSON object as text: a string without quotes, other values as JSON, "-" if absent.
std::string textOf(const boost::json::value& object, std::string_view name);

// Gets `path` and prints the answer: unchanged with --json, else as a table with one row for each object of the array
// `items` and one column for each pair of heading and member name.
boost::asio::awaitable<int> listItems(Invocation, std::string path, std::string items, std::vector<std::pair<std::string, std::string>> columns);

} // namespace persimmondoor::app::ctl
