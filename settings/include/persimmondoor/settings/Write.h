/// Checks a change to the settings against the stored state: decisions only.
///
/// \code
/// WriteCheck check = checkWrite(request, head, operators);
/// \endcode
#pragma once

#include "persimmondoor/settings/Tree.h"

#include <variant>

namespace persimmondoor::settings {

/// A change as an operator asks for it.
struct WriteRequest {
    SubtreeName name_;
    std::string text_;
    /// The revision that the change replaces.
    Revision expected_;
    WriteId writeId_;
    /// SHA-256 of the operator's token, in hexadecimal digits; empty without a token.
    std::string tokenDigest_;
    bool dryRun_ { false };
    auto operator<=>(const WriteRequest&) const = default;
};

/// Who may change which branches; "*" stands for all.
struct Operator {
    OperatorName name_;
    std::string tokenDigest_;
    std::vector<std::string> branches_;
    auto operator<=>(const Operator&) const = default;
};

enum class WriteRefusal { Invalid,
    NoToken,
    Forbidden,
    Conflict,
    StoreUnavailable };

/// Nothing was written.
struct WriteRefused {
    WriteRefusal reason_ { WriteRefusal::Invalid };
    std::string detail_;
    auto operator<=>(const WriteRefused&) const = default;
};

/// The change has been made under this revision, or would be, for a dry run.
struct WriteAccepted {
    Subtree subtree_;
    bool dryRun_ { false };
    auto operator<=>(const WriteAccepted&) const = default;
};

/// The store did not say whether the change was made.
struct WriteUnknown {
    std::string detail_;
    auto operator<=>(const WriteUnknown&) const = default;
};

using WriteOutcome = std::variant<WriteAccepted, WriteRefused, WriteUnknown>;

/// The change may be committed under this revision.
struct WriteReady {
    Subtree next_;
    auto operator<=>(const WriteReady&) const = default;
};

/// The stored revision is this very change: it was made before.
struct WriteRepeated {
    auto operator<=>(const WriteRepeated&) const = default;
};

using WriteCheck = std::variant<WriteReady, WriteRepeated, WriteRefused>;

/// \param head the newest stored revision; its text is not looked at. Revision 0 for none.
/// \param operators nothing if the cell has no operators subtree, which leaves it open.
WriteCheck checkWrite(const WriteRequest& request, const Subtree& head, const std::optional<std::vector<Operator>>& operators);

} // namespace persimmondoor::settings
