/// Checks a change of the settings against the stored state. Decisions only.
///
/// \code
/// WriteCheck check = checkWrite(request, head, operators);
/// \endcode
#pragma once

#include "persimmondoor/settings/Tree.h"

#include <variant>

namespace persimmondoor::settings {

/// A change requested by an operator.
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

/// An operator and the branches that it may change; "*" means all.
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

/// The change was made and became this revision; for a dry run, it would become it.
struct WriteAccepted {
    Subtree subtree_;
    bool dryRun_ { false };
    auto operator<=>(const WriteAccepted&) const = default;
};

/// The outcome is unknown: the store's reply was lost, and reading the store did not show whether the change was made.
struct WriteUnknown {
    std::string detail_;
    auto operator<=>(const WriteUnknown&) const = default;
};

using WriteOutcome = std::variant<WriteAccepted, WriteRefused, WriteUnknown>;

/// The change may be committed as this revision.
struct WriteReady {
    Subtree next_;
    auto operator<=>(const WriteReady&) const = default;
};

/// The stored revision has the write id of this change, so the change was made already.
struct WriteRepeated {
    auto operator<=>(const WriteRepeated&) const = default;
};

using WriteCheck = std::variant<WriteReady, WriteRepeated, WriteRefused>;

/// \param head the newest stored revision, revision 0 if there is none; its text is not read.
/// \param operators nothing if the cell has no operators subtree; anyone may then change the settings.
WriteCheck checkWrite(const WriteRequest& request, const Subtree& head, const std::optional<std::vector<Operator>>& operators);

} // namespace persimmondoor::settings
