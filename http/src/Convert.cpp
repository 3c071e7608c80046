#include "Convert.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/match.h>

namespace persimmondoor::http {

namespace beast = boost::beast;

bool isConnectionField(std::string_view name)
{
    return absl::EqualsIgnoreCase(toAbseil(name), "Connection") || absl::EqualsIgnoreCase(toAbseil(name), "Content-Length")
        || absl::EqualsIgnoreCase(toAbseil(name), "Transfer-Encoding") || absl::EqualsIgnoreCase(toAbseil(name), "Keep-Alive");
}

static void setFields(beast::http::fields& fields, const std::vector<HeaderField>& headers)
{
    for (const HeaderField& field : headers) {
        if (!isConnectionField(field.name_))
            fields.insert(field.name_, field.value_);
    }
}

BeastRequest toBeast(Request&& request)
{
    BeastRequest message;
    message.version(11);
    message.method_string(request.method_);
    message.target(request.target_);
    setFields(message, request.headers_);
    if (message.find(beast::http::field::host) == message.end())
        message.set(beast::http::field::host, "localhost");
    message.body() = std::move(request.body_);
    message.prepare_payload();
    return message;
}

BeastResponse toBeast(Response&& response, bool keepAlive)
{
    BeastResponse message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status_));
    setFields(message, response.headers_);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body_);
    message.prepare_payload();
    return message;
}

} // namespace persimmondoor::http
