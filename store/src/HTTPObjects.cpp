#include "HTTPPool.h"
#include "JSON.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::store {

namespace asio = boost::asio;

// Percent-encodes all characters except letters, digits and "-._~", which are unreserved in a URI.
static std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (char character : text) {
        auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) || std::string_view("-._~").find(character) != std::string_view::npos)
            encoded.push_back(character);
        else
            encoded.append({ '%', digits[byte >> 4], digits[byte & 15] });
    }
    return encoded;
}

static http::Request requestFor(std::string method, std::string_view key, std::string body)
{
    return { std::move(method), concat("/v1/object?key=", percentEncode(key)), { { "Content-Type", "application/octet-stream" } }, std::move(body) };
}

asio::awaitable<absl::Status> HTTPObjects::put(std::string key, std::string bytes) const
{
    auto result = co_await fetch(pool_, requestFor("PUT", key, std::move(bytes)), platformTimeout);
    co_return result.status();
}

asio::awaitable<absl::StatusOr<std::string>> HTTPObjects::get(std::string key) const
{
    co_return co_await fetch(pool_, requestFor("GET", key, ""), platformTimeout);
}

asio::awaitable<absl::Status> HTTPObjects::remove(std::string key) const
{
    auto result = co_await fetch(pool_, requestFor("DELETE", key, ""), platformTimeout);
    co_return result.status();
}

asio::awaitable<absl::StatusOr<std::vector<std::string>>> HTTPObjects::list(ObjectList query) const
{
    std::string target = concat("/v1/objects?prefix=", percentEncode(query.prefix_), "&after=", percentEncode(query.after_), "&limit=", query.limit_);
    // A named variable, because GCC 12 destroys a braced temporary in the arguments of an awaited call twice.
    http::Request request { "GET", std::move(target), {}, "" };
    auto body = co_await fetch(pool_, std::move(request), platformTimeout);
    if (!body.ok())
        co_return body.status();
    co_return readJSON(*body, [](const json::value& value) { return member<std::vector<std::string>>(value, "keys"); });
}

} // namespace persimmondoor::store
