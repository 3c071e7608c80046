/// The outcome of a request: done, not run, or unknown.
///
/// \code
/// RequestOutcome outcome = NotRun { NotRunReason::Deadline, "queue wait exceeds the deadline" };
/// \endcode
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmondoor {

/// One HTTP header field.
struct HeaderField {
    std::string name_;
    std::string value_;
    bool operator==(const HeaderField&) const = default;
};

/// The service instance returned a complete response.
struct Done {
    int status_ { 200 };
    std::vector<HeaderField> headers_;
    std::string body_;
    bool operator==(const Done&) const = default;
};

enum class NotRunReason { NoEndpoint,
    Deadline,
    QueueFull,
    Draining,
    Unreachable,
    StoreUnavailable,
    DuplicateRequest,
    BadRequest,
    /// A reason sent by a peer of another version that this version does not know. Must stay last.
    Unspecified };

/// The stable text of a reason, as used in headers and logs.
std::string_view describe(NotRunReason reason);

/// No part of the request was or will be sent to a service instance.
struct NotRun {
    NotRunReason reason_ { NotRunReason::NoEndpoint };
    std::string detail_;
    bool operator==(const NotRun&) const = default;
};

/// The request was sent to a service instance and its result is unknown.
struct Unknown {
    std::string detail_;
    bool operator==(const Unknown&) const = default;
};

using RequestOutcome = std::variant<Done, NotRun, Unknown>;

} // namespace persimmondoor
