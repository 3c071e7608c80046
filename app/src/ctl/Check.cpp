#include "Ctl.h"

#include "persimmondoor/core/Text.h"
#include "persimmondoor/platform/OperatorDocuments.h"
#include "persimmondoor/platform/RowStore.h"
#include "persimmondoor/workflow/CatalogCheck.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr Duration readTimeout = std::chrono::seconds(5);

namespace {

    // What the check has found. There are no differences if no store was asked; all entries are new if nothing is in force.
    struct CheckResult {
        std::vector<workflow::CatalogFinding> findings_;
        std::vector<workflow::CatalogDifference> differences_;
        bool operator==(const CheckResult&) const = default;
    };

} // namespace

// The configuration in force; version 0 if the store has none.
static asio::awaitable<absl::StatusOr<workflow::Catalog>> readInForce(Address storeAddress)
{
    auto rows = platform::RowStore::create(co_await asio::this_coro::executor, storeAddress);
    auto row = co_await rows.readRow(platform::configurationRow(), readTimeout);
    if (!row.ok())
        co_return row.status();
    if (row->version_ == store::RowVersion())
        co_return workflow::Catalog {};
    co_return platform::decodeCatalog(row->value_);
}

static json::object toJSON(const CheckResult& result)
{
    json::array findings;
    for (const workflow::CatalogFinding& finding : result.findings_)
        findings.push_back(json::object { { "severity", workflow::describe(finding.severity_) }, { "place", finding.place_ }, { "text", finding.text_ } });
    json::array differences;
    for (const workflow::CatalogDifference& difference : result.differences_)
        differences.push_back(json::object { { "place", difference.place_ }, { "before", difference.before_ }, { "after", difference.after_ } });
    return { { "findings", std::move(findings) }, { "differences", std::move(differences) } };
}

static void print(const CheckResult& result)
{
    Rows findings;
    for (const workflow::CatalogFinding& finding : result.findings_)
        findings.push_back({ std::string(workflow::describe(finding.severity_)), finding.place_, finding.text_ });
    if (findings.empty())
        printText("no findings");
    else
        printTable({ "SEVERITY", "PLACE", "FINDING" }, findings);
    if (result.differences_.empty())
        return;
    Rows differences;
    for (const workflow::CatalogDifference& difference : result.differences_)
        differences.push_back({ difference.place_, difference.before_.empty() ? "-" : difference.before_, difference.after_.empty() ? "-" : difference.after_ });
    printText("");
    printTable({ "CHANGE", "BEFORE", "AFTER" }, differences);
}

static asio::awaitable<int> run(Invocation call)
{
    if (!call.has("file") || !call.words_.empty())
        co_return failUsage("check", "check needs --file FILE");
    auto text = readInput(call.flag("file"));
    if (!text.ok())
        co_return failUsage("check", std::string(text.status().message()));
    auto proposed = platform::decodeCatalog(*text);
    if (!proposed.ok())
        co_return fail(concat(call.flag("file"), ": ", std::string(proposed.status().message())), "correct the entry named above", Usage);
    CheckResult result { workflow::checkCatalog(*proposed), {} };
    if (call.has("store")) {
        auto address = Address::parse(call.flag("store"));
        if (!address.ok())
            co_return failUsage("check", concat("--store: ", std::string(address.status().message())));
        auto inForce = co_await readInForce(*address);
        if (!inForce.ok())
            co_return fail(concat("cannot read the configuration in force: ", std::string(inForce.status().message())), "check the address passed with --store, or leave it out to check the file alone", Unreachable);
        for (workflow::CatalogFinding& finding : workflow::checkVersion(*inForce, *proposed))
            result.findings_.insert(result.findings_.begin(), std::move(finding));
        result.differences_ = workflow::compareCatalogs(*inForce, *proposed);
    }
    if (call.json_)
        printText(json::serialize(toJSON(result)));
    else
        print(result);
    bool hasErrors = std::any_of(result.findings_.begin(), result.findings_.end(), [](const workflow::CatalogFinding& finding) { return finding.severity_ == workflow::FindingSeverity::Error; });
    co_return hasErrors ? Usage : Success;
}

Verb makeCheckVerb()
{
    return { "check", "", "checks a configuration of queues before it is sent, and shows what it changes", {},
        { { "file", "file with the whole configuration, in JSON; - for standard input" }, { "store", "address of the platform's store, to compare with the configuration in force" } }, run };
}

} // namespace persimmondoor::app::ctl
