#include "Ctl.h"

#include "SettingsEdit.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Text.h"

#include <absl/strings/numbers.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;
namespace json = boost::json;

// Time between two polls of --wait, and their maximum number.
static constexpr Duration waitInterval = std::chrono::seconds(1);
static constexpr int maximumWaits = 60;

static std::string pathOfTeam(const std::string& team)
{
    return concat("/v1/settings/", team);
}

static asio::awaitable<int> printAnswer(Answer answer)
{
    if (!answer.ok() || answer->status_ != 200)
        co_return failAnswer(answer);
    printText(answer->body_);
    co_return Success;
}

using Columns = std::vector<std::pair<std::string, std::string>>;

static Columns subtreeColumns()
{
    return { { "SUBTREE", "subtree" }, { "REVISION", "revision" }, { "BY", "operator" }, { "ACCEPTED_MS", "accepted_ms" } };
}

static Columns changeColumns()
{
    return { { "PATH", "path" }, { "BEFORE", "before" }, { "AFTER", "after" } };
}

static Columns revisionColumns()
{
    return { { "REVISION", "revision" }, { "BY", "operator" }, { "ACCEPTED_MS", "accepted_ms" }, { "WRITE_ID", "write_id" } };
}

static Columns processColumns()
{
    return { { "PROCESS", "process" }, { "ROLE", "role" }, { "STATE", "state" }, { "DIGEST", "digest" } };
}

static asio::awaitable<int> get(Invocation call)
{
    auto team = call.word(1);
    if (!team) {
        Columns columns = subtreeColumns();
        co_return co_await listItems(std::move(call), "/v1/settings", "subtrees", std::move(columns));
    }
    std::string query = call.has("revision") ? concat("?revision=", call.flag("revision")) : "";
    co_return co_await printAnswer(co_await call.client_.get(concat(pathOfTeam(*team), query)));
}

namespace {

    // The contents to send and the revision that they replace.
    struct Change {
        std::string text_;
        std::string expected_;
    };

} // namespace

// The current contents and revision of a subtree, "{}" and 0 if it is new.
static asio::awaitable<absl::StatusOr<Change>> readCurrent(Client client, std::string team)
{
    Answer answer = co_await client.get(pathOfTeam(team));
    if (!answer.ok())
        co_return answer.status();
    if (answer->status_ == 404)
        co_return Change { "{}", "0" };
    boost::system::error_code error;
    json::value body = json::parse(answer->body_, error);
    const json::value* contents = body.is_object() ? body.get_object().if_contains("settings") : nullptr;
    if (error || !contents)
        co_return absl::InternalError(concat("the entry answered with status ", answer->status_, ", without settings"));
    co_return Change { json::serialize(*contents), textOf(body, "revision") };
}

// Builds the change that `set` sends: a whole file, or the current contents with the assignments applied.
static asio::awaitable<absl::StatusOr<Change>> readChange(Invocation call, std::string team)
{
    std::vector<std::string> assignments(call.words_.begin() + 2, call.words_.end());
    if (call.has("file") == !assignments.empty())
        co_return absl::InvalidArgumentError("set needs either --file FILE or assignments PATH=VALUE");
    auto change = co_await readCurrent(call.client_, std::move(team));
    if (!change.ok())
        co_return change;
    auto text = call.has("file") ? readInput(call.flag("file")) : applyAssignments(change->text_, assignments);
    if (!text.ok())
        co_return text.status();
    co_return Change { *std::move(text), call.flag("expect", change->expected_) };
}

static uint64_t numberOf(const std::string& text)
{
    uint64_t number = 0;
    return absl::SimpleAtoi(text, &number) ? number : 0;
}

static bool isInForceEverywhere(const json::value& status, std::string_view team, const std::string& revision)
{
    const json::value* subtrees = status.is_object() ? status.get_object().if_contains("subtrees") : nullptr;
    if (!subtrees || !subtrees->is_array())
        return false;
    for (const json::value& subtree : subtrees->get_array()) {
        if (textOf(subtree, "subtree") != team)
            continue;
        return numberOf(textOf(subtree, "revision")) >= numberOf(revision) && textOf(status, "behind") == "0";
    }
    return false;
}

// Waits until each process that announces itself to the entry has the revision.
static asio::awaitable<int> waitUntilInForce(Client client, std::string team, std::string revision)
{
    for (int wait = 0; wait < maximumWaits; ++wait) {
        Answer answer = co_await client.get("/v1/settings-status");
        boost::system::error_code error;
        json::value status = answer.ok() ? json::parse(answer->body_, error) : json::value();
        if (isInForceEverywhere(status, team, revision))
            co_return Success;
        std::cerr << "waiting: " << textOf(status, "current") << " processes have revision " << revision << " of " << team << ", " << textOf(status, "behind")
                  << " do not have it yet\n";
        co_await sleepFor(waitInterval);
    }
    co_return fail("the change was accepted but is not in force everywhere yet", "persimmondoor ctl settings status", Failure);
}

