#include "persimmondoor/http/Routes.h"

#include "persimmondoor/core/Text.h"

#include <absl/strings/ascii.h>

namespace persimmondoor::http {

namespace asio = boost::asio;

void Routes::add(std::string method, std::string path, Handler handler)
{
    paths_[std::move(path)].insert_or_assign(std::move(method), std::move(handler));
}

// Takes its arguments by value, as the coroutine runs after the caller has returned.
static asio::awaitable<Response> answerError(int status, std::string code, std::string detail)
{
    co_return errorResponse(status, code, detail);
}

static bool isAtOrBelow(std::string_view path, std::string_view prefix)
{
    return path.starts_with(prefix) && (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

Handler Routes::handler() const
{
    return [paths = paths_](Request request) -> asio::awaitable<Response> {
        std::string path(pathOf(request));
        const PathHandlers* best = nullptr;
        for (const auto& [prefix, handlers] : paths) {
            if (isAtOrBelow(path, prefix))
                best = &handlers;
        }
        if (!best)
            return answerError(404, "not-found", concat("no such path: ", path));
        auto found = best->find(request.method_);
        if (found == best->end())
            return answerError(405, "method-not-allowed", concat("no ", request.method_, " on ", path));
        return found->second(std::move(request));
    };
}

std::string_view pathOf(const Request& request)
{
    std::string_view target = request.target_;
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryParameter(const Request& request, std::string_view name)
{
    std::string_view target = request.target_;
    size_t mark = target.find('?');
    std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!query.empty()) {
        std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        size_t equals = pair.find('=');
        if (percentDecode(pair.substr(0, equals)) == name)
            return equals == std::string_view::npos ? "" : percentDecode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

static int hexDigit(char character)
{
    if (absl::ascii_isdigit(static_cast<unsigned char>(character)))
        return character - '0';
    if (absl::ascii_isxdigit(static_cast<unsigned char>(character)))
        return absl::ascii_tolower(static_cast<unsigned char>(character)) - 'a' + 10;
    return -1;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (size_t index = 0; index < text.size(); ++index) {
        bool escape = text[index] == '%' && index + 2 < text.size() && hexDigit(text[index + 1]) >= 0 && hexDigit(text[index + 2]) >= 0;
        if (escape) {
            decoded.push_back(static_cast<char>(hexDigit(text[index + 1]) * 16 + hexDigit(text[index + 2])));
            index += 2;
        } else
            decoded.push_back(text[index] == '+' ? ' ' : text[index]);
    }
    return decoded;
}

std::string pathBelow(const Request& request, std::string_view prefix)
{
    std::string_view path = pathOf(request);
    path.remove_prefix(std::min(path.size(), prefix.size()));
    while (path.starts_with('/'))
        path.remove_prefix(1);
    return percentDecode(path);
}

} // namespace persimmondoor::http
