#include "persimmondoor/http/Message.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/match.h>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace persimmondoor::http {

std::optional<std::string> findHeader(const std::vector<HeaderField>& headers, std::string_view name)
{
    for (const HeaderField& field : headers) {
        if (absl::EqualsIgnoreCase(field.name_, toAbseil(name)))
            return field.value_;
    }
    return std::nullopt;
}

Response errorResponse(int status, std::string_view code, std::string_view detail)
{
    return jsonResponse(status, boost::json::serialize(boost::json::object { { "error", code }, { "detail", detail } }) + "\n");
}

Response jsonResponse(int status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

} // namespace persimmondoor::http
