#include "Ctl.h"

#include "persimmondoor/core/Text.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;
namespace json = boost::json;

static json::object unreachable(const Address& entry, std::string_view why)
{
    return { { "operators", entry.text() }, { "state", "unreachable" }, { "detail", why } };
}

static asio::awaitable<json::object> statusOf(Client client, Address entry)
{
    http::Request request;
    request.target_ = "/v1/status";
    Answer answer = co_await client.exchangeWith(entry, std::move(request));
    if (!answer.ok())
        co_return unreachable(entry, std::string(answer.status().message()));
    boost::system::error_code error;
    json::value body = json::parse(answer->body_, error);
    if (error || !body.is_object() || answer->status_ != 200)
        co_return unreachable(entry, concat("status ", answer->status_));
    co_return body.get_object();
}

static std::vector<std::string> rowOf(const Address& entry, const json::value& status)
{
    return { textOf(status, "entry"), entry.text(), textOf(status, "state"), textOf(status, "workers"), textOf(status, "endpoints"),
        textOf(status, "settings_digest"), textOf(status, "detail") };
}

static void printEntries(const json::array& entries)
{
    printText(json::serialize(json::object { { "entries", entries } }));
}

static void printRows(const Rows& rows)
{
    printTable({ "ENTRY", "OPERATORS", "STATE", "WORKERS", "ENDPOINTS", "SETTINGS", "DETAIL" }, rows);
}

// Queries each of the given entries, as each has its own view.
static asio::awaitable<int> run(Invocation call)
{
    json::array entries;
    Rows rows;
    bool anyAnswered = false;
    for (const Address& entry : call.client_.entries()) {
        json::value status = co_await statusOf(call.client_, entry);
        anyAnswered = anyAnswered || textOf(status, "state") != "unreachable";
        rows.push_back(rowOf(entry, status));
        entries.push_back(std::move(status));
    }
    if (call.json_)
        printEntries(entries);
    else
        printRows(rows);
    if (!anyAnswered)
        co_return fail("no entry answered", "check the addresses passed with --entry and that an entry is running", Unreachable);
    co_return Success;
}

Verb makeStatusVerb()
{
    return { "status", "", "shows each entry's state, workers, endpoints and settings", {}, {}, run };
}

} // namespace persimmondoor::app::ctl
