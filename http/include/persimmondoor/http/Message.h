/// HTTP requests and responses as plain values.
///
/// \code
/// http::Response response { 200, { { "Content-Type", "application/json" } }, "{}" };
/// \endcode
#pragma once

#include "persimmondoor/core/Outcome.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmondoor::http {

struct Request {
    std::string method_ { "GET" };
    std::string target_ { "/" };
    std::vector<HeaderField> headers_;
    std::string body_;
    bool operator==(const Request&) const = default;
};

struct Response {
    int status_ { 200 };
    std::vector<HeaderField> headers_;
    std::string body_;
    bool operator==(const Response&) const = default;
};

/// Finds a header field by name, without regard to case.
/// \return the first value, or nothing.
std::optional<std::string> findHeader(const std::vector<HeaderField>&, std::string_view name);

/// A JSON response `{"error": code, "detail": detail}`.
Response errorResponse(int status, std::string_view code, std::string_view detail);

/// A JSON response with `body`, which must be JSON text.
Response jsonResponse(int status, std::string body);

} // namespace persimmondoor::http
