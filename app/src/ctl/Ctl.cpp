#include "Ctl.h"

#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"

#include <absl/strings/str_split.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;

// Environment variables that are read if --entry and --token are absent.
static constexpr const char* entriesVariable = "PERSIMMONDOOR_ENTRIES";
static constexpr const char* tokenVariable = "PERSIMMONDOOR_TOKEN";

const std::vector<Verb>& verbs()
{
    static const std::vector<Verb> table {
        makeStatusVerb(),
        makeWorkersVerb(),
        makeEndpointsVerb(),
        makeTeamsVerb(),
        makeQuotaVerb(),
        makeSettingsVerb(),
        makeJobVerb(),
        makeDomainVerb(),
        makeReportVerb(),
        makeCheckVerb(),
        makeCompletionVerb(),
    };
    return table;
}

std::string Invocation::flag(const std::string& name, std::string fallback) const
{
    auto found = flags_.find(name);
    return found == flags_.end() ? fallback : found->second;
}

std::optional<std::string> Invocation::word(size_t index) const
{
    if (index >= words_.size())
        return std::nullopt;
    return words_[index];
}

static const Verb* findVerb(std::string_view name)
{
    auto found = std::find_if(verbs().begin(), verbs().end(), [&](const Verb& verb) { return verb.name_ == name; });
    return found == verbs().end() ? nullptr : &*found;
}

static std::string usageOf(const Verb& verb)
{
    std::string usage = concat("persimmondoor ctl ", verb.name_, verb.words_.empty() ? "" : " ", verb.words_);
    for (const Flag& flag : verb.flags_)
        usage += concat(" [--", flag.name_, flag.isSwitch_ ? "" : " VALUE", "]");
    return usage;
}

int failUsage(const std::string& verb, std::string_view message)
{
    const Verb* found = findVerb(verb);
    return fail(message, found ? concat("usage: ", usageOf(*found)) : "persimmondoor ctl help", Usage);
}

static int printHelp(std::ostream& stream)
{
    stream << "usage: persimmondoor ctl VERB ... [--entry IP:PORT]... [--json] [--token TOKEN]\n\nverbs:\n";
    for (const Verb& verb : verbs()) {
        stream << "  " << verb.name_ << std::string(verb.name_.size() < 12 ? 12 - verb.name_.size() : 1, ' ') << verb.summary_ << "\n";
        stream << "              " << usageOf(verb) << "\n";
    }
    stream << "\n--entry is an address of the operators' API; if several are given, they are tried in turn until one answers.\n"
           << "The variables " << entriesVariable << " (separated by commas) and " << tokenVariable << " are used if --entry and --token are absent.\n"
           << "exit codes: 0 done, 1 failed, 2 wrong flags or input, 3 no entry answered, 4 a concurrent change was made first\n";
    stream.flush();
    return Success;
}

static cxxopts::Options flagsOf(const Verb& verb)
{
    cxxopts::Options options(concat("persimmondoor ctl ", verb.name_), verb.summary_);
    auto add = options.add_options();
    add("entry", "address of the operators' API", cxxopts::value<std::vector<std::string>>());
    add("json", "print the answer as JSON");
    add("token", "the operator's token", cxxopts::value<std::string>());
    add("help", "print the usage");
    for (const Flag& flag : verb.flags_) {
        if (flag.isSwitch_)
            add(flag.name_, flag.help_);
        else
            add(flag.name_, flag.help_, cxxopts::value<std::string>());
    }
    return options;
}

static std::string environment(const char* name)
{
    const char* value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value ? value : "";
}

static absl::StatusOr<std::vector<Address>> readEntries(const cxxopts::ParseResult& result)
{
    std::vector<std::string> texts;
    if (result.count("entry") > 0)
        texts = result["entry"].as<std::vector<std::string>>();
    else
        texts = absl::StrSplit(environment(entriesVariable), ',', absl::SkipEmpty());
    std::vector<Address> entries;
    for (const std::string& text : texts) {
        auto address = Address::parse(text);
        if (!address.ok())
            return absl::InvalidArgumentError(concat("--entry: ", std::string(address.status().message())));
        entries.push_back(*std::move(address));
    }
    return entries;
}

static absl::StatusOr<Invocation> readInvocation(const Verb& verb, const cxxopts::ParseResult& result)
{
    auto entries = readEntries(result);
    if (!entries.ok())
        return entries.status();
    std::string token = result.count("token") > 0 ? result["token"].as<std::string>() : environment(tokenVariable);
    Invocation call { Client(*std::move(entries), std::move(token)), result.unmatched(), {}, result.count("json") > 0 };
    for (const Flag& flag : verb.flags_) {
        if (result.count(flag.name_) > 0)
            call.flags_[flag.name_] = flag.isSwitch_ ? "true" : result[flag.name_].as<std::string>();
    }
    return call;
}

static int runVerb(const Verb& verb, Invocation call)
{
    asio::io_context context(1);
    int code = Failure;
    asio::co_spawn(context, verb.run_(std::move(call)), [&](const std::exception_ptr& error, int result) { code = error ? Failure : result; });
    context.run();
    return code;
}

static bool needsEntry(const Verb& verb)
{
    return verb.name_ != "completion" && verb.name_ != "check";
}

static int parseAndRun(const Verb& verb, const std::vector<std::string>& arguments)
{
    std::vector<const char*> pointers { "persimmondoor ctl" };
    for (const std::string& argument : arguments)
        pointers.push_back(argument.c_str());
    try {
        cxxopts::ParseResult result = flagsOf(verb).parse(static_cast<int>(pointers.size()), pointers.data());
        if (result.count("help") > 0) {
            printText(concat("usage: ", usageOf(verb), "\n", verb.summary_));
            return Success;
        }
        auto call = readInvocation(verb, result);
        if (!call.ok())
            return failUsage(verb.name_, std::string(call.status().message()));
        if (call->client_.entries().empty() && needsEntry(verb))
            return fail("no address of an entry is given", concat("pass --entry ip:port, an address of the operators' API, or set ", entriesVariable), Usage);
        return runVerb(verb, *std::move(call));
    } catch (const cxxopts::exceptions::exception& error) {
        return failUsage(verb.name_, error.what());
    }
}

int runCtl(const std::vector<std::string>& arguments)
{
    if (arguments.empty())
        return fail("no verb is given", "persimmondoor ctl help lists the verbs", Usage);
    if (arguments.front() == "help" || arguments.front() == "--help")
        return printHelp(std::cout);
    const Verb* verb = findVerb(arguments.front());
    if (!verb)
        return fail(concat("unknown verb '", arguments.front(), "'"), "persimmondoor ctl help lists the verbs", Usage);
    return parseAndRun(*verb, { arguments.begin() + 1, arguments.end() });
}

} // namespace persimmondoor::app::ctl
