// The operators' command line: `persimmondoor ctl <verb> ... [--entry ip:port]... [--json] [--token T]`.
//
// A verb is one file in this folder that gives a `Verb`; Ctl.cpp lists them. A verb calls the operators' API through
// `Client`, prints a table for people or the answer as JSON, and returns an exit code of app/Main.h.
#pragma once

#include "Client.h"
#include "persimmondoor/app/Main.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::app::ctl {

// A flag that only some verbs have.
struct Flag {
    std::string name_;
    std::string help_;
    // A switch takes no value.
    bool isSwitch_ { false };
    bool operator==(const Flag&) const = default;
};

// One command as given by the operator.
struct Invocation {
    Client client_;
    // The words after the verb that are no flags.
    std::vector<std::string> words_;
    // The flags given, without "--"; a switch has the value "true".
    std::map<std::string, std::string> flags_;
    bool json_ { false };

    bool has(const std::string& flag) const { return flags_.contains(flag); }
    std::string flag(const std::string& name, std::string fallback = "") const;
    // The word at `index`, or nothing.
    std::optional<std::string> word(size_t index) const;
};

struct Verb {
    std::string name_;
    // The words that may follow, for the usage line.
    std::string words_;
    std::string summary_;
    // The first words that the verb knows, for completion.
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
Verb makeCompletionVerb();

// Reads the arguments after "ctl", runs the verb and returns the exit code.
int runCtl(const std::vector<std::string>& arguments);

// Prints `message` and what to do next on the standard error stream and returns `code`.
int fail(std::string_view message, std::string_view next, ExitCode code);
// A wrong use of `verb`: prints the message and the verb's usage, and returns Usage.
int failUsage(const std::string& verb, std::string_view message);
// Reports an answer that is no success, or no answer at all, with what to do next.
int failAnswer(const Answer&);

using Rows = std::vector<std::vector<std::string>>;
// Prints aligned columns with a heading on the standard output stream.
void printTable(const std::vector<std::string>& heading, const Rows& rows);
// Prints `text` and a line end if it has none.
void printText(std::string_view text);
// The member `name` of a JSON object as text for people; "-" if absent.
std::string textOf(const boost::json::value& object, std::string_view name);

// Gets `path` and prints it: as it came with --json, else as a table with one row for each object of the array
// `items`, and one column for each pair of heading and member.
boost::asio::awaitable<int> listItems(Invocation, std::string path, std::string items, std::vector<std::pair<std::string, std::string>> columns);

} // namespace persimmondoor::app::ctl
