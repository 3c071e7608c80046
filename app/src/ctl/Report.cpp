#include "Ctl.h"

#include <fstream>

namespace persimmondoor::app::ctl {

namespace asio = boost::asio;

static asio::awaitable<int> run(Invocation call)
{
    std::string format = call.json_ ? "json" : call.flag("format", "text");
    if (format != "text" && format != "json" && format != "html")
        co_return failUsage("report", "--format must be text, json or html");
    Answer answer = co_await call.client_.get("/v1/report?format=" + format);
    if (!answer.ok() || answer->status_ != 200)
        co_return failAnswer(answer);
    std::string path = call.flag("output");
    if (path.empty()) {
        printText(answer->body_);
        co_return Success;
    }
    std::ofstream file(path, std::ios::binary);
    if (!(file << answer->body_).flush())
        co_return fail("cannot write " + path, "pass a writable path with --output", Failure);
    co_return Success;
}

Verb makeReportVerb()
{
    return { "report", "", "prints the report on service-level burn", {}, { { "format", "text, json or html" }, { "output", "file to write" } }, run };
}

} // namespace persimmondoor::app::ctl
