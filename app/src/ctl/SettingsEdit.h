// Edits a settings subtree by assignments.
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace persimmondoor::app::ctl {

// Applies each "a.b.c=VALUE" to the JSON object `text`. A VALUE that is not valid JSON is used as a string. Missing
// objects on the path are created. An empty VALUE removes the member.
// Returns the changed JSON, or InvalidArgument.
absl::StatusOr<std::string> applyAssignments(const std::string& text, const std::vector<std::string>& assignments);

// Returns a unique id for a change.
std::string newWriteId();

} // namespace persimmondoor::app::ctl
