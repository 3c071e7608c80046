/// A table of HTTP paths; each slice adds those that it serves.
///
/// \code
/// http::Routes routes;
/// routes.add("GET", "/v1/endpoints", [](http::Request request) -> boost::asio::awaitable<http::Response> { ... });
/// auto server = http::Server::listen(executor, address, limits, routes.handler());
/// \endcode
#pragma once

#include "persimmondoor/http/Server.h"

#include <map>
#include <string>
#include <utility>

namespace persimmondoor::http {

class Routes {
public:
    /// Serves `method` on `path` and on every path below it; the longest match wins.
    void add(std::string method, std::string path, Handler handler);

    /// A handler that answers 404 for an unknown path and 405 for a method the path does not have, both in JSON.
    Handler handler() const;

private:
    using PathHandlers = std::map<std::string, Handler>;
    std::map<std::string, PathHandlers> paths_;
};

/// The path of a request's target, without its query.
std::string_view pathOf(const Request&);

/// One parameter of the query of a request's target, percent-decoded.
/// \return the value, or nothing if the query has no such name.
std::optional<std::string> queryParameter(const Request&, std::string_view name);

/// Decodes %XX and '+'; a malformed escape stays as it is.
std::string percentDecode(std::string_view);

/// The part of a request's path below `prefix`, percent-decoded and without a leading '/'.
std::string pathBelow(const Request&, std::string_view prefix);

} // namespace persimmondoor::http
