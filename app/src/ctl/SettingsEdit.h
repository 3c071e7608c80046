// Edits of a settings subtree by assignments.
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace persimmondoor::app::ctl {

// Applies each "a.b.c=VALUE" to the JSON object `text`. VALUE is JSON, or else a string; objects on the way are made.
// An empty VALUE removes the member.
// Returns the changed JSON, or InvalidArgument.
absl::StatusOr<std::string> applyAssignments(const std::string& text, const std::vector<std::string>& assignments);

// A name for a change that no other change has.
std::string newWriteId();

} // namespace persimmondoor::app::ctl