// Prints the answer to a change and, with --wait, waits until the change is in force.
static asio::awaitable<int> finishChange(Invocation call, std::string team, Answer answer)
{
    if (!answer.ok() || answer->status_ != 200)
        co_return failAnswer(answer);
    printText(answer->body_);
    if (!call.has("wait") || call.has("dry-run"))
        co_return Success;
    boost::system::error_code error;
    std::string revision = textOf(json::parse(answer->body_, error), "revision");
    co_return co_await waitUntilInForce(call.client_, std::move(team), revision);
}

static std::string changeQuery(const Invocation& call, const std::string& expected)
{
    return concat("?expect=", expected, "&write-id=", call.flag("write-id", newWriteId()), call.has("dry-run") ? "&dry-run=true" : "");
}

static asio::awaitable<int> set(Invocation call)
{
    auto team = call.word(1);
    if (!team)
        co_return failUsage("settings", "set needs a subtree");
    auto change = co_await readChange(call, *team);
    if (!change.ok() && change.status().code() == absl::StatusCode::kUnavailable)
        co_return failAnswer(change.status());
    if (!change.ok())
        co_return failUsage("settings", std::string(change.status().message()));
    Answer answer = co_await call.client_.send("PUT", concat(pathOfTeam(*team), changeQuery(call, change->expected_)), change->text_);
    co_return co_await finishChange(call, *team, std::move(answer));
}

static asio::awaitable<int> rollback(Invocation call)
{
    auto team = call.word(1);
    auto revision = call.word(2);
    uint64_t number = 0;
    if (!team || !revision || !absl::SimpleAtoi(*revision, &number))
        co_return failUsage("settings", "rollback needs a subtree and the revision to restore");
    auto current = co_await readCurrent(call.client_, *team);
    if (!current.ok())
        co_return failAnswer(current.status());
    Answer old = co_await call.client_.get(concat(pathOfTeam(*team), "?revision=", number));
    if (!old.ok() || old->status_ != 200)
        co_return failAnswer(old);
    boost::system::error_code error;
    json::value body = json::parse(old->body_, error);
    const json::value* contents = body.is_object() ? body.get_object().if_contains("settings") : nullptr;
    if (!contents)
        co_return fail("the answer of the entry has no member \"settings\"", "check that the entry runs the same version as this program", Failure);
    std::string query = changeQuery(call, call.flag("expect", current->expected_));
    Answer answer = co_await call.client_.send("PUT", concat(pathOfTeam(*team), query), json::serialize(*contents));
    co_return co_await finishChange(call, *team, std::move(answer));
}

static asio::awaitable<int> diff(Invocation call)
{
    auto team = call.word(1);
    auto from = call.word(2);
    if (!team || !from)
        co_return failUsage("settings", "diff needs a subtree and a revision; a second revision is optional, the default is the current one");
    std::string path = concat("/v1/settings-diff/", *team, "?from=", *from, call.word(3) ? concat("&to=", *call.word(3)) : "");
    co_return co_await listItems(std::move(call), path, "changes", changeColumns());
}

static asio::awaitable<int> history(Invocation call)
{
    auto team = call.word(1);
    if (!team)
        co_return failUsage("settings", "history needs a subtree");
    std::string path = concat("/v1/settings-history/", *team);
    co_return co_await listItems(std::move(call), path, "revisions", revisionColumns());
}

static asio::awaitable<int> validate(Invocation call)
{
    auto team = call.word(1);
    if (!team || !call.has("file"))
        co_return failUsage("settings", "validate needs a subtree and --file FILE");
    auto text = readInput(call.flag("file"));
    if (!text.ok())
        co_return failUsage("settings", std::string(text.status().message()));
    co_return co_await printAnswer(co_await call.client_.send("POST", concat("/v1/settings-validate/", *team), *text));
}

static asio::awaitable<int> status(Invocation call)
{
    co_return co_await listItems(std::move(call), "/v1/settings-status", "processes", processColumns());
}

static asio::awaitable<int> refuse(std::string message)
{
    co_return failUsage("settings", message);
}

static asio::awaitable<int> run(Invocation call)
{
    std::string verb = call.word(0).value_or("");
    if (verb == "get")
        return get(std::move(call));
    if (verb == "set")
        return set(std::move(call));
    if (verb == "diff")
        return diff(std::move(call));
    if (verb == "history")
        return history(std::move(call));
    if (verb == "rollback")
        return rollback(std::move(call));
    if (verb == "validate")
        return validate(std::move(call));
    if (verb == "status")
        return status(std::move(call));
    return refuse(concat("unknown subcommand '", verb, "'"));
}

Verb makeSettingsVerb()
{
    return { "settings", "get [SUBTREE] | set SUBTREE [PATH=VALUE...] | diff SUBTREE FROM [TO] | history SUBTREE | rollback SUBTREE REVISION | validate SUBTREE | status",
        "reads and changes the settings tree", { "get", "set", "diff", "history", "rollback", "validate", "status" },
        { { "file", "file with the whole subtree, in JSON; - for standard input" }, { "expect", "revision that the change replaces; default: the current one" },
            { "revision", "revision to show" }, { "write-id", "name of the change, to repeat it safely" }, { "dry-run", "check the change without making it", true },
            { "wait", "wait until the change is in force at every process", true } },
        run };
}

} // namespace persimmondoor::app::ctl
