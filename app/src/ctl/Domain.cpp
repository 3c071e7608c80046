#include "Ctl.h"
#include "persimmondoor/core/Text.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;
namespace json = boost::json;
using Columns = std::vector<std::pair<std::string, std::string>>;

static asio::awaitable<int> status(Invocation call)
{
    Columns columns { { "DOMAIN", "domain" }, { "STATE", "state" }, { "VERSION", "version" } };
    co_return co_await listItems(std::move(call), "/v1/domains", "domains", std::move(columns));
}

// Sends a change of a failure domain. The change is conditional on --version or, without it, on the version that is read
// just before.
static asio::awaitable<Answer> change(Invocation call, std::string action, std::string path)
{
    json::object body;
    body["action"] = action;
    if (call.has("version")) {
        boost::system::error_code error;
        body["version"] = json::parse(call.flag("version"), error);
    } else {
        Answer present = co_await call.client_.get(path);
        if (!present.ok() || present->status_ != 200)
            co_return present;
        body["version"] = json::parse(present->body_).at("version");
    }
    std::string text = json::serialize(body);
    co_return co_await call.client_.send("PUT", std::move(path), std::move(text));
}

static asio::awaitable<int> run(Invocation call)
{
    std::string verb = call.word(0).value_or("status");
    if (verb == "status")
        co_return co_await status(std::move(call));
    auto domain = call.word(1);
    if (!domain || (verb != "drain" && verb != "restore"))
        co_return failUsage("domain", "expected status, drain DOMAIN or restore DOMAIN");
    std::string path = concat("/v1/domains/", *domain);
    bool json = call.json_;
    Answer answer = co_await change(std::move(call), std::move(verb), std::move(path));
    if (!answer.ok() || answer->status_ != 200)
        co_return failAnswer(answer);
    json::value state = json::parse(answer->body_);
    printText(json ? answer->body_ : concat(textOf(state, "domain"), ": ", textOf(state, "state"), ", version ", textOf(state, "version")));
    co_return Success;
}

Verb makeDomainVerb()
{
    return { "domain", "status | drain DOMAIN | restore DOMAIN", "drains and restores failure domains", { "status", "drain", "restore" },
        { { "version", "version that the domain must still have; default: the current one", false } }, run };
}

} // namespace persimmondoor::app::ctl
