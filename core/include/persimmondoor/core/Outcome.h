/// What became of a request: done, not run, or unknown.
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

/// The service instance gave its whole answer.
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
    /// Given by a peer of another version, with a reason unknown here. Stays last.
    Unspecified };

/// Stable text of a reason, as used in headers and logs.
std::string_view describe(NotRunReason reason);

/// Nothing of the request was handed to a service instance, now or later.
struct NotRun {
    NotRunReason reason_ { NotRunReason::NoEndpoint };
    std::string detail_;
    bool operator==(const NotRun&) const = default;
};

/// The request was handed over and its result is not known.
struct Unknown {
    std::string detail_;
    bool operator==(const Unknown&) const = default;
};

using RequestOutcome = std::variant<Done, NotRun, Unknown>;

} // namespace persimmondoor
