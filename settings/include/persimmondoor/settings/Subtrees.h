/// Parses and compares the contents of subtrees: a team's settings, or the operators.
///
/// \code
/// absl::Status status = checkSubtree(name, text); // the error lists all faults, each with its path
/// \endcode
#pragma once

#include "persimmondoor/settings/Team.h"
#include "persimmondoor/settings/Write.h"

namespace persimmondoor::settings {

/// Largest contents of a subtree, in bytes.
inline constexpr size_t maximumSubtreeBytes = 256 * 1024;

/// Checks the contents of a subtree.
/// \return OK, or InvalidArgument with one line "<path>: <fault>" for each fault.
absl::Status checkSubtree(const SubtreeName&, std::string_view text);

/// Reads the operators subtree: {"NAME": {"token_sha256": HEX, "branches": [NAME or "*"...]}...}.
/// \return the operators, or InvalidArgument with one line for each fault.
absl::StatusOr<std::vector<Operator>> parseOperators(std::string_view text);

/// \return the SHA-256 of an operator's token in lower-case hexadecimal digits.
std::string digestOfToken(std::string_view token);

/// One difference between the contents of two revisions.
struct Difference {
    std::string path_;
    /// The JSON value at the path before and after; empty if the path does not exist.
    std::string before_;
    std::string after_;
    auto operator<=>(const Difference&) const = default;
};

/// \return the differences, sorted by path, or InvalidArgument if a text is not valid JSON.
absl::StatusOr<std::vector<Difference>> compareSubtrees(std::string_view before, std::string_view after);

} // namespace persimmondoor::settings
