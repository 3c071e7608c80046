#include "Ctl.h"
#include "persimmondoor/core/Text.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;
namespace json = boost::json;
using Columns = std::vector<std::pair<std::string, std::string>>;

// Percent-encodes the characters of an id that would change the meaning of a path.
static std::string escape(const std::string& id)
{
    std::string escaped;
    for (char letter : id)
        escaped += letter == '/' || letter == '?' || letter == '%' || letter == '#' || letter == ' ' ? concat("%", absl::Hex(static_cast<uint8_t>(letter), absl::kZeroPad2)) : std::string(1, letter);
    return escaped;
}

// Prints the body of a successful answer with --json, else `text`.
static int printAnswer(const Invocation& call, const Answer& answer, const std::string& text)
{
    if (!answer.ok() || answer->status_ != 200)
        return failAnswer(answer);
    printText(call.json_ ? answer->body_ : text);
    return Success;
}

static asio::awaitable<int> submit(Invocation call)
{
    auto path = call.word(1);
    if (!path)
        co_return failUsage("job", "submit needs FILE, a job in JSON; - for standard input");
    std::ostringstream text;
    if (*path == "-") {
        text << std::cin.rdbuf();
    } else {
        std::ifstream file(*path, std::ios::binary);
        if (!file || !(text << file.rdbuf()))
            co_return fail(concat("cannot read ", *path), "pass the path of a file that holds a job in JSON", Usage);
    }
    std::string body = text.str();
    Answer answer = co_await call.client_.send("POST", "/v1/jobs", std::move(body));
    std::string id = answer.ok() && answer->status_ == 200 ? textOf(json::parse(answer->body_), "id") : "";
    co_return printAnswer(call, answer, concat("submitted ", id));
}

static asio::awaitable<int> list(Invocation call)
{
    std::string team = call.flag("team");
    Columns columns { { "JOB", "id" }, { "TIER", "tier" }, { "TASKS", "tasks" }, { "ENDED", "ended" }, { "PHASES", "phases" } };
    std::string path = team.empty() ? "/v1/jobs" : concat("/v1/jobs?team=", escape(team));
    std::string items = "jobs";
    co_return co_await listItems(std::move(call), std::move(path), std::move(items), std::move(columns));
}

static asio::awaitable<int> show(Invocation call)
{
    Columns columns { { "TASK", "index" }, { "PHASE", "phase" }, { "ATTEMPT", "attempt" }, { "FAILURES", "failures" }, { "WORKER", "worker" }, { "RESULT", "result" } };
    std::string path = concat("/v1/jobs/", escape(*call.word(1)));
    std::string items = "task_list";
    co_return co_await listItems(std::move(call), std::move(path), std::move(items), std::move(columns));
}

static asio::awaitable<int> explain(Invocation call)
{
    Columns columns { { "TASK", "index" }, { "PHASE", "phase" }, { "REASON", "reason" } };
    std::string path = concat("/v1/jobs/", escape(*call.word(1)), "/explain");
    std::string items = "task_list";
    co_return co_await listItems(std::move(call), std::move(path), std::move(items), std::move(columns));
}

static asio::awaitable<int> cancel(Invocation call)
{
    json::array jobs;
    for (size_t index = 1; index < call.words_.size(); ++index)
        jobs.emplace_back(call.words_[index]);
    Answer answer;
    if (jobs.size() == 1) {
        std::string path = concat("/v1/jobs/", escape(*call.word(1)), "/cancel");
        std::string empty;
        answer = co_await call.client_.send("POST", std::move(path), std::move(empty));
    } else {
        json::object body;
        body["jobs"] = jobs;
        std::string text = json::serialize(body);
        answer = co_await call.client_.send("POST", "/v1/jobs/cancel", std::move(text));
    }
    co_return printAnswer(call, answer, concat("cancelled ", jobs.size(), " jobs"));
}

static asio::awaitable<int> run(Invocation call)
{
    std::string verb = call.word(0).value_or("");
    if (verb == "submit")
        co_return co_await submit(std::move(call));
    if (verb == "list")
        co_return co_await list(std::move(call));
    bool hasJob = call.word(1).has_value();
    if (hasJob && verb == "show")
        co_return co_await show(std::move(call));
    if (hasJob && verb == "explain")
        co_return co_await explain(std::move(call));
    if (hasJob && verb == "cancel")
        co_return co_await cancel(std::move(call));
    co_return failUsage("job", "expected submit FILE, list, show JOB, explain JOB or cancel JOB...");
}

Verb makeJobVerb()
{
    return { "job", "submit FILE | list | show JOB | explain JOB | cancel JOB...", "submits, lists, explains and cancels jobs", { "submit", "list", "show", "explain", "cancel" },
        { { "team", "only this team's jobs", false } }, run };
}

} // namespace persimmondoor::app::ctl
