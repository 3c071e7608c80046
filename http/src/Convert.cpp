#include "Convert.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/match.h>

namespace persimmondoor::http {

namespace beast = boost::beast;

// Returns whether a field belongs to one connection. Such fields are not forwarded but set for each connection.
static bool isConnectionField(std::string_view name)
{
    return absl::EqualsIgnoreCase(toAbseil(name), "Connection") || absl::EqualsIgnoreCase(toAbseil(name), "Content-Length")
        || absl::EqualsIgnoreCase(toAbseil(name), "Transfer-Encoding") || absl::EqualsIgnoreCase(toAbseil(name), "Keep-Alive");
}

static std::vector<HeaderField> copyFields(const beast::http::fields& fields)
{
    std::vector<HeaderField> headers;
    for (const auto& field : fields) {
        std::string name(field.name_string());
        if (!isConnectionField(name))
            headers.push_back({ std::move(name), std::string(field.value()) });
    }
    return headers;
}

static void setFields(beast::http::fields& fields, const std::vector<HeaderField>& headers)
{
    for (const HeaderField& field : headers) {
        if (!isConnectionField(field.name_))
            fields.insert(field.name_, field.value_);
    }
}

Request fromBeast(BeastRequest&& message)
{
    return { std::string(message.method_string()), std::string(message.target()), copyFields(message), std::move(message.body()) };
}

Response fromBeast(BeastResponse&& message)
{
    return { static_cast<int>(message.result_int()), copyFields(message), std::move(message.body()) };
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
